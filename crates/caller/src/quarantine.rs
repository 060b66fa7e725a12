//! Requests that crash backend servers, as the home deals with them.

use hyssop_document::digest::Digest;

/// The fingerprint of a request: its workspace, its path and the essence of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request of a workspace.
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

/// How a fingerprint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Nothing is known against it.
    Clear,
    /// It ran where a backend server died, and runs alone from now on.
    Suspect,
    /// It is not run any more.
    Quarantined,
}

/// The records of suspects, shared with the other daemons.
pub trait Quarantine: Send + Sync {
    /// How a fingerprint stands.
    fn status(&self, fingerprint: Fingerprint) -> Status;

    /// Blames a fingerprint for a crash, where it ran alone or beside others.
    fn blame(&self, fingerprint: Fingerprint, solo: bool) -> Status;

    /// Clears a fingerprint that ran alone to its end.
    fn clear_suspect(&self, fingerprint: Fingerprint);
}

/// Records nothing, so that every request stays clear.
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
