//! Quotas of tenants, counted over all nodes together in a sliding window.
//!
//! When a tenant sends many times its usual traffic, the other tenants must not be affected and the
//! tenant itself must get what its quota allows. Each node counts what all nodes admitted in the
//! window: its own requests at once, those of its peers when they report them. While a peer is not
//! alive, the node leaves that peer's share of the quota unused, so that both sides of a network
//! partition together stay within it. After its start, a node treats the windows as full, unless no node
//! has run before, until a peer that has run for a whole window, or the store, provides the actual sums.
//!
//! In a large fleet a node knows the requests of its own failure domain one by one, and those of the
//! other domains as the sum of their window; see "What a node pays" in `docs/platform.md`.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::gateway::catalog;

/// Extends the window beyond the configured one, to cover units that peers have not reported yet.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Longest retry delay returned while this node doesn't know what was admitted before its start.
const MAX_UNSYNCED_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of equal steps in which units admitted before the start of this node expire.
const SEED_STEPS: u32 = 16;
/// Time after it knows the history in which a node still learns more of it from older peers.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the largest sum that any source reports for another failure domain counts. A node that
/// starts to report for its domain may not know all of its requests yet.
const DOMAIN_SUM_OVERLAP: Duration = Duration::from_secs(1);

type Entries = VecDeque<(Duration, u64)>;

/// Units in a window by the quarter of the window in which they were admitted, from the oldest. A node that
/// starts needs it: units that all came lately don't expire evenly.
pub type Profile = [u64; 4];

/// Report of a node on the window of another failure domain: domain, whether it is recent, when it came
/// and the units.
type DomainReport<'a> = (&'a Arc<str>, bool, Duration, u64);

/// Units that a node reported for the window of another failure domain.
#[derive(Debug)]
struct DomainSum {
    domain: Arc<str>,
    source: Arc<str>,
    seen: Duration,
    units: u64,
}

#[derive(Debug)]
struct Window {
    quota: catalog::Quota,
    /// Units admitted by this node and its direct peers, each with the time at which it recorded them.
    entries: Entries,
    sum: u64,
    /// Those of the entries that this node has admitted itself.
    own: Entries,
    own_sum: u64,
    /// What each older peer reports to have admitted itself, while this node learns the history.
    peer_sums: HashMap<Arc<str>, u64>,
    /// Units that all nodes admitted before this one started, as the store knows them.
    restored: Entries,
    restored_sum: u64,
    domain_sums: Vec<DomainSum>,
    /// Sum over the other failure domains.
    domain_units: u64,
    /// Units that this node has admitted since its start.
    local_total: u64,
    /// Value of `local_total` when it was last sent to the peers.
    sent_total: u64,
    /// Incarnation of each peer and the total of units that it last reported.
    peer_totals: HashMap<Arc<str>, (u64, u64)>,
}

impl Window {
    fn add(&mut self, units: u64, now: Duration) {
        self.entries.push_back((now, units));
        self.sum += units;
    }

    /// Returns the units in the window that all nodes have admitted, as far as this one knows.
    fn used(&self) -> u64 {
        self.sum + self.restored_sum + self.domain_units
    }

    fn add_restored(&mut self, units: u64, time: Duration) {
        self.restored.push_back((time, units));
        self.restored_sum += units;
    }

    fn set_restored(&mut self, restored: Entries) {
        self.restored_sum = restored.iter().map(|(_, units)| units).sum();
        self.restored = restored;
    }

    /// Records what a source reports for the window of another failure domain.
    fn set_domain_sum(&mut self, domain: &Arc<str>, source: &Arc<str>, units: u64, now: Duration) {
        let known =
            self.domain_sums.iter_mut().find(|it| it.domain == *domain && it.source == *source);
        match known {
            Some(known) => (known.seen, known.units) = (now, units),
            None => {
                let (domain, source) = (domain.clone(), source.clone());
                self.domain_sums.push(DomainSum { domain, source, seen: now, units });
            }
        }
    }

    /// Adds up the other failure domains: for each the largest sum among the recent reports, or the last
    /// one for as long as its units are in the window.
    fn sum_domains(&mut self, length: Duration, now: Duration) {
        self.domain_sums.retain(|it| now.saturating_sub(it.seen) <= length);
        let is_recent = |it: &DomainSum| now.saturating_sub(it.seen) <= DOMAIN_SUM_OVERLAP;
        let mut domains: SmallVec<[DomainReport<'_>; 8]> = SmallVec::new();
        for it in &self.domain_sums {
            let report = (&it.domain, is_recent(it), it.seen, it.units);
            match domains.iter_mut().find(|(domain, ..)| *domain == &it.domain) {
                None => domains.push(report),
                Some(known) if known.1 && report.1 => known.3 = known.3.max(report.3),
                Some(known) if report.2 > known.2 => *known = report,
                Some(_) => {}
            }
        }
        self.domain_units = domains.iter().map(|(.., units)| units).sum();
    }

    fn mark_sent(&mut self) -> u64 {
        self.sent_total = self.local_total;
        self.local_total
    }

    fn limit(&self, length: Duration) -> f64 {
        self.quota.rate * length.as_secs_f64() + self.quota.burst
    }

    fn expire(&mut self, length: Duration, now: Duration) {
        let is_old = |(time, _): &mut (Duration, u64)| now.saturating_sub(*time) > length;
        while let Some((_, units)) = self.entries.pop_front_if(is_old) {
            self.sum -= units;
        }
        while let Some((_, units)) = self.own.pop_front_if(is_old) {
            self.own_sum -= units;
        }
        while let Some((_, units)) = self.restored.pop_front_if(is_old) {
            self.restored_sum -= units;
        }
        self.sum_domains(length, now);
    }

    /// Returns the profile of the units that this node and its direct peers have admitted.
    fn profile(&self, length: Duration, now: Duration) -> Profile {
        let mut profile = Profile::default();
        let quarter = (length / profile.len() as u32).max(Duration::from_millis(1));
        for (time, units) in self.restored.iter().chain(&self.entries) {
            let age = now.saturating_sub(*time).as_nanos() / quarter.as_nanos();
            let index = profile.len() - 1 - (age as usize).min(profile.len() - 1);
            profile[index] += units;
        }
        profile
    }

    /// Returns the profile of all units in the window. Those of other failure domains are assumed to have
    /// the ages of those of this one.
    fn full_profile(&self, length: Duration, now: Duration) -> Profile {
        let own = self.sum + self.restored_sum;
        if own == 0 {
            return [0, 0, 0, self.domain_units];
        }
        let factor = self.used() as f64 / own as f64;
        self.profile(length, now).map(|units| (units as f64 * factor) as u64)
    }

    /// Returns the time until enough entries have expired for `units` more to fit. The units of other
    /// failure domains are assumed to expire at the same times as those of this one.
    fn time_until_room(&self, units: f64, limit: f64, length: Duration, now: Duration) -> Duration {
        let own = self.sum + self.restored_sum;
        let factor = self.used() as f64 / (own as f64).max(1.0);
        let mut sum = self.used() as f64 + units;
        for (time, units) in self.restored.iter().chain(&self.entries) {
            sum -= *units as f64 * factor;
            if sum <= limit {
                return (*time + length).saturating_sub(now);
            }
        }
        length
    }
}

fn find_profile(profiles: &[(Arc<str>, Profile)], tenant: &str) -> Profile {
    profiles.iter().find(|(name, _)| **name == *tenant).map_or([0; 4], |(_, profile)| *profile)
}

/// Returns the units of a profile with the latest times at which they can have been admitted.
fn place(profile: Profile, length: Duration, now: Duration) -> Entries {
    let quarter = length / profile.len() as u32;
    let time = |index: usize| now.saturating_sub(quarter * (profile.len() - 1 - index) as u32);
    profile.into_iter().enumerate().map(|(index, units)| (time(index), units)).collect()
}

/// Returns `units` that are spread evenly over the window before `now`.
fn spread(units: f64, length: Duration, now: Duration) -> Entries {
    let step_units = (units / f64::from(SEED_STEPS)) as u64;
    let step = length / SEED_STEPS;
    let start = now.saturating_sub(length);
    (1..=SEED_STEPS).map(|index| (start + step * index, step_units)).collect()
}

/// Sliding windows of all tenants that have a quota.
#[derive(Debug)]
pub struct Quotas {
    length: Duration,
    windows: HashMap<Arc<str>, Window>,
    share: f64,
    /// Set until this node knows what was admitted before its start.
    is_missing_history: bool,
    /// Time until which older peers may still report more than this node knows of the time before its
    /// start.
    learns_until: Duration,
    is_configured: bool,
    /// Whether the last version had tenants that can't be read, and this node may not know what others admitted.
    has_unknown_tenants: bool,
    is_first_start: bool,
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
            learns_until: Duration::ZERO,
            is_configured: false,
            has_unknown_tenants: false,
            is_first_start,
        }
    }

    /// Replaces the windows with the sums that a peer reports, if this node lacks the history.
    ///
    /// Ignores a peer that has run for less than a window, since it may lack the history itself.
    pub fn adopt_profiles(
        &mut self,
        uptime: Duration,
        profiles: &[(Arc<str>, Profile)],
        now: Duration,
    ) {
        if !self.is_configured || uptime < self.length {
            return;
        }
        if !self.is_missing_history {
            let sum =
                |(tenant, profile): &(Arc<str>, Profile)| (tenant.clone(), profile.iter().sum());
            return self.raise_sums(&profiles.iter().map(sum).collect::<Vec<_>>(), now);
        }
        self.is_missing_history = false;
        self.learns_until = now + LEARNING_TIME;
        for (name, window) in &mut self.windows {
            let profile = find_profile(profiles, name);
            window.restored.clear();
            window.restored_sum = 0;
            window.entries = place(profile, self.length, now);
            window.sum = window.entries.iter().map(|(_, units)| units).sum();
            // The peer may not have received this node's own units yet.
            window.add(window.local_total, now);
        }
    }

    /// Raises the windows to the sums that an older peer reports, while this node learns the history. The
    /// peer that it adopted first may have been cut off from the others.
    fn raise_sums(&mut self, sums: &[(Arc<str>, u64)], now: Duration) {
        if now >= self.learns_until {
            return;
        }
        for (tenant, sum) in sums {
            let Some(window) = self.windows.get_mut(tenant) else { continue };
            window.expire(self.length, now);
            let missing = sum.saturating_sub(window.sum + window.restored_sum);
            if missing > 0 {
                window.add(missing, now);
            }
        }
    }

    /// Records what an older peer has admitted itself in the window. No peer may know the requests of all
    /// others, but all that live report their own.
    pub fn learn_own_sums(
        &mut self,
        peer: &Arc<str>,
        uptime: Duration,
        own_sums: &[(Arc<str>, u64)],
        now: Duration,
    ) {
        if self.is_missing_history || now >= self.learns_until || uptime < self.length {
            return;
        }
        let mut totals = Vec::new();
        for (tenant, sum) in own_sums {
            let Some(window) = self.windows.get_mut(tenant) else { continue };
            window.peer_sums.insert(peer.clone(), *sum);
            let total = window.own_sum + window.peer_sums.values().sum::<u64>();
            totals.push((tenant.clone(), total));
        }
        self.raise_sums(&totals, now);
    }

    /// Returns the units that this node has admitted itself for each tenant in the window.
    pub fn own_sums(&mut self, now: Duration) -> Vec<(Arc<str>, u64)> {
        self.map_windows(now, |window| window.own_sum)
    }

    /// Returns the length of the windows, with the extension for units that are not reported yet.
    pub fn length(&self) -> Duration {
        self.length
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
        profiles: &[(Arc<str>, Profile)],
        age: Duration,
        max_lag: Duration,
        now: Duration,
    ) -> bool {
        if !self.is_missing_history || !self.is_configured {
            return !self.is_missing_history;
        }
        self.is_missing_history = false;
        self.learns_until = now + LEARNING_TIME;
        let length = self.length;
        for (name, window) in &mut self.windows {
            let profile = find_profile(profiles, name);
            let limit = window.limit(length);
            // What nodes that started together with this one have admitted is in the entries.
            window.set_restored(place(profile, length, now.saturating_sub(age)));
            let assumed = max_lag.min(age).as_secs_f64() / length.as_secs_f64() * limit;
            let assumed = assumed.min((limit - window.restored_sum as f64).max(0.0));
            window.add_restored(assumed as u64, now.saturating_sub(age.saturating_sub(max_lag)));
            window.expire(length, now);
        }
        true
    }

    /// Returns the units that all nodes have admitted for each tenant in the window. A node restores them
    /// from the store after the loss of all nodes.
    pub fn profiles(&mut self, now: Duration) -> Vec<(Arc<str>, Profile)> {
        let length = self.length;
        self.map_windows(now, |window| window.full_profile(length, now))
    }

    /// Returns the units that this node and its direct peers have admitted for each tenant in the window,
    /// which a peer that has just started adopts.
    pub fn domain_profiles(&mut self, now: Duration) -> Vec<(Arc<str>, Profile)> {
        let length = self.length;
        self.map_windows(now, |window| window.profile(length, now))
    }

    /// Returns the units that this node and its direct peers have admitted for each tenant in the window,
    /// which other failure domains add to their own. Units from the store are left out, since the nodes
    /// there have restored them too.
    pub fn domain_sums(&mut self, now: Duration) -> Vec<(Arc<str>, u64)> {
        self.map_windows(now, |window| window.sum)
    }

    fn map_windows<T>(
        &mut self,
        now: Duration,
        value: impl Fn(&Window) -> T,
    ) -> Vec<(Arc<str>, T)> {
        let length = self.length;
        let entry = |(name, window): (&Arc<str>, &mut Window)| {
            window.expire(length, now);
            (name.clone(), value(window))
        };
        self.windows.iter_mut().map(entry).collect()
    }

    /// Records the sums that `source` reports for the window of another failure domain.
    pub fn set_domain_sums(
        &mut self,
        domain: &Arc<str>,
        source: &Arc<str>,
        sums: &[(Arc<str>, u64)],
        now: Duration,
    ) {
        let length = self.length;
        for (name, window) in &mut self.windows {
            let units = sums.iter().find(|(tenant, _)| tenant == name).map_or(0, |(_, sum)| *sum);
            window.set_domain_sum(domain, source, units, now);
            window.sum_domains(length, now);
        }
    }

    /// Applies the quotas of a new catalog; units admitted before still count.
    pub fn configure(&mut self, tenants: &[Arc<catalog::Tenant>], now: Duration) {
        self.windows.retain(|name, _| tenants.iter().any(|tenant| tenant.name == *name));
        self.set_quotas(tenants, now);
        self.has_unknown_tenants = false;
    }

    /// Sets the quotas of a version in which some tenants can't be read: the windows of others are kept, since the
    /// tenants that they are of may be among them.
    pub fn configure_partly(&mut self, tenants: &[Arc<catalog::Tenant>], now: Duration) {
        self.set_quotas(tenants, now);
        self.has_unknown_tenants = !self.is_first_start;
    }

    fn set_quotas(&mut self, tenants: &[Arc<catalog::Tenant>], now: Duration) {
        // The use of a tenant that could not be read before is as unknown as after a start.
        let is_history_unknown = self.is_missing_history && !self.is_configured;
        let is_seed_needed = is_history_unknown || self.has_unknown_tenants;
        self.is_configured = true;
        let length = self.length;
        for tenant in tenants {
            let Some(quota) = tenant.quota else {
                self.windows.remove(&tenant.name);
                continue;
            };
            let is_new = !self.windows.contains_key(&tenant.name);
            let window = self.windows.entry(tenant.name.clone()).or_insert_with(|| Window {
                quota,
                entries: Entries::new(),
                sum: 0,
                own: Entries::new(),
                own_sum: 0,
                peer_sums: HashMap::new(),
                restored: Entries::new(),
                restored_sum: 0,
                domain_sums: Vec::new(),
                domain_units: 0,
                local_total: 0,
                sent_total: 0,
                peer_totals: HashMap::new(),
            });
            window.quota = quota;
            if is_new && is_seed_needed {
                window.set_restored(spread(window.limit(length), length, now));
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
        let fits = window.used() as f64 + units as f64 <= limit;
        // A request that is larger than the limit is admitted when the window is empty.
        if !fits && window.used() > 0 {
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
        window.own.push_back((now, units));
        window.own_sum += units;
        Ok(())
    }

    /// Returns the units of a tenant in the window and the limit for this node and its live peers.
    pub fn usage(&self, tenant: &str) -> (u64, u64) {
        let Some(window) = self.windows.get(tenant) else { return (0, 0) };
        (window.used(), (window.limit(self.length) * self.share) as u64)
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
        }
    }

    /// Reports whether a quota may be exhausted if each of `nodes` nodes has admitted as many units as this
    /// one since its last report, so that the peers need the totals of this node before the next heartbeat.
    pub fn is_nearly_exhausted(&self, nodes: usize) -> bool {
        self.windows.values().any(|window| {
            let unsent = (window.local_total - window.sent_total) as f64;
            let room = window.limit(self.length) * self.share - window.used() as f64;
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
