//! The fields of a JSON object, taken one by one while all faults are kept.

use std::{fmt, str::FromStr};

use compact_str::{CompactString, format_compact};
use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, MapAccess, Visitor},
};
use serde_json::Value;

use super::Fault;

/// The fields that are not taken yet, and the faults found so far.
#[derive(Debug)]
pub(super) struct Fields {
    left: Vec<(CompactString, Value)>,
    faults: Vec<Fault>,
}

impl Fields {
    /// Reads a JSON object. A repeated field is kept as a fault.
    pub(super) fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        let Object(left) = serde_json::from_slice(text)?;
        let mut fields = Self { left, faults: Vec::new() };
        fields.note_repeated();
        Ok(fields)
    }

    /// Takes a field that must be there, unless a flag overrides it.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        field: &str,
        flag: Option<T>,
    ) -> Option<T> {
        let missing = flag.is_none() && !self.left.iter().any(|(name, _)| name == field);
        if missing {
            self.fault(field, "missing");
        }
        self.optional(field, flag)
    }

    /// Takes a field that may be left out. The value of a flag goes before the field's.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        field: &str,
        flag: Option<T>,
    ) -> Option<T> {
        let read = self.take(field).and_then(|value| {
            let shown = value.to_string();
            let result = serde_json::from_value(value);
            result.map_err(|error| self.fault(field, format_compact!("{shown}: {error}"))).ok()
        });
        flag.or(read)
    }

    /// Takes an optional field whose text form is that of [`FromStr`].
    pub(super) fn text<T: FromStr<Err: fmt::Display>>(
        &mut self,
        field: &str,
        flag: Option<T>,
    ) -> Option<T> {
        let text: Option<CompactString> = self.optional(field, None);
        let parsed = text.and_then(|text| match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(field, format_compact!("{text:?}: {error}"));
                None
            }
        });
        flag.or(parsed)
    }

    /// The faults, with one for each field that was not taken.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        for (field, _) in std::mem::take(&mut self.left) {
            self.fault(&field, "unknown field");
        }
        self.faults
    }

    fn take(&mut self, field: &str) -> Option<Value> {
        let position = self.left.iter().position(|(name, _)| name == field)?;
        Some(self.left.remove(position).1)
    }

    fn note_repeated(&mut self) {
        let mut kept: Vec<(CompactString, Value)> = Vec::new();
        for (field, value) in std::mem::take(&mut self.left) {
            if kept.iter().any(|(name, _)| *name == field) {
                self.fault(&field, format_compact!("stands twice, again with {value}"));
            } else {
                kept.push((field, value));
            }
        }
        self.left = kept;
    }

    fn fault(&mut self, field: &str, message: impl Into<CompactString>) {
        let message = message.into();
        self.faults.push(Fault { field: field.into(), message });
    }
}

/// A JSON object with its fields in order, repeated ones included.
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
