//! Commands on document files.

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
};

use hyssop_document::{
    catalog::Catalog,
    difference::Difference,
    digest::Digest,
    load::Fault,
    parts::{Assembly, Bundle},
};
use hyssop_operator::check::Report;
use serde::Serialize;

use super::write_json;
use crate::{error::Error, exit::Exit, view};

#[derive(Serialize)]
struct FileReport<'a> {
    file: &'a Path,
    #[serde(flatten)]
    report: Report,
}

/// Checks each file and prints every fault.
pub(super) fn check(
    files: &[PathBuf],
    parts: Option<&Path>,
    json: bool,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let mut valid = true;
    let mut reports = Vec::new();
    for file in files {
        let result = read(file, parts)?;
        valid &= result.is_ok();
        if json {
            reports.push(FileReport { file, report: Report::new(result) });
        } else {
            view::check::write(file, &result, out)?;
        }
    }
    if json {
        write_json(&reports, out)?;
    }
    Ok(if valid { Exit::Success } else { Exit::Refused })
}

/// Prints the differences between two files.
pub(super) fn diff(
    [old, new]: [&Path; 2],
    parts: Option<&Path>,
    json: bool,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let difference = Difference::between(&read_valid(old, parts)?, &read_valid(new, parts)?);
    if json {
        write_json(&difference, out)?;
    } else {
        view::diff::write(&difference, out)?;
    }
    Ok(Exit::Success)
}

/// Splits a file into a document and its parts, and writes them to the directory `into`.
pub(super) fn split(
    file: &Path,
    into: &Path,
    count: Option<u16>,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let split = Bundle::split(&read_bytes(file)?, count.map(usize::from));
    let published = split.map_err(|faults| Error::Document { path: file.to_owned(), faults })?;
    let parts = into.join("parts");
    fs::create_dir_all(&parts).map_err(|error| Error::File { path: parts.clone(), error })?;
    // The document is written last, so that a directory with a document has all its parts.
    for part in &published.parts {
        write_file(&parts.join(Digest::of(part).to_string()), part)?;
    }
    write_file(&into.join("document"), &published.bytes)?;
    let (count, length) = (published.parts.len(), published.bytes.len());
    writeln!(out, "{count} parts and a document of {length} bytes in {}", into.display())?;
    Ok(Exit::Success)
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    fs::write(path, bytes).map_err(|error| Error::File { path: path.to_owned(), error })
}

fn read_bytes(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|error| Error::File { path: path.to_owned(), error })
}

/// Reads a document and its parts from the directory `parts`. The inner result has the faults of
/// the document.
fn read(path: &Path, parts: Option<&Path>) -> Result<Result<Catalog, Vec<Fault>>, Error> {
    let mut assembly = match Assembly::new(read_bytes(path)?) {
        Ok(assembly) => assembly,
        Err(faults) => return Ok(Err(faults)),
    };
    if let Some(directory) = parts {
        for digest in assembly.missing() {
            let path = directory.join(digest.to_string());
            // A part that cannot be read or has another digest is reported as a fault by `finish`.
            let Ok(bytes) = fs::read(path) else { continue };
            assembly.add(bytes).ok();
        }
    }
    Ok(assembly.finish())
}

fn read_valid(path: &Path, parts: Option<&Path>) -> Result<Catalog, Error> {
    read(path, parts)?.map_err(|faults| Error::Document { path: path.to_owned(), faults })
}
