//! Probes, their timeouts, and the work of each period.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    Action, Body, DEAD_FAILURES, DEAD_RETENTION_PERIODS, INDIRECT_PROBES, MAX_RETRIES, Message,
    SEED_PING_PERIODS, SUSPECT_FAILURES, State, Status,
};

/// Periods between removals of dead members whose retention has ended.
const CLEANUP_PERIODS: u32 = 60;
/// Maximum number of pings relayed at a time; more than this node's share when a probe of every
/// member has failed.
const MAX_RELAYS: usize = 256;

/// A ping that waits for its `Ack`.
#[derive(Debug)]
pub(super) struct Probe {
    node: Arc<str>,
    address: SocketAddr,
    sequence: u32,
    indirect_at: Duration,
    deadline: Duration,
    is_indirect: bool,
}

/// A ping sent on behalf of another node.
#[derive(Debug)]
pub(super) struct Relay {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
    deadline: Duration,
}

impl State {
    /// Advances probes and periods; to be called `TICKS_PER_PERIOD` times per period.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        // If this process was paused, its probes timed out through no fault of the probed members.
        if now > self.last_tick_at + self.period * 2 {
            self.probes.clear();
            self.next_period_at = now;
        }
        self.last_tick_at = now;
        self.relays.retain(|relay| relay.deadline > now);
        self.advance_probes(now);
        if now >= self.next_period_at {
            self.next_period_at = (self.next_period_at + self.period).max(now);
            self.start_period(now);
        }
        if let Some((_, address)) = self.pending_sync.take_if(|(at, _)| *at <= now) {
            self.last_sync_at = Some(now);
            self.actions.push(Action::Sync(address));
        }
        std::mem::take(&mut self.actions)
    }

    fn advance_probes(&mut self, now: Duration) {
        for mut probe in std::mem::take(&mut self.probes) {
            if now >= probe.deadline {
                self.record_failure(&probe.node, now);
                continue;
            }
            if !probe.is_indirect && now >= probe.indirect_at {
                probe.is_indirect = true;
                self.probe_indirectly(&probe);
            }
            self.probes.push(probe);
        }
    }

    /// Asks other members to probe, and repeats the direct ping in case only that datagram was
    /// lost.
    fn probe_indirectly(&mut self, probe: &Probe) {
        let message = self.build_message(Some(&probe.node), probe.sequence, Body::Ping, false);
        self.actions.push(Action::Send(probe.address, message));
        let mut helpers = self.sample(INDIRECT_PROBES + 1);
        helpers.retain(|member| member.node != probe.node);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let body = Body::PingRequest(probe.address);
            let message = self.build_message(Some(&helper.node), probe.sequence, body, false);
            self.actions.push(Action::Send(helper.address, message));
        }
    }

    fn record_failure(&mut self, node: &Arc<str>, now: Duration) {
        let Some(entry) = self.members.get_mut(node) else { return };
        entry.failures = entry.failures.saturating_add(1);
        match entry.failures {
            count if count >= DEAD_FAILURES => self.escalate_status(node, Status::Dead, now),
            count if count >= SUSPECT_FAILURES => self.escalate_status(node, Status::Suspect, now),
            _ => {}
        }
    }

    fn start_period(&mut self, now: Duration) {
        self.period_count = self.period_count.wrapping_add(1);
        self.probe_next(now);
        self.retry_failed(now);
        self.ping_dead();
        if self.period_count.is_multiple_of(SEED_PING_PERIODS) {
            self.ping_seed();
        }
        self.schedule_join(now);
        if self.period_count.is_multiple_of(CLEANUP_PERIODS) {
            self.remove_expired(now);
        }
    }

    /// Probes the next member in shuffled order; each pass over the order probes every member once.
    fn probe_next(&mut self, now: Duration) {
        for _ in 0..=self.probe_order.len() {
            if self.probe_cursor >= self.probe_order.len() {
                self.probe_order.shuffle(&mut self.rng);
                self.probe_cursor = 0;
            }
            let Some(node) = self.probe_order.get(self.probe_cursor).cloned() else { return };
            self.probe_cursor += 1;
            if self.probe(&node, now) {
                return;
            }
        }
    }

    /// Probes members again whose last probe by this node failed.
    fn retry_failed(&mut self, now: Duration) {
        let failed = self
            .members
            .values()
            .filter(|entry| entry.failures > 0 && entry.member.status != Status::Dead);
        let mut failed: Vec<Arc<str>> = failed.map(|entry| entry.member.node.clone()).collect();
        failed.shuffle(&mut self.rng);
        let mut remaining = MAX_RETRIES;
        for node in failed {
            if remaining == 0 {
                return;
            }
            remaining -= usize::from(self.probe(&node, now));
        }
    }

    /// Sends a ping unless the member is dead or already being probed; returns whether it was sent.
    fn probe(&mut self, node: &Arc<str>, now: Duration) -> bool {
        let Some(entry) = self.members.get(node) else { return false };
        let is_pending = self.probes.iter().any(|probe| probe.node == *node);
        if is_pending || entry.member.status == Status::Dead {
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
            is_indirect: false,
        });
        true
    }

    /// Pings a random dead member, so that the two sides of a healed partition find each other
    /// again.
    fn ping_dead(&mut self) {
        let members = self.members.values().map(|entry| &entry.member);
        let dead: Vec<_> = members.filter(|member| member.status == Status::Dead).collect();
        let Some(&member) = dead.choose(&mut self.rng) else { return };
        let (node, address) = (member.node.clone(), member.address);
        self.send(address, Some(&node), Body::Ping, true);
    }

    /// Pings a random seed that is not a live member, in case its entry was removed after its
    /// death.
    fn ping_seed(&mut self) {
        let is_live = |address: SocketAddr| {
            let mut members = self.members.values().map(|entry| &entry.member);
            members.any(|member| member.address == address && member.status != Status::Dead)
        };
        let absent: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|&seed| !is_live(seed)).collect();
        if let Some(&seed) = absent.choose(&mut self.rng) {
            self.send(seed, None, Body::Ping, true);
        }
    }

    /// Schedules a full exchange with a known member, or else a seed, until one has replied.
    fn schedule_join(&mut self, now: Duration) {
        if self.has_joined || self.pending_sync.is_some() {
            return;
        }
        let known = self.sample(1).first().map(|member| member.address);
        let address = known.or_else(|| self.seeds.choose(&mut self.rng).copied());
        self.pending_sync = address.map(|address| (now, address));
    }

    fn remove_expired(&mut self, now: Duration) {
        let ttl = self.period * DEAD_RETENTION_PERIODS;
        let expired = self
            .members
            .values()
            .filter(|entry| entry.member.status == Status::Dead && now >= entry.changed_at + ttl);
        let expired: Vec<Arc<str>> = expired.map(|entry| entry.member.node.clone()).collect();
        for node in &expired {
            self.remove(node);
        }
    }

    /// Removes the member that has been dead longest, to make room for a new one.
    pub(super) fn remove_oldest_dead(&mut self) {
        let dead = self.members.values().filter(|entry| entry.member.status == Status::Dead);
        let oldest = dead.min_by_key(|entry| entry.changed_at);
        if let Some(node) = oldest.map(|entry| entry.member.node.clone()) {
            self.remove(&node);
        }
    }

    /// Removes a dead member; the view digest does not include dead members.
    fn remove(&mut self, node: &Arc<str>) {
        self.members.remove(node);
        self.queue.remove(node);
        self.probe_order.retain(|other| other != node);
    }

    pub(super) fn relay_ping(
        &mut self,
        requester: SocketAddr,
        target: SocketAddr,
        requester_sequence: u32,
        now: Duration,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let known = self.members.values().find(|entry| entry.member.address == target);
        let node = known.map(|entry| entry.member.node.clone());
        let sequence = self.send(target, node.as_ref(), Body::Ping, false);
        let deadline = now + self.period;
        self.relays.push(Relay { sequence, requester, requester_sequence, deadline });
    }

    pub(super) fn handle_ack(&mut self, node: &Arc<str>, view_digest: u64, sequence: u32) {
        if let Some(index) = self.relays.iter().position(|relay| relay.sequence == sequence) {
            let relay = self.relays.swap_remove(index);
            let ack = self.build_message(None, relay.requester_sequence, Body::Ack, false);
            let ack = Message { node: node.clone(), view_digest, ..ack };
            self.actions.push(Action::Send(relay.requester, ack));
            return;
        }
        let is_match = |probe: &Probe| probe.sequence == sequence && probe.node == *node;
        if let Some(index) = self.probes.iter().position(is_match) {
            self.probes.swap_remove(index);
            if let Some(entry) = self.members.get_mut(node) {
                entry.failures = 0;
            }
        }
    }
}
