//! Commands that send requests to a daemon.

use std::io::Write;

use hyssop_document::{catalog::Catalog, number::Revision, order};
use hyssop_operator::{client::Client, histogram::Filter, outcome, quarantine::Fingerprint};

use super::write_json;
use crate::{
    arguments::{self, Command, Order, Quarantine, Target},
    connection,
    error::Error,
    exit::Exit,
    view,
};

/// Runs a command that sends requests to a daemon.
pub(super) fn run(
    command: Command,
    connection: &arguments::Connection,
    json: bool,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let client = connection::client(connection)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut fleet = Fleet { client, json, out };
    runtime.block_on(fleet.run(command))
}

struct Fleet<'a> {
    client: Client,
    json: bool,
    out: &'a mut dyn Write,
}

impl Fleet<'_> {
    async fn run(&mut self, command: Command) -> Result<Exit, Error> {
        match command {
            Command::Status { all } => self.status(all).await,
            Command::Zone { order } => {
                let (target, out) = into_target(order);
                self.order(order::Target::Zone(target.name), out, target.if_revision).await
            }
            Command::Host { order } => {
                let (target, out) = into_target(order);
                self.order(order::Target::Host(target.name), out, target.if_revision).await
            }
            Command::Histograms(arguments) => self.histograms(&arguments).await,
            Command::Quarantine { action: Some(Quarantine::Release { fingerprint }) } => {
                self.release(fingerprint).await
            }
            Command::Quarantine { .. } => self.quarantine().await,
            Command::Document => self.document().await,
            Command::Check { .. }
            | Command::Split { .. }
            | Command::Diff { .. }
            | Command::Explain { .. }
            | Command::Completions { .. } => unreachable!("these commands send no requests"),
        }
    }

    async fn status(&mut self, all: bool) -> Result<Exit, Error> {
        let fleet = self.client.status().await?;
        if self.json {
            write_json(&fleet, self.out)?;
            return Ok(Exit::Success);
        }
        // The document is only needed to note groups without a scheduler, so a failure is ignored.
        let document = self.client.document().await.ok();
        let catalog = document.and_then(|bytes| Catalog::parse(bytes).ok());
        view::status::write(&fleet, catalog.as_ref(), all, self.out)?;
        Ok(Exit::Success)
    }

    async fn order(
        &mut self,
        target: order::Target,
        out: bool,
        if_revision: Option<Revision>,
    ) -> Result<Exit, Error> {
        let if_revision = match if_revision {
            Some(revision) => revision,
            None => self.client.orders().await?.revision,
        };
        let outcome = self.client.apply_order(target.clone(), out, Some(if_revision)).await?;
        if self.json {
            write_json(&outcome, self.out)?;
        } else {
            view::order::write(&target, out, &outcome, self.out)?;
        }
        Ok(match outcome {
            outcome::Order::InForce(_) => Exit::Success,
            outcome::Order::Conflict(_) | outcome::Order::UnknownTarget(_) => Exit::Refused,
            outcome::Order::Undecided(_) => Exit::Failure,
        })
    }

    async fn histograms(&mut self, arguments: &arguments::Histograms) -> Result<Exit, Error> {
        let filter =
            Filter { class: arguments.class.clone(), workspace: arguments.workspace.clone() };
        let report = self.client.histograms(&filter).await?;
        if self.json {
            write_json(&report, self.out)?;
        } else {
            view::histograms::write(&report, arguments.buckets, self.out)?;
        }
        Ok(Exit::Success)
    }

    async fn quarantine(&mut self) -> Result<Exit, Error> {
        let report = self.client.quarantine().await?;
        if self.json {
            write_json(&report, self.out)?;
        } else {
            view::quarantine::write(&report, self.out)?;
        }
        Ok(Exit::Success)
    }

    async fn release(&mut self, fingerprint: Fingerprint) -> Result<Exit, Error> {
        let release = self.client.release(fingerprint).await?;
        if self.json {
            write_json(&release, self.out)?;
        } else {
            view::quarantine::write_release(&release, self.out)?;
        }
        Ok(if release.released { Exit::Success } else { Exit::Refused })
    }

    async fn document(&mut self) -> Result<Exit, Error> {
        let document = self.client.document().await?;
        self.out.write_all(&document)?;
        if !document.ends_with(b"\n") {
            self.out.write_all(b"\n")?;
        }
        Ok(Exit::Success)
    }
}

/// The target of an order, and whether the order takes it out of service.
fn into_target<N: arguments::TargetName>(order: Order<N>) -> (Target<N>, bool) {
    match order {
        Order::Out(target) => (target, true),
        Order::In(target) => (target, false),
    }
}
