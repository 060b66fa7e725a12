//! Formats the outcome of an order.

use std::io::{self, Write};

use hyssop_document::order::{State, Target};
use hyssop_operator::outcome::{Conflict, Order};

use super::{list, write_not_reached};

/// Writes the outcome of an order.
pub(crate) fn write(
    target: &Target,
    out_of_service: bool,
    outcome: &Order,
    out: &mut dyn Write,
) -> io::Result<()> {
    match outcome {
        Order::InForce(confirmation) => {
            let preposition = if out_of_service { "out of" } else { "in" };
            let revision = confirmation.state.revision;
            writeln!(out, "{target} is {preposition} service, orders revision {revision}")?;
            writeln!(out, "in force on {}", list(&confirmation.in_force))?;
            write_not_reached(&confirmation.not_reached, out)?;
            write_state(&confirmation.state, out)
        }
        Order::Conflict(Conflict { if_revision, state }) => {
            let expected = if_revision.map_or("none".to_owned(), |revision| revision.to_string());
            let in_force = state.revision;
            writeln!(
                out,
                "conflict: nothing was changed, revision {in_force} is in force, not {expected}"
            )?;
            write_state(state, out)
        }
        Order::UnknownTarget(unknown) => {
            writeln!(out, "unknown {}: nothing was changed: {}", unknown.target, unknown.message)
        }
        Order::Undecided(undecided) => {
            writeln!(out, "undecided: {target} may have changed or not: {}", undecided.message)?;
            writeln!(out, "the status shows which orders are in force")
        }
    }
}

/// Writes the availability zones and hosts that are out of service.
pub(crate) fn write_state(state: &State, out: &mut dyn Write) -> io::Result<()> {
    let zones = list(&state.zones_out);
    let hosts = list(&state.hosts_out);
    writeln!(out, "out of service: zones: {zones}; hosts: {hosts}")
}
