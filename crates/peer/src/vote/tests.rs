//! Properties of votes.
