//! Quotas of tenants over all nodes together.
//!
//! The load to answer is one tenant that sends many times its usual: the others must not feel it,
//! and it must get what its quota allows. Every node keeps what all nodes admitted in the window of
//! the quota: its own requests at once, those of its peers as they tell them. While a peer is silent,
//! the node leaves that peer's part of the quota unused, so that both sides of a cut together stay
//! within it. A node that starts again while others were or are running takes the window for used
//! up, until a peer that has run for longer tells what really was admitted.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog;

/// Time by which the window is longer than the users', for what the peers have not told yet.
const TELL_TIME: Duration = Duration::from_millis(250);
/// Longest advice while this node doesn't know what was admitted before its start.
const UNSURE_ADVICE: Duration = Duration::from_millis(300);
/// Steps in which what was admitted before a start leaves the window.
const STEPS: u32 = 16;

#[derive(Debug)]
struct Ledger {
    quota: catalog::Quota,
    /// Units admitted by all nodes, with the time at which this node knew of them.
    entries: VecDeque<(Duration, u64)>,
    sum: u64,
    /// Units that this node has ever admitted.
    own: u64,
    /// Units of `own` that the peers were told of.
    told: u64,
    /// Units that peers have admitted since this node's start, as far as it counts them.
    heard: u64,
    /// Units that each peer has ever admitted, as last told, with its start.
    peers: HashMap<Arc<str>, (u64, u64)>,
}

impl Ledger {
    fn add(&mut self, units: u64, now: Duration) {
        self.entries.push_back((now, units));
        self.sum += units;
    }

    /// Replaces what is in the window by `units`, as if admitted evenly over its length.
    fn seed(&mut self, units: f64, window: Duration, now: Duration) {
        let each = (units / f64::from(STEPS)) as u64;
        let step = window / STEPS;
        let start = now.saturating_sub(window);
        self.entries = (1..=STEPS).map(|index| (start + step * index, each)).collect();
        self.sum = each * u64::from(STEPS);
    }

    fn tell(&mut self) -> u64 {
        self.told = self.own;
        self.own
    }

    fn limit(&self, window: Duration) -> f64 {
        self.quota.rate * window.as_secs_f64() + self.quota.burst
    }

    fn expire(&mut self, window: Duration, now: Duration) {
        while let Some((_, units)) =
            self.entries.pop_front_if(|(time, _)| now.saturating_sub(*time) > window)
        {
            self.sum -= units;
        }
    }

    /// Gives the time after which `units` more fit, when what is in the window has expired.
    fn room_after(&self, units: f64, limit: f64, window: Duration, now: Duration) -> Duration {
        let mut sum = self.sum as f64 + units;
        for (time, units) in &self.entries {
            sum -= *units as f64;
            if sum <= limit {
                return (*time + window).saturating_sub(now);
            }
        }
        window
    }
}

/// Holds what the nodes have admitted of all tenants.
#[derive(Debug)]
pub struct Quotas {
    window: Duration,
    ledgers: HashMap<Arc<str>, Ledger>,
    share: f64,
    /// Set until this node knows what was admitted before its start.
    is_unsure: bool,
    configured: bool,
}

impl Quotas {
    /// Starts with no tenants; `window` is the span over which the users count.
    ///
    /// `is_first_start` tells that no node has run before.
    pub fn new(window: Duration, is_first_start: bool) -> Quotas {
        Quotas {
            window: window + TELL_TIME,
            ledgers: HashMap::new(),
            share: 1.0,
            is_unsure: !is_first_start,
            configured: false,
        }
    }

    /// Takes from a peer what all nodes have admitted in the window, if this node doesn't know.
    pub fn adopt(&mut self, uptime: Duration, sums: &[(Arc<str>, u64)], now: Duration) {
        if !self.is_unsure || !self.configured || uptime < self.window {
            return;
        }
        self.is_unsure = false;
        for (name, ledger) in &mut self.ledgers {
            let sum = sums.iter().find(|(tenant, _)| tenant == name).map_or(0, |(_, sum)| *sum);
            // The peer may not have heard yet what this node has admitted itself.
            let own = ledger.own;
            ledger.seed(sum as f64, self.window, now);
            ledger.add(own, now);
        }
    }

    /// Tells whether this node still has to learn what was admitted before its start.
    pub fn is_unsure(&self) -> bool {
        self.is_unsure
    }

    /// Takes from the store what all nodes had admitted in the window before they were killed.
    ///
    /// `age` is the time since then; within `unrecorded` after it, each tenant may have gone on at
    /// the rate of its quota. Gives `false` as long as no tenants are known.
    pub fn recall(
        &mut self,
        sums: &[(Arc<str>, u64)],
        age: Duration,
        unrecorded: Duration,
        now: Duration,
    ) -> bool {
        if !self.is_unsure || !self.configured {
            return !self.is_unsure;
        }
        self.is_unsure = false;
        let window = self.window;
        for (name, ledger) in &mut self.ledgers {
            let sum = sums.iter().find(|(tenant, _)| tenant == name).map_or(0, |(_, sum)| *sum);
            let limit = ledger.limit(window);
            // Nodes that started with this one may have told already what they admit.
            let since = ledger.own + ledger.heard;
            ledger.seed(sum as f64, window, now.saturating_sub(age));
            let unknown = unrecorded.min(age).as_secs_f64() / window.as_secs_f64() * limit;
            let unknown = unknown.min((limit - ledger.sum as f64).max(0.0));
            ledger.add(unknown as u64, now.saturating_sub(age.saturating_sub(unrecorded)));
            ledger.add(since, now);
            ledger.expire(window, now);
        }
        true
    }

    /// Gives what all nodes have admitted in the window, for a peer that has just started.
    pub fn sums(&mut self, now: Duration) -> Vec<(Arc<str>, u64)> {
        let window = self.window;
        let sum = |(name, ledger): (&Arc<str>, &mut Ledger)| {
            ledger.expire(window, now);
            (name.clone(), ledger.sum)
        };
        self.ledgers.iter_mut().map(sum).collect()
    }

    /// Takes the quotas of a new catalog; what was admitted before still counts.
    pub fn configure(&mut self, tenants: &[Arc<catalog::Tenant>], now: Duration) {
        let is_seeded = self.is_unsure && !self.configured;
        self.configured = true;
        let window = self.window;
        self.ledgers.retain(|name, _| tenants.iter().any(|tenant| tenant.name == *name));
        for tenant in tenants {
            let Some(quota) = tenant.quota else {
                self.ledgers.remove(&tenant.name);
                continue;
            };
            let ledger = self.ledgers.entry(tenant.name.clone()).or_insert_with(|| Ledger {
                quota,
                entries: VecDeque::new(),
                sum: 0,
                own: 0,
                told: 0,
                heard: 0,
                peers: HashMap::new(),
            });
            ledger.quota = quota;
            if is_seeded {
                ledger.seed(ledger.limit(window), window, now);
            }
        }
    }

    /// Sets the part of the quotas that this node and the peers it hears may use, from 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Takes the units of a request, or tells when there is room for it.
    ///
    /// # Errors
    ///
    /// Gives the time after which the window has room.
    pub fn take(&mut self, tenant: &str, units: u64, now: Duration) -> Result<(), Duration> {
        let (window, share) = (self.window, self.share);
        let Some(ledger) = self.ledgers.get_mut(tenant) else { return Ok(()) };
        ledger.expire(window, now);
        let limit = ledger.limit(window) * share;
        let fits = ledger.sum as f64 + units as f64 <= limit;
        // A request that is larger than the whole window runs alone.
        if !fits && ledger.sum > 0 {
            let after = ledger.room_after(units as f64, limit, window, now);
            // Soon a peer or the store tells what really was admitted.
            return Err(if self.is_unsure { after.min(UNSURE_ADVICE) } else { after });
        }
        ledger.add(units, now);
        ledger.own += units;
        Ok(())
    }

    /// Gives the units of a tenant in the window and how many this node and its peers may admit.
    pub fn used(&self, tenant: &str) -> (u64, u64) {
        let Some(ledger) = self.ledgers.get(tenant) else { return (0, 0) };
        (ledger.sum, (ledger.limit(self.window) * self.share) as u64)
    }

    /// Takes the units that a peer has admitted since it started, `uptime` ago.
    ///
    /// What a peer admitted before this node first heard of it counts only if it has started within the
    /// window: what older ones admitted is known from the store or from other peers, or is long past.
    pub fn hear(
        &mut self,
        (peer, start): (&Arc<str>, u64),
        tenant: &str,
        total: u64,
        uptime: Duration,
        now: Duration,
    ) {
        let window = self.window;
        let Some(ledger) = self.ledgers.get_mut(tenant) else { return };
        let before = ledger.peers.get(peer).copied();
        // Datagrams may overtake each other.
        if before.is_some_and(|(known, before)| known == start && total <= before) {
            return;
        }
        ledger.peers.insert(peer.clone(), (start, total));
        let units = match before {
            Some((known, before)) if known == start => total.saturating_sub(before),
            _ if uptime < window => total,
            _ => 0,
        };
        ledger.expire(window, now);
        if units > 0 {
            ledger.add(units, now);
            ledger.heard += units;
        }
    }

    /// Tells whether the peers must hear soon what this node has admitted: if each of them has
    /// admitted as much since it last told, a quota may be used up.
    pub fn is_nearly_used_up(&self, nodes: usize) -> bool {
        self.ledgers.values().any(|ledger| {
            let untold = (ledger.own - ledger.told) as f64;
            let room = ledger.limit(self.window) * self.share - ledger.sum as f64;
            untold > 0.0 && untold * nodes as f64 >= room
        })
    }

    /// Gives the units that this node has admitted since its start, for its peers.
    pub fn tell(&mut self) -> Vec<(Arc<str>, u64)> {
        let tell = |(name, ledger): (&Arc<str>, &mut Ledger)| (name.clone(), ledger.tell());
        self.ledgers.iter_mut().map(tell).collect()
    }

    /// Gives the same of the tenants of which the peers don't know everything.
    pub fn tell_news(&mut self) -> Vec<(Arc<str>, u64)> {
        let untold = self.ledgers.iter_mut().filter(|(_, ledger)| ledger.own > ledger.told);
        untold.map(|(name, ledger)| (name.clone(), ledger.tell())).collect()
    }
}
