//! Remote calls between daemons over TCP.

// The code that the service macro generates cannot be documented.
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

/// The calls that a daemon serves to its peers.
#[tarpc::service]
pub trait Peer {
    /// Introduces the calling daemon. Returns the identity of the called one.
    async fn hello(identity: Identity) -> Identity;
    /// Requests a permit and waits for the decision. `None` if this process is not the scheduler
    /// that the submission addresses.
    async fn request_permit(submission: Submission) -> Option<PermitReply>;
    /// Delivers events of permits in use.
    async fn events(batch: Batch) -> ();
    /// Reports the requests and permits of the calling home.
    async fn report(report: Report) -> Receipt;
    /// Fetches the document in force, as published.
    async fn document() -> Option<Bytes>;
    /// Fetches the service orders in force.
    async fn orders() -> order::State;
    /// Fetches the list of hosts in use.
    async fn list() -> List;
    /// Offers service orders. Returns the stamp of the orders in force after the offer.
    async fn offer_orders(state: order::State) -> Stamp;
    /// Carries out an operator's order. `caller_orders` are the orders in force on the calling
    /// daemon.
    async fn order(order: order::Order, caller_orders: order::State) -> Outcome;
    /// Fetches all notices.
    async fn notices() -> Vec<Notice>;
    /// Offers notices.
    async fn offer_notices(notices: Vec<Notice>) -> ();
    /// Queries a topic; see [`crate::QueryHandler`].
    async fn query(topic: CompactString) -> Bytes;
    /// Fetches the status of the daemon.
    async fn status() -> Status;
}
