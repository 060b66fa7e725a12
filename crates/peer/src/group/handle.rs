//! Handle of a group's task.

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

/// A command for the task of a group.
#[derive(Debug)]
pub(crate) enum Command {
    /// Adds a request to the queue.
    Submit { submission: Box<Submission>, reply: oneshot::Sender<PermitReply> },
    /// Cancels a request whose home no longer waits for the reply.
    Cancel { home: Process, number: u64 },
    /// Applies events of permits in use.
    Events(Batch),
    /// Compares a home's report with the permits counted for it.
    Report { report: Box<Report>, reply: oneshot::Sender<Receipt> },
    /// Drops the requests and permits of a home whose process has ended.
    ProcessEnded(Process),
    /// Polls the scheduler, as votes may have changed.
    Poll,
    /// Returns the status of the scheduler.
    Status(oneshot::Sender<Status>),
}

/// Sends commands to a group's task.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    commands: mpsc::UnboundedSender<Command>,
}

impl Handle {
    /// Starts the task of a group. `slot` identifies it among the tasks of this process.
    pub(crate) fn start(shared: Arc<Shared>, group: Group, slot: u64) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let changes = shared.changes.subscribe();
        let task = Task::new(shared, group, slot);
        tokio::spawn(task.run(receiver, changes));
        Self { commands }
    }

    pub(crate) fn send(&self, command: Command) {
        // Sending fails only after the node has ended.
        let _ = self.commands.send(command);
    }

    /// Queues a request and waits for the reply. Dropping the future cancels the request.
    pub(crate) async fn submit(&self, submission: Submission) -> Option<PermitReply> {
        let (reply, receiver) = oneshot::channel();
        let home = submission.home.clone();
        let mut guard =
            CancelGuard { handle: self, home, number: submission.number, replied: false };
        self.send(Command::Submit { submission: Box::new(submission), reply });
        let reply = receiver.await.ok();
        guard.replied = true;
        reply
    }

    /// Delivers a report of a home.
    pub(crate) async fn report(&self, report: Report) -> Option<Receipt> {
        let (reply, receipt) = oneshot::channel();
        self.send(Command::Report { report: Box::new(report), reply });
        receipt.await.ok()
    }

    /// The status of the scheduler.
    pub(crate) async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.send(Command::Status(reply));
        status.await.ok()
    }
}

/// Cancels a request when the wait for its reply is dropped.
struct CancelGuard<'a> {
    handle: &'a Handle,
    home: Process,
    number: u64,
    replied: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.replied {
            self.handle.send(Command::Cancel { home: self.home.clone(), number: self.number });
        }
    }
}
