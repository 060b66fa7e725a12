//! Nodes in one process, on loopback.

mod cluster;
mod failure;
mod support;
mod values;
