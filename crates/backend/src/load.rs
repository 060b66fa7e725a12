//! Load reports of backend servers, parsed from their Prometheus metrics.

use std::{net::SocketAddr, time::Duration};

use hyssop_policy::load::Load;

use crate::{
    client::Client,
    failure::{Failure, Kind},
    metrics,
};

/// The maximum size of a load report.
pub const MAX_REPORT_BYTES: usize = 1 << 20;

/// The error for metrics that are not a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The start time of the process is missing, so restarts could not be detected.
    #[display("process_start_time_seconds is missing")]
    MissingStartTime,
    /// The number of running requests is missing.
    #[display("vllm:num_requests_running is missing")]
    MissingRunning,
}

/// Parses a load report in the Prometheus text format.
///
/// # Errors
///
/// Fails if the start time of the process or the number of running requests is missing.
pub fn parse(text: &str) -> Result<Load, Error> {
    let mut report = Load {
        incarnation: 0,
        running: 0,
        waiting: 0,
        kv_used: 0.0,
        cold: false,
        tokens_per_s: None,
    };
    let mut running = None;
    for sample in metrics::samples(text) {
        let value = sample.value;
        match sample.name {
            "process_start_time_seconds" => report.incarnation = (value * 1000.0).round() as u64,
            "vllm:num_requests_running" => *running.get_or_insert(0.0) += value,
            "vllm:num_requests_waiting" => report.waiting = value as u32,
            "vllm:kv_cache_usage_perc" => report.kv_used = value.clamp(0.0, 1.0) as f32,
            "hyssop_engine_cold" => report.cold = value > 0.0,
            "hyssop_engine_tokens_per_second" => report.tokens_per_s = Some(value),
            _ => {}
        }
    }
    if report.incarnation == 0 {
        return Err(Error::MissingStartTime);
    }
    report.running = running.ok_or(Error::MissingRunning)? as u32;
    if !report.kv_used.is_finite() {
        report.kv_used = 0.0;
    }
    report.tokens_per_s = report.tokens_per_s.filter(|rate| rate.is_finite() && *rate >= 0.0);
    Ok(report)
}

impl Client {
    /// Fetches the load report of a backend server.
    ///
    /// # Errors
    ///
    /// Fails if the report does not arrive within `timeout` or cannot be parsed.
    pub async fn fetch_load(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Load, Failure> {
        let get = self.get(address, "/metrics", MAX_REPORT_BYTES);
        let bytes = tokio::time::timeout(timeout, get)
            .await
            .map_err(|_| Failure::may_have_run(Kind::Timeout, "the load report timed out"))??;
        let protocol = |message: &str| Failure::ran(Kind::Protocol, message);
        let text = str::from_utf8(&bytes).map_err(|_| protocol("the report is not UTF-8"))?;
        parse(text).map_err(|error| protocol(&error.to_string()))
    }
}
