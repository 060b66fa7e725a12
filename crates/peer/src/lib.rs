//! Daemons among themselves: membership, votes, shares, permits, spread of revisions.
