//! Operators: administration API, its client, status and order types.
