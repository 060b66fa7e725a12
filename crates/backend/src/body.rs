//! The request body for an engine.

use bytes::Bytes;
use hyssop_document::number::Tier;
use serde_json::{Map, Value, json};

/// The error for a body that is not a JSON object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the body is no JSON object")]
pub struct Error;

/// Adds streaming, a usage report and the priority to a caller's body.
///
/// Every response is requested as a stream, so that each chunk carries the attempt id.
///
/// # Errors
///
/// Fails if the body is not a JSON object.
pub fn for_engine(body: &[u8], tier: Tier) -> Result<Bytes, Error> {
    let mut object: Map<String, Value> = serde_json::from_slice(body).map_err(|_| Error)?;
    object.insert("stream".to_owned(), Value::Bool(true));
    object.insert("stream_options".to_owned(), json!({"include_usage": true}));
    object.insert("priority".to_owned(), json!(tier.0));
    let bytes = serde_json::to_vec(&object).expect("a JSON object is serializable");
    Ok(bytes.into())
}
