//! Messages between daemons over TCP.

use hyssop_document::{
    group::Group,
    name,
    number::{Incarnation, Tokens},
};
use hyssop_policy::{
    decision::Refusal,
    entry::{Entry, Ticket},
    permit::{self, Known, Permit, Release, Running},
};
use serde::{Deserialize, Serialize};

use crate::{identity::Process, vote::Vote};

/// A request that needs a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The group that the request may run in.
    pub group: Group,
    /// The class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The time left until the whole answer is due, in milliseconds.
    pub remaining_ms: u64,
    /// The estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// The longest answer that the caller asked for.
    pub max_output: Option<Tokens>,
    /// A hash of the beginning of the prompt.
    pub prefix: Option<u64>,
    /// Whether the request is suspected of crashing backend servers.
    pub solo: bool,
    /// The backend servers that must not get the request.
    pub exclude: Vec<name::Backend>,
}

/// An [`PermitRequest`] on its way from the request's home to the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The number of the request, counted by its home.
    pub number: u64,
    /// The home.
    pub home: Process,
    /// The availability zone of the home.
    pub zone: name::Zone,
    /// The scheduler's run that is meant. Another one refuses to answer.
    pub scheduler: Incarnation,
    /// What is asked for.
    pub request: PermitRequest,
}

impl Submission {
    /// The queue entry of the request.
    pub fn entry(&self, ticket: Ticket) -> Entry {
        let ask = self.request.clone();
        Entry {
            ticket,
            home: self.home.host.clone(),
            home_incarnation: self.home.incarnation,
            zone: self.zone.clone(),
            class: ask.class,
            workspace: ask.workspace,
            remaining_ms: ask.remaining_ms,
            prompt_tokens: ask.prompt_tokens,
            max_output: ask.max_output,
            prefix: ask.prefix,
            solo: ask.solo,
            exclude: ask.exclude,
        }
    }
}

/// The answer to an [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may run.
    Granted(Permit),
    /// The request may not run. It did not run.
    Refused(Refusal),
    /// No scheduler can be asked at present. The request did not run.
    NoScheduler {
        /// The time after which a new try makes sense, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What happened to the use of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Tokens arrived, so many in all.
    Progress(permit::Id, Tokens),
    /// The use ended.
    Release(Release),
}

/// Events of one group, in the order in which they happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The group.
    pub group: Group,
    /// The events.
    pub events: Vec<Event>,
}

/// What a home holds of a group, as of one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The home.
    pub home: Process,
    /// The scheduler's run that the report is for.
    pub scheduler: Incarnation,
    /// The group.
    pub group: Group,
    /// The vote that the report belongs to.
    pub vote: Vote,
    /// The number of the last request that the home asked a permit for.
    pub last_request_number: u64,
    /// The requests that still wait for a permit, by number.
    pub waiting: Vec<u64>,
    /// The permits in use.
    pub permits: Vec<permit::Id>,
    /// What a new scheduler must know besides. `None`: as reported before.
    pub full: Option<FullState>,
}

/// What only a new scheduler must know of a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullState {
    /// The permits in use.
    pub running: Vec<Running>,
    /// The limits of backend servers that were seen in permits lately.
    pub observed_limits: Vec<Known>,
}

/// What a scheduler made of a [`Report`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Whether the scheduler meant is this process.
    pub addressed: bool,
    /// Whether every permit in use is counted now.
    pub all_counted: bool,
    /// Whether the vote that the report belongs to has arrived, and stands as reported.
    pub vote_recorded: bool,
}
