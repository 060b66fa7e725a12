//! Metrics in the statsd format, sent over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, Histogrammed, MetricError, NopMetricSink,
    QueuingMetricSink, StatsdClient,
};
use hyssop_document::name;

use crate::histogram::Sample;

/// The prefix of all metrics.
const PREFIX: &str = "hyssopcourse";
/// The maximum number of queued metrics. Further metrics are dropped.
const MAX_QUEUED_METRICS: usize = 4096;

fn connect(address: SocketAddr, host: &name::Host) -> Result<StatsdClient, MetricError> {
    let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket)?;
    let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::builder(PREFIX, sink).with_tag("host", host.as_str()).build())
}

/// Sends metrics. Sending never blocks and ignores errors, so that metrics never delay a request.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends metrics to `address`. Without an address or a local socket, metrics are discarded.
    pub fn new(address: Option<SocketAddr>, host: &name::Host) -> Self {
        let client = match address.map(|address| connect(address, host)) {
            Some(Ok(client)) => client,
            Some(Err(error)) => {
                log::warn!("metrics disabled error=\"{error}\"");
                StatsdClient::from_sink(PREFIX, NopMetricSink)
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Self { client }
    }

    /// Sends the metrics of one request.
    pub fn record_request(
        &self,
        class: &name::Class,
        workspace: &name::Workspace,
        sample: &Sample,
    ) {
        let end = sample.end.to_string();
        let _sent = self
            .client
            .count_with_tags("requests", 1)
            .with_tag("class", class.as_str())
            .with_tag("workspace", workspace.as_str())
            .with_tag("end", &end)
            .try_send();
        if sample.on_target {
            let _sent = self
                .client
                .count_with_tags("attained", 1)
                .with_tag("class", class.as_str())
                .with_tag("workspace", workspace.as_str())
                .try_send();
        }
        self.record_time("complete_ms", class, sample.complete.as_millis());
        if let Some(first_token) = sample.first_token {
            self.record_time("first_token_ms", class, first_token.as_millis());
        }
    }

    /// Adds `amount` to a counter.
    pub fn count(&self, counter: &str, amount: u64) {
        if amount > 0 {
            let _sent = self.client.count(counter, amount);
        }
    }

    /// Sends the current value of a gauge with tags.
    pub fn gauge(&self, gauge: &str, value: u64, tags: &[(&str, &str)]) {
        let metric = self.client.gauge_with_tags(gauge, value);
        let tagged = tags.iter().fold(metric, |metric, (name, tag)| metric.with_tag(name, tag));
        let _sent = tagged.try_send();
    }

    /// Sends the buffered metrics even if the datagram is not full.
    pub fn flush(&self) {
        let _sent = self.client.flush();
    }

    fn record_time(&self, metric: &str, class: &name::Class, millis: u128) {
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        let metric = self.client.histogram_with_tags(metric, millis);
        let _sent = metric.with_tag("class", class.as_str()).try_send();
    }
}
