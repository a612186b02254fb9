//! Prometheus metrics of a node, with a bounded number of label values.

use std::rc::Rc;
use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, TextEncoder};

use crate::gateway::clock;
use crate::gateway::node::Node;
use crate::gateway::platform::Call;
use crate::gateway::unreadable::Kind;
use crate::platform::Failure;

/// Upper bounds of the histogram buckets.
const LATENCY_BUCKETS_S: [f64; 9] = [0.02, 0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0, 15.0];

#[derive(Debug)]
pub struct Registry {
    registry: prometheus::Registry,
    outcomes: Option<IntCounterVec>,
    latencies: Option<HistogramVec>,
    retries: Option<IntCounterVec>,
    judgments: Option<IntCounterVec>,
    quarantined_parts: Option<IntCounterVec>,
    limit_skips: Option<IntCounterVec>,
    held_back: Option<IntCounterVec>,
    share_rejections: Option<IntCounterVec>,
    reservations: Option<IntCounterVec>,
    full_rejections: Option<IntCounterVec>,
    restores: Option<IntCounterVec>,
    snapshot_writes: Option<IntCounterVec>,
    partial_answers: Option<IntCounterVec>,
    unreadable_rows: Option<IntCounterVec>,
    platform_calls: Option<IntCounterVec>,
    node_gauges: Option<IntGaugeVec>,
    peer_ages: Option<IntGaugeVec>,
    allowed_retries: Option<IntGaugeVec>,
    capacity_factors: Option<IntGaugeVec>,
    endpoints: Option<IntGaugeVec>,
    avoided_endpoints: Option<IntGaugeVec>,
    cold_endpoints: Option<IntGaugeVec>,
    evacuated: Option<IntGaugeVec>,
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
        let retries = counter(
            "pomelolink_repeats_total",
            "Retries at another endpoint by service and whether the budget allowed them.",
            &["service", "granted"],
        );
        let judgments = counter(
            "pomelolink_versions_judged_total",
            "New versions that this node judged bad, by reason.",
            &["reason"],
        );
        let quarantined_parts = counter(
            "pomelolink_parts_quarantined_total",
            "Prompt parts that this node has quarantined because they crash endpoints.",
            &[],
        );
        let limit_skips = counter(
            "pomelolink_limit_skips_total",
            "Requests kept from endpoints because their rate limits were used up, by service.",
            &["service"],
        );
        let held_back = counter(
            "pomelolink_held_back_total",
            "Requests that were placed on an endpoint and not written to it, by reason.",
            &["reason"],
        );
        let share_rejections = counter(
            "pomelolink_share_rejections_total",
            "Requests rejected because their tenant had used its share of a short service, by service.",
            &["service"],
        );
        let reservations = counter(
            "pomelolink_reservations_total",
            "Decisions that kept room free for more urgent requests of a short service, by service.",
            &["service"],
        );
        let full_rejections = counter(
            "pomelolink_full_rejections_total",
            "Requests that plain endpoints rejected as full, by service.",
            &["service"],
        );
        let restores = counter(
            "pomelolink_store_restores_total",
            "Restores of the platform's store from a copy that this node has seen.",
            &[],
        );
        let snapshot_writes = counter(
            "pomelolink_snapshot_writes_total",
            "Writes of the counters' snapshot to the store, by result.",
            &["result"],
        );
        let partial_answers = counter(
            "pomelolink_partial_answers_total",
            "Answers of the platform that may hold only the first of the changes, by kind of read.",
            &["reads"],
        );
        let unreadable_rows = counter(
            "pomelolink_unreadable_rows_total",
            "Rows of the platform that this node found unreadable, by kind.",
            &["kind"],
        );
        let options = HistogramOpts::new(
            "pomelolink_first_byte_seconds",
            "Time in seconds from a request's arrival to its response or first event.",
        );
        let latencies =
            HistogramVec::new(options.buckets(LATENCY_BUCKETS_S.to_vec()), &["route"]).ok();
        let latencies = latencies.filter(|it| registry.register(Box::new(it.clone())).is_ok());
        let platform_calls = counter(
            "pomelolink_platform_calls_total",
            "Calls to the platform by kind and outcome.",
            &["call", "outcome"],
        );
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels).ok()?;
            registry.register(Box::new(gauge.clone())).ok()?;
            Some(gauge)
        };
        let node_gauges = gauge("pomelolink_state", "State of the node by name.", &["name"]);
        let peer_ages = gauge(
            "pomelolink_peer_age_milliseconds",
            "Milliseconds since each peer was last seen.",
            &["peer"],
        );
        let allowed_retries = gauge(
            "pomelolink_repeats_left",
            "Retries that the budget allows this node to send now, by service.",
            &["service"],
        );
        let capacity_factors = gauge(
            "pomelolink_capacity_factor_percent",
            "Planned endpoints in percent of those that the demand asks for, by service.",
            &["service"],
        );
        let endpoints = gauge(
            "pomelolink_endpoint",
            "Requests, unread prompt tokens, slowness and speed factor in percent, and pause of each listed endpoint.",
            &["endpoint", "field"],
        );
        let avoided_endpoints = gauge(
            "pomelolink_avoided_endpoints",
            "Listed endpoints that get no new requests from this node, by reason.",
            &["reason"],
        );
        let evacuated = gauge(
            "pomelolink_evacuated",
            "1 for each failure domain that the operators have ordered to evacuate.",
            &["domain"],
        );
        let cold_endpoints = gauge(
            "pomelolink_cold_endpoint",
            "Remaining milliseconds of each cold endpoint, and requests that this node may send in 1,000 s.",
            &["endpoint", "field"],
        );
        Registry {
            registry,
            outcomes,
            latencies,
            retries,
            judgments,
            quarantined_parts,
            limit_skips,
            held_back,
            share_rejections,
            reservations,
            full_rejections,
            restores,
            snapshot_writes,
            partial_answers,
            unreadable_rows,
            platform_calls,
            node_gauges,
            peer_ages,
            allowed_retries,
            capacity_factors,
            endpoints,
            avoided_endpoints,
            cold_endpoints,
            evacuated,
        }
    }

    /// Wraps a platform call so that its outcomes are counted under a name.
    pub fn count_outcomes<I: 'static, O: 'static>(
        &self,
        name: &'static str,
        call: Call<I, O>,
    ) -> Call<I, O> {
        let Some(platform_calls) = self.platform_calls.clone() else { return call };
        Box::new(move |input| {
            let (response, platform_calls) = (call(input), platform_calls.clone());
            Box::pin(async move {
                let result = response.await;
                let outcome = match &result {
                    Ok(_) => "answered",
                    Err(Failure::NotRun(_)) => "not_run",
                    Err(Failure::Unknown(_)) => "unknown",
                };
                platform_calls.with_label_values(&[name, outcome]).inc();
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

    pub fn record_retry(&self, service: &str, granted: bool) {
        if let Some(retries) = &self.retries {
            retries.with_label_values(&[service, if granted { "yes" } else { "no" }]).inc();
        }
    }

    pub fn record_judgment(&self, reason: &str) {
        if let Some(judgments) = &self.judgments {
            judgments.with_label_values(&[reason]).inc();
        }
    }

    pub fn record_quarantined(&self) {
        if let Some(quarantined_parts) = &self.quarantined_parts {
            quarantined_parts.with_label_values::<&str>(&[]).inc();
        }
    }

    pub fn record_held_back(&self, reason: &str) {
        if let Some(held_back) = &self.held_back {
            held_back.with_label_values(&[reason]).inc();
        }
    }

    pub fn record_share_rejection(&self, service: &str) {
        if let Some(share_rejections) = &self.share_rejections {
            share_rejections.with_label_values(&[service]).inc();
        }
    }

    pub fn record_reserved(&self, service: &str) {
        if let Some(reservations) = &self.reservations {
            reservations.with_label_values(&[service]).inc();
        }
    }

    pub fn record_full(&self, service: &str) {
        if let Some(full_rejections) = &self.full_rejections {
            full_rejections.with_label_values(&[service]).inc();
        }
    }

    pub fn record_restore(&self) {
        if let Some(restores) = &self.restores {
            restores.with_label_values::<&str>(&[]).inc();
        }
    }

    pub fn record_snapshot_write(&self, result: &str) {
        if let Some(snapshot_writes) = &self.snapshot_writes {
            snapshot_writes.with_label_values(&[result]).inc();
        }
    }

    pub fn record_partial_answer(&self, reads: &str) {
        if let Some(partial_answers) = &self.partial_answers {
            partial_answers.with_label_values(&[reads]).inc();
        }
    }

    pub fn record_unreadable_row(&self, kind: Kind) {
        if let Some(unreadable_rows) = &self.unreadable_rows {
            unreadable_rows.with_label_values(&[kind.name()]).inc();
        }
    }

    pub fn set_capacity_factor(&self, service: &str, factor: f64) {
        if let Some(capacity_factors) = &self.capacity_factors {
            capacity_factors.with_label_values(&[service]).set((factor * 100.0).round() as i64);
        }
    }

    pub fn record_limit_skip(&self, service: &str) {
        if let Some(limit_skips) = &self.limit_skips {
            limit_skips.with_label_values(&[service]).inc();
        }
    }

    /// Returns all metrics in the Prometheus text format, with gauges set from the current state of
    /// the node.
    pub fn text(&self, node: &Rc<Node>) -> String {
        let now = clock::now();
        let set = |name: &str, value: i64| {
            if let Some(node_gauges) = &self.node_gauges {
                node_gauges.with_label_values(&[name]).set(value);
            }
        };
        let age = node.key_age(now).map_or(-1, |age| age.as_millis() as i64);
        set("catalog_age_ms", age);
        set("catalog_version", node.catalog().map_or(-1, |catalog| catalog.version as i64));
        set("catalog_unreadable", i64::from(node.is_catalog_unreadable.get()));
        let catalog = node.catalog();
        let problems = catalog.map_or(0, |catalog| catalog.unreadable.problems.len());
        set("catalog_unreadable_entries", problems as i64);
        let unreadable = Kind::ALL.map(|kind| node.unreadable.borrow().count(kind));
        set("unreadable_rows", unreadable.iter().sum::<usize>() as i64);
        set("endpoints", node.roster.borrow().iter().count() as i64);
        set("nodes_heard", node.peers.borrow().live_count(now) as i64);
        set("active_requests", node.active.get() as i64);
        let waiting = node.waiting.borrow().values().map(|it| it.queue.len()).sum::<usize>();
        set("waiting_requests", waiting as i64);
        set("quota_share_permille", (node.peers.borrow().quota_share(now) * 1_000.0) as i64);
        set("quarantined_parts", node.quarantine.borrow().quarantined_count() as i64);
        set("store_era", node.store_era.get().map_or(-1, |era| era as i64));
        set("limited_endpoints", node.roster.borrow().stated.limited_count() as i64);
        let cold = node.roster.borrow().stated.cold.iter(now).count();
        set("cold_endpoints", cold as i64);
        set("holds_duties", i64::from(node.holds_duties.get()));
        let intake = node.intake.counts();
        set("intake_bytes", intake.used as i64);
        set("intake_limit_bytes", intake.size as i64);
        set("intake_refused_bodies", intake.refused as i64);
        set("intake_dropped_bodies", intake.dropped as i64);
        let connections = node.connections.lock();
        set("connections", connections.count() as i64);
        set("connections_limit", connections.limit() as i64);
        set("connections_closed_for_others", connections.closed as i64);
        drop(connections);
        let is_short = |it: &&crate::gateway::node::Waiters| it.queue.share.is_short(now);
        let short = node.waiting.borrow().values().filter(is_short).count();
        set("short_services", short as i64);
        self.set_labeled_gauges(node, now);
        let mut text = String::new();
        if let Err(error) = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            log::warn!("metrics: event=encode_failed error=\"{error}\"");
        }
        text
    }
}

impl Registry {
    /// Sets the gauges of each peer, service and endpoint. Gauges of those that no longer exist are
    /// dropped, so that the number of label values stays bounded.
    fn set_labeled_gauges(&self, node: &Node, now: Duration) {
        if let Some(peer_ages) = &self.peer_ages {
            peer_ages.reset();
            for (peer, age) in node.peers.borrow().ages(now) {
                peer_ages.with_label_values(&[&**peer]).set(age.as_millis() as i64);
            }
        }
        if let Some(allowed_retries) = &self.allowed_retries {
            allowed_retries.reset();
            let nodes = node.peers.borrow().live_count(now);
            for (service, remaining) in node.budget.borrow().remaining(nodes, now) {
                allowed_retries.with_label_values(&[&**service]).set(remaining as i64);
            }
        }
        if let Some(endpoints) = &self.endpoints {
            endpoints.reset();
            for entry in node.roster.borrow().iter() {
                let id = &*entry.endpoint.id;
                let load = node.balancer.borrow().total_load(id);
                let slowness = (entry.health.slowness() * 100.0) as i64;
                let set = |field, value| endpoints.with_label_values(&[id, field]).set(value);
                set("requests", i64::from(load.requests));
                set("unread_tokens", i64::from(load.unread_tokens));
                set("slowness_percent", slowness);
                let factor = node.speeds.borrow().factor(id, now).unwrap_or(1.0);
                set("speed_factor_percent", (factor * 100.0) as i64);
                set("paused", i64::from(entry.health.is_paused(now)));
            }
        }
        if let Some(cold_endpoints) = &self.cold_endpoints {
            cold_endpoints.reset();
            for (id, remaining, own_rate) in node.roster.borrow().stated.cold.iter(now) {
                let set =
                    |field, value| cold_endpoints.with_label_values(&[&**id, field]).set(value);
                set("remaining_ms", remaining.as_millis() as i64);
                set("own_per_1000_s", (own_rate * 1_000.0) as i64);
            }
        }
        if let Some(evacuated) = &self.evacuated {
            evacuated.reset();
            for domain in node.roster.borrow().evacuations.domains() {
                evacuated.with_label_values(&[&**domain]).set(1);
            }
        }
        if let Some(avoided) = &self.avoided_endpoints {
            avoided.reset();
            let roster = node.roster.borrow();
            for entry in roster.iter() {
                let is_paused = roster.stated.pauses.is_paused(&entry.endpoint.id, now);
                let is_evacuated = roster.is_evacuated(&entry.endpoint);
                let reason = entry.avoidance(now).or(is_evacuated.then_some("evacuated"));
                let reason = reason.or(is_paused.then_some("pause_asked"));
                if let Some(reason) = reason {
                    avoided.with_label_values(&[reason]).inc();
                }
            }
        }
    }
}

impl Default for Registry {
    fn default() -> Registry {
        Registry::new()
    }
}
