//! Messages between daemons over TCP.

use hyssop_document::{
    group::Group,
    name,
    number::{Incarnation, Tokens},
};
use hyssop_policy::{
    decision::Refusal,
    entry::{Entry, Ticket},
    permit::{self, LimitHint, Permit, Release, Running},
};
use serde::{Deserialize, Serialize};

use crate::{identity::Process, vote::Vote};

/// A request that needs a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The group whose backend servers may run the request.
    pub group: Group,
    /// The class of the request.
    pub class: name::Class,
    /// The workspace of the caller.
    pub workspace: name::Workspace,
    /// The time left until the complete response is due, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// The output limit that the caller set.
    pub max_output: Option<Tokens>,
    /// A hash of the beginning of the prompt, for placement by cached prefix.
    pub prefix: Option<u64>,
    /// Whether the request is suspected of crashing backend servers.
    pub suspect: bool,
    /// Backend servers that the request must not be sent to.
    pub exclude: Vec<name::Backend>,
}

/// A [`PermitRequest`] as its home submits it to the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The number of the request, unique within its home process.
    pub number: u64,
    /// The process that the caller is connected to.
    pub home: Process,
    /// The availability zone of the home.
    pub zone: name::Zone,
    /// The scheduler process that is addressed. A later process on that host rejects the request.
    pub scheduler: Incarnation,
    /// The request itself.
    pub request: PermitRequest,
}

impl Submission {
    /// The scheduler's queue entry for the request.
    pub fn entry(&self, ticket: Ticket) -> Entry {
        let request = self.request.clone();
        Entry {
            ticket,
            home: self.home.host.clone(),
            home_incarnation: self.home.incarnation,
            zone: self.zone.clone(),
            class: request.class,
            workspace: request.workspace,
            remaining_ms: request.remaining_ms,
            prompt_tokens: request.prompt_tokens,
            max_output: request.max_output,
            prefix: request.prefix,
            suspect: request.suspect,
            exclude: request.exclude,
        }
    }
}

/// The reply to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may run.
    Granted(Permit),
    /// The request may not run. It did not run.
    Refused(Refusal),
    /// No scheduler is available. The request did not run.
    NoScheduler {
        /// The delay before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A change in the use of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The total number of output tokens received so far.
    Progress(permit::Id, Tokens),
    /// The permit is no longer in use.
    Release(Release),
}

/// Events of one group, in order of occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The group of all permits in the batch.
    pub group: Group,
    /// The events, oldest first.
    pub events: Vec<Event>,
}

/// A consistent snapshot of one home's requests and permits in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting process.
    pub home: Process,
    /// The scheduler process that is addressed.
    pub scheduler: Incarnation,
    /// The reported group.
    pub group: Group,
    /// The vote that the report belongs to.
    pub vote: Vote,
    /// The number of the last request for which the home requested a permit.
    pub last_request_number: u64,
    /// The numbers of the requests that wait for a permit.
    pub waiting: Vec<u64>,
    /// The permits in use.
    pub permits: Vec<permit::Id>,
    /// State that only a new scheduler needs. `None` if this scheduler has received it before.
    pub full: Option<FullState>,
}

/// The part of a report that only a new scheduler needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullState {
    /// The permits in use.
    pub running: Vec<Running>,
    /// Limits of backend servers from recent permits.
    pub observed_limits: Vec<LimitHint>,
}

/// The scheduler's reply to a [`Report`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Whether the report reached the scheduler process that it addresses.
    pub reached_scheduler: bool,
    /// Whether the scheduler counts every permit of the report.
    pub all_counted: bool,
    /// Whether the scheduler holds the vote that the report belongs to and has marked it as
    /// reported.
    pub vote_recorded: bool,
}
