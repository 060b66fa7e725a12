//! Callers: HTTP server, idempotency keys, outcomes, addresses.
