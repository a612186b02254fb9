//! Load balancing: chooses the endpoint for a request.
//!
//! The hardest load is a burst of long prompts: each prefill delays the tokens of all requests that run
//! in the same batch, and the load that engines report is stale. So every node estimates the queued
//! work of an endpoint from the requests that it sent itself and those that its peers report, and
//! sends a request to the endpoint with the earliest estimated first token. Prompts that share a prefix
//! prefer the same endpoints while their load allows it.
//!
//! The reports of peers are stale as well, and all nodes receive the same ones. If every node chose the
//! best of all endpoints, all would send to the same one until the next reports. So a request compares
//! only a small random sample and the endpoints that its prefix prefers.
//!
//! When half of the endpoints are lost, the others are slower than a token count predicts, all by a
//! similar factor: the slowdown of the service. A request whose first token would miss its target
//! everywhere is refused at once, which keeps the other requests on time.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::gateway::catalog;
use crate::gateway::platform::{Endpoint, Prompt};
use crate::gateway::prefill::Prefill;
use crate::gateway::stall;

/// Prefill rate of an engine, in prompt tokens per millisecond, before any slowdown was observed.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Delay of the first token by each request that is already in flight, in milliseconds.
const RUNNING_REQUEST_MS: f64 = 0.6;
/// Fixed part of the time to the first token on an idle engine, in milliseconds.
const IDLE_FIRST_TOKEN_MS: f64 = 15.0;
/// Penalty in milliseconds for another failure domain: its latency and the price of the traffic.
const CROSS_DOMAIN_MS: f64 = 12.0;
/// Share of the shared tokens that the first and second preferred endpoint are assumed to have cached
/// when this node did not send them there itself.
const AFFINITY_CACHED_SHARES: [f64; 2] = [0.9, 0.4];
/// Time after its last use for which a prompt part is assumed to stay in an engine's cache.
const CACHE_TTL: Duration = Duration::from_secs(20);
/// Most prompt parts tracked per endpoint.
const MAX_CACHED_PARTS: usize = 4_096;
/// Share of an engine's memory that may be reserved for requests.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Share of an engine's slots that is filled before requests are queued on the nodes.
const MAX_SLOT_SHARE: f64 = 0.9;

/// Endpoints compared at a time, in addition to those that the prompt prefers.
const SAMPLE_SIZE: usize = 3;
/// Samples that are compared while all candidates would stall their streams for longer than the gap aim. More
/// would lead all nodes to the same few endpoints until their loads are reported.
const MAX_STALLED_SAMPLES: usize = 2;
/// One in this many sampled endpoints is in another failure domain than the node.
const OTHER_DOMAIN_EVERY: usize = 3;

/// A request is not refused while its estimated first token comes within this many times the estimate
/// for an idle endpoint.
const IDLE_FACTOR: u32 = 3;
/// Weight of one response in the moving averages behind a service's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Longest observed time that is counted, as a multiple of its baseline.
const MAX_SLOWDOWN: u32 = 20;
/// Half-life of the slowdown, so that a service without responses is tried again.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(5);

/// Time after which one more request is assumed to fit on an endpoint that rejected one as full; loads of
/// peers are at most this old where all nodes are direct peers.
const ROOM_STEP: Duration = Duration::from_millis(100);

/// Load of the requests that are in flight to an endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    pub requests: u32,
    /// Prompt tokens that the engine still has to prefill.
    pub unread_tokens: u32,
    /// Prompt and output tokens that the requests may occupy in the engine's memory.
    pub memory_tokens: u32,
}

impl Load {
    pub fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    fn remove(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// Prompt parts that were recently sent to an endpoint.
#[derive(Debug, Default)]
struct Cache {
    /// Time of the last use by part hash.
    last_used: HashMap<u64, Duration>,
    /// Part hashes in order of insertion; the oldest is evicted first.
    order: VecDeque<u64>,
}

impl Cache {
    fn touch(&mut self, part: u64, now: Duration) {
        if self.last_used.insert(part, now).is_none() {
            self.order.push_back(part);
        }
        while self.order.len() > MAX_CACHED_PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.last_used.remove(&oldest);
            }
        }
    }

    fn contains(&self, part: u64, now: Duration) -> bool {
        self.last_used
            .get(&part)
            .is_some_and(|&last_used| now.saturating_sub(last_used) < CACHE_TTL)
    }
}

/// Estimated load and cache contents of one endpoint.
#[derive(Debug, Default)]
struct Estimate {
    /// Load from this node.
    own: Load,
    /// Load from all peers, as they last reported it.
    peers: Load,
    cache: Cache,
    /// Room that is assumed after the endpoint rejected a request as full.
    room: Option<Room>,
}

/// Number of requests that an endpoint was found to take, and when.
#[derive(Debug, Clone, Copy)]
struct Room {
    requests: u32,
    found_at: Duration,
}

impl Room {
    /// Returns the number of requests that the endpoint is assumed to take; it rises in small steps.
    fn at(self, now: Duration) -> u32 {
        let steps = now.saturating_sub(self.found_at).as_millis() / ROOM_STEP.as_millis();
        self.requests.saturating_add(u32::try_from(steps).unwrap_or(u32::MAX))
    }
}

/// Moving averages of the observed and the baseline time to the first event over all endpoints of a
/// service.
///
/// The slowdown is the ratio of the averages, so that short prompts have little weight: some take many
/// times their estimate even under light load.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    observed: Duration,
    baseline: Duration,
    updated_at: Duration,
}

impl Slowdown {
    /// Returns the slowdown, at least 1, decayed towards 1 since the last update.
    fn ratio_at(&self, now: Duration) -> f64 {
        let ratio = self.observed.as_secs_f64() / self.baseline.as_secs_f64().max(1e-3);
        let age =
            now.saturating_sub(self.updated_at).as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (ratio - 1.0).max(0.0) * 0.5_f64.powf(age)
    }
}

/// One node's estimates for all endpoints and services.
#[derive(Debug, Default)]
pub struct Balancer {
    estimates: HashMap<Arc<str>, Estimate>,
    slowdowns: HashMap<Arc<str>, Slowdown>,
    prefills: HashMap<Arc<str>, Prefill>,
}

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    pub prompt: Option<&'a Prompt>,
    /// Seed of the order in which endpoints are sampled.
    pub hash: u64,
    /// Latest time for the first token.
    pub deadline: Duration,
    /// Longest tolerated gap between two events of the service's streams; `None` leaves stalls out of the choice.
    pub gap_target: Option<Duration>,
}

/// An endpoint that may serve the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    pub endpoint: &'a Endpoint,
    /// Observed time to the first event relative to the prediction; 1 means as predicted.
    pub slowness: f64,
}

/// The chosen endpoint and the load that the request adds to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    pub endpoint: Arc<str>,
    pub load: Load,
    /// Estimated time to the first event, without slowdown of the service or slowness of the endpoint.
    pub baseline: Duration,
    /// Estimated time to the first event with the current slowdown and slowness.
    pub predicted: Duration,
    /// Whether the time to the first event shows the prefill rate: no other prefill is known to delay the
    /// request, and little of its prompt is only assumed to be cached.
    pub shows_prefill_rate: bool,
}

/// Rank of an endpoint for a request; the least is the best.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Score {
    /// Whether the first event would miss the deadline, which is worse than a stall.
    is_tight: bool,
    /// Whether streams there would stall for longer than the gap aim.
    is_stalled: bool,
    /// Estimated time to the first event, and the cost of stalls, in milliseconds.
    ms: f64,
}

/// Reason why no endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Overload {
    /// The first token would miss the deadline by this much on the best endpoint that has capacity.
    Late(Duration),
    /// No endpoint has capacity.
    Full,
}

impl Balancer {
    /// Chooses the endpoint with the earliest estimated first token from a random sample and the
    /// preferred endpoints; draws the next sample while none is acceptable.
    ///
    /// # Errors
    ///
    /// Returns `Late` if some endpoint has capacity but none meets the deadline, otherwise `Full`.
    pub fn choose<'a>(
        &self,
        job: Job<'_>,
        domain: &str,
        candidates: impl Iterator<Item = Candidate<'a>> + Clone,
        engine: Option<&catalog::Engine>,
        now: Duration,
    ) -> Result<Choice, Overload> {
        self.choose_within(job, domain, candidates, engine, 0.0, now)
    }

    /// Chooses an endpoint as `choose` does, among those that have more than the reserved part of their slots
    /// free.
    ///
    /// # Errors
    ///
    /// Returns the same errors as `choose`.
    pub fn choose_within<'a>(
        &self,
        job: Job<'_>,
        domain: &str,
        candidates: impl Iterator<Item = Candidate<'a>> + Clone,
        engine: Option<&catalog::Engine>,
        reserved: f64,
        now: Duration,
    ) -> Result<Choice, Overload> {
        let affine = affine_endpoints(job, candidates.clone());
        let shuffled = shuffle(job.hash, domain, candidates);
        let is_affine =
            |candidate: &&Candidate<'a>| affine.contains(&Some(&*candidate.endpoint.id));
        let mut overload = Overload::Full;
        let mut best: Option<(Score, Choice)> = None;
        for (index, sample) in shuffled.chunks(SAMPLE_SIZE).enumerate() {
            for candidate in sample.iter().chain(shuffled.iter().filter(is_affine)) {
                let affinity = affine.iter().position(|id| *id == Some(&*candidate.endpoint.id));
                match self.evaluate(job, affinity, candidate, engine, reserved, now) {
                    Ok(choice) => {
                        let is_local = *candidate.endpoint.domain == *domain;
                        let penalty = if is_local { 0.0 } else { CROSS_DOMAIN_MS };
                        let mut score = self.score(job, &choice, candidate, now);
                        score.ms += penalty;
                        if best.as_ref().is_none_or(|(least, _)| score < *least) {
                            best = Some((score, choice));
                        }
                    }
                    Err(found) => overload = overload.min(found),
                }
            }
            let is_stalled = best.as_ref().is_some_and(|(score, _)| score.is_stalled);
            if best.is_some() && (!is_stalled || index + 1 >= MAX_STALLED_SAMPLES) {
                break;
            }
        }
        best.map(|(_, choice)| choice).ok_or(overload)
    }

    /// Rates an endpoint that can serve a request in time.
    fn score(
        &self,
        job: Job<'_>,
        choice: &Choice,
        candidate: &Candidate<'_>,
        now: Duration,
    ) -> Score {
        let ms = choice.predicted.as_secs_f64() * 1_000.0;
        let Some(gap_target) = job.gap_target else {
            return Score { is_tight: false, is_stalled: false, ms };
        };
        if now + choice.predicted > job.deadline {
            return Score { is_tight: true, is_stalled: false, ms };
        }
        let total = self.total_load(&choice.endpoint);
        let service = &candidate.endpoint.service;
        let pace = stall::Pace {
            tokens_per_ms: self.prefill_tokens_per_ms(service),
            factor: candidate.slowness,
            gap_target,
        };
        let (unread, own) = (total.unread_tokens, choice.load.unread_tokens);
        Score {
            is_tight: false,
            is_stalled: total.requests > 0 && pace.exceeds_aim(unread, own),
            ms: ms + pace.cost_ms(unread, own, total.requests),
        }
    }

    /// Estimates the load and time to the first event of a request on one endpoint.
    ///
    /// # Errors
    ///
    /// Returns why the endpoint can't serve the request in time.
    fn evaluate(
        &self,
        job: Job<'_>,
        affinity: Option<usize>,
        candidate: &Candidate<'_>,
        engine: Option<&catalog::Engine>,
        reserved: f64,
        now: Duration,
    ) -> Result<Choice, Overload> {
        let endpoint = candidate.endpoint;
        let idle = Estimate::default();
        let estimate = self.estimates.get(&endpoint.id).unwrap_or(&idle);
        let load = request_load(job, estimate, affinity, now);
        if !has_capacity(estimate, load, endpoint, engine, reserved, now) {
            return Err(Overload::Full);
        }
        let baseline = predict_first_event(estimate, load, endpoint, engine);
        let predicted =
            baseline.mul_f64(candidate.slowness * self.service_slowdown(&endpoint.service, now));
        // A prompt that is too long for its target even on an idle endpoint is not refused for that.
        let idle_limit = predict_first_event(&idle, load, endpoint, engine) * IDLE_FACTOR;
        let late = (now + predicted).saturating_sub(job.deadline.max(now + idle_limit));
        // An idle endpoint is always tried, so that a wrong estimate gets corrected.
        let is_idle = estimate.own.requests + estimate.peers.requests == 0;
        if engine.is_some() && !late.is_zero() && !is_idle {
            return Err(Overload::Late(late));
        }
        let is_uncontended = estimate.own.unread_tokens + estimate.peers.unread_tokens == 0
            && (estimate.own.requests + estimate.peers.requests) * 4 < endpoint.slots;
        let shared = job.prompt.map_or(0, Prompt::shared_tokens);
        Ok(Choice {
            endpoint: endpoint.id.clone(),
            load,
            baseline,
            predicted,
            shows_prefill_rate: is_uncontended && shared * 2 <= load.unread_tokens,
        })
    }

    /// Returns the observed time to the first event relative to the baseline, over all endpoints of a
    /// service; 1 if unknown.
    pub fn service_slowdown(&self, service: &str, now: Duration) -> f64 {
        self.slowdowns.get(service).map_or(1.0, |slowdown| slowdown.ratio_at(now))
    }

    /// Records the time to the first event of a request whose choice shows the prefill rate.
    pub fn record_prefill(&mut self, service: &Arc<str>, tokens: u32, observed: Duration) {
        self.prefills.entry(service.clone()).or_default().record(tokens, observed);
    }

    /// Returns the learned prefill rate of a service's engines, in prompt tokens per millisecond.
    pub fn prefill_tokens_per_ms(&self, service: &str) -> f64 {
        self.prefills.get(service).cloned().unwrap_or_default().tokens_per_ms()
    }

    /// Records an observed time to the first event and its baseline.
    pub fn record_slowdown(
        &mut self,
        service: &Arc<str>,
        observed: Duration,
        baseline: Duration,
        now: Duration,
    ) {
        let observed = observed.min(baseline * MAX_SLOWDOWN);
        let initial = Slowdown { observed: baseline, baseline, updated_at: now };
        let slowdown = self.slowdowns.entry(service.clone()).or_insert(initial);
        // Starts from the decayed value: the next response must not undo the decay.
        let current = slowdown.ratio_at(now);
        let blend = |old: Duration, new: Duration| {
            old.mul_f64(1.0 - SLOWDOWN_WEIGHT) + new.mul_f64(SLOWDOWN_WEIGHT)
        };
        slowdown.observed = blend(slowdown.baseline.mul_f64(current), observed);
        slowdown.baseline = blend(slowdown.baseline, baseline);
        slowdown.updated_at = now;
    }

    /// Adds a request to the load of its endpoint, and its prompt parts to the cache estimate.
    pub fn start_request(&mut self, choice: &Choice, prompt: Option<&Prompt>, now: Duration) {
        let estimate = self.estimates.entry(choice.endpoint.clone()).or_default();
        estimate.own.add(choice.load);
        for part in prompt.iter().flat_map(|prompt| &prompt.parts) {
            estimate.cache.touch(part.hash, now);
        }
    }

    /// Removes the unread tokens of a request from the load: the first event shows that they are read.
    pub fn record_first_event(&mut self, endpoint: &str, load: &mut Load) {
        if let Some(estimate) = self.estimates.get_mut(endpoint) {
            estimate.own.remove(Load { unread_tokens: load.unread_tokens, ..Load::default() });
        }
        load.unread_tokens = 0;
    }

    /// Removes a finished request from the load.
    pub fn end_request(&mut self, endpoint: &str, load: Load) {
        if let Some(estimate) = self.estimates.get_mut(endpoint) {
            estimate.own.remove(load);
        }
    }

    /// Lowers the room that is assumed on an endpoint, which has rejected a request in flight as full: the other
    /// known requests fill it. Returns the room.
    pub fn record_full(&mut self, endpoint: &str, now: Duration) -> u32 {
        let Some(estimate) = self.estimates.get_mut(endpoint) else { return 0 };
        let known = (estimate.own.requests + estimate.peers.requests).saturating_sub(1);
        let requests = estimate.room.map_or(known, |room| known.min(room.at(now)));
        estimate.room = Some(Room { requests, found_at: now });
        requests
    }

    /// Replaces the loads that the peers reported; loads for one endpoint add up.
    pub fn set_peer_loads(&mut self, loads: impl Iterator<Item = (Arc<str>, Load)>) {
        for estimate in self.estimates.values_mut() {
            estimate.peers = Load::default();
        }
        for (endpoint, load) in loads {
            self.estimates.entry(endpoint).or_default().peers.add(load);
        }
    }

    /// Returns the load from this node by endpoint, which it reports to its peers.
    pub fn own_loads(&self) -> impl Iterator<Item = (&Arc<str>, Load)> {
        self.estimates
            .iter()
            .filter(|(_, estimate)| estimate.own.requests > 0)
            .map(|(id, estimate)| (id, estimate.own))
    }

    /// Returns the load from all nodes on an endpoint.
    pub fn total_load(&self, endpoint: &str) -> Load {
        let mut load = Load::default();
        if let Some(estimate) = self.estimates.get(endpoint) {
            load.add(estimate.own);
            load.add(estimate.peers);
        }
        load
    }

    /// Clears the estimates of the cache and the room of an endpoint, which has restarted.
    pub fn clear_cache(&mut self, endpoint: &str) {
        if let Some(estimate) = self.estimates.get_mut(endpoint) {
            estimate.room = None;
            estimate.cache = Cache::default();
        }
    }

    /// Drops the endpoints that `keep` rejects and that have no requests of this node in flight.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.estimates.retain(|id, estimate| estimate.own.requests > 0 || keep(id));
    }
}

/// Estimates the load of a request, with the prompt parts left out that the endpoint has cached.
fn request_load(job: Job<'_>, estimate: &Estimate, affinity: Option<usize>, now: Duration) -> Load {
    let Some(prompt) = job.prompt else {
        return Load { requests: 1, ..Load::default() };
    };
    // A cached part can be reused only if all parts before it are cached too.
    let confirmed = prompt.parts.iter().take_while(|part| estimate.cache.contains(part.hash, now));
    let confirmed: u32 = confirmed.map(|part| part.tokens).sum();
    let shared = f64::from(prompt.shared_tokens());
    let assumed = affinity.map_or(0.0, |rank| shared * AFFINITY_CACHED_SHARES[rank]) as u32;
    let cached = confirmed.max(assumed);
    Load {
        requests: 1,
        unread_tokens: prompt.prompt_tokens.saturating_sub(cached),
        memory_tokens: prompt.prompt_tokens.saturating_add(prompt.max_output_tokens),
    }
}

/// Returns whether the endpoint has a free slot beyond the reserved part, and the engine the memory for the request.
fn has_capacity(
    estimate: &Estimate,
    load: Load,
    endpoint: &Endpoint,
    engine: Option<&catalog::Engine>,
    reserved: f64,
    now: Duration,
) -> bool {
    let mut total = estimate.own;
    total.add(estimate.peers);
    let slots = f64::from(endpoint.slots);
    let Some(engine) = engine else {
        return f64::from(total.requests) < slots * (1.0 - reserved)
            && estimate.room.is_none_or(|room| total.requests < room.at(now));
    };
    let limit = engine.memory_tokens as f64 * MAX_MEMORY_SHARE;
    let memory = f64::from(total.memory_tokens) + f64::from(load.memory_tokens);
    total.requests == 0
        || f64::from(total.requests) < slots * (MAX_SLOT_SHARE - reserved) && memory < limit
}

/// Predicts the time to the first event without any slowdown.
fn predict_first_event(
    estimate: &Estimate,
    load: Load,
    endpoint: &Endpoint,
    engine: Option<&catalog::Engine>,
) -> Duration {
    let mut total = estimate.own;
    total.add(estimate.peers);
    let running = f64::from(total.requests);
    let ms = if engine.is_some() {
        let unread = f64::from(total.unread_tokens) + f64::from(load.unread_tokens);
        IDLE_FIRST_TOKEN_MS + unread / PREFILL_TOKENS_PER_MS + RUNNING_REQUEST_MS * running
    } else {
        10.0 + 30.0 * running / f64::from(endpoint.slots.max(1))
    };
    Duration::from_secs_f64(ms / 1_000.0)
}

/// Returns the candidates in a pseudo-random order seeded by the request's hash, with endpoints of
/// other failure domains spread evenly among those of the node's own.
fn shuffle<'a>(
    hash: u64,
    domain: &str,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    let mut keyed: Vec<_> = candidates
        .map(|candidate| {
            let key = xxh3::xxh3_64_with_seed(candidate.endpoint.id.as_bytes(), hash);
            (key, candidate)
        })
        .collect();
    keyed.sort_unstable_by_key(|(key, _)| *key);
    let (local, other): (Vec<_>, Vec<_>) = keyed
        .into_iter()
        .map(|(_, candidate)| candidate)
        .partition(|candidate| *candidate.endpoint.domain == *domain);
    let (mut local, mut other) = (local.into_iter(), other.into_iter());
    let next = |position: usize| {
        let prefers_other = position % OTHER_DOMAIN_EVERY == OTHER_DOMAIN_EVERY - 1;
        if prefers_other {
            other.next().or_else(|| local.next())
        } else {
            local.next().or_else(|| other.next())
        }
    };
    (0..).map_while(next).collect()
}

/// Returns the two endpoints that a prompt prefers, because its prefix is most likely cached there.
///
/// Rendezvous hashing on the last shared part gives all nodes the same result without communication,
/// and when an endpoint is removed, only prompts that preferred it are reassigned.
fn affine_endpoints<'a>(
    job: Job<'_>,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> [Option<&'a str>; 2] {
    let part = job.prompt.and_then(|prompt| {
        let count = prompt.parts.len();
        prompt.parts.get(count.checked_sub(2)?)
    });
    let Some(part) = part else { return [None; 2] };
    let mut first: Option<(u64, &str)> = None;
    let mut second: Option<(u64, &str)> = None;
    for candidate in candidates {
        let id: &str = &candidate.endpoint.id;
        let entry = Some((xxh3::xxh3_64_with_seed(id.as_bytes(), part.hash), id));
        if entry > first {
            second = first;
            first = entry;
        } else if entry > second {
            second = entry;
        }
    }
    [first, second].map(|entry| entry.map(|(_, id)| id))
}
