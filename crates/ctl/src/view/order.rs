//! The outcome of an order.

use std::io::{self, Write};

use hyssop_document::order::{State, Target};
use hyssop_operator::outcome::{Conflict, Order};

use super::{list, partial};

/// Writes what became of an order.
pub(crate) fn write(
    target: &Target,
    leaves: bool,
    outcome: &Order,
    out: &mut dyn Write,
) -> io::Result<()> {
    match outcome {
        Order::InForce(confirmation) => {
            let place = if leaves { "out of" } else { "in" };
            let revision = confirmation.state.revision;
            writeln!(out, "{target} is {place} service, orders revision {revision}")?;
            writeln!(out, "in force on {}", list(&confirmation.in_force))?;
            partial(&confirmation.not_reached, out)?;
            write_state(&confirmation.state, out)
        }
        Order::Conflict(Conflict { if_revision, state }) => {
            let seen = if_revision.map_or("none".to_owned(), |revision| revision.to_string());
            let now = state.revision;
            writeln!(out, "conflict: nothing was changed, revision {now} is in force, not {seen}")?;
            write_state(state, out)
        }
        Order::UnknownTarget(unknown) => {
            writeln!(out, "unknown {}: nothing was changed: {}", unknown.target, unknown.message)
        }
        Order::Undecided(undecided) => {
            writeln!(out, "undecided: {target} may have changed or not: {}", undecided.message)?;
            writeln!(out, "the status tells which orders are in force")
        }
    }
}

/// Writes what is out of service.
pub(crate) fn write_state(state: &State, out: &mut dyn Write) -> io::Result<()> {
    let zones = list(&state.zones_out);
    let hosts = list(&state.hosts_out);
    writeln!(out, "out of service: zones: {zones}; hosts: {hosts}")
}
