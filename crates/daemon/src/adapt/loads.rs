//! Fetches load reports of backend servers for the schedulers.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use futures::future::BoxFuture;
use hyssop_backend::client::Client;
use hyssop_document::model;
use hyssop_policy::load::Load;

/// Fetches load reports over HTTP.
#[derive(Debug)]
pub(crate) struct Loads {
    pub(crate) client: Client,
    pub(crate) timeout: Duration,
}

impl hyssop_peer::LoadSource for Loads {
    fn load(&self, backend: &model::Backend) -> BoxFuture<'static, Result<Load, CompactString>> {
        let client = self.client.clone();
        let address = backend.address;
        let timeout = self.timeout;
        Box::pin(async move {
            let load = client.fetch_load(address, timeout).await;
            load.map_err(|failure| failure.to_compact_string())
        })
    }
}
