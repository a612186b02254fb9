//! Choice of the endpoint for a request.
//!
//! The heaviest load is a burst of long prompts: each delays the tokens of all requests that run
//! beside it, and the load reports of engines are stale. So every node estimates the work ahead on
//! an endpoint from what it sent itself and from what its peers say they sent, and sends a prompt
//! to the endpoint where its first token comes soonest. Prompts with the same shared part prefer the
//! same endpoint as long as its load allows.
//!
//! What peers say is old as well, and all nodes hear the same. If each chose the best of all
//! endpoints, they would fill the same one until they hear of it. So a request compares only a few
//! endpoints drawn for it, and the homes of its prompt.
//!
//! Where half of the endpoints are gone, the rest is slower than an estimate by tokens says, in a way
//! that all of them share: the service's pace. A request that can't begin to be answered within its
//! target anywhere is refused at once, which keeps the others on time.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::gateway::catalog;
use crate::gateway::platform::{Endpoint, Prompt};

/// Prompt tokens that an engine reads in a millisecond until its pace was seen.
const READ_TOKENS_PER_MS: f64 = 40.0;
/// Delay of the first token by each request that already runs in the batch.
const RUNNING_MS: f64 = 0.6;
/// Fixed time to the first token on an idle engine.
const FIRST_TOKEN_MS: f64 = 15.0;
/// Penalty of another failure domain, for its latency and the price of its bytes.
const REMOTE_MS: f64 = 12.0;
/// Part of the shared tokens that the first and the second home of a prompt are believed to keep,
/// while this node has not sent them there itself.
const HOME_SHARES: [f64; 2] = [0.9, 0.4];
/// Time for which an engine is believed to keep a part that nobody asked for again.
const CACHE_TIME: Duration = Duration::from_secs(20);
/// Parts remembered for one endpoint.
const PARTS: usize = 4_096;
/// Share of an engine's memory that may be promised to requests.
const MEMORY_SHARE: f64 = 0.9;
/// Share of an engine's slots that the nodes fill before they let requests wait.
const SLOT_SHARE: f64 = 0.9;

/// Endpoints that a request compares at once, beside the homes of its prompt.
const DRAWN: usize = 3;
/// Every so many drawn endpoints one is in another failure domain than the node.
const FAR_EVERY: usize = 3;

/// A request is not refused while its first token comes within this many times the time that it takes on
/// an idle endpoint.
const ALONE_FACTOR: u32 = 3;
/// Weight of one answer in the pace of a service, the most that it may take against its estimate, and
/// the time in which half of the pace is forgotten, so that a service from which nothing is heard is
/// tried again.
const PACE_WEIGHT: f64 = 0.2;
const PACE_MOST: u32 = 20;
const PACE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Counts what one node has under way on an endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    pub requests: u32,
    /// Prompt tokens that the engine still has to read.
    pub unread_tokens: u32,
    /// Tokens that the requests may occupy in memory.
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

/// Remembers which parts an endpoint has read lately.
#[derive(Debug, Default)]
struct Cache {
    used: HashMap<u64, Duration>,
    order: VecDeque<u64>,
}

impl Cache {
    fn touch(&mut self, part: u64, now: Duration) {
        if self.used.insert(part, now).is_none() {
            self.order.push_back(part);
        }
        while self.order.len() > PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.used.remove(&oldest);
            }
        }
    }

    fn holds(&self, part: u64, now: Duration) -> bool {
        self.used.get(&part).is_some_and(|&used| now.saturating_sub(used) < CACHE_TIME)
    }
}

#[derive(Debug, Default)]
struct Site {
    own: Load,
    peers: Load,
    cache: Cache,
}

/// Times to the first token of late, as they were and as estimated, over all endpoints of a service.
///
/// Their sums are compared, so that short prompts, of which some take many times their estimate on a
/// quiet day too, count little.
#[derive(Debug, Clone, Copy)]
struct Pace {
    took: Duration,
    usual: Duration,
    since: Duration,
}

impl Pace {
    fn at(&self, now: Duration) -> f64 {
        let ratio = self.took.as_secs_f64() / self.usual.as_secs_f64().max(1e-3);
        let age = now.saturating_sub(self.since).as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        1.0 + (ratio - 1.0).max(0.0) * 0.5_f64.powf(age)
    }
}

/// Holds the estimates of one node about all endpoints.
#[derive(Debug, Default)]
pub struct Board {
    sites: HashMap<Arc<str>, Site>,
    paces: HashMap<Arc<str>, Pace>,
}

/// Describes a request that looks for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    pub prompt: Option<&'a Prompt>,
    pub hash: u64,
    /// Time by which the first token must come.
    pub latest: Duration,
}

/// An endpoint that may take the request, with the node's evidence about its speed.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    pub endpoint: &'a Endpoint,
    pub slowness: f64,
}

/// Holds a choice and the work that it adds to the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    pub endpoint: Arc<str>,
    pub load: Load,
    /// Time to the first byte at the usual pace of the service and speed of the endpoint.
    pub usual: Duration,
    /// The same at the present pace and speed.
    pub predicted: Duration,
}

/// Tells why no endpoint takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lack {
    /// The first token would come this much too late at the best of the endpoints with room.
    Time(Duration),
    /// All endpoints are full.
    Room,
}

impl Board {
    /// Chooses the endpoint with the earliest first token among a few drawn ones, and among further
    /// ones where those are full.
    ///
    /// # Errors
    ///
    /// Tells what all endpoints lack.
    pub fn choose<'a>(
        &self,
        job: Job<'_>,
        domain: &str,
        candidates: impl Iterator<Item = Candidate<'a>> + Clone,
        engine: Option<&catalog::Engine>,
        now: Duration,
    ) -> Result<Choice, Lack> {
        let homes = homes(job, candidates.clone());
        let order = draw(job.hash, domain, candidates);
        let is_home = |candidate: &&Candidate<'a>| homes.contains(&Some(&*candidate.endpoint.id));
        let mut lack = Lack::Room;
        for drawn in order.chunks(DRAWN) {
            let mut best: Option<(f64, Choice)> = None;
            for candidate in drawn.iter().chain(order.iter().filter(is_home)) {
                let home = homes.iter().position(|home| *home == Some(&*candidate.endpoint.id));
                match self.consider(job, home, candidate, engine, now) {
                    Ok(choice) => {
                        let is_near = *candidate.endpoint.domain == *domain;
                        let remote = if is_near { 0.0 } else { REMOTE_MS };
                        let score = choice.predicted.as_secs_f64() * 1_000.0 + remote;
                        if best.as_ref().is_none_or(|(least, _)| score < *least) {
                            best = Some((score, choice));
                        }
                    }
                    Err(found) => lack = lack.min(found),
                }
            }
            if let Some((_, choice)) = best {
                return Ok(choice);
            }
        }
        Err(lack)
    }

    /// Estimates what a request would meet at an endpoint.
    fn consider(
        &self,
        job: Job<'_>,
        home: Option<usize>,
        candidate: &Candidate<'_>,
        engine: Option<&catalog::Engine>,
        now: Duration,
    ) -> Result<Choice, Lack> {
        let endpoint = candidate.endpoint;
        let idle = Site::default();
        let site = self.sites.get(&endpoint.id).unwrap_or(&idle);
        let load = job_load(job, site, home, now);
        if !has_room(site, load, endpoint, engine) {
            return Err(Lack::Room);
        }
        let usual = predict(site, load, endpoint, engine);
        let predicted = usual.mul_f64(candidate.slowness * self.pace(&endpoint.service, now));
        // A prompt so long that its target is missed on idle endpoints too is not refused for that.
        let alone = predict(&idle, load, endpoint, engine) * ALONE_FACTOR;
        let late = (now + predicted).saturating_sub(job.latest.max(now + alone));
        // An idle endpoint is tried whatever the estimate says, so that a wrong one is corrected.
        let is_idle = site.own.requests + site.peers.requests == 0;
        if engine.is_some() && !late.is_zero() && !is_idle {
            return Err(Lack::Time(late));
        }
        Ok(Choice { endpoint: endpoint.id.clone(), load, usual, predicted })
    }

    /// Gives the time to the first token against the estimate, over all endpoints of a service.
    pub fn pace(&self, service: &str, now: Duration) -> f64 {
        self.paces.get(service).map_or(1.0, |pace| pace.at(now))
    }

    /// Records a time to the first token against that of the usual pace.
    pub fn record_pace(
        &mut self,
        service: &Arc<str>,
        took: Duration,
        usual: Duration,
        now: Duration,
    ) {
        let took = took.min(usual * PACE_MOST);
        let unknown = Pace { took: usual, usual, since: now };
        let pace = self.paces.entry(service.clone()).or_insert(unknown);
        // What is forgotten by now must not come back with the next answer.
        let known = pace.at(now);
        let mix = |old: Duration, new: Duration| {
            old.mul_f64(1.0 - PACE_WEIGHT) + new.mul_f64(PACE_WEIGHT)
        };
        pace.took = mix(pace.usual.mul_f64(known), took);
        pace.usual = mix(pace.usual, usual);
        pace.since = now;
    }

    /// Counts a request as sent.
    pub fn begin(&mut self, choice: &Choice, prompt: Option<&Prompt>, now: Duration) {
        let site = self.sites.entry(choice.endpoint.clone()).or_default();
        site.own.add(choice.load);
        for part in prompt.iter().flat_map(|prompt| &prompt.parts) {
            site.cache.touch(part.hash, now);
        }
    }

    /// Counts the prompt as read: the first event has come.
    pub fn first_event(&mut self, endpoint: &str, load: &mut Load) {
        if let Some(site) = self.sites.get_mut(endpoint) {
            site.own.remove(Load { unread_tokens: load.unread_tokens, ..Load::default() });
        }
        load.unread_tokens = 0;
    }

    /// Counts a request as ended.
    pub fn end(&mut self, endpoint: &str, load: Load) {
        if let Some(site) = self.sites.get_mut(endpoint) {
            site.own.remove(load);
        }
    }

    /// Replaces what the peers have under way.
    pub fn set_peers(&mut self, loads: impl Iterator<Item = (Arc<str>, Load)>) {
        for site in self.sites.values_mut() {
            site.peers = Load::default();
        }
        for (endpoint, load) in loads {
            self.sites.entry(endpoint).or_default().peers.add(load);
        }
    }

    /// Gives what this node has under way, for its peers.
    pub fn own(&self) -> impl Iterator<Item = (&Arc<str>, Load)> {
        self.sites.iter().filter(|(_, site)| site.own.requests > 0).map(|(id, site)| (id, site.own))
    }

    /// Gives what all nodes have under way on an endpoint.
    pub fn total(&self, endpoint: &str) -> Load {
        let mut load = Load::default();
        if let Some(site) = self.sites.get(endpoint) {
            load.add(site.own);
            load.add(site.peers);
        }
        load
    }

    /// Forgets an endpoint that is gone or started anew.
    pub fn forget_cache(&mut self, endpoint: &str) {
        if let Some(site) = self.sites.get_mut(endpoint) {
            site.cache = Cache::default();
        }
    }

    /// Drops the estimates of endpoints that are gone and have nothing under way.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.sites.retain(|id, site| site.own.requests > 0 || keep(id));
    }
}

fn job_load(job: Job<'_>, site: &Site, home: Option<usize>, now: Duration) -> Load {
    let Some(prompt) = job.prompt else {
        return Load { requests: 1, ..Load::default() };
    };
    // A part is of use only if all parts before it are kept too.
    let held = prompt.parts.iter().take_while(|part| site.cache.holds(part.hash, now));
    let held: u32 = held.map(|part| part.tokens).sum();
    let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
    let shared: u32 = shared.iter().map(|part| part.tokens).sum();
    let believed = home.map_or(0.0, |rank| f64::from(shared) * HOME_SHARES[rank]) as u32;
    let kept = held.max(believed);
    Load {
        requests: 1,
        unread_tokens: prompt.prompt_tokens.saturating_sub(kept),
        memory_tokens: prompt.prompt_tokens.saturating_add(prompt.max_output_tokens),
    }
}

fn has_room(
    site: &Site,
    load: Load,
    endpoint: &Endpoint,
    engine: Option<&catalog::Engine>,
) -> bool {
    let mut total = site.own;
    total.add(site.peers);
    let slots = f64::from(endpoint.slots);
    let Some(engine) = engine else { return f64::from(total.requests) < slots };
    let limit = engine.memory_tokens as f64 * MEMORY_SHARE;
    let memory = f64::from(total.memory_tokens) + f64::from(load.memory_tokens);
    total.requests == 0 || f64::from(total.requests) < slots * SLOT_SHARE && memory < limit
}

/// Predicts the time to the first byte at the usual pace and speed.
fn predict(
    site: &Site,
    load: Load,
    endpoint: &Endpoint,
    engine: Option<&catalog::Engine>,
) -> Duration {
    let mut total = site.own;
    total.add(site.peers);
    let running = f64::from(total.requests);
    let ms = if engine.is_some() {
        let unread = f64::from(total.unread_tokens) + f64::from(load.unread_tokens);
        FIRST_TOKEN_MS + unread / READ_TOKENS_PER_MS + RUNNING_MS * running
    } else {
        10.0 + 30.0 * running / f64::from(endpoint.slots.max(1))
    };
    Duration::from_secs_f64(ms / 1_000.0)
}

/// Gives the candidates in an order of the request's own, in which each few hold some of the node's
/// failure domain and some of the others.
fn draw<'a>(
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
    let (near, far): (Vec<_>, Vec<_>) = keyed
        .into_iter()
        .map(|(_, candidate)| candidate)
        .partition(|candidate| *candidate.endpoint.domain == *domain);
    let (mut near, mut far) = (near.into_iter(), far.into_iter());
    let next = |place: usize| {
        let takes_far = place % FAR_EVERY == FAR_EVERY - 1;
        if takes_far {
            far.next().or_else(|| near.next())
        } else {
            near.next().or_else(|| far.next())
        }
    };
    (0..).map_while(next).collect()
}

/// Gives the first and the second home of the shared parts of a prompt.
///
/// All nodes compute the same homes by rendezvous hashing, so they agree without a message, and when
/// an endpoint goes only its own parts find new homes.
fn homes<'a>(
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
    [first, second].map(|home| home.map(|(_, id)| id))
}
