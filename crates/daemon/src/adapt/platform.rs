//! Passes the values that the platform publishes to the node.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::ToCompactString;
use hyssop_document::{number::Revision, order};
use hyssop_peer::{Node, current::Source, hosts as peer_hosts};
use hyssop_published::{
    Key,
    client::{Error, Value},
    hosts,
    reader::{Mode, Sink},
};

/// Passes published values to the node.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) node: Arc<Node>,
}

impl Platform {
    fn hosts(&self, revision: Revision, bytes: &Bytes) {
        let entries = match hosts::parse(bytes) {
            Ok(list) => list.hosts.into_iter().map(entry).collect(),
            Err(error) => return log::warn!("platform value rejected key=hosts error=\"{error}\""),
        };
        if let Err(error) = self.node.set_list(peer_hosts::List { revision, hosts: entries }) {
            log::warn!("platform value rejected key=hosts error={error:?}");
        }
    }

    fn orders(&self, bytes: &Bytes) {
        match serde_json::from_slice::<order::State>(bytes) {
            Ok(state) => {
                self.node.offer_orders(state, &Source::Platform);
            }
            Err(error) => log::warn!("platform value rejected key=orders error=\"{error}\""),
        }
    }
}

fn entry(host: hosts::Host) -> peer_hosts::Entry {
    let state = match host.state {
        hosts::State::Live => peer_hosts::State::Live,
        hosts::State::Leaving => peer_hosts::State::Leaving,
    };
    peer_hosts::Entry { host: host.host, zone: host.zone, peer_address: host.peer_address, state }
}

impl Sink for Platform {
    fn mode(&self) -> Mode {
        if self.node.watches_platform() { Mode::Watch } else { Mode::Poll }
    }

    fn on_value(&self, key: Key, value: Value) {
        self.node.set_platform_reached(true);
        let Some(bytes) = value.bytes else { return };
        match key {
            Key::Document => {
                self.node.offer_document(bytes, Source::Platform);
            }
            Key::Hosts => self.hosts(Revision(value.index.0), &bytes),
            Key::Orders => self.orders(&bytes),
        }
    }

    fn on_failure(&self, key: Key, error: &Error) {
        self.node.set_platform_reached(false);
        log::warn!("platform read failed key={key} error={:?}", error.to_compact_string());
    }
}
