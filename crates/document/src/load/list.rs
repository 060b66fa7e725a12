//! Parsed elements with their locations in the document.

use compact_str::{CompactString, format_compact};

/// The location of an element in the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Location {
    part: Option<u32>,
    index: usize,
}

impl Location {
    /// A location in the document itself, or in the part that is being parsed.
    pub(super) fn new(index: usize) -> Self {
        Self { part: None, index }
    }

    fn in_part(self, part: u32) -> Self {
        Self { part: Some(part), ..self }
    }

    /// The path of the element, for the list with the given name.
    pub(super) fn path(self, list: &str) -> CompactString {
        let index = self.index;
        match self.part {
            Some(part) => format_compact!("parts[{part}].{list}[{index}]"),
            None => format_compact!("{list}[{index}]"),
        }
    }
}

/// The elements of a list that could be parsed.
pub(super) struct List<T> {
    /// The elements with their locations.
    pub(super) items: Vec<(Location, T)>,
    /// Whether every element could be parsed.
    pub(super) complete: bool,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        Self { items: Vec::new(), complete: false }
    }
}

impl<T> List<T> {
    /// A complete list without elements. [`List::default`] is incomplete.
    pub(super) fn empty() -> Self {
        Self { items: Vec::new(), complete: true }
    }

    /// Adds the elements of a part.
    pub(super) fn append(&mut self, part: u32, list: &Self)
    where
        T: Clone,
    {
        let items = list.items.iter();
        self.items.extend(items.map(|(location, item)| (location.in_part(part), item.clone())));
        self.complete &= list.complete;
    }

    /// The elements, if the list is complete.
    pub(super) fn finish(self) -> Option<Vec<T>> {
        self.complete.then(|| self.items.into_iter().map(|(_, item)| item).collect())
    }
}
