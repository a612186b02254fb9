use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::health::{Health, State};
use super::hint::Hints;
use super::prefix::{Affinity, Shared};
use super::{Candidate, Endpoint, Key, MAX_BLOCKS, MAX_ENDPOINTS, Place, mix, subset, unit};

/// Largest load of a chosen endpoint, relative to the mean load of the endpoints that can be chosen.
pub const LOAD_BOUND: f64 = 1.25;

/// Age at which a load report no longer counts; its weight falls linearly until then.
const REPORT_AGE: Duration = Duration::from_secs(5);

/// Endpoints per share of traffic that may hold a shared prefix. Two leave room for uneven demand
/// before requests spill over to endpoints that do not hold the prefix.
const SPREAD: f64 = 2.0;

/// Weight in the rendezvous hash of endpoints outside the own failure domain. It is close to 1
/// because nodes of different failure domains should mostly agree: a recomputed prompt costs more
/// than the 1 ms between failure domains.
const OTHER_DOMAIN: f64 = 0.95;
const OTHER_REGION: f64 = 0.5;

/// Load, in requests, that an endpoint of another failure domain must be below the own ones to
/// receive a request without affinity.
const OTHER_DOMAIN_LOAD: f64 = 0.5;
const OTHER_REGION_LOAD: f64 = 4.0;

/// Effect of a cost twice the mean on the weight and on the load, of the same size as the effect of
/// another failure domain: the VMs run and are paid for either way.
const COST_WEIGHT: f64 = 0.05;
const COST_LOAD: f64 = 0.25;

/// Blocks looked up in the hint table per choice, counted from the end of the prompt.
const MAX_HINT_LOOKUPS: usize = 32;

/// Time for which a leaving endpoint stays excluded although the lagging VM list still names it.
const LEAVING_AGE: Duration = Duration::from_secs(600);
const MAX_LEAVING: usize = 1_024;

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    hash: u64,
    /// Inverse of the weight.
    handicap: f64,
    /// Extra load that the distance and the cost of the endpoint count as.
    distance: f64,
    in_flight: u32,
    /// Load that other nodes caused at the time of the last report.
    others: f64,
    reported: Option<Duration>,
    health: Health,
}

impl Row {
    fn load(&self, now: Duration) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(reported) = self.reported else { return own };
        if self.others == 0.0 {
            return own;
        }
        let age = now.saturating_sub(reported).as_secs_f64() / REPORT_AGE.as_secs_f64();
        own + self.others * (1.0 - age).max(0.0)
    }

    /// Gives the weighted rendezvous rank; the highest is preferred.
    ///
    /// The exact value is `ln(1 - part) / weight`. Three terms of the series are exact enough for
    /// the small parts that win, and the logarithm took most of the time of a choice.
    fn rank(&self, block: u64) -> f64 {
        let part = unit(mix(block, self.hash));
        -self.handicap * part * (1.0 + part * (0.5 + part * (1.0 / 3.0)))
    }
}

/// Holds an endpoint that can be chosen, during one choice.
#[derive(Debug, Clone, Copy)]
struct Open {
    row: usize,
    load: f64,
    within_bound: bool,
}

type Opens = SmallVec<[Open; MAX_ENDPOINTS]>;

/// Chooses endpoints for the requests of one node.
#[derive(Debug)]
pub struct Table {
    place: Place,
    seed: u64,
    rows: Vec<Row>,
    index: HashMap<Arc<str>, usize>,
    leaving: HashMap<Arc<str>, Duration>,
    hints: Hints,
    shared: Shared,
}

impl Table {
    /// Starts without endpoints; `seed` makes the retry times of nodes differ.
    pub fn new(place: Place, seed: u64) -> Table {
        Table {
            place,
            seed,
            rows: Vec::new(),
            index: HashMap::new(),
            leaving: HashMap::new(),
            hints: Hints::new(),
            shared: Shared::new(),
        }
    }

    /// Replaces the list of endpoints and keeps what is known about those that stay.
    pub fn update(&mut self, now: Duration, endpoints: Vec<Endpoint>) {
        self.leaving.retain(|_, since| now.saturating_sub(*since) < LEAVING_AGE);
        let mut old: HashMap<_, _> =
            self.rows.drain(..).map(|row| (row.endpoint.id.clone(), row)).collect();
        let mut ids = HashSet::new();
        let listed = endpoints.into_iter();
        let listed = listed.filter(|endpoint| ids.insert(endpoint.id.clone()));
        let staying = listed.filter(|endpoint| !self.leaving.contains_key(&endpoint.id)).collect();
        let endpoints = subset(&self.place, staying);
        let total_cost: f64 = endpoints.iter().map(|endpoint| f64::from(endpoint.cost)).sum();
        let mean_cost = total_cost / endpoints.len().max(1) as f64;
        let place = &self.place;
        let rows = endpoints.into_iter().map(|endpoint| {
            let previous = old.remove(&endpoint.id);
            build_row(place, mean_cost, endpoint, previous)
        });
        self.rows = rows.collect();
        self.index_rows();
    }

    /// Stops choosing an endpoint at once, and ignores lists that still name it for a while.
    pub fn leave(&mut self, now: Duration, id: &Arc<str>) {
        if self.leaving.len() >= MAX_LEAVING
            && let Some(oldest) = self.leaving.iter().min_by_key(|(_, since)| **since)
        {
            let oldest = oldest.0.clone();
            self.leaving.remove(&oldest);
        }
        self.leaving.insert(id.clone(), now);
        self.rows.retain(|row| row.endpoint.id != *id);
        self.index_rows();
    }

    /// Counts the endpoints in use, including those left out after failures.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Gives the load of an endpoint in requests, as seen by this node.
    pub fn load_of(&self, now: Duration, id: &str) -> Option<f64> {
        self.index.get(id).map(|&row| self.rows[row].load(now))
    }

    /// Counts the requests of this node in flight at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.index.get(id).map_or(0, |&row| self.rows[row].in_flight)
    }

    /// Chooses an endpoint, or none if all are excluded or left out after failures.
    ///
    /// The load of the chosen endpoint, with this request, is at most 1.25 times the mean, rounded
    /// up to whole requests.
    pub fn choose(
        &mut self,
        now: Duration,
        key: Key<'_>,
        exclude: &[Arc<str>],
    ) -> Option<Candidate> {
        let open = self.open(now, exclude);
        if open.is_empty() {
            return None;
        }
        let blocks = &key.blocks[..key.blocks.len().min(MAX_BLOCKS)];
        let row = if blocks.is_empty() {
            self.least_loaded(&open, key.seed)
        } else {
            let affinity = self.shared.observe(blocks);
            let hinted = self.hinted(now, &open, blocks, affinity);
            hinted.or_else(|| self.preferred(now, &open, affinity, key.seed))
        }?;
        let row = &self.rows[row];
        let trial = row.health.state(now) == State::Trial;
        Some(Candidate { id: row.endpoint.id.clone(), address: row.endpoint.address, trial })
    }

    /// Counts a request that is now sent to an endpoint.
    pub fn started(&mut self, now: Duration, id: &str) {
        if let Some(row) = self.row(id) {
            row.in_flight += 1;
            if row.health.state(now) == State::Trial {
                row.health.trial_started(now);
            }
        }
    }

    /// Counts the end of a request that the endpoint answered.
    pub fn finished(&mut self, id: &str) {
        if let Some(row) = self.row(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.health.succeeded();
        }
    }

    /// Counts the end of a request that failed because of the endpoint or the connection to it.
    pub fn failed(&mut self, now: Duration, id: &str) {
        let seed = self.seed;
        if let Some(row) = self.row(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.health.failed(now, mix(seed, row.hash));
        }
    }

    /// Counts the end of a request that says nothing about the endpoint, such as a cancelled one.
    pub fn cancelled(&mut self, id: &str) {
        if let Some(row) = self.row(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records the load that a response of the endpoint reported.
    pub fn load(&mut self, now: Duration, id: &str, running: u32, queued: u32) {
        if let Some(row) = self.row(id) {
            let reported = f64::from(running) + f64::from(queued);
            row.others = (reported - f64::from(row.in_flight)).max(0.0);
            row.reported = Some(now);
        }
    }

    /// Records a cache event: the endpoint now holds the prefix that ends with this block.
    pub fn cached(&mut self, now: Duration, id: &str, block: u64) {
        if let Some(&row) = self.index.get(id) {
            self.hints.insert(now, block, self.rows[row].hash);
        }
    }

    /// Records a cache event: the endpoint no longer holds the prefix that ends with this block.
    pub fn evicted(&mut self, id: &str, block: u64) {
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

    /// Lists the endpoints that can be chosen and marks those below the load bound.
    fn open(&self, now: Duration, exclude: &[Arc<str>]) -> Opens {
        // With loads in whole requests, at least one endpoint is always below the bound.
        let mut open = Opens::new();
        let mut total = 0.0;
        for (index, row) in self.rows.iter().enumerate() {
            let left_out = row.health.state(now) == State::LeftOut;
            if left_out || exclude.contains(&row.endpoint.id) {
                continue;
            }
            let load = row.load(now);
            total += load.floor();
            open.push(Open { row: index, load, within_bound: false });
        }
        let bound = (LOAD_BOUND * (total + 1.0) / open.len().max(1) as f64).ceil();
        for candidate in &mut open {
            candidate.within_bound = candidate.load.floor() + 1.0 <= bound;
        }
        open
    }

    fn least_loaded(&self, open: &Opens, seed: u64) -> Option<usize> {
        let within = open.iter().filter(|candidate| candidate.within_bound);
        let rated = within.map(|candidate| {
            let row = &self.rows[candidate.row];
            (candidate.load + row.distance, mix(seed, row.hash), candidate.row)
        });
        let least =
            rated.min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        least.map(|(_, _, row)| row)
    }

    /// Finds the endpoint that holds the longest known prefix beyond the shared blocks.
    fn hinted(
        &mut self,
        now: Duration,
        open: &Opens,
        blocks: &[u64],
        affinity: Affinity,
    ) -> Option<usize> {
        let own = blocks[affinity.depth..].iter().rev();
        let hash = own.take(MAX_HINT_LOOKUPS).find_map(|&block| self.hints.get(now, block))?;
        let mut within = open.iter().filter(|candidate| candidate.within_bound);
        let found = within.find(|candidate| self.rows[candidate.row].hash == hash)?;
        if let Some(own) = affinity.own {
            self.hints.insert(now, own, hash);
        }
        Some(found.row)
    }

    /// Takes the first endpoint below the bound in the order that the prefix blocks define.
    fn preferred(
        &mut self,
        now: Duration,
        open: &Opens,
        affinity: Affinity,
        seed: u64,
    ) -> Option<usize> {
        let group = self.group(open, affinity);
        let mut best: Option<(Rank, &Open)> = None;
        let mut best_within: Option<(Rank, &Open)> = None;
        for (candidate, group_rank) in open.iter().zip(group) {
            let row = &self.rows[candidate.row];
            let rank = match (group_rank, affinity.own) {
                (GroupRank::Inside, Some(own)) => (2, row.rank(own)),
                (GroupRank::Inside, None) => (2, -candidate.load - row.distance),
                (GroupRank::Outside(rank), _) => (1, rank),
            };
            if best.is_none_or(|(found, _)| rank > found) {
                best = Some((rank, candidate));
            }
            if candidate.within_bound && best_within.is_none_or(|(found, _)| rank > found) {
                best_within = Some((rank, candidate));
            }
        }
        let Some((_, chosen)) = best_within else { return self.least_loaded(open, seed) };
        if let (Some(own), Some((_, first))) = (affinity.own, best) {
            if first.row == chosen.row {
                self.hints.remove(own, None);
            } else {
                self.hints.insert(now, own, self.rows[chosen.row].hash);
            }
        }
        Some(chosen.row)
    }

    /// Names the endpoints that should hold the shared prefix, as many as its traffic needs.
    fn group(&self, open: &Opens, affinity: Affinity) -> SmallVec<[GroupRank; MAX_ENDPOINTS]> {
        let Some((block, share)) = affinity.shared else {
            return open.iter().map(|_| GroupRank::Inside).collect();
        };
        let wanted = (open.len() as f64 * share * SPREAD).ceil().max(2.0) as usize;
        let size = wanted.next_power_of_two();
        if size >= open.len() {
            return open.iter().map(|_| GroupRank::Inside).collect();
        }
        let rank = |candidate: &Open| self.rows[candidate.row].rank(block);
        let ranks: SmallVec<[f64; MAX_ENDPOINTS]> = open.iter().map(rank).collect();
        let mut sorted = ranks.clone();
        let (_, least, _) =
            sorted.select_nth_unstable_by(size - 1, |left, right| right.total_cmp(left));
        let least = *least;
        let inside =
            |rank| if rank >= least { GroupRank::Inside } else { GroupRank::Outside(rank) };
        ranks.into_iter().map(inside).collect()
    }
}

type Rank = (u8, f64);

/// Tells whether an endpoint is among those that should hold a shared prefix.
#[derive(Debug, Clone, Copy)]
enum GroupRank {
    Inside,
    Outside(f64),
}

fn build_row(place: &Place, mean_cost: f64, endpoint: Endpoint, old: Option<Row>) -> Row {
    let relative_cost = if mean_cost > 0.0 { f64::from(endpoint.cost) / mean_cost } else { 1.0 };
    let (weight, distance) = if endpoint.failure_domain == place.failure_domain {
        (1.0, 0.0)
    } else if endpoint.region == place.region {
        (OTHER_DOMAIN, OTHER_DOMAIN_LOAD)
    } else {
        (OTHER_REGION, OTHER_REGION_LOAD)
    };
    let cost = (relative_cost - 1.0).clamp(-1.0, 1.0);
    let hash = xxh3::xxh3_64(endpoint.id.as_bytes()).max(1);
    Row {
        hash,
        handicap: 1.0 / (weight * (1.0 - COST_WEIGHT * cost)),
        distance: distance + COST_LOAD * cost,
        in_flight: old.as_ref().map_or(0, |row| row.in_flight),
        others: old.as_ref().map_or(0.0, |row| row.others),
        reported: old.as_ref().and_then(|row| row.reported),
        health: old.map_or_else(Health::default, |row| row.health),
        endpoint,
    }
}
