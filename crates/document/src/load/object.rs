//! Parses the fields of one JSON object and continues after a fault.

use std::{fmt, net::SocketAddr, ops::RangeInclusive, str::FromStr};

use compact_str::{CompactString, format_compact};
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, Visitor},
};
use serde_json::value::RawValue;

use super::{
    fault,
    list::{List, Location},
};
use crate::collections::Set;

/// The number of characters of an invalid value that a fault quotes.
const MAX_EXCERPT_CHARS: usize = 40;

/// The fields of an object in text order, including duplicates.
struct Fields<'a>(Vec<(CompactString, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor).map(Fields)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Vec<(CompactString, &'de RawValue)>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(fields)
    }
}

/// An object of the document that is being parsed.
pub(super) struct Object<'a, 'f> {
    /// The path of the object with a trailing dot, or empty for the document itself.
    prefix: CompactString,
    fields: Vec<(CompactString, &'a RawValue)>,
    /// The fields requested so far.
    known: Vec<&'static str>,
    faults: &'f mut fault::List,
}

impl<'a, 'f> Object<'a, 'f> {
    /// Opens the object at `path`.
    pub(super) fn open(
        path: CompactString,
        value: &'a RawValue,
        faults: &'f mut fault::List,
    ) -> Option<Self> {
        let Ok(Fields(fields)) = serde_json::from_str(value.get()) else {
            faults.add(path, format_compact!("an object is needed, found {}", excerpt(value)));
            return None;
        };
        let prefix = format_compact!("{path}.");
        Some(Self { prefix, fields, known: Vec::new(), faults })
    }

    /// Opens the document itself.
    pub(super) fn root(bytes: &'a [u8], faults: &'f mut fault::List) -> Option<Self> {
        let mut object = Self::parse(super::ROOT.into(), bytes, faults)?;
        object.prefix = CompactString::default();
        Some(object)
    }

    /// Opens the part at `index`.
    pub(super) fn part(index: u32, bytes: &'a [u8], faults: &'f mut fault::List) -> Option<Self> {
        Self::parse(format_compact!("parts[{index}]"), bytes, faults)
    }

    fn parse(path: CompactString, bytes: &'a [u8], faults: &'f mut fault::List) -> Option<Self> {
        match serde_json::from_slice(bytes) {
            Ok(value) => Self::open(path, value, faults),
            Err(error) => {
                faults.add(path, format_compact!("no JSON: {error}"));
                None
            }
        }
    }

    fn path(&self, field: &str) -> CompactString {
        format_compact!("{}{field}", self.prefix)
    }

    /// The first value of a field, if present. Duplicates are a fault.
    fn find(&mut self, field: &'static str) -> Option<&'a RawValue> {
        self.known.push(field);
        let mut values = self.fields.iter().filter(|(name, _)| name == field);
        let value = values.next().map(|(_, value)| *value);
        let repeated = values.count();
        if repeated > 0 {
            let path = self.path(field);
            self.faults.add(path, format_compact!("the field stands {} times", repeated + 1));
        }
        value
    }

    /// The value of a required field.
    fn require(&mut self, field: &'static str) -> Option<&'a RawValue> {
        let value = self.find(field);
        if value.is_none() {
            self.faults.add(self.path(field), "the field is missing");
        }
        value
    }

    fn report_invalid(&mut self, field: &str, needed: impl fmt::Display, value: &RawValue) {
        let path = self.path(field);
        self.faults.add(path, format_compact!("{needed} is needed, found {}", excerpt(value)));
    }

    /// A required string, parsed by [`FromStr`].
    pub(super) fn string<T: FromStr<Err: fmt::Display>>(
        &mut self,
        field: &'static str,
    ) -> Option<T> {
        let value = self.require(field)?;
        let Ok(text) = serde_json::from_str::<CompactString>(value.get()) else {
            self.report_invalid(field, "a text", value);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let message = format_compact!("{error}, found {}", excerpt(value));
                self.faults.add(self.path(field), message);
                None
            }
        }
    }

    /// A required string, parsed by [`FromStr`]. Faults do not quote it, because operators may have
    /// put a key in place of its digest.
    pub(super) fn secret<T: FromStr<Err: fmt::Display>>(
        &mut self,
        field: &'static str,
    ) -> Option<T> {
        let value = self.require(field)?;
        let text = serde_json::from_str::<CompactString>(value.get()).unwrap_or_default();
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.faults.add(self.path(field), format_compact!("{error}"));
                None
            }
        }
    }

    /// A required address to connect to: a specified IP address and a port other than 0.
    pub(super) fn address(&mut self, field: &'static str) -> Option<SocketAddr> {
        let value = self.require(field)?;
        let address: Option<SocketAddr> = serde_json::from_str(value.get()).ok();
        let usable = address.filter(|it| !it.ip().is_unspecified() && it.port() != 0);
        if usable.is_none() {
            self.report_invalid(field, "an IP number and a port such as 10.1.0.5:8000", value);
        }
        usable
    }

    /// A required integer within a range.
    pub(super) fn number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.require(field)?;
        self.number_in(field, range, value)
    }

    /// An integer within a range, or `default` if the field is missing.
    pub(super) fn number_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        match self.find(field) {
            Some(value) => self.number_in(field, range, value),
            None => Some(default),
        }
    }

    fn number_in(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        value: &RawValue,
    ) -> Option<u64> {
        match serde_json::from_str(value.get()) {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let (low, high) = range.into_inner();
                self.report_invalid(
                    field,
                    format_args!("a whole number from {low} to {high}"),
                    value,
                );
                None
            }
        }
    }

    /// A required boolean.
    pub(super) fn boolean(&mut self, field: &'static str) -> Option<bool> {
        let value = self.require(field)?;
        let boolean = serde_json::from_str(value.get()).ok();
        if boolean.is_none() {
            self.report_invalid(field, "true or false", value);
        }
        boolean
    }

    /// The elements of a required list, each parsed by `read`.
    pub(super) fn list<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&mut Object<'a, '_>) -> Option<T>,
    ) -> List<T> {
        match self.require(field) {
            Some(value) => self.elements(field, value, read),
            None => List::default(),
        }
    }

    /// The elements of a list, each parsed by `read`; empty if the field is missing.
    pub(super) fn list_or_empty<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&mut Object<'a, '_>) -> Option<T>,
    ) -> List<T> {
        match self.find(field) {
            Some(value) => self.elements(field, value, read),
            None => List::empty(),
        }
    }

    fn elements<T>(
        &mut self,
        field: &'static str,
        value: &'a RawValue,
        read: impl Fn(&mut Object<'a, '_>) -> Option<T>,
    ) -> List<T> {
        let Some(values) = self.values(field, value) else { return List::default() };
        let mut list = List::empty();
        for (index, value) in values.into_iter().enumerate() {
            let path = format_compact!("{}{field}[{index}]", self.prefix);
            match read_element(path, value, &read, self.faults) {
                Some(item) => list.items.push((Location::new(index), item)),
                None => list.complete = false,
            }
        }
        list
    }

    fn values(&mut self, field: &'static str, value: &'a RawValue) -> Option<Vec<&'a RawValue>> {
        let values = serde_json::from_str(value.get()).ok();
        if values.is_none() {
            self.report_invalid(field, "a list", value);
        }
        values
    }

    /// The strings of a list, parsed by [`FromStr`]; empty if the field is missing.
    pub(super) fn strings_or_empty<T: FromStr<Err: fmt::Display>>(
        &mut self,
        field: &'static str,
    ) -> Vec<T> {
        let Some(value) = self.find(field) else { return Vec::new() };
        let values = self.values(field, value).unwrap_or_default();
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            let text = serde_json::from_str::<CompactString>(value.get()).unwrap_or_default();
            match text.parse() {
                Ok(parsed) => items.push(parsed),
                Err(error) => {
                    let path = format_compact!("{}{field}[{index}]", self.prefix);
                    self.faults.add(path, format_compact!("{error}, found {}", excerpt(value)));
                }
            }
        }
        items
    }

    /// Reports each unknown field once.
    pub(super) fn finish(self) {
        let mut seen = Set::default();
        for (name, _) in &self.fields {
            let is_known = self.known.iter().any(|known| known == name);
            if is_known || !seen.insert(name.as_str()) {
                continue;
            }
            let path = format_compact!("{}{}", self.prefix, truncated(name));
            let known = self.known.join(", ");
            self.faults.add(path, format_compact!("the field is unknown, known are {known}"));
        }
    }
}

fn read_element<'a, T>(
    path: CompactString,
    value: &'a RawValue,
    read: impl Fn(&mut Object<'a, '_>) -> Option<T>,
    faults: &mut fault::List,
) -> Option<T> {
    let mut object = Object::open(path, value, faults)?;
    let item = read(&mut object);
    object.finish();
    item
}

/// The text of a value, truncated if it is long.
fn excerpt(value: &RawValue) -> CompactString {
    truncated(value.get())
}

fn truncated(text: &str) -> CompactString {
    match text.char_indices().nth(MAX_EXCERPT_CHARS) {
        Some((end, _)) => format_compact!("{}...", &text[..end]),
        None => CompactString::new(text),
    }
}
