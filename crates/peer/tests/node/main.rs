//! Tests of nodes that exchange messages over loopback.

mod backlog;
mod check_permit;
mod cluster;
mod failure;
mod loads;
mod support;
mod values;
