//! Commands on files with documents.

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
};

use hyssop_document::{catalog::Catalog, difference::Difference, load::Fault};
use hyssop_operator::check::Report;
use serde::Serialize;

use super::write_json;
use crate::{error::Error, exit::Exit, view};

#[derive(Serialize)]
struct Checked<'a> {
    file: &'a Path,
    #[serde(flatten)]
    report: Report,
}

/// Checks each file and tells every fault.
pub(super) fn check(files: &[PathBuf], json: bool, out: &mut dyn Write) -> Result<Exit, Error> {
    let mut valid = true;
    let mut reports = Vec::new();
    for file in files {
        let result = read(file)?;
        valid &= result.is_ok();
        if json {
            reports.push(Checked { file, report: Report::new(result) });
        } else {
            view::check::write(file, &result, out)?;
        }
    }
    if json {
        write_json(&reports, out)?;
    }
    Ok(if valid { Exit::Success } else { Exit::Refused })
}

/// Tells what changes from one file to another.
pub(super) fn diff(old: &Path, new: &Path, json: bool, out: &mut dyn Write) -> Result<Exit, Error> {
    let difference = Difference::between(&valid(old)?, &valid(new)?);
    if json {
        write_json(&difference, out)?;
    } else {
        view::diff::write(&difference, out)?;
    }
    Ok(Exit::Success)
}

fn read(path: &Path) -> Result<Result<Catalog, Vec<Fault>>, Error> {
    let bytes = fs::read(path).map_err(|error| Error::File { path: path.to_owned(), error })?;
    Ok(Catalog::parse(bytes))
}

fn valid(path: &Path) -> Result<Catalog, Error> {
    read(path)?.map_err(|faults| Error::Document { path: path.to_owned(), faults })
}
