//! Probes, their time limits, and what a node does once a period.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    Action, Body, DEAD_FAILURES, DEAD_PERIODS, HELPERS, Message, RETRIES, SEED_PERIODS,
    SUSPECT_FAILURES, State, Status,
};

/// Periods between searches for dead members that are old enough to be forgotten.
const FORGET_PERIODS: u32 = 60;
/// Pings that this node relays at a time; more than its share when every member has a failure.
const MAX_RELAYS: usize = 256;

/// Tracks a ping that waits for its `Ack`.
#[derive(Debug)]
pub(super) struct Probe {
    node: Arc<str>,
    address: SocketAddr,
    sequence: u32,
    indirect_at: Duration,
    deadline: Duration,
    indirect: bool,
}

/// Tracks a ping sent on behalf of another node.
#[derive(Debug)]
pub(super) struct Relay {
    sequence: u32,
    requester: SocketAddr,
    requested: u32,
    deadline: Duration,
}

impl State {
    /// Advances the time limits; to be called `TICKS_PER_PERIOD` times a period.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        // After a pause of this process, its own probes have timed out without a fault of others.
        if now > self.last_tick + self.period * 2 {
            self.probes.clear();
            self.next_period = now;
        }
        self.last_tick = now;
        self.relays.retain(|relay| relay.deadline > now);
        self.advance_probes(now);
        if now >= self.next_period {
            self.next_period = (self.next_period + self.period).max(now);
            self.start_period(now);
        }
        if let Some((_, address)) = self.sync.take_if(|(at, _)| *at <= now) {
            self.last_sync = Some(now);
            self.actions.push(Action::Sync(address));
        }
        std::mem::take(&mut self.actions)
    }

    fn advance_probes(&mut self, now: Duration) {
        for mut probe in std::mem::take(&mut self.probes) {
            if now >= probe.deadline {
                self.fail(&probe.node, now);
                continue;
            }
            if !probe.indirect && now >= probe.indirect_at {
                probe.indirect = true;
                self.probe_indirectly(&probe);
            }
            self.probes.push(probe);
        }
    }

    /// Asks helpers to probe, and repeats the direct ping in case that only it was lost.
    fn probe_indirectly(&mut self, probe: &Probe) {
        let message = self.compose(Some(&probe.node), probe.sequence, Body::Ping, false);
        self.actions.push(Action::Send(probe.address, message));
        let mut helpers = self.sample(HELPERS + 1);
        helpers.retain(|member| member.node != probe.node);
        for helper in helpers.into_iter().take(HELPERS) {
            let body = Body::PingRequest(probe.address);
            let message = self.compose(Some(&helper.node), probe.sequence, body, false);
            self.actions.push(Action::Send(helper.address, message));
        }
    }

    fn fail(&mut self, node: &Arc<str>, now: Duration) {
        let Some(entry) = self.members.get_mut(node) else { return };
        entry.failures = entry.failures.saturating_add(1);
        match entry.failures {
            failures if failures >= DEAD_FAILURES => self.judge(node, Status::Dead, now),
            failures if failures >= SUSPECT_FAILURES => self.judge(node, Status::Suspect, now),
            _ => {}
        }
    }

    fn start_period(&mut self, now: Duration) {
        self.periods = self.periods.wrapping_add(1);
        self.probe_next(now);
        self.repeat_failed(now);
        self.ping_dead();
        if self.periods.is_multiple_of(SEED_PERIODS) {
            self.ping_seed();
        }
        self.join(now);
        if self.periods.is_multiple_of(FORGET_PERIODS) {
            self.forget(now);
        }
    }

    /// Probes the next member in a random order that visits each member once a round.
    fn probe_next(&mut self, now: Duration) {
        for _ in 0..=self.order.len() {
            if self.cursor >= self.order.len() {
                self.order.shuffle(&mut self.rng);
                self.cursor = 0;
            }
            let Some(node) = self.order.get(self.cursor).cloned() else { return };
            self.cursor += 1;
            if self.probe(&node, now) {
                return;
            }
        }
    }

    /// Probes members again whose last probe by this node failed.
    fn repeat_failed(&mut self, now: Duration) {
        let failed = self
            .members
            .values()
            .filter(|entry| entry.failures > 0 && entry.member.status != Status::Dead);
        let mut failed: Vec<Arc<str>> = failed.map(|entry| entry.member.node.clone()).collect();
        failed.shuffle(&mut self.rng);
        let mut left = RETRIES;
        for node in failed {
            if left == 0 {
                return;
            }
            left -= usize::from(self.probe(&node, now));
        }
    }

    /// Sends a ping unless the member is dead or already being probed; tells whether it was sent.
    fn probe(&mut self, node: &Arc<str>, now: Duration) -> bool {
        let Some(entry) = self.members.get(node) else { return false };
        let waiting = self.probes.iter().any(|probe| probe.node == *node);
        if waiting || entry.member.status == Status::Dead {
            return false;
        }
        let address = entry.member.address;
        let sequence = self.send(address, Some(node), Body::Ping, false);
        self.probes.push(Probe {
            node: node.clone(),
            address,
            sequence,
            indirect_at: now + self.period * 3 / 10,
            deadline: now + self.period * 9 / 10,
            indirect: false,
        });
        true
    }

    /// Tries one dead member, so that both sides of a healed cut find each other again.
    fn ping_dead(&mut self) {
        let members = self.members.values().map(|entry| &entry.member);
        let dead: Vec<_> = members.filter(|member| member.status == Status::Dead).collect();
        let Some(&member) = dead.choose(&mut self.rng) else { return };
        let (node, address) = (member.node.clone(), member.address);
        self.send(address, Some(&node), Body::Ping, true);
    }

    /// Tries one seed that is not a live member, in case that dead members were forgotten.
    fn ping_seed(&mut self) {
        let live = |address: SocketAddr| {
            let mut members = self.members.values().map(|entry| &entry.member);
            members.any(|member| member.address == address && member.status != Status::Dead)
        };
        let away: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|&seed| !live(seed)).collect();
        if let Some(&seed) = away.choose(&mut self.rng) {
            self.send(seed, None, Body::Ping, true);
        }
    }

    /// Asks a seed, or a member that is known already, for the whole list until one answers.
    fn join(&mut self, now: Duration) {
        if self.joined || self.sync.is_some() {
            return;
        }
        let known = self.sample(1).first().map(|member| member.address);
        let address = known.or_else(|| self.seeds.choose(&mut self.rng).copied());
        self.sync = address.map(|address| (now, address));
    }

    fn forget(&mut self, now: Duration) {
        let keep = self.period * DEAD_PERIODS;
        let old = self
            .members
            .values()
            .filter(|entry| entry.member.status == Status::Dead && now >= entry.changed + keep);
        let old: Vec<Arc<str>> = old.map(|entry| entry.member.node.clone()).collect();
        for node in &old {
            self.remove(node);
        }
    }

    /// Makes room for a new member.
    pub(super) fn forget_oldest_dead(&mut self) {
        let dead = self.members.values().filter(|entry| entry.member.status == Status::Dead);
        let oldest = dead.min_by_key(|entry| entry.changed);
        if let Some(node) = oldest.map(|entry| entry.member.node.clone()) {
            self.remove(&node);
        }
    }

    /// Removes a dead member; the view digest leaves these out already.
    fn remove(&mut self, node: &Arc<str>) {
        self.members.remove(node);
        self.queue.remove(node);
        self.order.retain(|other| other != node);
    }

    pub(super) fn relay(
        &mut self,
        requester: SocketAddr,
        target: SocketAddr,
        requested: u32,
        now: Duration,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let known = self.members.values().find(|entry| entry.member.address == target);
        let node = known.map(|entry| entry.member.node.clone());
        let sequence = self.send(target, node.as_ref(), Body::Ping, false);
        let deadline = now + self.period;
        self.relays.push(Relay { sequence, requester, requested, deadline });
    }

    pub(super) fn acknowledge(&mut self, node: &Arc<str>, view: u64, sequence: u32) {
        if let Some(place) = self.relays.iter().position(|relay| relay.sequence == sequence) {
            let relay = self.relays.swap_remove(place);
            let ack = self.compose(None, relay.requested, Body::Ack, false);
            let ack = Message { node: node.clone(), view, ..ack };
            self.actions.push(Action::Send(relay.requester, ack));
            return;
        }
        let matches = |probe: &Probe| probe.sequence == sequence && probe.node == *node;
        if let Some(place) = self.probes.iter().position(matches) {
            self.probes.swap_remove(place);
            if let Some(entry) = self.members.get_mut(node) {
                entry.failures = 0;
            }
        }
    }
}
