//! Accepts connections of peers and serves their calls.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use futures::StreamExt as _;
use hyssop_document::order;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel as _, Config},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use super::Shared;
use crate::{
    codec::{self, Postcard},
    current::Source,
    group::Command,
    hosts::List,
    identity::Identity,
    message::{Batch, PermitReply, Receipt, Report, Submission},
    notice::Notice,
    order::Outcome,
    rpc::Peer,
    status::Status,
    wire::Stamp,
};

/// The limit of responses that wait to be written to one connection.
const MAX_PENDING_RESPONSES: usize = 1000;
/// The delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the node ends. To peers, a refused connection proves that the process has
/// ended, so the listener is not closed before.
pub(super) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(Arc::clone(&shared), stream));
                }
                Err(error) => {
                    log::warn!("connection of a peer not accepted error={error}");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("connection option not set error={error}");
    }
    let codec = Postcard::new(Arc::clone(&shared.meter));
    let transport = serde_transport::new(codec::framing().new_framed(stream), codec);
    let config = Config { pending_response_buffer: MAX_PENDING_RESPONSES };
    let channel = BaseChannel::new(config, transport);
    let mut calls = std::pin::pin!(channel.execute(Server { shared }.serve()));
    let mut running = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            call = calls.next() => match call {
                Some(call) => {
                    running.spawn(call);
                }
                None => return,
            },
            Some(_) = running.join_next(), if !running.is_empty() => {}
        }
    }
}

#[derive(Debug, Clone)]
struct Server {
    shared: Arc<Shared>,
}

impl Peer for Server {
    async fn hello(self, _: Context, identity: Identity) -> Identity {
        let shared = &self.shared;
        shared.core.lock().members.introduce(&identity, shared.now());
        shared.identity.clone()
    }

    async fn request_permit(self, _: Context, submission: Submission) -> Option<PermitReply> {
        if submission.scheduler != self.shared.identity.incarnation {
            return None;
        }
        self.shared.group(&submission.request.group).submit(submission).await
    }

    async fn events(self, _: Context, batch: Batch) {
        self.shared.group(&batch.group).send(Command::Events(batch));
    }

    async fn report(self, _: Context, report: Report) -> Receipt {
        if report.scheduler != self.shared.identity.incarnation {
            return Receipt::default();
        }
        let group = self.shared.group(&report.group);
        group.report(report).await.unwrap_or_default()
    }

    async fn document(self, _: Context) -> Option<Bytes> {
        self.shared.store.load().document.as_ref().map(|document| document.catalog.bytes().clone())
    }

    async fn orders(self, _: Context) -> order::State {
        (*self.shared.store.load().orders).clone()
    }

    async fn list(self, _: Context) -> List {
        self.shared.view.load().list.clone()
    }

    async fn offer_orders(self, _: Context, state: order::State) -> Stamp {
        self.shared.offer_orders(state, &Source::Operator);
        self.shared.store.load().orders_stamp
    }

    async fn order(self, _: Context, order: order::Order, caller_orders: order::State) -> Outcome {
        self.shared.apply_and_distribute(&order, caller_orders).await
    }

    async fn notices(self, _: Context) -> Vec<Notice> {
        self.shared.all_notices()
    }

    async fn offer_notices(self, _: Context, notices: Vec<Notice>) {
        self.shared.apply_notices(notices);
    }

    async fn query(self, _: Context, topic: CompactString) -> Bytes {
        self.shared.query_handler.respond(&topic).await
    }

    async fn status(self, _: Context) -> Status {
        self.shared.status().await
    }
}
