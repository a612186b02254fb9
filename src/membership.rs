//! Cluster membership by SWIM-style probing and gossip.
//!
//! Each node probes one member per period, so the messages per node do not grow with the cluster.
//! The node that saw a probe fail repeats it, first without telling others; after further failures
//! it publishes a suspicion, which the suspect can refute by raising its incarnation. See
//! `docs/design.md`, section 9.10.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

mod probe;
mod queue;
mod update;

pub use update::{Body, MAX_NAME_BYTES, MAX_UPDATES, Member, Message, Status, Updates};

use probe::{Probe, Relay};
use queue::Queue;

/// Maximum number of known members, including dead ones; more than ten times the nodes of the
/// design size.
pub const MAX_MEMBERS: usize = 4_096;
/// Calls of `State::tick` per period; probes time out only on ticks.
pub const TICKS_PER_PERIOD: u32 = 5;

/// Consecutive failed probes by one node after which it publishes a suspicion. The first failure is
/// not published: at 10% loss it is usually wrong, and publishing it would fill the datagrams.
const SUSPECT_FAILURES: u32 = 2;
/// Consecutive failed probes by one node after which it declares the member dead. At 10% loss a
/// probe fails by chance in under 1% of cases, so loss alone does not cause five failures in a row.
const DEAD_FAILURES: u32 = 5;
/// Members with a failed probe that one node probes again per period.
const MAX_RETRIES: usize = 2;
/// Members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 2;
/// Members that receive the announcement of a planned stop directly.
const LEAVE_FANOUT: usize = 4;
/// Periods between pings of a seed that is not a live member.
const SEED_PING_PERIODS: u32 = 4;
/// Periods after which a dead member is removed: an hour at one period per second, which is longer
/// than regions stay partitioned.
const DEAD_RETENTION_PERIODS: u32 = 3_600;
/// Shortest interval between two full exchanges started by this node, in periods.
const SYNC_INTERVAL_PERIODS: u32 = 8;
/// Periods without a change of the local view after which a differing view leads to a full
/// exchange.
const STABLE_VIEW_PERIODS: u32 = 4;
/// Periods after a start or a healed partition in which a differing view leads to a full exchange
/// without waiting for a stable view: with six updates per datagram, gossip would spread that many
/// changes too slowly.
const EAGER_SYNC_PERIODS: u32 = 12;
/// Shortest interval between full exchanges during `EAGER_SYNC_PERIODS`, in periods.
const EAGER_SYNC_INTERVAL_PERIODS: u32 = 1;

/// An action that the caller of `State` must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send(SocketAddr, Message),
    /// Send `State::list` to this address by TCP, where it is passed to `State::exchange`, and pass
    /// the reply to `State::merge`.
    Sync(SocketAddr),
    /// A member is new or has changed.
    Changed(Member),
    /// Other nodes know a higher incarnation of this node, given here, than it uses in its frames.
    StaleIncarnation(u64),
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Consecutive probes by this node that failed.
    failures: u32,
    changed_at: Duration,
}

/// Membership as known to this node; the caller supplies the time and does all I/O.
#[derive(Debug)]
pub struct State {
    local: Member,
    seeds: Vec<SocketAddr>,
    period: Duration,
    rng: SmallRng,
    members: BTreeMap<Arc<str>, Entry>,
    /// Members in shuffled order for probing, and the index of the next one.
    probe_order: Vec<Arc<str>>,
    probe_cursor: usize,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    queue: Queue,
    sequence: u32,
    period_count: u32,
    next_period_at: Duration,
    last_tick_at: Duration,
    /// XOR of the digests of all members, including this node.
    view_digest: u64,
    view_changed_at: Duration,
    has_joined: bool,
    /// Scheduled full exchange: its time and its peer.
    pending_sync: Option<(Duration, SocketAddr)>,
    last_sync_at: Option<Duration>,
    /// End of the time in which a differing view leads to a full exchange at once.
    eager_until: Duration,
    actions: Vec<Action>,
}

impl State {
    /// Creates a state that knows only this node; `local.incarnation` must be higher than in
    /// earlier processes of this node. The random seed determines all random choices.
    pub fn new(
        local: Member,
        seeds: Vec<SocketAddr>,
        period: Duration,
        seed: u64,
        now: Duration,
    ) -> State {
        let mut rng = SmallRng::seed_from_u64(seed);
        let offset = period.mul_f64(rng.random());
        let mut queue = Queue::default();
        queue.push(local.node.clone(), 0);
        let seeds = seeds.into_iter().filter(|&address| address != local.address).collect();
        State {
            view_digest: local.digest(),
            local,
            seeds,
            period,
            rng,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe_cursor: 0,
            probes: Vec::new(),
            relays: Vec::new(),
            queue,
            sequence: 0,
            period_count: 0,
            // A random offset keeps nodes that start together from probing at the same moments.
            next_period_at: now + offset,
            last_tick_at: now,
            view_changed_at: now,
            has_joined: false,
            pending_sync: None,
            last_sync_at: None,
            eager_until: now + period * EAGER_SYNC_PERIODS,
            actions: Vec::new(),
        }
    }

    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns the digest of this node's view; equal digests mean equal views.
    pub fn view_digest(&self) -> u64 {
        self.view_digest
    }

    pub fn get(&self, node: &str) -> Option<&Member> {
        if *node == *self.local.node {
            return Some(&self.local);
        }
        self.members.get(node).map(|entry| &entry.member)
    }

    /// Lists all members, this node first, including dead ones.
    pub fn list(&self) -> Vec<Member> {
        let others = self.members.values().map(|entry| entry.member.clone());
        std::iter::once(self.local.clone()).chain(others).collect()
    }

    /// Returns up to `count` random other members that are alive or leaving.
    pub fn sample(&mut self, count: usize) -> Vec<Member> {
        let live = self.members.values().map(|entry| &entry.member);
        let live: Vec<&Member> = live.filter(|member| member.status < Status::Suspect).collect();
        live.sample(&mut self.rng, count).map(|&member| member.clone()).collect()
    }

    /// Announces a planned stop, directly to a few members and by gossip to the rest.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.local.status != Status::Leaving {
            self.raise_incarnation(self.local.incarnation, Status::Leaving);
            for member in self.sample(LEAVE_FANOUT) {
                self.send(member.address, Some(&member.node), Body::Ping, true);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Merges the member list of another node into this one.
    pub fn merge(&mut self, members: Vec<Member>, now: Duration) -> Vec<Action> {
        // A node that has just joined gossips none of these: the other nodes know them already.
        let transmissions =
            if self.has_joined { self.transmit_limit() / 2 } else { self.transmit_limit() };
        self.has_joined = true;
        for member in members.into_iter().take(MAX_MEMBERS) {
            self.apply(member, transmissions, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Merges the member list of another node and returns what that node is missing.
    pub fn exchange(&mut self, members: Vec<Member>, now: Duration) -> (Vec<Member>, Vec<Action>) {
        let known_to_peer: HashMap<Arc<str>, (u64, Status)> = members
            .iter()
            .map(|member| (member.node.clone(), (member.incarnation, member.status)))
            .collect();
        let actions = self.merge(members, now);
        let mut missing = self.list();
        missing.retain(|member| {
            let known = known_to_peer.get(&member.node);
            known.is_none_or(|&known| (member.incarnation, member.status) > known)
        });
        (missing, actions)
    }

    /// Handles a message received from `from`.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Duration) -> Vec<Action> {
        let Message { node, view_digest, sequence, body, updates } = message;
        if node != self.local.node {
            let previous = self.local.incarnation;
            for update in updates.0 {
                self.apply(update, 0, now);
            }
            let has_refuted = self.local.incarnation != previous;
            self.maybe_schedule_sync(&node, from, view_digest, now);
            match body {
                Body::Ping => self.send_ack(from, &node, sequence, has_refuted),
                Body::PingRequest(target) => self.relay_ping(from, target, sequence, now),
                Body::Ack => self.handle_ack(&node, view_digest, sequence),
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn send_ack(&mut self, from: SocketAddr, node: &Arc<str>, sequence: u32, has_refuted: bool) {
        let include_self = has_refuted || !self.members.contains_key(node);
        let message = self.build_message(Some(node), sequence, Body::Ack, include_self);
        self.actions.push(Action::Send(from, message));
    }

    /// Schedules a full exchange with a member that has sent a message, if this node considers it
    /// dead or their views differ.
    fn maybe_schedule_sync(
        &mut self,
        node: &Arc<str>,
        from: SocketAddr,
        view_digest: u64,
        now: Duration,
    ) {
        let Some(entry) = self.members.get(node) else { return };
        if entry.member.address != from {
            return;
        }
        if entry.member.status == Status::Dead {
            // After a partition heals, both sides consider each other dead. The delay gives the
            // members that can be reached directly time to refute this first.
            let delay = self.period.mul_f64(self.rng.random_range(0.5..2.0));
            if self.schedule_sync(from, now, delay) {
                self.eager_until = now + self.period * EAGER_SYNC_PERIODS;
            }
        } else if view_digest != self.view_digest {
            let is_stable = now >= self.view_changed_at + self.period * STABLE_VIEW_PERIODS;
            if is_stable || now < self.eager_until {
                let delay = self.period.mul_f64(self.rng.random_range(0.0..0.5));
                self.schedule_sync(from, now, delay);
            }
        }
    }

    fn schedule_sync(&mut self, address: SocketAddr, now: Duration, delay: Duration) -> bool {
        let interval = if now < self.eager_until {
            EAGER_SYNC_INTERVAL_PERIODS
        } else {
            SYNC_INTERVAL_PERIODS
        };
        let interval = self.period * interval;
        let is_due = self.pending_sync.is_none()
            && self.last_sync_at.is_none_or(|last| now >= last + interval);
        if is_due {
            self.pending_sync = Some((now + delay, address));
        }
        is_due
    }

    /// Applies one update, which counts as already transmitted `transmissions` times.
    fn apply(&mut self, update: Member, transmissions: u32, now: Duration) {
        if update.node == self.local.node {
            self.refute(&update);
            return;
        }
        if !update.has_valid_names() {
            return;
        }
        let node = update.node.clone();
        let digest = update.digest();
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&node) {
            self.remove_oldest_dead();
        }
        let (is_full, transmit_limit) = (self.members.len() >= MAX_MEMBERS, self.transmit_limit());
        match self.members.get_mut(&node) {
            Some(entry) if update.supersedes(&entry.member) => {
                self.view_digest ^= entry.member.digest();
                if update.incarnation > entry.member.incarnation {
                    entry.failures = 0;
                }
                entry.member = update;
                entry.changed_at = now;
            }
            Some(entry) => {
                // Other nodes gossip this update too, so this node has to send it less often.
                if update == entry.member {
                    self.queue.count_transmission(&node, transmit_limit);
                }
                return;
            }
            None if update.status == Status::Dead || is_full => return,
            None => {
                let entry = Entry { member: update, failures: 0, changed_at: now };
                self.members.insert(node.clone(), entry);
                let position = self.rng.random_range(0..=self.probe_order.len());
                self.probe_order.insert(position, node.clone());
            }
        }
        self.record_change(&node, digest, transmissions, now);
    }

    fn record_change(&mut self, node: &Arc<str>, digest: u64, transmissions: u32, now: Duration) {
        self.view_digest ^= digest;
        self.view_changed_at = now;
        if transmissions < self.transmit_limit() {
            self.queue.push(node.clone(), transmissions);
        }
        if let Some(entry) = self.members.get(node) {
            self.actions.push(Action::Changed(entry.member.clone()));
        }
    }

    /// Refutes an outdated or wrong update about this node by raising its incarnation.
    fn refute(&mut self, update: &Member) {
        if update.incarnation > self.local.incarnation {
            self.actions.push(Action::StaleIncarnation(update.incarnation));
        } else if !update.supersedes(&self.local) {
            return;
        }
        self.raise_incarnation(update.incarnation, self.local.status);
    }

    fn raise_incarnation(&mut self, incarnation: u64, status: Status) {
        self.view_digest ^= self.local.digest();
        self.local.incarnation = incarnation.saturating_add(1);
        self.local.status = status;
        self.view_digest ^= self.local.digest();
        self.queue.push(self.local.node.clone(), 0);
    }

    /// Raises the status of a member after failed probes by this node; never lowers it.
    fn escalate_status(&mut self, node: &Arc<str>, status: Status, now: Duration) {
        let Some(entry) = self.members.get_mut(node) else { return };
        if entry.member.status >= status {
            return;
        }
        self.view_digest ^= entry.member.digest();
        entry.member.status = status;
        entry.changed_at = now;
        let digest = entry.member.digest();
        self.record_change(node, digest, 0, now);
    }

    /// Returns how often one update is transmitted: about 3 log2 n.
    fn transmit_limit(&self) -> u32 {
        3 * (self.members.len() + 2).next_power_of_two().ilog2()
    }

    fn send(
        &mut self,
        to: SocketAddr,
        node: Option<&Arc<str>>,
        body: Body,
        include_self: bool,
    ) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        let message = self.build_message(node, self.sequence, body, include_self);
        self.actions.push(Action::Send(to, message));
        self.sequence
    }

    /// Builds a message to a node. A suspicion or death of the receiver comes first in its updates,
    /// so that the receiver can refute it.
    fn build_message(
        &mut self,
        to: Option<&Arc<str>>,
        sequence: u32,
        body: Body,
        include_self: bool,
    ) -> Message {
        let mut updates = Updates::default();
        if include_self {
            updates.0.push(self.local.clone());
        }
        let receiver = to.and_then(|node| self.members.get(node)).map(|entry| &entry.member);
        updates.0.extend(receiver.filter(|member| member.status >= Status::Suspect).cloned());
        let mut included: HashSet<Arc<str>> =
            updates.0.iter().map(|member| member.node.clone()).collect();
        let transmit_limit = self.transmit_limit();
        for node in self.queue.take(MAX_UPDATES - updates.0.len(), transmit_limit, &mut self.rng) {
            let Some(member) = self.get(&node).cloned() else { continue };
            if included.insert(node) {
                updates.0.push(member);
            }
        }
        Message {
            node: self.local.node.clone(),
            view_digest: self.view_digest,
            sequence,
            body,
            updates,
        }
    }
}
