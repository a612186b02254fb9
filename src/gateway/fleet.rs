//! How many endpoints of a service are ordered, of which kind and in which failure domain.
//!
//! Every endpoint is billed by the second, and a reclaimable one costs a fraction of another. The
//! load to answer is the day's demand with its waves and bursts, while the reclaimable endpoints of
//! a whole failure domain are taken away on seconds of notice and no others are to be had for a
//! quarter of a minute. So the endpoints are spread evenly over the failure domains, reclaimable
//! ones replace the others, and where too few are left others are ordered until they are back.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog::Scaling;

/// Prompt tokens a second for which one endpoint is ordered: a third of what the users' engines read
/// (61 and 66 a millisecond), so that the first tokens stay on time in a burst or after the loss of
/// a failure domain.
const TOKENS_PER_ENDPOINT: f64 = 20_000.0;
/// Part of an endpoint's slots that the requests under way should take.
const SLOT_SHARE: f64 = 0.5;
/// Time over which the demand is averaged.
const AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Time in which the remembered peak of the demand falls to a half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(40);
/// Time after the first look in which the number of endpoints found then is not gone below.
const WARM_UP: Duration = Duration::from_secs(25);
/// Time after the first look before anything is ordered: endpoints are still registering.
const SETTLE: Duration = Duration::from_secs(3);
/// Time between two orders of the same number, for orders that were lost or not yet met.
const REPEAT: Duration = Duration::from_secs(6);
/// Time after a refusal until the next try.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);
/// Reclaimable endpoints ordered for each one that is needed. With one of four failure domains lost there
/// are as many as needed until others have started; see `tests/crowded_endpoints.rs`.
const RECLAIMABLE_SURPLUS: f64 = 1.4;

/// What is known about a service at one moment.
#[derive(Debug, Default, Clone)]
pub struct View {
    /// Requests under way on all nodes, and those that wait.
    pub requests: u32,
    /// Prompt tokens asked for so far; it only grows.
    pub asked_tokens: u64,
    /// Requests that one endpoint runs at a time.
    pub slots: u32,
    /// Endpoints that are not leaving, by failure domain and kind; true for reclaimable ones.
    pub endpoints: BTreeMap<(Arc<str>, bool), u32>,
    /// The same of the version that the requests do not go to while a roll-out lasts; `None` when
    /// there is no roll-out.
    ///
    /// The platform starts and stops these itself, but an order counts them.
    pub other_version: Option<BTreeMap<(Arc<str>, bool), u32>>,
}

impl View {
    pub fn count(&mut self, domain: Arc<str>, reclaimable: bool) {
        *self.endpoints.entry((domain, reclaimable)).or_default() += 1;
    }

    /// Counts the endpoints of the kind that has more: while one kind replaces the other, both stand.
    fn larger_kind(&self) -> u32 {
        let of = |kind: bool| {
            self.endpoints.iter().filter(|((_, it), _)| *it == kind).map(|(_, count)| count).sum()
        };
        u32::max(of(true), of(false))
    }

    fn at(&self, domain: &Arc<str>, reclaimable: bool) -> u32 {
        self.endpoints.get(&(domain.clone(), reclaimable)).copied().unwrap_or(0)
    }
}

/// A number of endpoints of one kind in one failure domain.
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
    view: View,
    first_total: u32,
    first_seen: Duration,
    tokens_per_s: f64,
    requests: f64,
    /// Endpoints that the demand of late has needed.
    peak: f64,
    observed: Duration,
    /// Last order of each kind in each failure domain, with its time.
    ordered: HashMap<(Arc<str>, bool), (u32, Duration)>,
    refused: HashMap<(Arc<str>, bool), Duration>,
}

impl Plan {
    fn new(scaling: &Scaling, view: &View, now: Duration) -> Plan {
        Plan {
            scaling: scaling.clone(),
            view: View::default(),
            first_total: view.larger_kind(),
            first_seen: now,
            tokens_per_s: 0.0,
            requests: 0.0,
            peak: 0.0,
            observed: now,
            ordered: HashMap::new(),
            refused: HashMap::new(),
        }
    }

    fn observe(&mut self, view: View, now: Duration) {
        let elapsed = now.saturating_sub(self.observed).as_secs_f64();
        self.observed = now;
        let decay = 0.5_f64.powf(elapsed / PEAK_HALF_LIFE.as_secs_f64());
        let asked = view.asked_tokens.saturating_sub(self.view.asked_tokens) as f64;
        let weight = 1.0 - (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        if elapsed > 0.0 {
            self.tokens_per_s += (asked / elapsed - self.tokens_per_s) * weight;
            self.requests += (f64::from(view.requests) - self.requests) * weight;
        }
        let reading = self.tokens_per_s / TOKENS_PER_ENDPOINT;
        let running = self.requests / (f64::from(view.slots.max(1)) * SLOT_SHARE);
        self.peak = (self.peak * decay).max(reading).max(running);
        if now.saturating_sub(self.first_seen) < SETTLE {
            self.first_total = self.first_total.max(view.larger_kind());
        }
        self.view = view;
    }

    /// Gives the number of endpoints that the demand needs.
    fn needed(&self, now: Duration) -> u32 {
        let demand = self.peak.ceil() as u32;
        let warm = now.saturating_sub(self.first_seen) >= WARM_UP;
        if warm { demand } else { demand.max(self.first_total) }
    }

    /// Spreads the needed endpoints evenly over the failure domains, cheaper ones first.
    fn spread(&self, needed: u32) -> Vec<(Arc<str>, u32)> {
        let mut domains = self.scaling.domain_prices.clone();
        domains.sort_by(|(_, one), (_, other)| one.total_cmp(other));
        let count = domains.len().max(1) as u32;
        let (each, rest) = (needed / count, needed % count);
        let share = |(index, (domain, _)): (usize, (Arc<str>, f64))| {
            let wanted = each + u32::from((index as u32) < rest);
            (domain, wanted.clamp(self.scaling.min, self.scaling.max))
        };
        domains.into_iter().enumerate().map(share).collect()
    }

    /// Gives the wanted numbers of both kinds in each failure domain.
    ///
    /// Reclaimable endpoints are cheap, so there are more of them than needed; the others make up for
    /// those that are missing, at once, and leave when reclaimable ones have come back.
    fn targets(&self, now: Duration) -> Vec<(Arc<str>, bool, u32)> {
        let needed = self.needed(now);
        if self.scaling.reclaimable_price.is_none() {
            let spread = self.spread(needed);
            return spread.into_iter().map(|(domain, count)| (domain, false, count)).collect();
        }
        let generous = self.spread((f64::from(needed) * RECLAIMABLE_SURPLUS).ceil() as u32);
        let mut targets: Vec<_> =
            generous.into_iter().map(|(domain, count)| (domain, true, count)).collect();
        for (domain, wanted) in self.spread(needed) {
            let missing = wanted.saturating_sub(self.view.at(&domain, true));
            let others = self.view.at(&domain, false);
            // Small changes of the demand are not worth a start and a stop.
            let keeps = missing > 0 && others > missing && others - missing < 2;
            targets.push((domain, false, if keeps { others } else { missing }));
        }
        targets
    }

    /// Gives the number to order while the platform starts and stops the endpoints of a version. Fewer
    /// than there are would stop some of either version, whatever the requests need.
    fn during_rollout(&self, key: &(Arc<str>, bool), count: u32) -> Option<u32> {
        let Some(others) = &self.view.other_version else { return Some(count) };
        let raises = count > self.view.at(&key.0, key.1);
        raises.then(|| count + others.get(key).copied().unwrap_or(0))
    }

    fn is_due(&self, key: &(Arc<str>, bool), count: u32, now: Duration) -> bool {
        if self.refused.get(key).is_some_and(|until| now < *until) {
            return false;
        }
        let listed = self.view.at(&key.0, key.1);
        match self.ordered.get(key) {
            Some((ordered, at)) if *ordered == count => {
                listed != count && now.saturating_sub(*at) >= REPEAT
            }
            Some(_) => true,
            None => listed != count,
        }
    }
}

/// Decides on orders from what it observes.
#[derive(Debug, Default)]
pub struct Planner {
    plans: HashMap<Arc<str>, Plan>,
}

impl Planner {
    pub fn observe(&mut self, service: &Arc<str>, scaling: &Scaling, view: View, now: Duration) {
        if view.endpoints.is_empty() && !self.plans.contains_key(service) {
            return;
        }
        let plan = self.plans.entry(service.clone());
        let plan = plan.or_insert_with(|| Plan::new(scaling, &view, now));
        plan.scaling = scaling.clone();
        plan.observe(view, now);
    }

    /// Forgets what was ordered: another node orders now.
    pub fn forget_orders(&mut self) {
        for plan in self.plans.values_mut() {
            plan.ordered.clear();
            plan.refused.clear();
        }
    }

    /// Gives the orders that are due.
    pub fn orders(&self, now: Duration) -> Vec<Target> {
        let mut orders = Vec::new();
        let settled = |plan: &Plan| now.saturating_sub(plan.first_seen) >= SETTLE;
        for (service, plan) in self.plans.iter().filter(|(_, plan)| settled(plan)) {
            for (domain, reclaimable, count) in plan.targets(now) {
                let key = (domain, reclaimable);
                let Some(count) = plan.during_rollout(&key, count) else { continue };
                if plan.is_due(&key, count, now) {
                    let (domain, service) = (key.0, service.clone());
                    orders.push(Target { service, domain, reclaimable, count });
                }
            }
        }
        orders
    }

    /// Records how the platform took an order.
    pub fn record(&mut self, target: Target, taken: bool, now: Duration) {
        let Some(plan) = self.plans.get_mut(&target.service) else { return };
        let key = (target.domain, target.reclaimable);
        if taken {
            plan.refused.remove(&key);
            plan.ordered.insert(key, (target.count, now));
        } else {
            plan.refused.insert(key, now + REFUSED_PAUSE);
        }
    }
}
