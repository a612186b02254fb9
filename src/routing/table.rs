use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::health::{Health, State};
use super::hint::Hints;
use super::prefix::{Affinity, Prefixes};
use super::{
    Endpoint, Key, Locality, MAX_BLOCKS, MAX_ENDPOINTS, Selection, mix, subset, unit_interval,
};

/// Maximum load of a chosen endpoint, relative to the mean load of the available endpoints.
pub const LOAD_BOUND: f64 = 1.25;

/// Age at which a load report is ignored; its weight decays linearly until then.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Endpoints that may hold a shared prefix, as a multiple of its proportional share of endpoints. A
/// factor of 2 absorbs uneven demand before requests spill over to endpoints without the prefix.
const GROUP_FACTOR: f64 = 2.0;

/// Rendezvous weight of endpoints in other failure domains of the region. It is close to 1 so that
/// nodes of different failure domains mostly agree: recomputing a prompt costs more than the 1 ms
/// of latency between failure domains.
const OTHER_DOMAIN_WEIGHT: f64 = 0.95;
const OTHER_REGION_WEIGHT: f64 = 0.5;

/// Load in requests that is added to endpoints in other failure domains of the region when requests
/// without affinity are balanced.
const OTHER_DOMAIN_LOAD: f64 = 0.5;
const OTHER_REGION_LOAD: f64 = 4.0;

/// Effect of twice the mean cost on the rendezvous weight and on the load. It is kept about as
/// small as that of another failure domain, since the VMs run and are paid for in any case.
const COST_WEIGHT_EFFECT: f64 = 0.05;
const COST_LOAD_EFFECT: f64 = 0.25;

/// Maximum number of blocks looked up in the hint table per choice, from the end of the prompt.
const MAX_HINT_LOOKUPS: usize = 32;

/// Time for which a removed endpoint stays excluded, since the VM list may lag and still contain
/// it.
const REMOVED_TTL: Duration = Duration::from_secs(600);
const MAX_REMOVED: usize = 1_024;

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    hash: u64,
    /// Inverse of the rendezvous weight.
    inverse_weight: f64,
    /// Load in requests that is added for the distance and the cost of the endpoint.
    load_penalty: f64,
    in_flight: u32,
    /// Load from other nodes, in requests, according to the last report.
    other_load: f64,
    reported_at: Option<Duration>,
    health: Health,
}

impl Row {
    fn load(&self, now: Duration) -> f64 {
        let local_load = f64::from(self.in_flight);
        let Some(reported_at) = self.reported_at else { return local_load };
        if self.other_load == 0.0 {
            return local_load;
        }
        let age = now.saturating_sub(reported_at).as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        local_load + self.other_load * (1.0 - age).max(0.0)
    }

    /// Returns the weighted rendezvous score; the endpoint with the highest score is preferred.
    ///
    /// The exact score is `ln(1 - fraction) / weight`, but the logarithm dominated the time of a
    /// choice. Three terms of its series are accurate enough for the small fractions that win.
    fn score(&self, block: u64) -> f64 {
        let fraction = unit_interval(mix(block, self.hash));
        -self.inverse_weight * fraction * (1.0 + fraction * (0.5 + fraction * (1.0 / 3.0)))
    }
}

/// Describes an available endpoint during one choice.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    row: usize,
    load: f64,
    is_within_bound: bool,
}

type Candidates = SmallVec<[Candidate; MAX_ENDPOINTS]>;

/// Chooses endpoints for the requests of one node.
#[derive(Debug)]
pub struct Table {
    locality: Locality,
    seed: u64,
    rows: Vec<Row>,
    index: HashMap<Arc<str>, usize>,
    removed: HashMap<Arc<str>, Duration>,
    hints: Hints,
    prefixes: Prefixes,
}

impl Table {
    /// Creates a table without endpoints; `seed` varies the ejection times between nodes.
    pub fn new(locality: Locality, seed: u64) -> Table {
        Table {
            locality,
            seed,
            rows: Vec::new(),
            index: HashMap::new(),
            removed: HashMap::new(),
            hints: Hints::new(),
            prefixes: Prefixes::new(),
        }
    }

    /// Replaces the endpoints and keeps the load and health of those that remain.
    pub fn update(&mut self, now: Duration, endpoints: Vec<Endpoint>) {
        self.removed.retain(|_, since| now.saturating_sub(*since) < REMOVED_TTL);
        let mut old: HashMap<_, _> =
            self.rows.drain(..).map(|row| (row.endpoint.id.clone(), row)).collect();
        let mut ids = HashSet::new();
        let listed = endpoints.into_iter();
        let listed = listed.filter(|endpoint| ids.insert(endpoint.id.clone()));
        let retained = listed.filter(|endpoint| !self.removed.contains_key(&endpoint.id)).collect();
        let endpoints = subset(&self.locality, retained);
        let total_cost: f64 = endpoints.iter().map(|endpoint| f64::from(endpoint.cost)).sum();
        let mean_cost = total_cost / endpoints.len().max(1) as f64;
        let locality = &self.locality;
        let rows = endpoints.into_iter().map(|endpoint| {
            let previous = old.remove(&endpoint.id);
            build_row(locality, mean_cost, endpoint, previous)
        });
        self.rows = rows.collect();
        self.index_rows();
    }

    /// Removes an endpoint and ignores it in updates for `REMOVED_TTL`.
    pub fn remove(&mut self, now: Duration, id: &Arc<str>) {
        if self.removed.len() >= MAX_REMOVED
            && let Some(oldest) = self.removed.iter().min_by_key(|(_, since)| **since)
        {
            let oldest = oldest.0.clone();
            self.removed.remove(&oldest);
        }
        self.removed.insert(id.clone(), now);
        self.rows.retain(|row| row.endpoint.id != *id);
        self.index_rows();
    }

    /// Returns the number of endpoints, including ejected ones.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the load of an endpoint in requests, as estimated by this node.
    pub fn load(&self, now: Duration, id: &str) -> Option<f64> {
        self.index.get(id).map(|&row| self.rows[row].load(now))
    }

    /// Returns the number of requests from this node in flight at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.index.get(id).map_or(0, |&row| self.rows[row].in_flight)
    }

    /// Chooses an endpoint; returns `None` if all are excluded or ejected.
    ///
    /// The load of the chosen endpoint including this request is at most 1.25 times the mean,
    /// rounded up to whole requests.
    pub fn choose(
        &mut self,
        now: Duration,
        key: Key<'_>,
        exclude: &[Arc<str>],
    ) -> Option<Selection> {
        let candidates = self.candidates(now, exclude);
        if candidates.is_empty() {
            return None;
        }
        let blocks = &key.blocks[..key.blocks.len().min(MAX_BLOCKS)];
        let row = if blocks.is_empty() {
            self.least_loaded(&candidates, key.seed)
        } else {
            let affinity = self.prefixes.observe(blocks);
            let hint = self.find_hinted(now, &candidates, blocks, affinity);
            hint.or_else(|| self.find_preferred(now, &candidates, affinity, key.seed))
        }?;
        let row = &self.rows[row];
        let is_probe = row.health.state(now) == State::Probe;
        Some(Selection { id: row.endpoint.id.clone(), address: row.endpoint.address, is_probe })
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_start(&mut self, now: Duration, id: &str) {
        if let Some(row) = self.row(id) {
            row.in_flight += 1;
            if row.health.state(now) == State::Probe {
                row.health.start_probe(now);
            }
        }
    }

    /// Records that the endpoint answered a request.
    pub fn record_answer(&mut self, id: &str) {
        if let Some(row) = self.row(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.health.record_success();
        }
    }

    /// Records that a request failed because of the endpoint or the connection to it.
    pub fn record_failure(&mut self, now: Duration, id: &str) {
        let seed = self.seed;
        if let Some(row) = self.row(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.health.record_failure(now, mix(seed, row.hash));
        }
    }

    /// Records a request that ended without showing whether the endpoint works, such as a cancelled
    /// one.
    pub fn record_cancellation(&mut self, id: &str) {
        if let Some(row) = self.row(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records the running and queued requests that a response of the endpoint reported.
    pub fn record_load(&mut self, now: Duration, id: &str, running: u32, queued: u32) {
        if let Some(row) = self.row(id) {
            let total = f64::from(running) + f64::from(queued);
            row.other_load = (total - f64::from(row.in_flight)).max(0.0);
            row.reported_at = Some(now);
        }
    }

    /// Records that the endpoint caches the prefix that ends with this block.
    pub fn record_cached(&mut self, now: Duration, id: &str, block: u64) {
        if let Some(&row) = self.index.get(id) {
            self.hints.insert(now, block, self.rows[row].hash);
        }
    }

    /// Records that the endpoint evicted the prefix that ends with this block.
    pub fn record_evicted(&mut self, id: &str, block: u64) {
        if let Some(&row) = self.index.get(id) {
            self.hints.remove(block, Some(self.rows[row].hash));
        }
    }

    fn row(&mut self, id: &str) -> Option<&mut Row> {
        self.index.get(id).and_then(|&row| self.rows.get_mut(row))
    }

    fn index_rows(&mut self) {
        let ids = self.rows.iter().enumerate();
        self.index = ids.map(|(index, row)| (row.endpoint.id.clone(), index)).collect();
    }

    /// Returns the available endpoints and marks those within the load bound.
    fn candidates(&self, now: Duration, exclude: &[Arc<str>]) -> Candidates {
        // Loads count in whole requests, so at least one endpoint is always within the bound.
        let mut candidates = Candidates::new();
        let mut total = 0.0;
        for (index, row) in self.rows.iter().enumerate() {
            let is_ejected = row.health.state(now) == State::Ejected;
            if is_ejected || exclude.contains(&row.endpoint.id) {
                continue;
            }
            let load = row.load(now);
            total += load.floor();
            candidates.push(Candidate { row: index, load, is_within_bound: false });
        }
        let bound = (LOAD_BOUND * (total + 1.0) / candidates.len().max(1) as f64).ceil();
        for candidate in &mut candidates {
            candidate.is_within_bound = candidate.load.floor() + 1.0 <= bound;
        }
        candidates
    }

    fn least_loaded(&self, candidates: &Candidates, seed: u64) -> Option<usize> {
        let within = candidates.iter().filter(|candidate| candidate.is_within_bound);
        let scored = within.map(|candidate| {
            let row = &self.rows[candidate.row];
            (candidate.load + row.load_penalty, mix(seed, row.hash), candidate.row)
        });
        let least =
            scored.min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        least.map(|(_, _, row)| row)
    }

    /// Returns the endpoint hinted for the longest prefix beyond the shared blocks, if it is
    /// available and within the load bound.
    fn find_hinted(
        &mut self,
        now: Duration,
        candidates: &Candidates,
        blocks: &[u64],
        affinity: Affinity,
    ) -> Option<usize> {
        let rest = blocks[affinity.depth..].iter().rev();
        let hash = rest.take(MAX_HINT_LOOKUPS).find_map(|&block| self.hints.get(now, block))?;
        let mut within = candidates.iter().filter(|candidate| candidate.is_within_bound);
        let found = within.find(|candidate| self.rows[candidate.row].hash == hash)?;
        if let Some(conversation) = affinity.conversation {
            self.hints.insert(now, conversation, hash);
        }
        Some(found.row)
    }

    /// Returns the endpoint within the load bound that the prefix blocks score highest.
    fn find_preferred(
        &mut self,
        now: Duration,
        candidates: &Candidates,
        affinity: Affinity,
        seed: u64,
    ) -> Option<usize> {
        let memberships = self.prefix_group(candidates, affinity);
        let mut best: Option<(Score, &Candidate)> = None;
        let mut best_within: Option<(Score, &Candidate)> = None;
        for (candidate, membership) in candidates.iter().zip(memberships) {
            let row = &self.rows[candidate.row];
            let score = match (membership, affinity.conversation) {
                (Membership::Inside, Some(conversation)) => (2, row.score(conversation)),
                (Membership::Inside, None) => (2, -candidate.load - row.load_penalty),
                (Membership::Outside(score), _) => (1, score),
            };
            if best.is_none_or(|(found, _)| score > found) {
                best = Some((score, candidate));
            }
            if candidate.is_within_bound && best_within.is_none_or(|(found, _)| score > found) {
                best_within = Some((score, candidate));
            }
        }
        let Some((_, chosen)) = best_within else { return self.least_loaded(candidates, seed) };
        if let (Some(conversation), Some((_, first))) = (affinity.conversation, best) {
            if first.row == chosen.row {
                self.hints.remove(conversation, None);
            } else {
                self.hints.insert(now, conversation, self.rows[chosen.row].hash);
            }
        }
        Some(chosen.row)
    }

    /// Selects the endpoints that should cache the shared prefix; their number follows its traffic.
    fn prefix_group(
        &self,
        candidates: &Candidates,
        affinity: Affinity,
    ) -> SmallVec<[Membership; MAX_ENDPOINTS]> {
        let Some((block, share)) = affinity.shared else {
            return candidates.iter().map(|_| Membership::Inside).collect();
        };
        let wanted = (candidates.len() as f64 * share * GROUP_FACTOR).ceil().max(2.0) as usize;
        let size = wanted.next_power_of_two();
        if size >= candidates.len() {
            return candidates.iter().map(|_| Membership::Inside).collect();
        }
        let score = |candidate: &Candidate| self.rows[candidate.row].score(block);
        let scores: SmallVec<[f64; MAX_ENDPOINTS]> = candidates.iter().map(score).collect();
        let mut sorted = scores.clone();
        let (_, least, _) =
            sorted.select_nth_unstable_by(size - 1, |left, right| right.total_cmp(left));
        let least = *least;
        let membership =
            |score| if score >= least { Membership::Inside } else { Membership::Outside(score) };
        scores.into_iter().map(membership).collect()
    }
}

type Score = (u8, f64);

/// Describes whether an endpoint is in the group that should cache a shared prefix.
#[derive(Debug, Clone, Copy)]
enum Membership {
    Inside,
    Outside(f64),
}

fn build_row(locality: &Locality, mean_cost: f64, endpoint: Endpoint, old: Option<Row>) -> Row {
    let relative_cost = if mean_cost > 0.0 { f64::from(endpoint.cost) / mean_cost } else { 1.0 };
    let (weight, load_penalty) = if endpoint.failure_domain == locality.failure_domain {
        (1.0, 0.0)
    } else if endpoint.region == locality.region {
        (OTHER_DOMAIN_WEIGHT, OTHER_DOMAIN_LOAD)
    } else {
        (OTHER_REGION_WEIGHT, OTHER_REGION_LOAD)
    };
    let cost = (relative_cost - 1.0).clamp(-1.0, 1.0);
    let hash = xxh3::xxh3_64(endpoint.id.as_bytes()).max(1);
    Row {
        hash,
        inverse_weight: 1.0 / (weight * (1.0 - COST_WEIGHT_EFFECT * cost)),
        load_penalty: load_penalty + COST_LOAD_EFFECT * cost,
        in_flight: old.as_ref().map_or(0, |row| row.in_flight),
        other_load: old.as_ref().map_or(0.0, |row| row.other_load),
        reported_at: old.as_ref().and_then(|row| row.reported_at),
        health: old.map_or_else(Health::default, |row| row.health),
        endpoint,
    }
}
