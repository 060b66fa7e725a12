//! Adapters that implement the traits of one crate with the types of another, so that the crates do
//! not depend on each other.

pub(crate) mod backends;
pub(crate) mod directory;
pub(crate) mod handler;
pub(crate) mod loads;
pub(crate) mod observer;
pub(crate) mod permits;
pub(crate) mod platform;
pub(crate) mod quarantine;
pub(crate) mod status;
