//! Formats the difference between two documents.

use std::io::{self, Write};

use hyssop_document::difference::Difference;

use super::list;

/// Writes one line for each change, followed by a line with its warning, if any.
pub(crate) fn write(difference: &Difference, out: &mut dyn Write) -> io::Result<()> {
    for entry in &difference.entries {
        writeln!(out, "{entry}")?;
        if let Some(warning) = &entry.warning {
            writeln!(out, "    warning: {warning}")?;
        }
    }
    if !difference.moved.is_empty() {
        writeln!(out, "other groups: {}", list(&difference.moved))?;
        writeln!(out, "    warning: their new schedulers wait for reports before they grant")?;
    }
    if difference.is_empty() {
        writeln!(out, "no other differences")?;
    }
    Ok(())
}
