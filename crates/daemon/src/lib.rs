//! The daemon: settings, assembly of all parts, the path of a request.
