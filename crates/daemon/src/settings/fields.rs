//! Reads the fields of a JSON object one by one and collects all faults.

use std::{fmt, str::FromStr};

use compact_str::{CompactString, format_compact};
use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, MapAccess, Visitor},
};
use serde_json::Value;

use super::Fault;

/// The fields that are not read yet, and the faults found so far.
#[derive(Debug)]
pub(super) struct Fields {
    remaining: Vec<(CompactString, Value)>,
    faults: Vec<Fault>,
}

impl Fields {
    /// Parses a JSON object. A duplicate field is a fault, and only its first value is checked.
    pub(super) fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        let Object(remaining) = serde_json::from_slice(text)?;
        let mut fields = Self { remaining, faults: Vec::new() };
        fields.report_duplicates();
        Ok(fields)
    }

    /// Reads a field that is required unless a flag overrides it.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        field: &str,
        flag: Option<T>,
    ) -> Option<T> {
        let missing = flag.is_none() && !self.remaining.iter().any(|(name, _)| name == field);
        if missing {
            self.add_fault(field, "missing");
        }
        self.optional(field, flag)
    }

    /// Reads an optional field. The value of a flag takes precedence.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        field: &str,
        flag: Option<T>,
    ) -> Option<T> {
        let read = self.remove(field).and_then(|value| {
            let shown = value.to_string();
            let result = serde_json::from_value(value);
            result.map_err(|error| self.add_fault(field, format_compact!("{shown}: {error}"))).ok()
        });
        flag.or(read)
    }

    /// Reads an optional string, parsed by [`FromStr`]. The value of a flag takes precedence.
    pub(super) fn string<T: FromStr<Err: fmt::Display>>(
        &mut self,
        field: &str,
        flag: Option<T>,
    ) -> Option<T> {
        let text: Option<CompactString> = self.optional(field, None);
        let parsed = text.and_then(|text| match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_fault(field, format_compact!("{text:?}: {error}"));
                None
            }
        });
        flag.or(parsed)
    }

    /// All faults, including one for each unknown field.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        for (field, _) in std::mem::take(&mut self.remaining) {
            self.add_fault(&field, "unknown field");
        }
        self.faults
    }

    fn remove(&mut self, field: &str) -> Option<Value> {
        let position = self.remaining.iter().position(|(name, _)| name == field)?;
        Some(self.remaining.remove(position).1)
    }

    fn report_duplicates(&mut self) {
        let mut kept: Vec<(CompactString, Value)> = Vec::new();
        for (field, value) in std::mem::take(&mut self.remaining) {
            if kept.iter().any(|(name, _)| *name == field) {
                self.add_fault(&field, format_compact!("duplicate field with value {value}"));
            } else {
                kept.push((field, value));
            }
        }
        self.remaining = kept;
    }

    fn add_fault(&mut self, field: &str, message: impl Into<CompactString>) {
        let message = message.into();
        self.faults.push(Fault { field: field.into(), message });
    }
}

/// A JSON object with its fields in text order, including duplicates.
struct Object(Vec<(CompactString, Value)>);

impl<'de> Deserialize<'de> for Object {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor)
    }
}

struct ObjectVisitor;

impl<'de> Visitor<'de> for ObjectVisitor {
    type Value = Object;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Object, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(Object(fields))
    }
}
