//! Quarantine of requests that crash backend servers.

use hyssop_document::digest::Digest;

/// A hash of a request's workspace, path and the fields of its body that affect its execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(workspace: &str, path: &str, body: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(workspace.len() + path.len() + body.len() + 2);
        bytes.extend_from_slice(workspace.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(path.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(body);
        Self(Digest::of(&bytes).short())
    }
}

/// Whether and how requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The fingerprint has no record.
    Clear,
    /// A backend server crashed while the request ran. The request runs without other suspects.
    Suspect,
    /// The request is not run any more.
    Quarantined,
}

/// Crash records by fingerprint, shared with the other daemons.
pub trait Quarantine: Send + Sync {
    /// The status of a fingerprint, [`Status::Clear`] if it has no record.
    fn status(&self, fingerprint: Fingerprint) -> Status;

    /// Attributes one crash to a fingerprint and returns its new status.
    ///
    /// `solo` states that no other suspect was running on the backend server.
    fn blame(&self, fingerprint: Fingerprint, solo: bool) -> Status;

    /// Clears a suspect that ran to its end without other suspects.
    fn clear_suspect(&self, fingerprint: Fingerprint);
}

/// A quarantine that records nothing: every request stays clear.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disabled;

impl Quarantine for Disabled {
    fn status(&self, _fingerprint: Fingerprint) -> Status {
        Status::Clear
    }

    fn blame(&self, _fingerprint: Fingerprint, _solo: bool) -> Status {
        Status::Clear
    }

    fn clear_suspect(&self, _fingerprint: Fingerprint) {}
}
