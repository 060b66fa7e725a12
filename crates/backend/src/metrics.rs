//! Parser for the subset of the Prometheus text format that load reports need.

/// One sample. Labels and the timestamp are ignored.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample<'a> {
    /// The metric's name.
    pub name: &'a str,
    /// The value, which may be NaN or infinite.
    pub value: f64,
}

/// Iterates over the samples of a text. Comments and malformed lines are skipped.
pub fn samples(text: &str) -> impl Iterator<Item = Sample<'_>> {
    text.lines().filter_map(sample)
}

fn sample(line: &str) -> Option<Sample<'_>> {
    let line = line.trim();
    if line.is_empty() || line.starts_with('#') {
        return None;
    }
    let name_end = line.find(|c: char| c == '{' || c.is_whitespace())?;
    let (name, rest) = line.split_at(name_end);
    let rest = match rest.strip_prefix('{') {
        Some(labels) => after_labels(labels)?,
        None => rest,
    };
    let value = rest.split_whitespace().next()?.parse().ok()?;
    (!name.is_empty()).then_some(Sample { name, value })
}

/// Returns the rest of a line after the closing brace of its labels. Label values may contain
/// braces.
fn after_labels(labels: &str) -> Option<&str> {
    let mut quoted = false;
    let mut escaped = false;
    for (index, c) in labels.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            '}' if !quoted => return labels.get(index + 1..),
            _ => {}
        }
    }
    None
}
