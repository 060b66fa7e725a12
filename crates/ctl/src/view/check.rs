//! Formats the result of a check.

use std::{
    io::{self, Write},
    path::Path,
};

use hyssop_document::{advice, catalog::Catalog, load::Fault};

/// Writes one line and the advice for a document without faults, else one line for each fault.
pub(crate) fn write(
    file: &Path,
    result: &Result<Catalog, Vec<Fault>>,
    out: &mut dyn Write,
) -> io::Result<()> {
    let file = file.display();
    match result {
        Ok(catalog) => {
            writeln!(out, "{file}: no faults: {}", summary(catalog))?;
            let notes = advice::notes(catalog);
            notes.iter().try_for_each(|note| writeln!(out, "{file}: note: {note}"))
        }
        Err(faults) => faults.iter().try_for_each(|fault| writeln!(out, "{file}: {fault}")),
    }
}

fn summary(catalog: &Catalog) -> String {
    let document = catalog.document();
    format!(
        "environment {}, revision {}, {} classes, {} workspaces, {} zones, {} pools, \
         {} backend servers in {} groups",
        document.environment,
        document.revision,
        document.classes.len(),
        document.workspaces.len(),
        document.zones.len(),
        document.pools.len(),
        document.backends.len(),
        catalog.groups().len(),
    )
}
