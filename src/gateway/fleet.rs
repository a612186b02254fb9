//! Plans how many endpoints of a service to order, by failure domain and kind.
//!
//! Every endpoint is billed by the second, and a reclaimable one costs a fraction of an on-demand
//! one. Demand varies over the day and comes in bursts. All reclaimable endpoints of a failure
//! domain may be reclaimed with seconds of notice, with no replacement of that kind for 15 s. So
//! endpoints are spread evenly over the failure domains, reclaimable ones replace on-demand ones,
//! and on-demand ones are ordered while too few reclaimable ones are running.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog::Scaling;
use crate::gateway::lateness::{Change, Feedback};

/// Share of the time in which an endpoint prefills prompts when all endpoints needed are running, so
/// that first tokens stay on time in a burst.
const PREFILL_SHARE: f64 = 0.42;
/// Target share of an endpoint's slots that active requests occupy.
const SLOT_SHARE: f64 = 0.5;
/// Time constant of the moving average of the demand.
const DEMAND_AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Time in which the tracked peak of the demand decays to half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(40);
/// Time after the first observation during which no fewer endpoints are planned than were found
/// then.
const WARM_UP: Duration = Duration::from_secs(25);
/// Time after the first observation during which nothing is ordered, since endpoints are still
/// registering.
const REGISTRATION_TIME: Duration = Duration::from_secs(3);
/// Interval at which an unchanged order is repeated while the number of endpoints differs from it.
const REPEAT_PERIOD: Duration = Duration::from_secs(6);
/// Pause after a refused order.
const REFUSAL_PAUSE: Duration = Duration::from_secs(2);
/// Reclaimable endpoints ordered per endpoint needed. If one of four failure domains is lost,
/// enough remain until replacements have started; see `tests/crowded_endpoints.rs`.
const RECLAIMABLE_FACTOR: f64 = 1.4;
/// Share of the endpoints needed that has to be left, during a wave of reclaims, after the loss of one
/// more failure domain.
const AFTER_LOSS_SHARE: f64 = 0.8;

/// The demand and the endpoints of a service at one time.
#[derive(Debug, Default, Clone)]
pub struct Snapshot {
    /// Requests that all nodes have sent to the endpoints and that run or wait there.
    pub requests: u32,
    /// Total prompt tokens to prefill of all requests received so far; never decreases.
    pub requested_tokens: u64,
    /// Prompt tokens that one endpoint can prefill per second.
    pub prefill_tokens_per_s: f64,
    /// Requests that one endpoint can run concurrently.
    pub slots: u32,
    /// Number of endpoints that are not leaving, by failure domain and whether they are
    /// reclaimable.
    pub endpoints: BTreeMap<(Arc<str>, bool), u32>,
    /// Totals of answers and of late answers at all nodes; `None` if no route of the service declares a
    /// target for the gaps of its streams.
    pub lateness: Option<(u64, u64)>,
    /// Evacuated failure domains. Their endpoints don't count, so that the missing ones are ordered elsewhere, and
    /// nothing is ordered there.
    pub evacuated: BTreeSet<Arc<str>>,
    /// Sum over the endpoints of the part of each that its rate limit keeps unused.
    pub limited_endpoints: f64,
    /// Number of endpoints of the other version in a roll-out, by failure domain and whether they
    /// are reclaimable: of the new version until the roll-out completes, of the old one after that.
    /// `None` without a roll-out.
    ///
    /// The platform starts and stops these endpoints itself, but the count in an order includes
    /// them.
    pub other_version: Option<BTreeMap<(Arc<str>, bool), u32>>,
}

impl Snapshot {
    pub fn add_endpoint(&mut self, domain: Arc<str>, reclaimable: bool) {
        *self.endpoints.entry((domain, reclaimable)).or_default() += 1;
    }

    fn drop_evacuated(&mut self) {
        let evacuated = &self.evacuated;
        self.endpoints.retain(|(domain, _), _| !evacuated.contains(domain));
    }

    /// Returns the larger of the reclaimable and on-demand counts: while one kind replaces the
    /// other, both are running.
    fn larger_kind_count(&self) -> u32 {
        let total = |is_reclaimable: bool| {
            self.endpoints
                .iter()
                .filter(|((_, it), _)| *it == is_reclaimable)
                .map(|(_, count)| count)
                .sum()
        };
        u32::max(total(true), total(false))
    }

    /// Counts the part of an endpoint that can't be used because it takes only `requests_per_s` requests of
    /// `tokens` tokens to prefill.
    pub fn add_limit(&mut self, requests_per_s: f64, tokens: f64) {
        let planned = (self.prefill_tokens_per_s * PREFILL_SHARE).max(1.0);
        self.limited_endpoints += 1.0 - (requests_per_s * tokens / planned).min(1.0);
    }

    /// Returns the number of endpoints that are needed if all that run are, in the unit of the demand.
    fn needed_for_running(&self, scaling: &Scaling) -> f64 {
        let running = f64::from(self.endpoints.values().sum::<u32>());
        if scaling.reclaimable_price.is_some() { running / RECLAIMABLE_FACTOR } else { running }
    }

    fn running(&self, domain: &Arc<str>, reclaimable: bool) -> u32 {
        self.endpoints.get(&(domain.clone(), reclaimable)).copied().unwrap_or(0)
    }
}

/// Number of endpoints of one kind to order in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    pub service: Arc<str>,
    pub domain: Arc<str>,
    pub reclaimable: bool,
    pub count: u32,
}

#[derive(Debug)]
struct Plan {
    scaling: Scaling,
    snapshot: Snapshot,
    initial_count: u32,
    first_observed: Duration,
    mean_tokens_per_s: f64,
    mean_requests: f64,
    /// Decaying peak of the number of endpoints that the demand needs.
    peak_endpoints: f64,
    last_observed: Duration,
    feedback: Feedback,
    /// Latest change of the feedback's factor that hasn't been logged.
    change: Option<Change>,
    /// Count and time of the last accepted order for each failure domain and kind.
    last_orders: HashMap<(Arc<str>, bool), (u32, Duration)>,
    refused_until: HashMap<(Arc<str>, bool), Duration>,
}

impl Plan {
    fn new(scaling: &Scaling, snapshot: &Snapshot, now: Duration) -> Plan {
        Plan {
            scaling: scaling.clone(),
            snapshot: Snapshot::default(),
            initial_count: snapshot.larger_kind_count(),
            first_observed: now,
            mean_tokens_per_s: 0.0,
            mean_requests: 0.0,
            peak_endpoints: 0.0,
            last_observed: now,
            feedback: Feedback::new(now),
            change: None,
            last_orders: HashMap::new(),
            refused_until: HashMap::new(),
        }
    }

    fn observe(&mut self, mut snapshot: Snapshot, now: Duration) {
        snapshot.drop_evacuated();
        let elapsed = now.saturating_sub(self.last_observed).as_secs_f64();
        self.last_observed = now;
        let decay = 0.5_f64.powf(elapsed / PEAK_HALF_LIFE.as_secs_f64());
        let requested =
            snapshot.requested_tokens.saturating_sub(self.snapshot.requested_tokens) as f64;
        let weight = 1.0 - (-elapsed / DEMAND_AVERAGE_TIME.as_secs_f64()).exp();
        if elapsed > 0.0 {
            self.mean_tokens_per_s += (requested / elapsed - self.mean_tokens_per_s) * weight;
            self.mean_requests += (f64::from(snapshot.requests) - self.mean_requests) * weight;
        }
        let planned = (snapshot.prefill_tokens_per_s * PREFILL_SHARE).max(1.0);
        let for_tokens = self.mean_tokens_per_s / planned;
        let for_requests = self.mean_requests / (f64::from(snapshot.slots.max(1)) * SLOT_SHARE);
        self.peak_endpoints = (self.peak_endpoints * decay).max(for_tokens).max(for_requests);
        if now.saturating_sub(self.first_observed) < REGISTRATION_TIME {
            self.initial_count = self.initial_count.max(snapshot.larger_kind_count());
        }
        self.snapshot = snapshot;
        self.observe_lateness(now);
    }

    fn observe_lateness(&mut self, now: Duration) {
        let Some(totals) = self.snapshot.lateness else {
            self.feedback = Feedback::new(now);
            return;
        };
        // What runs at first is kept until answers show that fewer suffice.
        if now.saturating_sub(self.first_observed) < REGISTRATION_TIME {
            self.feedback.raise_floor(self.snapshot.needed_for_running(&self.scaling), now);
        }
        if now.saturating_sub(self.first_observed) < WARM_UP {
            self.feedback.hold(now);
        }
        let boot_time = self.scaling.boot_time;
        let change = self.feedback.observe(totals, self.peak_endpoints, boot_time, now);
        self.change = change.or(self.change);
    }

    /// Returns the number of endpoints that the demand needs, with those that make up for rate limits.
    fn needed(&self, now: Duration) -> u32 {
        let planned = match self.snapshot.lateness {
            Some(_) => self.feedback.planned(self.peak_endpoints),
            None => self.peak_endpoints,
        };
        let demand = (planned + self.snapshot.limited_endpoints).ceil() as u32;
        let is_warm = now.saturating_sub(self.first_observed) >= WARM_UP;
        if is_warm { demand } else { demand.max(self.initial_count) }
    }

    /// Distributes endpoints evenly over the failure domains that aren't evacuated; cheaper ones get the remainder.
    fn spread_evenly(&self, needed: u32) -> Vec<(Arc<str>, u32)> {
        let mut domains = self.scaling.domain_prices.clone();
        domains.retain(|(domain, _)| !self.snapshot.evacuated.contains(domain));
        domains.sort_by(|(_, left), (_, right)| left.total_cmp(right));
        let count = domains.len().max(1) as u32;
        let (each, remainder) = (needed / count, needed % count);
        let share = |(index, (domain, _)): (usize, (Arc<str>, f64))| {
            let wanted = each + u32::from((index as u32) < remainder);
            (domain, wanted.clamp(self.scaling.min, self.scaling.max))
        };
        domains.into_iter().enumerate().map(share).collect()
    }

    /// Returns the target count for each failure domain and kind; true for reclaimable.
    ///
    /// More reclaimable endpoints are ordered than needed, since they are cheap. On-demand
    /// endpoints replace missing ones at once and are stopped when enough reclaimable ones are
    /// running again.
    fn targets(&self, now: Duration) -> Vec<(Arc<str>, bool, u32)> {
        let needed = self.needed(now);
        if self.scaling.reclaimable_price.is_none() {
            let spread = self.spread_evenly(needed);
            return spread.into_iter().map(|(domain, count)| (domain, false, count)).collect();
        }
        let reclaimable_counts =
            self.spread_evenly((f64::from(needed) * RECLAIMABLE_FACTOR).ceil() as u32);
        let mut targets: Vec<_> =
            reclaimable_counts.into_iter().map(|(domain, count)| (domain, true, count)).collect();
        for (domain, wanted) in self.on_demand(needed) {
            let on_demand = self.snapshot.running(&domain, false);
            // One surplus on-demand endpoint is kept, so that small changes of the demand don't
            // stop and restart it.
            let keeps_surplus = wanted > 0 && on_demand > wanted && on_demand - wanted < 2;
            targets.push((domain, false, if keeps_surplus { on_demand } else { wanted }));
        }
        targets
    }

    /// Returns the number of on-demand endpoints for each failure domain: those that replace missing
    /// reclaimable ones, and more while the loss of one more domain would leave too few.
    ///
    /// Reclaims come in waves. The reclaimable endpoints that are left after the first one are likely
    /// to go next, within less time than a replacement takes to start.
    fn on_demand(&self, needed: u32) -> Vec<(Arc<str>, u32)> {
        let spread = self.spread_evenly(needed);
        let running = |domain: &Arc<str>| self.snapshot.running(domain, true);
        let mut counts: Vec<_> = spread
            .into_iter()
            .map(|(domain, wanted)| {
                let missing = wanted.saturating_sub(running(&domain));
                (domain, missing)
            })
            .collect();
        let missing: u32 = counts.iter().map(|(_, count)| count).sum();
        if missing == 0 {
            return counts;
        }
        let reclaimable = || counts.iter().map(|(domain, _)| running(domain));
        let left = reclaimable().sum::<u32>() - reclaimable().max().unwrap_or(0);
        let required = (f64::from(needed) * AFTER_LOSS_SHARE).ceil() as u32;
        let mut extra = required.saturating_sub(left + missing);
        // The domains with the fewest reclaimable endpoints have the fewest to lose.
        counts.sort_by_key(|(domain, _)| running(domain));
        while extra > 0 {
            let before = extra;
            for (_, count) in counts.iter_mut().filter(|(_, count)| *count < self.scaling.max) {
                if extra > 0 {
                    *count += 1;
                    extra -= 1;
                }
            }
            if extra == before {
                break;
            }
        }
        counts
    }

    /// Returns the count to order, adjusted for a roll-out, in which the platform starts and stops
    /// the endpoints of a version itself.
    ///
    /// `None` suppresses an order that adds no endpoints: ordering fewer than are running would
    /// stop endpoints of either version, regardless of which one serves the requests.
    fn adjust_for_rollout(&self, key: &(Arc<str>, bool), count: u32) -> Option<u32> {
        let Some(others) = &self.snapshot.other_version else { return Some(count) };
        let is_increase = count > self.snapshot.running(&key.0, key.1);
        is_increase.then(|| count + others.get(key).copied().unwrap_or(0))
    }

    fn is_order_needed(&self, key: &(Arc<str>, bool), count: u32, now: Duration) -> bool {
        if self.refused_until.get(key).is_some_and(|until| now < *until) {
            return false;
        }
        let running = self.snapshot.running(&key.0, key.1);
        match self.last_orders.get(key) {
            Some((ordered, sent)) if *ordered == count => {
                running != count && now.saturating_sub(*sent) >= REPEAT_PERIOD
            }
            Some(_) => true,
            None => running != count,
        }
    }
}

/// Plans orders for all services from their observed demand and endpoints.
#[derive(Debug, Default)]
pub struct Planner {
    plans: HashMap<Arc<str>, Plan>,
}

impl Planner {
    pub fn observe(
        &mut self,
        service: &Arc<str>,
        scaling: &Scaling,
        snapshot: Snapshot,
        now: Duration,
    ) {
        if snapshot.endpoints.is_empty() && !self.plans.contains_key(service) {
            return;
        }
        let plan = self.plans.entry(service.clone());
        // What was found at first counts with the evacuated endpoints, as it stands for the demand until that is
        // known.
        let plan = plan.or_insert_with(|| Plan::new(scaling, &snapshot, now));
        plan.scaling = scaling.clone();
        plan.observe(snapshot, now);
    }

    /// Returns the changes of plans by late answers since the last call.
    pub fn take_changes(&mut self) -> Vec<(Arc<str>, Change)> {
        let changes = self.plans.iter_mut().filter_map(|(service, plan)| {
            let change = plan.change.take()?;
            Some((service.clone(), change))
        });
        changes.collect()
    }

    /// Returns the factor by which late answers raise the plan of each service.
    pub fn factors(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.plans.iter().map(|(service, plan)| (service, plan.feedback.factor()))
    }

    /// Clears the record of past orders, since another node now sends them.
    pub fn clear_orders(&mut self) {
        for plan in self.plans.values_mut() {
            plan.last_orders.clear();
            plan.refused_until.clear();
        }
    }

    /// Returns the orders to send now.
    pub fn orders(&self, now: Duration) -> Vec<Target> {
        let mut orders = Vec::new();
        let is_past_registration =
            |plan: &Plan| now.saturating_sub(plan.first_observed) >= REGISTRATION_TIME;
        for (service, plan) in self.plans.iter().filter(|(_, plan)| is_past_registration(plan)) {
            for (domain, reclaimable, count) in plan.targets(now) {
                let key = (domain, reclaimable);
                let Some(count) = plan.adjust_for_rollout(&key, count) else { continue };
                if plan.is_order_needed(&key, count, now) {
                    let (domain, service) = (key.0, service.clone());
                    orders.push(Target { service, domain, reclaimable, count });
                }
            }
        }
        orders
    }

    /// Records whether the platform accepted an order.
    pub fn record_response(&mut self, target: Target, is_accepted: bool, now: Duration) {
        let Some(plan) = self.plans.get_mut(&target.service) else { return };
        let key = (target.domain, target.reclaimable);
        if is_accepted {
            plan.refused_until.remove(&key);
            plan.last_orders.insert(key, (target.count, now));
        } else {
            plan.refused_until.insert(key, now + REFUSAL_PAUSE);
        }
    }
}
