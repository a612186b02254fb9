//! A request on an endpoint: what its course shows about the endpoint, and the capacity that it holds.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::balancer::Load;
use crate::gateway::clock;
use crate::gateway::cold;
use crate::gateway::node::Node;
use crate::gateway::platform::Endpoint;
use crate::gateway::roster;
use crate::gateway::speed;
use crate::gateway::verdict::{Conditions, Sample};

/// Least divisor for the ratio of observed to estimated time, in seconds.
const MIN_BASELINE_S: f64 = 0.005;

/// A request that is placed on an endpoint; dropping it releases the capacity.
#[derive(Debug)]
pub struct Placement {
    pub(super) node: Rc<Node>,
    pub endpoint: Endpoint,
    pub(super) load: Load,
    /// Estimated time to the first event, without slowdown of the service or slowness of the endpoint.
    pub(super) baseline: Duration,
    /// Estimated time to the first event with the current slowdown and slowness.
    pub predicted: Duration,
    pub began: Duration,
    /// Whether the time to the first event shows the prefill rate.
    pub(super) shows_prefill_rate: bool,
    /// Whether the endpoint's speed factor is learned from the request.
    pub(super) shows_speed: bool,
    /// Whether the request is charged to the endpoint's rate limit.
    pub is_limit_paid: bool,
    /// Time at which the request was charged to the rate of a cold endpoint, if it was.
    pub cold_charged_at: Option<Duration>,
    /// Conditions of the samples for a roll-out of the service.
    pub(super) conditions: Conditions,
    /// Whether this is the first attempt at the request. Some requests fail wherever they run, so that
    /// further attempts tell no more about a version.
    pub(super) is_first: bool,
    pub(super) has_started: Cell<bool>,
    /// Whether the endpoint rejected the request as full, so that its end frees no room.
    pub(super) is_rejected: Cell<bool>,
    /// Whether the endpoint has the request and neither a response nor a failure has been recorded.
    pub(super) is_awaited: Cell<bool>,
}

impl Placement {
    /// Returns the time since the request was placed, and its ratio to the estimate.
    fn elapsed(&self, now: Duration) -> (Duration, f64) {
        let elapsed = now.saturating_sub(self.began);
        (elapsed, elapsed.as_secs_f64() / self.baseline.as_secs_f64().max(MIN_BASELINE_S))
    }

    /// Records the first event of a stream.
    pub fn record_first_event(&mut self) {
        let now = clock::now();
        let (elapsed, ratio) = self.elapsed(now);
        let mut balancer = self.node.balancer.borrow_mut();
        if self.shows_prefill_rate {
            balancer.record_prefill(&self.endpoint.service, self.load.unread_tokens, elapsed);
        }
        balancer.record_first_event(&self.endpoint.id, &mut self.load);
        if let Some(health) = self.node.roster.borrow_mut().health(&self.endpoint.id) {
            health.record_slowness(ratio / balancer.service_slowdown(&self.endpoint.service, now));
        }
        balancer.record_slowdown(&self.endpoint.service, elapsed, self.baseline, now);
        drop(balancer);
        self.record_speed(speed::Sample::FirstEvent(ratio), now);
        self.record_health_success();
        self.record_sample(Sample::Start(ratio));
        self.has_started.set(true);
    }

    /// Marks the request as sent. If it is dropped before its response, because its caller left or its
    /// time was over, the time that it waited counts.
    pub fn await_response(&self) {
        self.is_awaited.set(true);
    }

    /// Marks the request as ended without evidence about the endpoint's version.
    pub fn ignore_response(&self) {
        self.is_awaited.set(false);
    }

    /// Records that the endpoint rejected the request without running it. A plain endpoint is full then, by
    /// requests of which this node doesn't know yet.
    pub fn record_rejection(&self) {
        self.ignore_response();
        self.is_rejected.set(true);
        let Endpoint { id, service, .. } = &self.endpoint;
        let catalog = self.node.catalog();
        let is_plain = catalog
            .and_then(|catalog| Some(catalog.services.get(service)?.engine.is_none()))
            .unwrap_or(false);
        if is_plain {
            let room = self.node.balancer.borrow_mut().record_full(id, clock::now());
            log::info!("place: event=endpoint_full endpoint={id} service={service} room={room}");
            self.node.metrics.record_full(service);
        }
    }

    /// Counts a sample for the endpoint's version, as evidence for a roll-out.
    fn record_sample(&self, sample: Sample) {
        self.is_awaited.set(false);
        let Endpoint { service, version, domain, .. } = &self.endpoint;
        // What a cut does to a version depends on where its endpoints are.
        let was_cut_off = self.node.peers.borrow().was_unheard(domain, self.began);
        if !self.is_first || was_cut_off {
            return;
        }
        self.node.shifts.borrow_mut().record(service, version, self.conditions, sample);
    }

    /// Records the mean time between two events of a stream.
    pub fn record_pace(&self, gap: Duration) {
        self.record_sample(Sample::Pace(gap));
    }

    /// Records the time since the previous event of a stream, with the largest load of the endpoint meanwhile.
    pub fn record_gap(&self, gap: Duration, load: Load) {
        self.record_speed(speed::Sample::Gap(gap, load), clock::now());
    }

    fn record_speed(&self, sample: speed::Sample, now: Duration) {
        if self.shows_speed {
            let Endpoint { service, id, .. } = &self.endpoint;
            self.node.speeds.borrow_mut().record(service, id, sample, now);
        }
    }

    /// Records a complete response without a server error.
    pub fn record_success(&self) {
        let now = clock::now();
        let ratio = self.elapsed(now).1;
        self.record_health_success();
        // The response of an engine takes as long as its output, which the estimate leaves out.
        if self.load.memory_tokens == 0 {
            self.record_speed(speed::Sample::Response(ratio), now);
        }
        self.record_sample(Sample::Start(ratio));
    }

    fn record_health_success(&self) {
        let mut roster = self.node.roster.borrow_mut();
        let id = &self.endpoint.id;
        roster.stated.cold.record_success(&self.endpoint, self.began, clock::now());
        if roster.health(id).is_some_and(|health| health.record_success()) {
            log::info!("place: event=endpoint_regained endpoint={id}");
        }
    }

    /// Records a failed connection or a broken response. The endpoint may come back cold.
    pub fn record_failure(&self) {
        let mut roster = self.node.roster.borrow_mut();
        if roster.stated.cold.record_failure(&self.endpoint, clock::now()) {
            cold::log_cold(&self.endpoint.id, "failure");
        }
        drop(roster);
        self.record_server_error();
    }

    /// Records a failed request.
    pub fn record_server_error(&self) {
        let has_started = self.has_started.get();
        self.record_sample(if has_started { Sample::Broken } else { Sample::Failed });
        let mut roster = self.node.roster.borrow_mut();
        let id = &self.endpoint.id;
        let paused = roster.health(id).and_then(|health| health.record_failure(clock::now()));
        if let Some(roster::Pause { length, failures, failure_share }) = paused {
            log::info!(
                "place: event=endpoint_paused endpoint={id} pause_ms={} failures={failures} \
                 failure_share={failure_share:.2}",
                length.as_millis()
            );
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if self.is_awaited.get() {
            self.record_sample(Sample::Start(self.elapsed(clock::now()).1));
        }
        self.node.balancer.borrow_mut().end_request(&self.endpoint.id, self.load);
        // Neither the end of a request on a lost endpoint nor a rejection frees room.
        let has_freed_room = !self.is_rejected.get()
            && self.node.roster.try_borrow().is_ok_and(|roster| {
                roster.get(&self.endpoint.id).is_some_and(|entry| entry.is_usable(clock::now()))
            });
        self.node.release_capacity(&self.endpoint.service, has_freed_room);
    }
}
