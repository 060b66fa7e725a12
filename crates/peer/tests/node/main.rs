//! Nodes in one process, on loopback.

mod cluster;
mod confirm;
mod failure;
mod loads;
mod support;
mod values;
