//! Reads the fields of one JSON object and goes on after a fault.

use std::{fmt, net::SocketAddr, ops::RangeInclusive, str::FromStr};

use compact_str::{CompactString, format_compact};
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, Visitor},
};
use serde_json::value::RawValue;

use super::{
    fault,
    list::{List, Place},
};
use crate::collections::Set;

/// The number of characters of a wrong value that are shown.
const MAX_SHOWN_CHARS: usize = 40;

/// The fields of an object in the order of the text, repeated ones included.
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

/// An object of the document that is being read.
pub(super) struct Object<'a, 'f> {
    /// The path of the object with a dot at its end, or nothing for the document itself.
    prefix: CompactString,
    fields: Vec<(CompactString, &'a RawValue)>,
    known: Vec<&'static str>,
    faults: &'f mut fault::List,
}

impl<'a, 'f> Object<'a, 'f> {
    /// Starts to read the object at `path`.
    pub(super) fn open(
        path: CompactString,
        value: &'a RawValue,
        faults: &'f mut fault::List,
    ) -> Option<Self> {
        let Ok(Fields(fields)) = serde_json::from_str(value.get()) else {
            faults.add(path, format_compact!("an object is needed, found {}", shown(value)));
            return None;
        };
        let prefix = format_compact!("{path}.");
        Some(Self { prefix, fields, known: Vec::new(), faults })
    }

    /// Starts to read the document itself.
    pub(super) fn root(bytes: &'a [u8], faults: &'f mut fault::List) -> Option<Self> {
        let mut object = Self::text_of(super::ROOT.into(), bytes, faults)?;
        object.prefix = CompactString::default();
        Some(object)
    }

    /// Starts to read a part of the document.
    pub(super) fn part(index: u32, bytes: &'a [u8], faults: &'f mut fault::List) -> Option<Self> {
        Self::text_of(format_compact!("parts[{index}]"), bytes, faults)
    }

    fn text_of(path: CompactString, bytes: &'a [u8], faults: &'f mut fault::List) -> Option<Self> {
        match serde_json::from_slice(bytes) {
            Ok(value) => Self::open(path, value, faults),
            Err(error) => {
                faults.add(path, format_compact!("no JSON: {error}"));
                None
            }
        }
    }

    /// The path of a field.
    fn path(&self, field: &str) -> CompactString {
        format_compact!("{}{field}", self.prefix)
    }

    /// The value of a field, if it stands there.
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

    /// The value of a field that must stand there.
    fn require(&mut self, field: &'static str) -> Option<&'a RawValue> {
        let value = self.find(field);
        if value.is_none() {
            self.faults.add(self.path(field), "the field is missing");
        }
        value
    }

    fn wrong(&mut self, field: &str, needed: impl fmt::Display, value: &RawValue) {
        let path = self.path(field);
        self.faults.add(path, format_compact!("{needed} is needed, found {}", shown(value)));
    }

    /// A text that is read by its own type.
    pub(super) fn text<T: FromStr<Err: fmt::Display>>(&mut self, field: &'static str) -> Option<T> {
        let value = self.require(field)?;
        let Ok(text) = serde_json::from_str::<CompactString>(value.get()) else {
            self.wrong(field, "a text", value);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let message = format_compact!("{error}, found {}", shown(value));
                self.faults.add(self.path(field), message);
                None
            }
        }
    }

    /// A text that is read by its own type and is never shown, because it may be a secret.
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

    /// An address to connect to.
    pub(super) fn address(&mut self, field: &'static str) -> Option<SocketAddr> {
        let value = self.require(field)?;
        let address: Option<SocketAddr> = serde_json::from_str(value.get()).ok();
        let usable = address.filter(|it| !it.ip().is_unspecified() && it.port() != 0);
        if usable.is_none() {
            self.wrong(field, "an IP number and a port such as 10.1.0.5:8000", value);
        }
        usable
    }

    /// A whole number within a range.
    pub(super) fn number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.require(field)?;
        self.within(field, range, value)
    }

    /// A whole number within a range, or `default` if the field does not stand there.
    pub(super) fn number_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        match self.find(field) {
            Some(value) => self.within(field, range, value),
            None => Some(default),
        }
    }

    fn within(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        value: &RawValue,
    ) -> Option<u64> {
        match serde_json::from_str(value.get()) {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let (low, high) = range.into_inner();
                self.wrong(field, format_args!("a whole number from {low} to {high}"), value);
                None
            }
        }
    }

    /// `true` or `false`.
    pub(super) fn flag(&mut self, field: &'static str) -> Option<bool> {
        let value = self.require(field)?;
        let flag = serde_json::from_str(value.get()).ok();
        if flag.is_none() {
            self.wrong(field, "true or false", value);
        }
        flag
    }

    /// The elements of a list, each read by `read`.
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

    /// The elements of a list that is empty if the field does not stand there.
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
            match element(path, value, &read, self.faults) {
                Some(item) => list.items.push((Place::new(index), item)),
                None => list.whole = false,
            }
        }
        list
    }

    fn values(&mut self, field: &'static str, value: &'a RawValue) -> Option<Vec<&'a RawValue>> {
        let values = serde_json::from_str(value.get()).ok();
        if values.is_none() {
            self.wrong(field, "a list", value);
        }
        values
    }

    /// The texts of a list that is empty if the field does not stand there.
    pub(super) fn texts_or_empty<T: FromStr<Err: fmt::Display>>(
        &mut self,
        field: &'static str,
    ) -> Vec<T> {
        let Some(value) = self.find(field) else { return Vec::new() };
        let values = self.values(field, value).unwrap_or_default();
        let mut texts = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            let text = serde_json::from_str::<CompactString>(value.get()).unwrap_or_default();
            match text.parse() {
                Ok(parsed) => texts.push(parsed),
                Err(error) => {
                    let path = format_compact!("{}{field}[{index}]", self.prefix);
                    self.faults.add(path, format_compact!("{error}, found {}", shown(value)));
                }
            }
        }
        texts
    }

    /// Reports the fields that nobody asked for, repeated ones once.
    pub(super) fn close(self) {
        let mut seen = Set::default();
        for (name, _) in &self.fields {
            let asked = self.known.iter().any(|known| known == name);
            if asked || !seen.insert(name.as_str()) {
                continue;
            }
            let path = format_compact!("{}{}", self.prefix, shortened(name));
            let known = self.known.join(", ");
            self.faults.add(path, format_compact!("the field is unknown, known are {known}"));
        }
    }
}

fn element<'a, T>(
    path: CompactString,
    value: &'a RawValue,
    read: impl Fn(&mut Object<'a, '_>) -> Option<T>,
    faults: &mut fault::List,
) -> Option<T> {
    let mut object = Object::open(path, value, faults)?;
    let item = read(&mut object);
    object.close();
    item
}

/// A value as it stands in the document, cut if it is long.
fn shown(value: &RawValue) -> CompactString {
    shortened(value.get())
}

fn shortened(text: &str) -> CompactString {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format_compact!("{}...", &text[..end]),
        None => CompactString::new(text),
    }
}
