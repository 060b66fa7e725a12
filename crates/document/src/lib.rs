//! The operators' document: names, model, checks, groups of backend servers, service orders.
//!
//! Everything here is plain data without I/O. [`load::parse`] turns bytes into a checked
//! [`model::Document`] or into the whole list of faults; [`catalog::Catalog`] indexes the result.

pub mod advice;
pub mod catalog;
pub mod collections;
pub mod difference;
pub mod digest;
mod form;
pub mod group;
pub mod load;
pub mod model;
pub mod name;
pub mod number;
pub mod order;
pub mod parts;
