//! Quotas of tenants, counted over all nodes together in a sliding window.
//!
//! When a tenant sends many times its usual traffic, the other tenants must not be affected and the
//! tenant itself must get what its quota allows. Each node counts what all nodes admitted in the
//! window: its own requests at once, those of its peers when they report them. While a peer is not
//! alive, the node leaves that peer's share of the quota unused, so that both sides of a network
//! partition together stay within it. After its start, a node treats the windows as full, unless no node
//! has run before, until a peer that has run for a whole window, or the store, provides the actual sums.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog;

/// Extends the window beyond the configured one, to cover units that peers have not reported yet.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Longest retry delay returned while this node doesn't know what was admitted before its start.
const MAX_UNSYNCED_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of equal steps in which units admitted before the start of this node expire.
const SEED_STEPS: u32 = 16;

#[derive(Debug)]
struct Window {
    quota: catalog::Quota,
    /// Units admitted by all nodes, each with the time at which this node recorded them.
    entries: VecDeque<(Duration, u64)>,
    sum: u64,
    /// Units that this node has admitted since its start.
    local_total: u64,
    /// Value of `local_total` when it was last sent to the peers.
    sent_total: u64,
    /// Units that peers have admitted and that this node has added to its window since its start.
    peer_units: u64,
    /// Incarnation of each peer and the total of units that it last reported.
    peer_totals: HashMap<Arc<str>, (u64, u64)>,
}

impl Window {
    fn add(&mut self, units: u64, now: Duration) {
        self.entries.push_back((now, units));
        self.sum += units;
    }

    /// Replaces the entries with `units` that are spread evenly over the window.
    fn seed(&mut self, units: f64, length: Duration, now: Duration) {
        let step_units = (units / f64::from(SEED_STEPS)) as u64;
        let step = length / SEED_STEPS;
        let start = now.saturating_sub(length);
        self.entries = (1..=SEED_STEPS).map(|index| (start + step * index, step_units)).collect();
        self.sum = step_units * u64::from(SEED_STEPS);
    }

    fn mark_sent(&mut self) -> u64 {
        self.sent_total = self.local_total;
        self.local_total
    }

    fn limit(&self, length: Duration) -> f64 {
        self.quota.rate * length.as_secs_f64() + self.quota.burst
    }

    fn expire(&mut self, length: Duration, now: Duration) {
        while let Some((_, units)) =
            self.entries.pop_front_if(|(time, _)| now.saturating_sub(*time) > length)
        {
            self.sum -= units;
        }
    }

    /// Returns the time until enough entries have expired for `units` more to fit.
    fn time_until_room(&self, units: f64, limit: f64, length: Duration, now: Duration) -> Duration {
        let mut sum = self.sum as f64 + units;
        for (time, units) in &self.entries {
            sum -= *units as f64;
            if sum <= limit {
                return (*time + length).saturating_sub(now);
            }
        }
        length
    }
}

/// Sliding windows of all tenants that have a quota.
#[derive(Debug)]
pub struct Quotas {
    length: Duration,
    windows: HashMap<Arc<str>, Window>,
    share: f64,
    /// Set until this node knows what was admitted before its start.
    is_missing_history: bool,
    is_configured: bool,
}

impl Quotas {
    /// Creates quotas without tenants; `length` is the configured length of the window.
    ///
    /// `is_first_start` states that no node has run before, so that the window is known to be empty.
    pub fn new(length: Duration, is_first_start: bool) -> Quotas {
        Quotas {
            length: length + REPORT_DELAY,
            windows: HashMap::new(),
            share: 1.0,
            is_missing_history: !is_first_start,
            is_configured: false,
        }
    }

    /// Replaces the windows with the sums that a peer reports, if this node lacks the history.
    ///
    /// Ignores a peer that has run for less than a window, since it may lack the history itself.
    pub fn adopt_sums(&mut self, uptime: Duration, sums: &[(Arc<str>, u64)], now: Duration) {
        if !self.is_missing_history || !self.is_configured || uptime < self.length {
            return;
        }
        self.is_missing_history = false;
        for (name, window) in &mut self.windows {
            let sum = sums.iter().find(|(tenant, _)| tenant == name).map_or(0, |(_, sum)| *sum);
            // The peer may not have received this node's own units yet.
            let local_total = window.local_total;
            window.seed(sum as f64, self.length, now);
            window.add(local_total, now);
        }
    }

    /// Reports whether this node doesn't know yet what was admitted before its start.
    pub fn is_missing_history(&self) -> bool {
        self.is_missing_history
    }

    /// Restores the sums that all nodes had admitted when they were last written to the store.
    ///
    /// `age` is the time since that write. For up to `max_lag` after it, each tenant is assumed to
    /// have continued at the rate of its quota. Returns whether this node now knows the history; it
    /// can't as long as it has no catalog.
    pub fn restore(
        &mut self,
        sums: &[(Arc<str>, u64)],
        age: Duration,
        max_lag: Duration,
        now: Duration,
    ) -> bool {
        if !self.is_missing_history || !self.is_configured {
            return !self.is_missing_history;
        }
        self.is_missing_history = false;
        let length = self.length;
        for (name, window) in &mut self.windows {
            let sum = sums.iter().find(|(tenant, _)| tenant == name).map_or(0, |(_, sum)| *sum);
            let limit = window.limit(length);
            // Nodes that started together with this one may already have reported admitted units.
            let known_units = window.local_total + window.peer_units;
            window.seed(sum as f64, length, now.saturating_sub(age));
            let assumed = max_lag.min(age).as_secs_f64() / length.as_secs_f64() * limit;
            let assumed = assumed.min((limit - window.sum as f64).max(0.0));
            window.add(assumed as u64, now.saturating_sub(age.saturating_sub(max_lag)));
            window.add(known_units, now);
            window.expire(length, now);
        }
        true
    }

    /// Returns the units that all nodes have admitted for each tenant in the window. A node that has just
    /// started adopts or restores them.
    pub fn sums(&mut self, now: Duration) -> Vec<(Arc<str>, u64)> {
        let length = self.length;
        let sum = |(name, window): (&Arc<str>, &mut Window)| {
            window.expire(length, now);
            (name.clone(), window.sum)
        };
        self.windows.iter_mut().map(sum).collect()
    }

    /// Applies the quotas of a new catalog; units admitted before still count.
    pub fn configure(&mut self, tenants: &[Arc<catalog::Tenant>], now: Duration) {
        let is_seed_needed = self.is_missing_history && !self.is_configured;
        self.is_configured = true;
        let length = self.length;
        self.windows.retain(|name, _| tenants.iter().any(|tenant| tenant.name == *name));
        for tenant in tenants {
            let Some(quota) = tenant.quota else {
                self.windows.remove(&tenant.name);
                continue;
            };
            let window = self.windows.entry(tenant.name.clone()).or_insert_with(|| Window {
                quota,
                entries: VecDeque::new(),
                sum: 0,
                local_total: 0,
                sent_total: 0,
                peer_units: 0,
                peer_totals: HashMap::new(),
            });
            window.quota = quota;
            if is_seed_needed {
                window.seed(window.limit(length), length, now);
            }
        }
    }

    /// Sets the fraction of the quotas that this node and its live peers may use, from 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Admits a request of `units` if its tenant's window has room; a tenant without a quota is not
    /// limited.
    ///
    /// # Errors
    ///
    /// Returns the time until the window has room.
    pub fn admit(&mut self, tenant: &str, units: u64, now: Duration) -> Result<(), Duration> {
        let (length, share) = (self.length, self.share);
        let Some(window) = self.windows.get_mut(tenant) else { return Ok(()) };
        window.expire(length, now);
        let limit = window.limit(length) * share;
        let fits = window.sum as f64 + units as f64 <= limit;
        // A request that is larger than the limit is admitted when the window is empty.
        if !fits && window.sum > 0 {
            let after = window.time_until_room(units as f64, limit, length, now);
            // A peer or the store is about to provide the actual sums.
            return Err(if self.is_missing_history {
                after.min(MAX_UNSYNCED_RETRY_DELAY)
            } else {
                after
            });
        }
        window.add(units, now);
        window.local_total += units;
        Ok(())
    }

    /// Returns the units of a tenant in the window and the limit for this node and its live peers.
    pub fn usage(&self, tenant: &str) -> (u64, u64) {
        let Some(window) = self.windows.get(tenant) else { return (0, 0) };
        (window.sum, (window.limit(self.length) * self.share) as u64)
    }

    /// Records the total of units that a peer has admitted since it started, `uptime` ago.
    ///
    /// The first total of an incarnation counts only if the peer started within the window. The units of
    /// older peers are known from the store or from other peers, or have expired.
    pub fn record_peer_total(
        &mut self,
        (peer, incarnation): (&Arc<str>, u64),
        tenant: &str,
        total: u64,
        uptime: Duration,
        now: Duration,
    ) {
        let length = self.length;
        let Some(window) = self.windows.get_mut(tenant) else { return };
        let before = window.peer_totals.get(peer).copied();
        // Datagrams may arrive out of order.
        if before.is_some_and(|(last, before)| last == incarnation && total <= before) {
            return;
        }
        window.peer_totals.insert(peer.clone(), (incarnation, total));
        let units = match before {
            Some((last, before)) if last == incarnation => total.saturating_sub(before),
            _ if uptime < length => total,
            _ => 0,
        };
        window.expire(length, now);
        if units > 0 {
            window.add(units, now);
            window.peer_units += units;
        }
    }

    /// Reports whether a quota may be exhausted if each of `nodes` nodes has admitted as many units as this
    /// one since its last report, so that the peers need the totals of this node before the next heartbeat.
    pub fn is_nearly_exhausted(&self, nodes: usize) -> bool {
        self.windows.values().any(|window| {
            let unsent = (window.local_total - window.sent_total) as f64;
            let room = window.limit(self.length) * self.share - window.sum as f64;
            unsent > 0.0 && unsent * nodes as f64 >= room
        })
    }

    /// Returns the units that this node has admitted for each tenant since its start, and marks them as
    /// sent to the peers.
    pub fn report_totals(&mut self) -> Vec<(Arc<str>, u64)> {
        let report = |(name, window): (&Arc<str>, &mut Window)| (name.clone(), window.mark_sent());
        self.windows.iter_mut().map(report).collect()
    }

    /// Returns the units that this node has admitted since its start for the tenants whose total has
    /// changed since the last report, and marks them as sent to the peers.
    pub fn report_changed_totals(&mut self) -> Vec<(Arc<str>, u64)> {
        let unsent =
            self.windows.iter_mut().filter(|(_, window)| window.local_total > window.sent_total);
        unsent.map(|(name, window)| (name.clone(), window.mark_sent())).collect()
    }
}
