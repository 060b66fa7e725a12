//! Formats the status of the fleet.

use std::{
    collections::BTreeMap,
    io::{self, Write},
};

use hyssop_document::{catalog::Catalog, group::Group, name};
use hyssop_operator::status::{Fleet, Host, Published, Queue, Rejected, Scheduler, State};

use super::{duration, list, order, write_not_reached, yes_no};
use crate::table::{Align, Table};

/// Writes the status. `all` lists every backend server, not only those that are not warm.
pub(crate) fn write(
    fleet: &Fleet,
    catalog: Option<&Catalog>,
    all: bool,
    out: &mut dyn Write,
) -> io::Result<()> {
    writeln!(out, "answered by {}", fleet.answered_by)?;
    write_not_reached(&fleet.not_reached, out)?;
    writeln!(out, "orders revision {}", fleet.orders.revision)?;
    order::write_state(&fleet.orders, out)?;
    write_notes(fleet, catalog, out)?;
    writeln!(out)?;
    write_hosts(fleet, out)?;
    writeln!(out)?;
    write_groups(fleet, out)?;
    writeln!(out)?;
    write_backends(fleet, all, out)
}

fn write_notes(fleet: &Fleet, catalog: Option<&Catalog>, out: &mut dyn Write) -> io::Result<()> {
    write_revisions("document", fleet, |host| host.document, out)?;
    write_revisions("orders", fleet, |host| Some(host.orders), out)?;
    write_host_notes(fleet, out)?;
    let mut schedulers: BTreeMap<&Group, Vec<&name::Host>> = BTreeMap::new();
    let groups = catalog.map(Catalog::groups).unwrap_or_default();
    schedulers.extend(groups.iter().map(|members| (&members.group, Vec::new())));
    for (host, scheduler) in fleet.schedulers() {
        schedulers.entry(&scheduler.group).or_default().push(host);
    }
    for (group, hosts) in schedulers {
        match hosts.len() {
            0 => writeln!(out, "note: no scheduler with votes was reached for group {group}")?,
            1 => {}
            _ => writeln!(out, "note: group {group} has several schedulers: {}", list(hosts))?,
        }
    }
    Ok(())
}

/// Writes rejected and conflicting values, and the hosts that do not reach the platform.
fn write_host_notes(fleet: &Fleet, out: &mut dyn Write) -> io::Result<()> {
    for host in &fleet.hosts {
        let values = [("rejected", &host.rejected), ("conflict", &host.conflict)];
        for (what, rejected) in values {
            let Some(rejected) = rejected else { continue };
            let Rejected { value, source, fault_count, faults } = rejected;
            writeln!(
                out,
                "note: {what} on {}: {value} from {source}: {fault_count} faults",
                host.host
            )?;
            faults.iter().try_for_each(|fault| writeln!(out, "    {fault}"))?;
        }
    }
    let unreached = fleet.hosts.iter().filter(|host| !host.platform).map(|host| &host.host);
    let unreached: Vec<_> = unreached.collect();
    if unreached.is_empty() {
        return Ok(());
    }
    writeln!(out, "note: the platform is not reached by {}", list(unreached))
}

/// Writes the revision on each host, if the revisions differ.
fn write_revisions(
    what: &str,
    fleet: &Fleet,
    published: impl Fn(&Host) -> Option<Published>,
    out: &mut dyn Write,
) -> io::Result<()> {
    let mut hosts: BTreeMap<String, Vec<&name::Host>> = BTreeMap::new();
    for host in &fleet.hosts {
        hosts.entry(revision(published(host))).or_default().push(&host.host);
    }
    if hosts.len() < 2 {
        return Ok(());
    }
    let parts: Vec<_> = hosts
        .into_iter()
        .map(|(revision, hosts)| format!("{revision} on {}", list(hosts)))
        .collect();
    writeln!(out, "note: {what} revisions differ: {}", parts.join("; "))
}

/// The revision with the start of the digest, which distinguishes two values of one revision.
fn revision(published: Option<Published>) -> String {
    match published {
        Some(published) => {
            format!("{} ({:08x})", published.revision, published.digest.short() >> 32)
        }
        None => "none".to_owned(),
    }
}

fn write_hosts(fleet: &Fleet, out: &mut dyn Write) -> io::Result<()> {
    let mut table = Table::new(&[
        ("HOST", Align::Left),
        ("ZONE", Align::Left),
        ("ADDRESS", Align::Left),
        ("READY", Align::Left),
        ("LEAVING", Align::Left),
        ("DOCUMENT", Align::Left),
        ("ORDERS", Align::Left),
        ("RUNNING", Align::Right),
        ("UPTIME", Align::Right),
        ("INCARNATION", Align::Left),
    ]);
    for host in &fleet.hosts {
        table.row([
            host.host.to_string(),
            host.zone.to_string(),
            host.caller_address.to_string(),
            yes_no(host.ready),
            yes_no(host.leaving),
            revision(host.document),
            revision(Some(host.orders)),
            host.running.to_string(),
            duration(host.uptime_ms),
            host.incarnation.to_string(),
        ]);
    }
    table.write(out)
}

fn write_groups(fleet: &Fleet, out: &mut dyn Write) -> io::Result<()> {
    let mut table = Table::new(&[
        ("GROUP", Align::Left),
        ("SCHEDULER", Align::Left),
        ("VOTES", Align::Right),
        ("BACKENDS", Align::Right),
        ("RUNNING", Align::Right),
        ("WAITING", Align::Left),
    ]);
    for (host, scheduler) in fleet.schedulers() {
        let running: u32 = scheduler.backends.iter().map(|backend| backend.running).sum();
        table.row([
            scheduler.group.to_string(),
            host.to_string(),
            format!("{}/{}", scheduler.votes, scheduler.listed),
            scheduler.backends.len().to_string(),
            running.to_string(),
            waiting(scheduler),
        ]);
    }
    table.write(out)
}

fn waiting(scheduler: &Scheduler) -> String {
    let queues = scheduler.queues.iter().filter(|queue| queue.waiting > 0);
    list(queues.map(|Queue { class, waiting }| format!("{class} {waiting}")))
}

fn write_backends(fleet: &Fleet, all: bool, out: &mut dyn Write) -> io::Result<()> {
    let mut counts: BTreeMap<State, usize> = BTreeMap::new();
    let mut table = Table::new(&[
        ("BACKEND", Align::Left),
        ("GROUP", Align::Left),
        ("ZONE", Align::Left),
        ("STATE", Align::Left),
        ("RUNNING", Align::Right),
        ("LIMIT", Align::Right),
        ("SHARE", Align::Right),
        ("REPORTED", Align::Right),
    ]);
    for (_, scheduler) in fleet.schedulers() {
        for backend in &scheduler.backends {
            *counts.entry(backend.state).or_default() += 1;
            if backend.state == State::Warm && !all {
                continue;
            }
            table.row([
                backend.backend.to_string(),
                scheduler.group.to_string(),
                backend.zone.to_string(),
                backend.state.to_string(),
                backend.running.to_string(),
                backend.limit.to_string(),
                backend.share.to_string(),
                backend.reported.map_or("-".to_owned(), |reported| reported.to_string()),
            ]);
        }
    }
    let counts = list(counts.iter().map(|(state, count)| format!("{count} {state}")));
    writeln!(out, "backend servers: {counts}")?;
    if table.is_empty() { Ok(()) } else { table.write(out) }
}
