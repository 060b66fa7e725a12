//! Stand-ins for tests: platform, engine, plain service, link forwarder, load source, history; not shipped.
