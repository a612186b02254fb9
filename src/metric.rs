//! Metrics of the daemon in the Prometheus text format, with a bounded number of label values.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and result; services are declared, so the number of labels is bounded.
    pub requests: IntCounterVec,
    /// Requests answered with an error, by error kind.
    pub refusals: IntCounterVec,
    pub retries: IntCounterVec,
    pub tokens: IntCounter,
    pub recomputed_tokens: IntCounter,
    pub resumed_streams: IntCounter,
    pub moved_states: IntCounter,
    pub handed_over: IntCounter,
    pub copies: IntCounterVec,
    pub in_flight: IntGauge,
    pub revision: IntGauge,
    pub members_alive: IntGauge,
    pub peer_bytes_sent: IntGauge,
    pub peer_bytes_received: IntGauge,
    pub peer_frames_dropped: IntGauge,
}

impl Metrics {
    pub fn new() -> Metrics {
        let registry = Registry::new();
        Metrics {
            requests: counter_vec(
                &registry,
                "pomelolink_requests_total",
                "Requests by result.",
                &["service", "result"],
            ),
            refusals: counter_vec(
                &registry,
                "pomelolink_refusals_total",
                "Requests answered with an error, by kind.",
                &["kind"],
            ),
            retries: counter_vec(
                &registry,
                "pomelolink_retries_total",
                "Retries of requests, by service.",
                &["service"],
            ),
            tokens: counter(&registry, "pomelolink_tokens_total", "Tokens relayed to callers."),
            recomputed_tokens: counter(
                &registry,
                "pomelolink_recomputed_tokens_total",
                "Tokens computed again after a stream was resumed on another endpoint.",
            ),
            resumed_streams: counter(
                &registry,
                "pomelolink_resumed_streams_total",
                "Streams resumed on another endpoint.",
            ),
            moved_states: counter(
                &registry,
                "pomelolink_moved_states_total",
                "Cached states of streams transferred from a leaving endpoint to its replacement.",
            ),
            copies: counter_vec(
                &registry,
                "pomelolink_copies_total",
                "Copies of accepted streams sent to another entry VM, by result.",
                &["result"],
            ),
            handed_over: counter(
                &registry,
                "pomelolink_handed_over_total",
                "Streams handed over to another entry VM.",
            ),
            in_flight: gauge(&registry, "pomelolink_in_flight", "Accepted requests in progress."),
            revision: gauge(
                &registry,
                "pomelolink_config_revision",
                "Revision of the configuration in effect.",
            ),
            members_alive: gauge(
                &registry,
                "pomelolink_members_alive",
                "Cluster members that this node considers alive.",
            ),
            peer_bytes_sent: gauge(
                &registry,
                "pomelolink_peer_sent_bytes",
                "Bytes sent to other daemons since the start.",
            ),
            peer_bytes_received: gauge(
                &registry,
                "pomelolink_peer_received_bytes",
                "Bytes received from other daemons since the start.",
            ),
            peer_frames_dropped: gauge(
                &registry,
                "pomelolink_peer_frames_dropped",
                "Frames dropped since the start: unknown version, wrong tag, replay or malformed.",
            ),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metric: cannot encode the metrics: {error}");
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels);
    register(registry, metric)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

/// Registers a metric. Its name is a constant in this file, so a failure is a programming error
/// that every test would reveal.
fn register<M: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("metric names and labels are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}
