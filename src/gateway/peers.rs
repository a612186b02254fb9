//! The other nodes as this one knows them, and the roles that follow from it.
//!
//! In a small fleet all nodes are direct peers and exchange heartbeats. In a large one only the nodes of
//! one failure domain are; between domains one node of each, its relay, sends the sums of its domain, so
//! that a node's datagrams don't grow with the fleet. One of the direct peers reads the store for all of
//! them. Every node derives relay and reader from what it has heard lately, so neither is set up
//! or agreed on, and a silent one is replaced within some heartbeats. See "What a node pays" in
//! `docs/platform.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::gateway::balancer::Load;
use crate::gateway::rate_limit::Fleet;
use crate::gateway::speed;

/// Interval between heartbeats to each peer. The other nodes don't know of requests that a node sent to
/// an endpoint within this time, so a shorter interval spreads a burst better but sends more bytes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of direct peers from which the interval grows in proportion, so that a node doesn't receive more
/// datagrams in a larger failure domain.
const FULL_RATE_PEERS: u32 = 24;
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of nodes up to which all of them are direct peers.
pub const MAX_DIRECT_NODES: usize = 40;
/// Interval between the sums that a relay sends to the other failure domains.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of intervals without a datagram after which another node takes over the role of a node, and
/// its share of the quotas stays unused.
const SILENT_INTERVALS: f64 = 3.5;
/// Time without a heartbeat after which a peer is no longer alive.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a heartbeat after which a peer is presumed removed: it gets no more datagrams, and its
/// share of the quotas goes to the other nodes.
const PEER_TTL: Duration = Duration::from_secs(20);
/// Time after its start in which a node takes no role while there are older nodes, which know more.
const YOUNG_TIME: Duration = Duration::from_secs(2);
/// Time for which a run of a peer must have been heard before the delay of its datagrams is known.
const DELAY_LEARNING_TIME: Duration = Duration::from_secs(1);
/// Offset from the median clock of all nodes above which this node corrects its own.
const MAX_CLOCK_OFFSET_MS: i64 = 400;

/// Load of an endpoint from a node or a failure domain, and the speed that it has observed there.
pub type Report = (Arc<str>, Load, speed::Report);

/// What a heartbeat says about its sender.
#[derive(Debug, Clone)]
pub struct Beat<'a> {
    pub node: &'a Arc<str>,
    pub domain: &'a Arc<str>,
    pub incarnation: u64,
    pub sequence: u64,
    pub unix_ms: u64,
    pub uptime_ms: u64,
    pub holds_duties: bool,
    /// Whether the sender's last call to the store succeeded.
    pub reaches_store: bool,
    pub loads: &'a [Report],
}

/// What a digest says about its failure domain.
#[derive(Debug, Clone)]
pub struct Summary<'a> {
    pub domain: &'a Arc<str>,
    pub node: &'a Arc<str>,
    pub incarnation: u64,
    pub sequence: u64,
    /// Known and live nodes of the domain.
    pub nodes: u32,
    pub live: u32,
    pub holds_duties: bool,
    pub loads: &'a [Report],
}

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// Time that the datagram took beyond that of the fastest one; `None` until it is known. It covers
    /// datagrams that waited while this node was suspended.
    pub delay: Option<Duration>,
    /// Time since which heartbeats of the peer have come so often that no notice was missed.
    pub contiguous_since: Duration,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Unknown until the first heartbeat or a row of the list tells it.
    domain: Option<Arc<str>>,
    incarnation: u64,
    sequence: u64,
    /// Time of the last heartbeat.
    seen: Option<Duration>,
    /// Previous run of the peer and when it was last heard.
    previous_run: Option<(u64, Duration)>,
    /// Time of the first heartbeat of this run.
    first_seen: Duration,
    /// Time of the first heartbeat after the last gap.
    contiguous_since: Duration,
    added: Duration,
    clock_offset_ms: i64,
    uptime_ms: u64,
    /// Largest difference seen between the peer's uptime and this node's clock: that of the fastest
    /// datagram of this run.
    max_skew_ms: i64,
    holds_duties: bool,
    reaches_store: bool,
    loads: Vec<Report>,
    /// Whether the peer was alive when its liveness was last logged.
    was_alive: bool,
}

/// Sums of another failure domain as one of its nodes last sent them.
#[derive(Debug)]
struct Relay {
    domain: Arc<str>,
    incarnation: u64,
    sequence: u64,
    seen: Duration,
    nodes: u32,
    live: u32,
    holds_duties: bool,
    loads: Vec<Report>,
}

/// Peers of a node and the state that each last reported.
#[derive(Debug)]
pub struct Peers {
    node: Arc<str>,
    domain: Arc<str>,
    incarnation: u64,
    started_at: Duration,
    sequence: u64,
    peers: HashMap<Arc<str>, Peer>,
    /// Other failure domains' sums by the node that sent them.
    relays: HashMap<Arc<str>, Relay>,
    /// Whether the fleet is so large that only nodes of one failure domain are direct peers.
    is_split: bool,
    /// Interval between this node's heartbeats.
    interval: Duration,
    /// Whether this node's last call to the store succeeded.
    reaches_store: bool,
    /// Last time at which no node of another failure domain had been heard for some time.
    unheard: HashMap<Arc<str>, Duration>,
}

impl Peers {
    pub fn new(node: Arc<str>, domain: Arc<str>, incarnation: u64, now: Duration) -> Peers {
        Peers {
            node,
            domain,
            incarnation,
            started_at: now,
            sequence: 0,
            peers: HashMap::new(),
            relays: HashMap::new(),
            is_split: false,
            interval: HEARTBEAT_INTERVAL,
            reaches_store: true,
            unheard: HashMap::new(),
        }
    }

    pub fn node(&self) -> &Arc<str> {
        &self.node
    }

    pub fn domain(&self) -> &Arc<str> {
        &self.domain
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the sequence number of the next datagram.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Records whether a call of this node to the store succeeded.
    pub fn set_reaches_store(&mut self, reaches_store: bool) {
        self.reaches_store = reaches_store;
    }

    pub fn reaches_store(&self) -> bool {
        self.reaches_store
    }

    /// Adds a peer or updates its address; ignores this node itself.
    pub fn add(
        &mut self,
        name: Arc<str>,
        domain: Option<Arc<str>>,
        address: SocketAddr,
        now: Duration,
    ) {
        if name == self.node {
            return;
        }
        let peer = self.peers.entry(name).or_insert(Peer {
            address,
            domain: None,
            incarnation: 0,
            sequence: 0,
            seen: None,
            previous_run: None,
            first_seen: now,
            contiguous_since: now,
            added: now,
            clock_offset_ms: 0,
            uptime_ms: 0,
            max_skew_ms: i64::MIN,
            holds_duties: false,
            reaches_store: true,
            loads: Vec::new(),
            was_alive: false,
        });
        peer.address = address;
        if domain.is_some() {
            peer.domain = domain;
        }
    }

    /// Adds a node that a peer hears; does nothing if this node knows it.
    pub fn add_introduced(
        &mut self,
        name: Arc<str>,
        domain: Arc<str>,
        address: SocketAddr,
        now: Duration,
    ) {
        if self.peers.get(&name).is_none_or(|peer| !peer.is_known(now)) {
            self.peers.remove(&name);
            self.add(name, Some(domain), address, now);
        }
    }

    /// Returns one of the live direct peers, in turn.
    pub fn introduction(
        &self,
        turn: u64,
        now: Duration,
    ) -> Option<(Arc<str>, Arc<str>, SocketAddr)> {
        let live = self.direct(now).filter(|(_, peer)| peer.is_alive(now)).count();
        let index = turn.checked_rem(live as u64)?;
        let mut alive = self.direct(now).filter(|(_, peer)| peer.is_alive(now));
        let (name, peer) = alive.nth(index as usize)?;
        Some((name.clone(), peer.domain.clone()?, peer.address))
    }

    /// Records a heartbeat and its sender's address; `None` if it isn't newer than the last one or not
    /// from a direct peer.
    pub fn record_heartbeat(
        &mut self,
        beat: &Beat<'_>,
        from: SocketAddr,
        local_unix_ms: u64,
        now: Duration,
    ) -> Option<Receipt> {
        if *beat.node == self.node {
            return None;
        }
        self.add(beat.node.clone(), Some(beat.domain.clone()), from, now);
        if self.is_split && *beat.domain != self.domain {
            return None;
        }
        let silent_time = self.silent_time();
        let peer = self.peers.get_mut(beat.node)?;
        if (beat.incarnation, beat.sequence) <= (peer.incarnation, peer.sequence) {
            return None;
        }
        let is_same_run = peer.incarnation == beat.incarnation;
        let skew_ms = beat.uptime_ms as i64 - now.as_millis() as i64;
        if !is_same_run {
            peer.previous_run = peer.seen.map(|seen| (peer.incarnation, seen));
            peer.first_seen = now;
            peer.max_skew_ms = skew_ms;
        }
        peer.max_skew_ms = peer.max_skew_ms.max(skew_ms);
        let delay_ms = (peer.max_skew_ms - skew_ms).unsigned_abs();
        let gap = Duration::from_millis(beat.uptime_ms.saturating_sub(peer.uptime_ms));
        if !is_same_run || gap > silent_time {
            peer.contiguous_since = now;
        }
        let is_learned = now.saturating_sub(peer.first_seen) >= DELAY_LEARNING_TIME;
        let receipt = Receipt {
            delay: is_learned.then(|| Duration::from_millis(delay_ms)),
            contiguous_since: peer.contiguous_since,
        };
        (peer.incarnation, peer.sequence) = (beat.incarnation, beat.sequence);
        // A datagram that waited says nothing about the time in which it waited.
        peer.seen = Some(now.saturating_sub(Duration::from_millis(delay_ms)));
        peer.uptime_ms = beat.uptime_ms;
        peer.clock_offset_ms = beat.unix_ms as i64 - local_unix_ms as i64;
        peer.holds_duties = beat.holds_duties;
        peer.reaches_store = beat.reaches_store;
        peer.loads.clear();
        peer.loads.extend_from_slice(beat.loads);
        Some(receipt)
    }

    /// Records the sums of another failure domain; returns whether they are newer than the last ones of
    /// the same node and count in this fleet.
    pub fn record_digest(&mut self, summary: &Summary<'_>, now: Duration) -> bool {
        if !self.is_split || *summary.domain == self.domain {
            return false;
        }
        let relay = self.relays.entry(summary.node.clone()).or_insert_with(|| Relay {
            domain: summary.domain.clone(),
            incarnation: 0,
            sequence: 0,
            seen: now,
            nodes: 0,
            live: 0,
            holds_duties: false,
            loads: Vec::new(),
        });
        let number = (summary.incarnation, summary.sequence);
        if number <= (relay.incarnation, relay.sequence) {
            return false;
        }
        (relay.incarnation, relay.sequence) = number;
        relay.seen = now;
        (relay.nodes, relay.live) = (summary.nodes, summary.live);
        relay.holds_duties = summary.holds_duties;
        relay.loads.clear();
        relay.loads.extend_from_slice(summary.loads);
        true
    }

    /// Updates whether the fleet is split, the interval between heartbeats and the failure domains that are
    /// not heard, and drops relays that have not been heard for long.
    pub fn refresh(&mut self, now: Duration) {
        self.relays.retain(|_, relay| now.saturating_sub(relay.seen) < PEER_TTL);
        let is_split = self.fleet_size(now) > MAX_DIRECT_NODES;
        if is_split != self.is_split {
            log::info!("peers: event=fleet_split split={is_split} nodes={}", self.fleet_size(now));
            self.is_split = is_split;
        }
        let direct = self.peers.values().filter(|peer| self.is_direct(peer)).count() as u32;
        self.interval = (HEARTBEAT_INTERVAL * direct / FULL_RATE_PEERS)
            .clamp(HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL);
        self.update_unheard(now);
    }

    fn update_unheard(&mut self, now: Duration) {
        let mut heard: SmallVec<[(&Arc<str>, Duration); 8]> = SmallVec::new();
        let peers =
            self.direct(now).filter_map(|(_, peer)| Some((peer.domain.as_ref()?, peer.seen?)));
        let relays = self.relays.values().map(|relay| (&relay.domain, relay.seen));
        for (domain, seen) in peers.chain(relays).filter(|(domain, _)| **domain != self.domain) {
            match heard.iter_mut().find(|(known, _)| *known == domain) {
                Some((_, last)) => *last = (*last).max(seen),
                None => heard.push((domain, seen)),
            }
        }
        let max_age = match self.is_split {
            true => DIGEST_INTERVAL.mul_f64(SILENT_INTERVALS),
            false => self.silent_time(),
        };
        let is_silent = |(_, seen): &(&Arc<str>, Duration)| now.saturating_sub(*seen) >= max_age;
        let silent: SmallVec<[Arc<str>; 8]> =
            heard.into_iter().filter(is_silent).map(|(domain, _)| domain.clone()).collect();
        self.unheard.extend(silent.into_iter().map(|domain| (domain, now)));
    }

    /// Returns whether another failure domain may have been cut off at some time since `since`.
    pub fn was_unheard(&self, domain: &str, since: Duration) -> bool {
        self.unheard.get(domain).is_some_and(|at| *at >= since)
    }

    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Returns the interval between this node's heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        self.interval
    }

    fn silent_time(&self) -> Duration {
        self.interval.mul_f64(SILENT_INTERVALS)
    }

    fn is_direct(&self, peer: &Peer) -> bool {
        !self.is_split || peer.domain.as_ref() == Some(&self.domain)
    }

    /// Returns the direct peers that have not expired.
    fn direct(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| self.is_direct(peer) && peer.is_known(now))
    }

    /// Returns the last sums of each other failure domain.
    fn newest_relays(&self) -> SmallVec<[(&Arc<str>, &Relay); 8]> {
        let mut newest: SmallVec<[(&Arc<str>, &Relay); 8]> = SmallVec::new();
        for (name, relay) in &self.relays {
            match newest.iter_mut().find(|(_, it)| it.domain == relay.domain) {
                Some(known) if known.1.seen < relay.seen => *known = (name, relay),
                Some(_) => {}
                None => newest.push((name, relay)),
            }
        }
        newest
    }

    /// Returns the number of nodes that have not expired: of another failure domain those listed or,
    /// if more, those that its relay knows.
    fn fleet_size(&self, now: Duration) -> usize {
        let mut domains: HashMap<Option<&Arc<str>>, usize> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_known(now)) {
            *domains.entry(peer.domain.as_ref()).or_default() += 1;
        }
        for (_, relay) in self.newest_relays() {
            let count = domains.entry(Some(&relay.domain)).or_default();
            *count = (*count).max(relay.nodes as usize);
        }
        1 + domains.values().sum::<usize>()
    }

    /// Returns the number of live nodes, including this one.
    pub fn live_count(&self, now: Duration) -> usize {
        let direct = self.direct(now).filter(|(_, peer)| peer.is_alive(now)).count();
        1 + direct + self.live_elsewhere(now, PEER_TIMEOUT)
    }

    /// Returns the number of live nodes of the other failure domains whose sums are at most `max_age` old.
    fn live_elsewhere(&self, now: Duration, max_age: Duration) -> usize {
        if !self.is_split {
            return 0;
        }
        let relays = self.newest_relays();
        let recent = relays.iter().filter(|(_, relay)| now.saturating_sub(relay.seen) < max_age);
        recent.map(|(_, relay)| relay.live as usize).sum()
    }

    /// Returns the known and the live nodes of this node's failure domain, including this one.
    pub fn domain_counts(&self, now: Duration) -> (u32, u32) {
        let known = 1 + self.direct(now).count();
        let live = 1 + self.direct(now).filter(|(_, peer)| peer.is_alive(now)).count();
        (known as u32, live as u32)
    }

    /// Reports whether another live node holds the duties lease.
    pub fn has_live_holder(&self, now: Duration) -> bool {
        self.has_live_direct_holder(now)
            || self.is_split
                && self.relays.values().any(|relay| {
                    relay.holds_duties && now.saturating_sub(relay.seen) < PEER_TIMEOUT
                })
    }

    /// Reports whether a live direct peer holds the duties lease.
    pub fn has_live_direct_holder(&self, now: Duration) -> bool {
        self.direct(now).any(|(_, peer)| peer.holds_duties && peer.is_alive(now))
    }

    /// Returns the fraction of the quotas that this node and the nodes heard lately may use: those nodes
    /// among all that have not expired.
    ///
    /// A silent node may be cut off and admit requests itself. What both sides of a partition admit before
    /// they count each other as silent exceeds the quotas, so that time is short.
    pub fn quota_share(&self, now: Duration) -> f64 {
        let silent_time = self.silent_time();
        let recent = self.direct(now).filter(|(_, peer)| peer.is_recent(now, silent_time)).count();
        let elsewhere = self.live_elsewhere(now, DIGEST_INTERVAL.mul_f64(SILENT_INTERVALS));
        (1 + recent + elsewhere) as f64 / self.fleet_size(now) as f64
    }

    /// Returns the live nodes, by which the nodes share the rate limits of endpoints.
    pub fn fleet(&self, now: Duration) -> Fleet {
        let mut fleet = Fleet {
            node: self.node.clone(),
            domain: self.domain.clone(),
            neighbors: Vec::new(),
            domains: SmallVec::from_iter([(self.domain.clone(), 1)]),
            share: self.quota_share(now),
        };
        for (name, peer) in self.recent(now) {
            let Some(domain) = &peer.domain else { continue };
            match fleet.domains.iter_mut().find(|(known, _)| known == domain) {
                Some((_, count)) => *count += 1,
                None => fleet.domains.push((domain.clone(), 1)),
            }
            if *domain == self.domain {
                fleet.neighbors.push(name.clone());
            }
        }
        if self.is_split {
            let max_age = DIGEST_INTERVAL.mul_f64(SILENT_INTERVALS);
            let relays = self.newest_relays();
            let recent = relays.iter().filter(|(_, it)| now.saturating_sub(it.seen) < max_age);
            fleet.domains.extend(recent.map(|(_, relay)| (relay.domain.clone(), relay.live)));
        }
        fleet
    }

    /// Returns the correction of this node's Unix time, in milliseconds, to the median of all live direct
    /// peers.
    ///
    /// Returns `None` while the offset is tolerable or fewer than two peers are alive.
    pub fn clock_correction_ms(&self, now: Duration) -> Option<i64> {
        let alive = self.direct(now).filter(|(_, peer)| peer.is_alive(now));
        let mut offsets: Vec<i64> = alive.map(|(_, peer)| peer.clock_offset_ms).collect();
        if offsets.len() < 2 {
            return None;
        }
        offsets.push(0);
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        (median.abs() > MAX_CLOCK_OFFSET_MS).then_some(median)
    }

    /// Returns the direct peers whose liveness has changed since the last call: their name, whether they
    /// are alive, and the time since their last heartbeat or, without one, since they were added.
    pub fn liveness_changes(&mut self, now: Duration) -> Vec<(Arc<str>, bool, Duration)> {
        let mut changes = Vec::new();
        let (is_split, domain) = (self.is_split, self.domain.clone());
        for (name, peer) in &mut self.peers {
            let is_direct = !is_split || peer.domain.as_ref() == Some(&domain);
            let is_alive = peer.is_alive(now);
            if is_direct && is_alive != peer.was_alive {
                peer.was_alive = is_alive;
                let age = now.saturating_sub(peer.seen.unwrap_or(peer.added));
                changes.push((name.clone(), is_alive, age));
            }
        }
        changes
    }

    /// Returns the time since the last heartbeat of each direct peer or, without one, since it was added.
    pub fn ages(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.peers
            .iter()
            .filter(|(_, peer)| self.is_direct(peer))
            .map(move |(name, peer)| (name, now.saturating_sub(peer.seen.unwrap_or(peer.added))))
    }

    /// Returns the addresses to which this node sends its heartbeats.
    pub fn direct_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        self.direct(now).map(|(_, peer)| peer.address).collect()
    }

    /// Returns whether an address is that of a node of this failure domain.
    pub fn is_in_domain(&self, address: SocketAddr) -> bool {
        let is_own = |peer: &Peer| peer.domain.as_ref() == Some(&self.domain);
        self.peers.values().any(|peer| peer.address == address && is_own(peer))
    }

    /// Returns the addresses to which a relay sends the sums of its failure domain: in each other domain
    /// the node that sent the last sums, the one that is likely to be the relay, and one more in turn.
    pub fn relay_addresses(&self, turn: u64, now: Duration) -> Vec<SocketAddr> {
        let mut domains: HashMap<&Arc<str>, Vec<(&Arc<str>, &Peer)>> = HashMap::new();
        for (name, peer) in &self.peers {
            if let Some(domain) = peer.domain.as_ref().filter(|domain| **domain != self.domain) {
                domains.entry(domain).or_default().push((name, peer));
            }
        }
        let mut addresses = Vec::new();
        for (domain, mut nodes) in domains {
            nodes.sort_unstable_by_key(|(name, _)| rank(name));
            let current = self.relays.iter().filter(|(_, relay)| {
                relay.domain == *domain && now.saturating_sub(relay.seen) < PEER_TIMEOUT
            });
            let current = current.max_by_key(|(_, relay)| relay.seen);
            let current = current.and_then(|(name, _)| self.peers.get(name));
            let in_turn = nodes[turn as usize % nodes.len()].1;
            let mut chosen: SmallVec<[SocketAddr; 3]> = SmallVec::new();
            for peer in current.into_iter().chain([nodes[0].1, in_turn]) {
                if !chosen.contains(&peer.address) {
                    chosen.push(peer.address);
                }
            }
            addresses.extend(chosen);
        }
        addresses
    }

    /// Reports whether this node reads the store for its direct peers.
    pub fn is_reader(&self, now: Duration) -> bool {
        let key =
            |reaches_store: bool, is_young: bool, name| (!reaches_store, is_young, rank(name));
        let own = key(self.reaches_store, self.is_young(now), &self.node);
        self.recent(now).all(|(name, peer)| key(peer.reaches_store, peer.is_young(now), name) > own)
    }

    /// Reports whether this node sends the sums of its failure domain to the others.
    pub fn is_relay(&self, now: Duration) -> bool {
        let own = (self.is_young(now), rank(&self.node));
        self.is_split && self.recent(now).all(|(name, peer)| (peer.is_young(now), rank(name)) > own)
    }

    /// Reports whether a live direct peer has run for much longer than this node, and so knows what
    /// happened before this node started.
    pub fn has_older_peer(&self, now: Duration) -> bool {
        let uptime = now.saturating_sub(self.started_at);
        self.recent(now).any(|(_, peer)| peer.uptime(now) > uptime + YOUNG_TIME)
    }

    /// Reports whether a listed direct peer may still be heard for the first time. One that is alive answers
    /// the first heartbeat of this node with its next one; `listed_at` is the time of the first list.
    pub fn awaits_first_heartbeat(&self, listed_at: Duration, now: Duration) -> bool {
        now.saturating_sub(listed_at) < self.silent_time()
            && self.direct(now).any(|(_, peer)| peer.seen.is_none())
    }

    /// Reports whether a direct peer has started so recently that it lacks the history of the windows.
    pub fn has_young_peer(&self, now: Duration) -> bool {
        self.recent(now).any(|(_, peer)| peer.is_young(now))
    }

    /// Returns the direct peers heard so lately that they are likely to act now.
    fn recent(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        let silent_time = self.silent_time();
        self.direct(now).filter(move |(_, peer)| peer.is_recent(now, silent_time))
    }

    fn is_young(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) < YOUNG_TIME
    }

    /// Returns when a run of another node was last heard: by its own heartbeats, or in the sums of its failure
    /// domain if that is another one of a large fleet.
    pub fn last_heard(&self, node: &str, incarnation: u64, domain: &str) -> Option<Duration> {
        if self.is_split && *domain != *self.domain {
            let relays = self.relays.values().filter(|relay| *relay.domain == *domain);
            return relays.map(|relay| relay.seen).max();
        }
        let peer = self.peers.get(node)?;
        let previous = peer.previous_run.filter(|(previous, _)| *previous == incarnation);
        let seen = if peer.incarnation == incarnation { peer.seen } else { None };
        seen.or(previous.map(|(_, seen)| seen))
    }

    /// Returns the loads that the live direct peers reported, with the age of each report.
    pub fn direct_loads(&self, now: Duration) -> impl Iterator<Item = (&Report, Duration)> {
        let alive = self.direct(now).filter(move |(_, peer)| peer.is_alive(now));
        alive.flat_map(move |(_, peer)| {
            let age = now.saturating_sub(peer.seen.unwrap_or_default());
            peer.loads.iter().map(move |report| (report, age))
        })
    }

    /// Returns the loads of all other nodes: those of live direct peers, and the sums of the other failure
    /// domains.
    pub fn loads(&self, now: Duration) -> Vec<(&Report, Duration)> {
        let relays = if self.is_split { self.newest_relays() } else { SmallVec::new() };
        let alive = relays.iter().filter(|(_, it)| now.saturating_sub(it.seen) < PEER_TIMEOUT);
        let elsewhere = alive.flat_map(|(_, relay)| {
            let age = now.saturating_sub(relay.seen);
            relay.loads.iter().map(move |report| (report, age))
        });
        self.direct_loads(now).chain(elsewhere).collect()
    }
}

/// Returns the position of a node in the order in which nodes take roles, equal on all nodes.
fn rank(node: &str) -> u64 {
    xxh3::xxh3_64(node.as_bytes())
}

impl Peer {
    fn is_known(&self, now: Duration) -> bool {
        now.saturating_sub(self.seen.unwrap_or(self.added)) < PEER_TTL
    }

    fn is_alive(&self, now: Duration) -> bool {
        self.is_recent(now, PEER_TIMEOUT)
    }

    fn is_recent(&self, now: Duration, max_age: Duration) -> bool {
        self.seen.is_some_and(|seen| now.saturating_sub(seen) < max_age)
    }

    fn uptime(&self, now: Duration) -> Duration {
        let silence = now.saturating_sub(self.seen.unwrap_or(self.added));
        Duration::from_millis(self.uptime_ms) + silence
    }

    fn is_young(&self, now: Duration) -> bool {
        self.uptime(now) < YOUNG_TIME
    }
}
