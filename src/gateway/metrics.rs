//! Counters and latencies of a node, with bounded labels.

use std::rc::Rc;
use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, TextEncoder};

use crate::gateway::clock;
use crate::gateway::node::Node;

/// Bounds of the latency histogram in seconds.
const LATENCY_BOUNDS: [f64; 9] = [0.02, 0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0, 15.0];

#[derive(Debug)]
pub struct Registry {
    registry: prometheus::Registry,
    outcomes: Option<IntCounterVec>,
    latencies: Option<HistogramVec>,
    repeats: Option<IntCounterVec>,
    gauges: Option<IntGaugeVec>,
}

impl Registry {
    pub fn new() -> Registry {
        let registry = prometheus::Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).ok()?;
            registry.register(Box::new(counter.clone())).ok()?;
            Some(counter)
        };
        let outcomes = counter(
            "pomelolink_requests_total",
            "Requests by route and outcome.",
            &["route", "outcome"],
        );
        let repeats = counter(
            "pomelolink_repeats_total",
            "Requests for a second endpoint by service and whether the budget allowed it.",
            &["service", "granted"],
        );
        let options = HistogramOpts::new(
            "pomelolink_first_byte_seconds",
            "Time from a request's arrival to its answer or first event.",
        );
        let latencies =
            HistogramVec::new(options.buckets(LATENCY_BOUNDS.to_vec()), &["route"]).ok();
        let latencies = latencies.filter(|it| registry.register(Box::new(it.clone())).is_ok());
        let gauges = IntGaugeVec::new(
            Opts::new("pomelolink_state", "State of the node by name."),
            &["name"],
        );
        let gauges = gauges.ok().filter(|it| registry.register(Box::new(it.clone())).is_ok());
        Registry { registry, outcomes, latencies, repeats, gauges }
    }

    pub fn record_outcome(&self, route: &str, outcome: &str) {
        if let Some(outcomes) = &self.outcomes {
            outcomes.with_label_values(&[route, outcome]).inc();
        }
    }

    pub fn record_latency(&self, route: &str, latency: Duration) {
        if let Some(latencies) = &self.latencies {
            latencies.with_label_values(&[route]).observe(latency.as_secs_f64());
        }
    }

    pub fn record_repeat(&self, service: &str, granted: bool) {
        if let Some(repeats) = &self.repeats {
            repeats.with_label_values(&[service, if granted { "yes" } else { "no" }]).inc();
        }
    }

    /// Gives all figures as text, with the state of the node at this moment.
    pub fn text(&self, node: &Rc<Node>) -> String {
        let now = clock::now();
        let set = |name: &str, value: i64| {
            if let Some(gauges) = &self.gauges {
                gauges.with_label_values(&[name]).set(value);
            }
        };
        let age = node.key_age(now).map_or(-1, |age| age.as_millis() as i64);
        set("catalog_age_ms", age);
        set("catalog_version", node.catalog().map_or(-1, |catalog| catalog.version as i64));
        set("endpoints", node.roster.borrow().iter().count() as i64);
        set("nodes_heard", node.peers.borrow().count(now) as i64);
        set("active_requests", node.active.get() as i64);
        let waiting = node.waiting.borrow().values().map(|it| it.queue.len()).sum::<usize>();
        set("waiting_requests", waiting as i64);
        let mut text = String::new();
        if let Err(error) = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            log::warn!("metrics: event=encode_failed error=\"{error}\"");
        }
        text
    }
}

impl Default for Registry {
    fn default() -> Registry {
        Registry::new()
    }
}
