//! Speed factor of each endpoint: the time that it takes relative to the mean of its service.
//!
//! The load that decides: at any time some endpoints are 2.5 times slower than the others, for 600 ms to some
//! seconds, and a node sees few responses of each endpoint. First events alone show a slow phase after it is over.
//! Events of running streams show it within 100 ms, as each stream has some 20 of them in a second, and the nodes
//! share what they see in the loads that they report.
//!
//! Each observation is divided by the mean of its kind at a similar load. A factor is the mean of these ratios at
//! an endpoint, divided by their mean over the service, so that a slowdown of the whole service changes no factor.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::balancer::Load;

/// Time constant of the means of an endpoint and of its service. A slow phase lasts 600 ms or longer, so half of
/// it shows in the choice.
const TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Time constant of the mean of one kind of observations, over which a load level has samples of all endpoints.
const KIND_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Age from which observations of a node, or the report of a peer, no longer count.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Time without observations after which an endpoint is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3);
/// Bounds of a ratio and of a factor.
const FACTOR_RANGE: (f64, f64) = (0.25, 20.0);
/// Observations that 1.0 counts as, so that a single one has little effect and a factor returns without any.
const PRIOR_WEIGHT: f64 = 2.0;
/// Most observations that a node's own part counts as: one node with many streams doesn't outvote the others.
const MAX_OWN_WEIGHT: f64 = 60.0;
/// Factor from which an endpoint is logged as slow, and below which as recovered.
const SLOW_FACTOR: f64 = 1.5;
const RECOVERED_FACTOR: f64 = 1.2;
/// Least numbers of running requests of the levels above the lowest one.
const RUNNING_LEVELS: [u32; 3] = [4, 8, 16];
const GAP_KINDS: usize = RUNNING_LEVELS.len() + 1;

/// What a node, or a failure domain, has observed of an endpoint, as it is sent to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Factor in hundredths.
    pub factor: u16,
    /// Number of recent observations, bounded; 0 if there are none.
    pub weight: u8,
}

/// An observation of an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum Sample {
    /// Time between two events of a stream, and the largest load of the endpoint meanwhile.
    Gap(Duration, Load),
    /// Time to the first event of a stream, relative to the estimate.
    FirstEvent(f64),
    /// Time to the response of a plain service, relative to the estimate.
    Response(f64),
}

impl Sample {
    /// Returns the position of the mean with which the sample is compared, and its value.
    fn kind(self) -> (usize, f64) {
        match self {
            Sample::Gap(gap, load) => {
                let level = RUNNING_LEVELS.iter().filter(|it| load.requests >= **it).count();
                (level, gap.as_secs_f64())
            }
            Sample::FirstEvent(ratio) => (GAP_KINDS, ratio),
            Sample::Response(ratio) => (GAP_KINDS + 1, ratio),
        }
    }
}

/// Weighted mean whose observations lose weight with time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mean {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl Mean {
    fn at(self, time_constant: Duration, now: Duration) -> Mean {
        let kept = remaining(now.saturating_sub(self.updated_at), time_constant);
        Mean { sum: self.sum * kept, weight: self.weight * kept, updated_at: now }
    }

    fn record(&mut self, value: f64, time_constant: Duration, now: Duration) {
        *self = self.at(time_constant, now);
        self.add(value, 1.0);
    }

    fn add(&mut self, value: f64, weight: f64) {
        self.sum += value * weight;
        self.weight += weight;
    }

    /// Adds the report of a peer by its age.
    pub fn add_report(&mut self, report: Report, age: Duration) {
        if age < MAX_AGE {
            let weight = f64::from(report.weight) * remaining(age, TIME_CONSTANT);
            self.add(f64::from(report.factor) / 100.0, weight);
        }
    }

    /// Returns the mean as it is sent to other nodes.
    pub fn report(self) -> Report {
        let weight = self.weight.round().min(f64::from(u8::MAX)) as u8;
        let factor = if weight == 0 { 1.0 } else { clamp(self.sum / self.weight) };
        Report { factor: (factor * 100.0).round() as u16, weight }
    }

    fn value(self, prior: f64, prior_weight: f64) -> f64 {
        (self.sum + prior * prior_weight) / (self.weight + prior_weight)
    }
}

fn remaining(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

fn clamp(factor: f64) -> f64 {
    factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

/// Observations of one service.
#[derive(Debug, Default)]
struct Service {
    kinds: [Mean; GAP_KINDS + 2],
    /// Mean ratio over all endpoints.
    ratio: Mean,
}

/// Observations of one endpoint.
#[derive(Debug)]
struct Endpoint {
    service: Arc<str>,
    ratio: Mean,
    observed_at: Duration,
    is_slow: bool,
}

/// Mean of what the peers report of an endpoint.
#[derive(Debug, Default)]
struct Peers {
    mean: Mean,
    /// Time of the newest report.
    reported_at: Duration,
}

/// Change of an endpoint's factor, for the log.
#[derive(Debug, PartialEq)]
pub struct Change {
    pub endpoint: Arc<str>,
    pub is_slow: bool,
    pub factor: f64,
}

/// One node's observations of all endpoints, and those that its peers report.
#[derive(Debug, Default)]
pub struct Speeds {
    services: HashMap<Arc<str>, Service>,
    endpoints: HashMap<Arc<str>, Endpoint>,
    peers: HashMap<Arc<str>, Peers>,
}

impl Speeds {
    /// Records an observation of an endpoint of a service.
    pub fn record(&mut self, service: &Arc<str>, id: &Arc<str>, sample: Sample, now: Duration) {
        // A gap in which prompts are read shows their length rather than the speed.
        if matches!(sample, Sample::Gap(_, load) if load.unread_tokens > 0) {
            return;
        }
        let (kind, value) = sample.kind();
        let totals = match self.services.get_mut(service) {
            Some(totals) => totals,
            None => self.services.entry(service.clone()).or_default(),
        };
        let mean = &mut totals.kinds[kind];
        mean.record(value, KIND_TIME_CONSTANT, now);
        let usual = mean.sum / mean.weight;
        let ratio = if usual > 0.0 { clamp(value / usual) } else { 1.0 };
        totals.ratio.record(ratio, TIME_CONSTANT, now);
        let endpoint = match self.endpoints.get_mut(id) {
            Some(endpoint) => endpoint,
            None => self.endpoints.entry(id.clone()).or_insert_with(|| Endpoint {
                service: service.clone(),
                ratio: Mean::default(),
                observed_at: now,
                is_slow: false,
            }),
        };
        endpoint.ratio.record(ratio, TIME_CONSTANT, now);
        endpoint.observed_at = now;
    }

    /// Returns the mean of the node's own observations within the last second, relative to the service.
    fn own(&self, id: &str, now: Duration) -> Option<Mean> {
        let endpoint = self.endpoints.get(id)?;
        let is_recent = now.saturating_sub(endpoint.observed_at) < MAX_AGE;
        let service = self.services.get(&endpoint.service).filter(|_| is_recent)?;
        let usual = service.ratio.sum / service.ratio.weight;
        let ratio = endpoint.ratio.at(TIME_CONSTANT, now);
        let mut own = Mean { updated_at: now, ..Mean::default() };
        own.add(clamp(ratio.sum / ratio.weight / usual), ratio.weight.min(MAX_OWN_WEIGHT));
        Some(own)
    }

    /// Returns what this node reports of an endpoint to its peers.
    pub fn report(&self, id: &str, now: Duration) -> Report {
        self.own(id, now).unwrap_or_default().report()
    }

    /// Replaces the reports of the peers, each with its age.
    pub fn set_peers<'a>(
        &mut self,
        reports: impl Iterator<Item = (&'a Arc<str>, Report, Duration)>,
        now: Duration,
    ) {
        self.peers.clear();
        for (id, report, age) in
            reports.filter(|(_, report, age)| report.weight > 0 && *age < MAX_AGE)
        {
            let peers = self.peers.entry(id.clone()).or_default();
            peers.mean.updated_at = now;
            peers.mean.add_report(report, age);
            peers.reported_at = peers.reported_at.max(now.saturating_sub(age));
        }
    }

    /// Returns the factor of an endpoint as this node and its peers observe it; `None` without any observation
    /// within the last second.
    pub fn factor(&self, id: &str, now: Duration) -> Option<f64> {
        let peers = self.peers.get(id);
        let peers = peers.filter(|peers| now.saturating_sub(peers.reported_at) < MAX_AGE);
        let own = self.own(id, now);
        if own.is_none() && peers.is_none() {
            return None;
        }
        let mut mean = own.unwrap_or_default();
        let peers = peers.map(|peers| peers.mean.at(TIME_CONSTANT, now)).unwrap_or_default();
        mean.sum += peers.sum;
        mean.weight += peers.weight;
        Some(clamp(mean.value(1.0, PRIOR_WEIGHT)))
    }

    /// Returns the factor for the choice of an endpoint, at least 1: all nodes would send to the few endpoints that
    /// seem fast until their loads are reported.
    pub fn slowness(&self, id: &str, now: Duration) -> Option<f64> {
        self.factor(id, now).map(|factor| factor.max(1.0))
    }

    /// Forgets endpoints without observations, and returns those that have become slow or have recovered.
    pub fn refresh(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        let factors: Vec<_> = self.endpoints.keys().map(|id| self.factor(id, now)).collect();
        for ((id, endpoint), factor) in self.endpoints.iter_mut().zip(factors) {
            let factor = factor.unwrap_or(1.0);
            let limit = if endpoint.is_slow { RECOVERED_FACTOR } else { SLOW_FACTOR };
            if (factor > limit) != endpoint.is_slow {
                endpoint.is_slow = !endpoint.is_slow;
                let is_slow = endpoint.is_slow;
                changes.push(Change { endpoint: id.clone(), is_slow, factor });
            }
        }
        self.endpoints
            .retain(|_, it| it.is_slow || now.saturating_sub(it.observed_at) < FORGET_AFTER);
        self.services.retain(|_, it| now.saturating_sub(it.ratio.updated_at) < FORGET_AFTER);
        changes
    }
}
