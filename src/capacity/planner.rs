//! Steps from the current VMs to the planned mix: starts, drains and stops.
//!
//! The ledger is the state that a later lease holder needs. It is written to the table before any
//! of its starts is sent, so that a start whose answer was lost is repeated under its operation id
//! and never starts a second VM.

mod ledger;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

pub use ledger::{Drain, Launch, Ledger};

use super::mix::{self, Counts};
use super::{Machine, Offer, Placement, Requirement};

/// Time for which the largest requirement is kept before VMs are drained.
const SHRINK_DELAY: Duration = Duration::from_secs(1_800);
/// Step of the window of recent requirements, which keeps one maximum per step to bound its memory.
const WINDOW_STEP: Duration = Duration::from_secs(60);
/// Time for which another mix must be cheaper before it replaces VMs that suffice.
const REPLACE_DELAY: Duration = Duration::from_secs(900);
/// First and longest backoff of a placement after a refused start.
const FIRST_BACKOFF: Duration = Duration::from_secs(60);
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Time after the end of a backoff at which the next one starts at `FIRST_BACKOFF` again.
const BACKOFF_RESET: Duration = Duration::from_secs(7_200);

/// Limits and delays of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Starts that the weight store can supply with weights, per hour and in a burst.
    pub starts_per_hour: f64,
    pub starts_at_once: u32,
    /// Time until all nodes have stopped sending new work to a drained VM.
    pub drain_settle: Duration,
    /// Time after which a drained VM is stopped even if it is not idle; longer than the longest
    /// deadline of a request.
    pub drain_limit: Duration,
    /// Time after which a start whose VM is not listed is given up.
    pub start_limit: Duration,
    /// False while the demand of some nodes is unknown; no VM is drained then.
    pub may_drain: bool,
}

/// An action that the caller of `Planner` must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a VM, or repeat a start with an unknown outcome; report it with
    /// `Planner::record_answer`.
    Start(Launch),
    /// Send no new work to the VM.
    Drain(Arc<str>),
    /// Stop a drained VM; repeated until the VM is no longer listed.
    Stop(Arc<str>),
}

/// Answer of the platform to a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Started(Arc<str>),
    /// The placement has no VM available.
    Refused,
    /// The start may or may not have been executed; it is sent again with its operation id.
    Unknown,
}

/// Backoff of a placement whose starts were refused.
#[derive(Debug, Clone, PartialEq)]
struct Backoff {
    until: Duration,
    length: Duration,
}

/// State that delays drains and replacements in a pool.
#[derive(Debug, Default)]
struct PoolState {
    /// Largest requirement per step of the window, oldest first.
    recent_vms: VecDeque<(Duration, u32)>,
    /// Time since which another mix has been cheaper than the current, sufficient one.
    cheaper_since: Option<Duration>,
}

/// Numbers of VMs of one pool.
#[derive(Debug, Default)]
struct Inventory {
    /// Listed VMs that stay, and starts that are not listed yet.
    expected: Counts,
    /// VMs that are listed, warm and stay.
    warm: Counts,
}

/// Plans the starts, drains and stops of all pools.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    /// Prefix of the operation ids; differs between lease holders.
    operation_prefix: Arc<str>,
    ledger: Ledger,
    backoffs: BTreeMap<Placement, Backoff>,
    pools: BTreeMap<Arc<str>, PoolState>,
    /// Time of the first decision of this lease holder.
    first_decision_at: Option<Duration>,
    /// Token bucket of the starts that the weight store can supply now.
    start_tokens: f64,
    refilled_at: Option<Duration>,
}

impl Planner {
    /// Creates a planner with the ledger of the previous lease holder; `operation_prefix` must
    /// differ between holders.
    pub fn new(settings: Settings, operation_prefix: Arc<str>, ledger: Ledger) -> Planner {
        let start_tokens = f64::from(settings.starts_at_once);
        Planner {
            settings,
            operation_prefix,
            ledger,
            backoffs: BTreeMap::new(),
            pools: BTreeMap::new(),
            first_decision_at: None,
            start_tokens,
            refilled_at: None,
        }
    }

    /// Returns the ledger, which must be recorded before the actions of `decide` are carried out.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Replaces the settings, for instance after an operator changed them.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns the actions for the listed VMs and the requirements.
    ///
    /// Pools without a requirement are not changed.
    pub fn decide(
        &mut self,
        now: Duration,
        vms: &[Machine],
        requirements: &[Requirement],
    ) -> Vec<Action> {
        self.ledger.remove_finished(now, vms, self.settings.start_limit);
        let reset_after = BACKOFF_RESET;
        self.backoffs.retain(|_, backoff| now < backoff.until + reset_after);
        self.refill(now);
        for requirement in requirements {
            self.plan_pool(now, vms, requirement);
        }
        self.actions(now, vms)
    }

    /// Records the answer to a start.
    pub fn record_answer(&mut self, now: Duration, operation: &str, answer: Answer) {
        let Some(launch) = self.ledger.find_launch(operation) else { return };
        match answer {
            Answer::Started(vm) => {
                launch.vm = Some(vm);
            }
            Answer::Refused => {
                let placement = launch.placement.clone();
                self.ledger.remove_launch(operation);
                self.start_backoff(now, placement);
                // Nothing was started, so the weight store has nothing to supply.
                self.start_tokens += 1.0;
            }
            Answer::Unknown => {}
        }
    }

    /// Returns the end of the backoff of a placement, during which no VM is requested from it.
    pub fn backoff_until(&self, placement: &Placement) -> Option<Duration> {
        self.backoffs.get(placement).map(|backoff| backoff.until)
    }

    fn start_backoff(&mut self, now: Duration, placement: Placement) {
        let length = match self.backoffs.get(&placement) {
            // Several starts can be refused in one decision; they count as one refusal of the
            // placement.
            Some(backoff) if now < backoff.until => return,
            Some(backoff) => (backoff.length * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        self.backoffs.insert(placement, Backoff { until: now + length, length });
    }

    fn refill(&mut self, now: Duration) {
        let burst = f64::from(self.settings.starts_at_once);
        let elapsed =
            self.refilled_at.map_or(Duration::ZERO, |refilled| now.saturating_sub(refilled));
        let refill = elapsed.as_secs_f64() / 3_600.0 * self.settings.starts_per_hour;
        self.start_tokens = (self.start_tokens + refill).min(burst);
        self.refilled_at = Some(now);
    }

    fn plan_pool(&mut self, now: Duration, vms: &[Machine], requirement: &Requirement) {
        let required = self.recent_max_vms(now, requirement).max(requirement.min_vms);
        let inventory = self.inventory(vms, &requirement.pool);
        let offers = self.available_offers(now, requirement, &inventory);
        let target = mix::cheapest(required, &offers, &inventory.expected);
        let is_sufficient = mix::survivors(&inventory.expected) >= required;
        let missing = difference(&target, &inventory.expected);
        let is_replacing =
            self.may_replace(now, &requirement.pool, is_sufficient && !missing.is_empty());
        if !is_sufficient || is_replacing {
            let target_survivors = if is_replacing { None } else { Some(required) };
            self.begin_starts(now, &offers, missing, inventory.expected.clone(), target_survivors);
        }
        let surplus = difference(&inventory.expected, &target);
        // A new lease holder doesn't know the recent requirements, so it drains nothing until its
        // window is filled.
        let is_window_filled = now >= *self.first_decision_at.get_or_insert(now) + SHRINK_DELAY;
        if surplus.is_empty() || !is_window_filled || !self.settings.may_drain {
            return;
        }
        self.begin_drains(now, vms, required, inventory, surplus);
    }

    /// Returns the largest requirement within `SHRINK_DELAY`, so that a short dip stops no VM.
    fn recent_max_vms(&mut self, now: Duration, target: &Requirement) -> u32 {
        let pool = self.pools.entry(target.pool.clone()).or_default();
        while pool.recent_vms.front().is_some_and(|(at, _)| *at + SHRINK_DELAY < now) {
            pool.recent_vms.pop_front();
        }
        match pool.recent_vms.back_mut() {
            Some((at, vms)) if now.saturating_sub(*at) < WINDOW_STEP => *vms = target.vms.max(*vms),
            _ => pool.recent_vms.push_back((now, target.vms)),
        }
        pool.recent_vms.iter().map(|(_, vms)| *vms).max().unwrap_or(0)
    }

    fn may_replace(&mut self, now: Duration, pool: &Arc<str>, is_cheaper: bool) -> bool {
        let pool = self.pools.entry(pool.clone()).or_default();
        if !is_cheaper {
            pool.cheaper_since = None;
            return false;
        }
        now >= *pool.cheaper_since.get_or_insert(now) + REPLACE_DELAY
    }

    fn inventory(&self, vms: &[Machine], pool: &Arc<str>) -> Inventory {
        let mut inventory = Inventory::default();
        for vm in vms.iter().filter(|vm| vm.placement.pool == *pool) {
            if vm.is_leaving || self.ledger.is_draining(&vm.id) {
                continue;
            }
            *inventory.expected.entry(vm.placement.clone()).or_default() += 1;
            if vm.is_warm {
                *inventory.warm.entry(vm.placement.clone()).or_default() += 1;
            }
        }
        for launch in self.ledger.unlisted(vms).filter(|launch| launch.placement.pool == *pool) {
            *inventory.expected.entry(launch.placement.clone()).or_default() += 1;
        }
        inventory
    }

    /// Limits the offers of placements in backoff to the VMs that they have already.
    fn available_offers(
        &self,
        now: Duration,
        requirement: &Requirement,
        inventory: &Inventory,
    ) -> Vec<Offer> {
        let available = requirement.offers.iter().map(|offer| {
            let is_backing_off =
                self.backoffs.get(&offer.placement).is_some_and(|backoff| now < backoff.until);
            let running = inventory.expected.get(&offer.placement).copied().unwrap_or(0);
            let max_vms = if is_backing_off { offer.max_vms.min(running) } else { offer.max_vms };
            Offer { max_vms, ..offer.clone() }
        });
        available.collect()
    }

    /// Begins starts while the weight store can supply them: first those that leave the most
    /// survivors, then the cheapest.
    ///
    /// With `target_survivors`, it ends when that many VMs survive: the rest of the mix is merely
    /// cheaper, and must stay so for `REPLACE_DELAY` before it replaces VMs.
    fn begin_starts(
        &mut self,
        now: Duration,
        offers: &[Offer],
        mut missing: Counts,
        mut expected: Counts,
        target_survivors: Option<u32>,
    ) {
        let price = |placement: &Placement| {
            let offer = offers.iter().find(|offer| offer.placement == *placement);
            offer.map_or(f64::MAX, |offer| offer.price)
        };
        let survivors_with = |expected: &Counts, placement: &Placement| {
            let mut counts = expected.clone();
            *counts.entry(placement.clone()).or_default() += 1;
            mix::survivors(&counts)
        };
        while self.start_tokens >= 1.0 {
            if target_survivors.is_some_and(|target| mix::survivors(&expected) >= target) {
                return;
            }
            // A start in the largest failure domain only increases what its loss removes.
            let available = missing.iter().filter(|(_, count)| **count > 0);
            let best = available.map(|(placement, _)| placement).max_by(|left, right| {
                let survivors =
                    survivors_with(&expected, left).cmp(&survivors_with(&expected, right));
                survivors.then(price(right).total_cmp(&price(left)))
            });
            let Some(placement) = best.cloned() else { return };
            missing.entry(placement.clone()).and_modify(|count| *count -= 1);
            *expected.entry(placement.clone()).or_default() += 1;
            self.start_tokens -= 1.0;
            self.ledger.add_launch(now, &self.operation_prefix, placement);
        }
    }

    /// Begins the drain of VMs outside the mix, as long as the remaining warm VMs suffice.
    fn begin_drains(
        &mut self,
        now: Duration,
        vms: &[Machine],
        required: u32,
        inventory: Inventory,
        mut surplus: Counts,
    ) {
        let mut warm = inventory.warm;
        for vm in vms.iter().rev() {
            let Some(extra) = surplus.get_mut(&vm.placement).filter(|n| **n > 0) else { continue };
            if vm.is_leaving || self.ledger.is_draining(&vm.id) {
                continue;
            }
            if vm.is_warm {
                let mut remaining = warm.clone();
                if let Some(count) = remaining.get_mut(&vm.placement) {
                    *count -= 1;
                }
                if mix::survivors(&remaining) < required {
                    continue;
                }
                warm = remaining;
            }
            *extra -= 1;
            self.ledger.add_drain(now, vm.id.clone());
        }
    }

    fn actions(&self, now: Duration, vms: &[Machine]) -> Vec<Action> {
        let starts = self.ledger.starts.iter().filter(|launch| launch.vm.is_none());
        let mut actions: Vec<Action> = starts.cloned().map(Action::Start).collect();
        for drain in &self.ledger.drains {
            let Some(vm) = vms.iter().find(|vm| vm.id == drain.vm) else { continue };
            let age = now.saturating_sub(Duration::from_millis(drain.since_ms));
            let is_idle = vm.is_idle && age >= self.settings.drain_settle;
            // The platform reclaims a VM with a reclaim notice by itself.
            let should_stop = !vm.is_leaving && (is_idle || age >= self.settings.drain_limit);
            actions.push(match should_stop {
                true => Action::Stop(drain.vm.clone()),
                false => Action::Drain(drain.vm.clone()),
            });
        }
        actions
    }
}

/// Returns by how much each count in `left` exceeds that in `right`.
fn difference(left: &Counts, right: &Counts) -> Counts {
    let excess = left.iter().map(|(placement, count)| {
        (placement.clone(), count.saturating_sub(right.get(placement).copied().unwrap_or(0)))
    });
    excess.filter(|(_, count)| *count > 0).collect()
}
