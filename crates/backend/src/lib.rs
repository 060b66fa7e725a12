//! Backend servers: HTTP client, attempts, streams, load reports, quarantine.
