//! Nodes in one process, on loopback.

mod cluster;
mod failure;
mod loads;
mod support;
mod values;
