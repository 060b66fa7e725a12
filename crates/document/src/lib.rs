//! The operators' document: names, model, checks, groups of backend servers, service orders.
//!
//! The crate holds plain data and does no I/O. [`load::parse`] turns bytes into a checked
//! [`model::Document`] or returns every fault; [`catalog::Catalog`] indexes the result.

pub mod advice;
pub mod build;
pub mod catalog;
pub mod collections;
pub mod difference;
pub mod digest;
mod encoding;
pub mod group;
pub mod load;
pub mod model;
pub mod name;
pub mod number;
pub mod order;
pub mod parts;
