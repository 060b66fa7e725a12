//! The way to a group's task.

use std::sync::Arc;

use hyssop_document::group::Group;
use hyssop_policy::status::Status;
use tokio::sync::{mpsc, oneshot};

use super::Task;
use crate::{
    identity::Process,
    message::{Batch, PermitReply, Receipt, Report, Submission},
    node::Shared,
};

/// What the task is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Queue a request.
    Ask { request: Box<Submission>, reply: oneshot::Sender<PermitReply> },
    /// Forget a request whose home has gone.
    Cancel { home: Process, number: u64 },
    /// Take in what happened to permits.
    Events(Batch),
    /// Take in what a home holds.
    Report { report: Box<Report>, reply: oneshot::Sender<Receipt> },
    /// Forget a home whose process has ended.
    Ended(Process),
    /// Decide anew, for votes have changed.
    Wake,
    /// Tell the state.
    Status(oneshot::Sender<Status>),
}

/// The way to a group's task.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    commands: mpsc::UnboundedSender<Command>,
}

impl Handle {
    /// Starts the task of a group. `slot` is its number among the tasks of this process.
    pub(crate) fn start(shared: Arc<Shared>, group: Group, slot: u64) -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        let changes = shared.changes.subscribe();
        let task = Task::new(shared, group, slot);
        tokio::spawn(task.run(received, changes));
        Self { commands }
    }

    /// Tells the task something.
    pub(crate) fn send(&self, command: Command) {
        // The task ends only with the node.
        let _ = self.commands.send(command);
    }

    /// Queues a request and waits for the verdict. Dropping the future forgets the request.
    pub(crate) async fn ask(&self, request: Submission) -> Option<PermitReply> {
        let (reply, verdict) = oneshot::channel();
        let home = request.home.clone();
        let mut guard = Guard { handle: self, home, number: request.number, done: false };
        self.send(Command::Ask { request: Box::new(request), reply });
        let verdict = verdict.await.ok();
        guard.done = true;
        verdict
    }

    /// Tells what a home holds.
    pub(crate) async fn report(&self, report: Report) -> Option<Receipt> {
        let (reply, receipt) = oneshot::channel();
        self.send(Command::Report { report: Box::new(report), reply });
        receipt.await.ok()
    }

    /// The state of the scheduler.
    pub(crate) async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.send(Command::Status(reply));
        status.await.ok()
    }
}

/// Cancels a request when the wait for its verdict is dropped.
struct Guard<'a> {
    handle: &'a Handle,
    home: Process,
    number: u64,
    done: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.handle.send(Command::Cancel { home: self.home.clone(), number: self.number });
        }
    }
}
