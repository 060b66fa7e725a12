//! The elements that were read, with the places where they stand.

use compact_str::{CompactString, format_compact};

/// Where an element stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    part: Option<u32>,
    index: usize,
}

impl Place {
    /// A place in the document itself, or in the part that is being read.
    pub(super) fn new(index: usize) -> Self {
        Self { part: None, index }
    }

    fn in_part(self, part: u32) -> Self {
        Self { part: Some(part), ..self }
    }

    /// The path of the element in the list of that name.
    pub(super) fn path(self, list: &str) -> CompactString {
        let index = self.index;
        match self.part {
            Some(part) => format_compact!("parts[{part}].{list}[{index}]"),
            None => format_compact!("{list}[{index}]"),
        }
    }
}

/// The elements of a list that could be read, with the places where they stand.
pub(super) struct List<T> {
    /// The elements with their places.
    pub(super) items: Vec<(Place, T)>,
    /// Whether every element could be read.
    pub(super) whole: bool,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        Self { items: Vec::new(), whole: false }
    }
}

impl<T> List<T> {
    /// A list of which everything was read so far.
    pub(super) fn empty() -> Self {
        Self { items: Vec::new(), whole: true }
    }

    /// Adds the elements of a part.
    pub(super) fn append(&mut self, part: u32, list: &Self)
    where
        T: Clone,
    {
        let items = list.items.iter();
        self.items.extend(items.map(|(place, item)| (place.in_part(part), item.clone())));
        self.whole &= list.whole;
    }

    /// The elements, if every one could be read.
    pub(super) fn finish(self) -> Option<Vec<T>> {
        self.whole.then(|| self.items.into_iter().map(|(_, item)| item).collect())
    }
}
