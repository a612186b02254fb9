//! Counters and latencies of a node, with bounded labels.

use std::rc::Rc;
use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, TextEncoder};

use crate::gateway::clock;
use crate::gateway::node::Node;
use crate::gateway::platform::Call;
use crate::platform::Failure;

/// Bounds of the latency histogram in seconds.
const LATENCY_BOUNDS: [f64; 9] = [0.02, 0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0, 15.0];

#[derive(Debug)]
pub struct Registry {
    registry: prometheus::Registry,
    outcomes: Option<IntCounterVec>,
    latencies: Option<HistogramVec>,
    repeats: Option<IntCounterVec>,
    calls: Option<IntCounterVec>,
    gauges: Option<IntGaugeVec>,
    peers: Option<IntGaugeVec>,
    budgets: Option<IntGaugeVec>,
    endpoints: Option<IntGaugeVec>,
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
        let calls = counter(
            "pomelolink_platform_calls_total",
            "Calls to the platform by kind and outcome.",
            &["call", "outcome"],
        );
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels).ok()?;
            registry.register(Box::new(gauge.clone())).ok()?;
            Some(gauge)
        };
        let gauges = gauge("pomelolink_state", "State of the node by name.", &["name"]);
        let peers = gauge(
            "pomelolink_peer_age_milliseconds",
            "Age of what is known of each peer.",
            &["peer"],
        );
        let budgets = gauge(
            "pomelolink_repeats_left",
            "Repeats that this node may make now, by service.",
            &["service"],
        );
        let endpoints = gauge(
            "pomelolink_endpoint",
            "Requests, unread prompt tokens, slowness in percent and pause of each listed endpoint.",
            &["endpoint", "field"],
        );
        Registry {
            registry,
            outcomes,
            latencies,
            repeats,
            calls,
            gauges,
            peers,
            budgets,
            endpoints,
        }
    }

    /// Gives a call that counts its outcomes.
    pub fn count<I: 'static, O: 'static>(
        &self,
        name: &'static str,
        call: Call<I, O>,
    ) -> Call<I, O> {
        let Some(calls) = self.calls.clone() else { return call };
        Box::new(move |input| {
            let (answer, calls) = (call(input), calls.clone());
            Box::pin(async move {
                let result = answer.await;
                let outcome = match &result {
                    Ok(_) => "answered",
                    Err(Failure::NotRun(_)) => "not_run",
                    Err(Failure::Unknown(_)) => "unknown",
                };
                calls.with_label_values(&[name, outcome]).inc();
                result
            })
        })
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
        set("quota_share_permille", (node.peers.borrow().share(now) * 1_000.0) as i64);
        set("holds_duties", i64::from(node.holds_duties.get()));
        self.set_parts(node, now);
        let mut text = String::new();
        if let Err(error) = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            log::warn!("metrics: event=encode_failed error=\"{error}\"");
        }
        text
    }
}

impl Registry {
    /// Sets the figures of each peer, service and endpoint; those of former ones are dropped, so that
    /// the labels stay as many as there are.
    fn set_parts(&self, node: &Node, now: Duration) {
        if let Some(peers) = &self.peers {
            peers.reset();
            for (peer, age) in node.peers.borrow().ages(now) {
                peers.with_label_values(&[&**peer]).set(age.as_millis() as i64);
            }
        }
        if let Some(budgets) = &self.budgets {
            budgets.reset();
            let nodes = node.peers.borrow().count(now);
            for (service, left) in node.budget.borrow().left(nodes, now) {
                budgets.with_label_values(&[&**service]).set(left as i64);
            }
        }
        if let Some(endpoints) = &self.endpoints {
            endpoints.reset();
            for entry in node.roster.borrow().iter() {
                let id = &*entry.endpoint.id;
                let load = node.board.borrow().total(id);
                let slowness = (entry.health.slowness() * 100.0) as i64;
                let set = |field, value| endpoints.with_label_values(&[id, field]).set(value);
                set("requests", i64::from(load.requests));
                set("unread_tokens", i64::from(load.unread_tokens));
                set("slowness_percent", slowness);
                set("paused", i64::from(entry.health.is_paused(now)));
            }
        }
    }
}

impl Default for Registry {
    fn default() -> Registry {
        Registry::new()
    }
}
