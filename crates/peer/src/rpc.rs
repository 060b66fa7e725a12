//! The calls between daemons over TCP.

// The service macro gives no way to document what it generates.
#![allow(missing_docs)]

use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::order;

use crate::{
    hosts::List,
    identity::Identity,
    message::{Batch, PermitReply, Receipt, Report, Submission},
    notice::Notice,
    order::Outcome,
    status::Status,
    wire::Stamp,
};

/// The calls that a daemon answers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Introduces the caller. Returns who answers.
    async fn hello(identity: Identity) -> Identity;
    /// Asks for a permit and waits for it. `None` if the scheduler meant is another process.
    async fn request_permit(request: Submission) -> Option<PermitReply>;
    /// Tells what happened to permits in use.
    async fn events(batch: Batch) -> ();
    /// Tells what the caller holds.
    async fn report(report: Report) -> Receipt;
    /// The document in force.
    async fn document() -> Option<Bytes>;
    /// The service orders in force.
    async fn orders() -> order::State;
    /// The list of hosts in use.
    async fn list() -> List;
    /// Offers service orders. Returns the stamp of those in force after it.
    async fn offer_orders(state: order::State) -> Stamp;
    /// Carries out an operator's order. `known` are the orders that the caller knows.
    async fn order(order: order::Order, known: order::State) -> Outcome;
    /// All notices.
    async fn notices() -> Vec<Notice>;
    /// Offers notices.
    async fn offer_notices(notices: Vec<Notice>) -> ();
    /// Asks about something that only the daemon around this package knows.
    async fn query(topic: CompactString) -> Bytes;
    /// The state of the daemon.
    async fn status() -> Status;
}
