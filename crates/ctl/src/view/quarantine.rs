//! Formats quarantined requests.

use std::io::{self, Write};

use hyssop_operator::quarantine::{Release, Report};

use super::{duration, list, write_not_reached};
use crate::table::{Align, Table};

/// Writes the quarantined requests as a table.
pub(crate) fn write(report: &Report, out: &mut dyn Write) -> io::Result<()> {
    let mut table = Table::new(&[
        ("FINGERPRINT", Align::Left),
        ("WORKSPACE", Align::Left),
        ("POOL", Align::Left),
        ("CRASHES", Align::Right),
        ("EXPIRES IN", Align::Right),
    ]);
    for entry in &report.entries {
        table.row([
            entry.fingerprint.to_string(),
            entry.workspace.as_ref().map_or("-".to_owned(), ToString::to_string),
            entry.pool.as_ref().map_or("-".to_owned(), ToString::to_string),
            entry.crashes.to_string(),
            duration(entry.expires_in_ms),
        ]);
    }
    if table.is_empty() {
        return writeln!(out, "no quarantined requests");
    }
    table.write(out)
}

/// Writes the outcome of a release.
pub(crate) fn write_release(release: &Release, out: &mut dyn Write) -> io::Result<()> {
    let fingerprint = release.fingerprint;
    if !release.released {
        return writeln!(out, "{fingerprint} is not quarantined");
    }
    writeln!(out, "{fingerprint} may run again on {}", list(&release.in_force))?;
    write_not_reached(&release.not_reached, out)
}
