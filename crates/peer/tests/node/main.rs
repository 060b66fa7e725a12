//! Nodes in one process, on loopback.

mod cluster;
mod support;
