//! Which nodes are alive, agreed on by probing and gossip.
//!
//! Each node probes one member a period, so the messages per node do not grow with the cluster. A
//! failed probe is repeated by the node that saw it fail, first in private, then as a published
//! suspicion that the suspect can refute by raising its incarnation. See `docs/design.md`, section
//! 9.10.

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

pub use update::{Body, MAX_UPDATES, Member, Message, NAME_BYTES, Status, Updates};

use probe::{Probe, Relay};
use queue::Queue;

/// Members remembered, dead ones included; more than ten times the nodes of the design size.
pub const MAX_MEMBERS: usize = 4_096;
/// Ticks that a caller should make in one period; probes time out on ticks.
pub const TICKS_PER_PERIOD: u32 = 5;

/// Consecutive failed probes by one node after which it publishes a suspicion. The first failure
/// stays private: at 10% loss it is usually wrong, and publishing it would fill the datagrams.
const SUSPECT_FAILURES: u32 = 2;
/// Consecutive failed probes by one node after which it declares the member dead. A probe fails by
/// chance in under 1% of cases at 10% loss, so five in a row do not happen by loss alone.
const DEAD_FAILURES: u32 = 5;
/// Failed probes that one node repeats per period.
const RETRIES: usize = 2;
/// Members that are asked to probe indirectly.
const HELPERS: usize = 2;
/// Members told at once when this node announces its stop.
const FANOUT: usize = 4;
/// Periods between pings of a seed that is not a live member.
const SEED_PERIODS: u32 = 4;
/// Periods after which a dead member is forgotten; an hour at one period a second, which is longer
/// than regions stay partitioned.
const DEAD_PERIODS: u32 = 3_600;
/// Shortest time between two full exchanges started by this node, in periods.
const SYNC_PERIODS: u32 = 8;
/// Periods without a change after which a differing view is settled by a full exchange.
const QUIET_PERIODS: u32 = 4;
/// Periods after a start, or after the heal of a cut, in which differing views are settled without
/// waiting for quiet: six updates a datagram would take too long to spread that many changes.
const EAGER_PERIODS: u32 = 12;
/// Shortest time between full exchanges in that time, in periods.
const EAGER_SYNC_PERIODS: u32 = 1;

/// Tells the shell what to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send(SocketAddr, Message),
    /// Send `State::list` to this address by TCP, for its `State::exchange`, and feed the answer to
    /// `State::merge`.
    Sync(SocketAddr),
    /// A member is new or has changed.
    Changed(Member),
    /// Others remember a higher incarnation of this node than it has used for its frames.
    Outdated(u64),
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Consecutive probes by this node that failed.
    failures: u32,
    changed: Duration,
}

/// Holds what this node believes about all members; reads no clock and holds no socket.
#[derive(Debug)]
pub struct State {
    me: Member,
    seeds: Vec<SocketAddr>,
    period: Duration,
    rng: SmallRng,
    members: BTreeMap<Arc<str>, Entry>,
    /// Shuffled order of the probes, and the next place in it.
    order: Vec<Arc<str>>,
    cursor: usize,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    queue: Queue,
    sequence: u32,
    periods: u32,
    next_period: Duration,
    last_tick: Duration,
    /// XOR of the digests of all members, this node included.
    view: u64,
    view_changed: Duration,
    joined: bool,
    /// Full exchange that is due: when and with whom.
    sync: Option<(Duration, SocketAddr)>,
    last_sync: Option<Duration>,
    /// End of the time in which differing views are settled at once.
    eager_until: Duration,
    actions: Vec<Action>,
}

impl State {
    /// Starts with no member but this node itself; `me.incarnation` must be higher than that of an
    /// earlier process of the same node. The random seed decides all choices.
    pub fn new(
        me: Member,
        seeds: Vec<SocketAddr>,
        period: Duration,
        seed: u64,
        now: Duration,
    ) -> State {
        let mut rng = SmallRng::seed_from_u64(seed);
        let offset = period.mul_f64(rng.random());
        let mut queue = Queue::default();
        queue.push(me.node.clone(), 0);
        let seeds = seeds.into_iter().filter(|&address| address != me.address).collect();
        State {
            view: me.digest(),
            me,
            seeds,
            period,
            rng,
            members: BTreeMap::new(),
            order: Vec::new(),
            cursor: 0,
            probes: Vec::new(),
            relays: Vec::new(),
            queue,
            sequence: 0,
            periods: 0,
            // Nodes that start together do not probe in step.
            next_period: now + offset,
            last_tick: now,
            view_changed: now,
            joined: false,
            sync: None,
            last_sync: None,
            eager_until: now + period * EAGER_PERIODS,
            actions: Vec::new(),
        }
    }

    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Gives the digest of this node's view; equal digests mean equal views.
    pub fn view(&self) -> u64 {
        self.view
    }

    pub fn get(&self, node: &str) -> Option<&Member> {
        if *node == *self.me.node {
            return Some(&self.me);
        }
        self.members.get(node).map(|entry| &entry.member)
    }

    /// Lists all members, this node first, dead ones included.
    pub fn list(&self) -> Vec<Member> {
        let others = self.members.values().map(|entry| entry.member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Gives up to `count` random other members that take part, leaving ones included.
    pub fn sample(&mut self, count: usize) -> Vec<Member> {
        let live = self.members.values().map(|entry| &entry.member);
        let live: Vec<&Member> = live.filter(|member| member.status < Status::Suspect).collect();
        live.sample(&mut self.rng, count).map(|&member| member.clone()).collect()
    }

    /// Announces a planned stop, at once to a few members and by gossip to the rest.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.me.status != Status::Leaving {
            self.raise(self.me.incarnation, Status::Leaving);
            for member in self.sample(FANOUT) {
                self.send(member.address, Some(&member.node), Body::Ping, true);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes in the members of another node's list.
    pub fn merge(&mut self, members: Vec<Member>, now: Duration) -> Vec<Action> {
        // A node that has just joined repeats nothing: the others know these members already.
        let sent = if self.joined { self.limit() / 2 } else { self.limit() };
        self.joined = true;
        for member in members.into_iter().take(MAX_MEMBERS) {
            self.apply(member, sent, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes in another node's list and gives what that node lacks.
    pub fn exchange(&mut self, members: Vec<Member>, now: Duration) -> (Vec<Member>, Vec<Action>) {
        let theirs: HashMap<Arc<str>, (u64, Status)> = members
            .iter()
            .map(|member| (member.node.clone(), (member.incarnation, member.status)))
            .collect();
        let actions = self.merge(members, now);
        let mut lacking = self.list();
        lacking.retain(|member| {
            let known = theirs.get(&member.node);
            known.is_none_or(|&known| (member.incarnation, member.status) > known)
        });
        (lacking, actions)
    }

    /// Acts on a message that arrived from `from`.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Duration) -> Vec<Action> {
        let Message { node, view, sequence, body, updates } = message;
        if node != self.me.node {
            let before = self.me.incarnation;
            for update in updates.0 {
                self.apply(update, 0, now);
            }
            let refuted = self.me.incarnation != before;
            self.contact(&node, from, view, now);
            match body {
                Body::Ping => self.answer(from, &node, sequence, refuted),
                Body::PingRequest(target) => self.relay(from, target, sequence, now),
                Body::Ack => self.acknowledge(&node, view, sequence),
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn answer(&mut self, from: SocketAddr, node: &Arc<str>, sequence: u32, refuted: bool) {
        let include_me = refuted || !self.members.contains_key(node);
        let message = self.compose(Some(node), sequence, Body::Ack, include_me);
        self.actions.push(Action::Send(from, message));
    }

    /// Notes that a member has sent something itself.
    fn contact(&mut self, node: &Arc<str>, from: SocketAddr, view: u64, now: Duration) {
        let Some(entry) = self.members.get(node) else { return };
        if entry.member.address != from {
            return;
        }
        if entry.member.status == Status::Dead {
            // Both sides of a healed cut believe each other dead. The exchange waits until the
            // members that are reached directly have refuted it.
            let wait = self.period.mul_f64(self.rng.random_range(0.5..2.0));
            if self.plan_sync(from, now, wait) {
                self.eager_until = now + self.period * EAGER_PERIODS;
            }
        } else if view != self.view {
            let quiet = now >= self.view_changed + self.period * QUIET_PERIODS;
            if quiet || now < self.eager_until {
                let wait = self.period.mul_f64(self.rng.random_range(0.0..0.5));
                self.plan_sync(from, now, wait);
            }
        }
    }

    fn plan_sync(&mut self, address: SocketAddr, now: Duration, wait: Duration) -> bool {
        let rest = if now < self.eager_until { EAGER_SYNC_PERIODS } else { SYNC_PERIODS };
        let rest = self.period * rest;
        let due = self.sync.is_none() && self.last_sync.is_none_or(|last| now >= last + rest);
        if due {
            self.sync = Some((now + wait, address));
        }
        due
    }

    /// Takes in one update; `sent` is where the count of its transmissions starts.
    fn apply(&mut self, update: Member, sent: u32, now: Duration) {
        if update.node == self.me.node {
            self.hear_about_me(&update);
            return;
        }
        if !update.is_bounded() {
            return;
        }
        let node = update.node.clone();
        let digest = update.digest();
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&node) {
            self.forget_oldest_dead();
        }
        let (full, limit) = (self.members.len() >= MAX_MEMBERS, self.limit());
        match self.members.get_mut(&node) {
            Some(entry) if update.supersedes(&entry.member) => {
                self.view ^= entry.member.digest();
                if update.incarnation > entry.member.incarnation {
                    entry.failures = 0;
                }
                entry.member = update;
                entry.changed = now;
            }
            Some(entry) => {
                // Others spread this already, so this node has to send it less often.
                if update == entry.member {
                    self.queue.hear(&node, limit);
                }
                return;
            }
            None if update.status == Status::Dead || full => return,
            None => {
                let entry = Entry { member: update, failures: 0, changed: now };
                self.members.insert(node.clone(), entry);
                let place = self.rng.random_range(0..=self.order.len());
                self.order.insert(place, node.clone());
            }
        }
        self.note_change(&node, digest, sent, now);
    }

    fn note_change(&mut self, node: &Arc<str>, digest: u64, sent: u32, now: Duration) {
        self.view ^= digest;
        self.view_changed = now;
        if sent < self.limit() {
            self.queue.push(node.clone(), sent);
        }
        if let Some(entry) = self.members.get(node) {
            self.actions.push(Action::Changed(entry.member.clone()));
        }
    }

    /// Refutes what others believe wrongly about this node.
    fn hear_about_me(&mut self, update: &Member) {
        if update.incarnation > self.me.incarnation {
            self.actions.push(Action::Outdated(update.incarnation));
        } else if !update.supersedes(&self.me) {
            return;
        }
        self.raise(update.incarnation, self.me.status);
    }

    fn raise(&mut self, incarnation: u64, status: Status) {
        self.view ^= self.me.digest();
        self.me.incarnation = incarnation.saturating_add(1);
        self.me.status = status;
        self.view ^= self.me.digest();
        self.queue.push(self.me.node.clone(), 0);
    }

    /// Gives a member a status that this node found out by itself.
    fn judge(&mut self, node: &Arc<str>, status: Status, now: Duration) {
        let Some(entry) = self.members.get_mut(node) else { return };
        if entry.member.status >= status {
            return;
        }
        self.view ^= entry.member.digest();
        entry.member.status = status;
        entry.changed = now;
        let digest = entry.member.digest();
        self.note_change(node, digest, 0, now);
    }

    /// Gives how often one update is sent: about 3 log2 n.
    fn limit(&self) -> u32 {
        3 * (self.members.len() + 2).next_power_of_two().ilog2()
    }

    fn send(
        &mut self,
        to: SocketAddr,
        node: Option<&Arc<str>>,
        body: Body,
        include_me: bool,
    ) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        let message = self.compose(node, self.sequence, body, include_me);
        self.actions.push(Action::Send(to, message));
        self.sequence
    }

    /// Builds a message to a node. It first carries what the receiver has to refute.
    fn compose(
        &mut self,
        to: Option<&Arc<str>>,
        sequence: u32,
        body: Body,
        include_me: bool,
    ) -> Message {
        let mut updates = Updates::default();
        if include_me {
            updates.0.push(self.me.clone());
        }
        let accused = to.and_then(|node| self.members.get(node)).map(|entry| &entry.member);
        updates.0.extend(accused.filter(|member| member.status >= Status::Suspect).cloned());
        let mut named: HashSet<Arc<str>> =
            updates.0.iter().map(|member| member.node.clone()).collect();
        let limit = self.limit();
        for node in self.queue.take(MAX_UPDATES - updates.0.len(), limit, &mut self.rng) {
            let Some(member) = self.get(&node).cloned() else { continue };
            if named.insert(node) {
                updates.0.push(member);
            }
        }
        Message { node: self.me.node.clone(), view: self.view, sequence, body, updates }
    }
}
