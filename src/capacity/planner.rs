//! Steps from the present VMs to the planned mix: starts, drains and stops.
//!
//! The ledger is what a later lease holder must know. It is written to the table before any of its
//! starts is sent, so that a start with a lost answer is repeated with its operation id and never
//! as a second start.

mod ledger;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

pub use ledger::{Drain, Launch, Ledger};

use super::mix::{self, Counts};
use super::{Machine, Need, Offer, Place};

/// Time for which the largest need is kept before VMs are given up.
const SHRINK_AFTER: Duration = Duration::from_secs(1_800);
/// Periods in which the largest needs are kept; bounds the memory of the window.
const SHRINK_STEP: Duration = Duration::from_secs(60);
/// Time for which another mix must be cheaper before it replaces VMs that suffice.
const REPLACE_AFTER: Duration = Duration::from_secs(900);
/// First and longest pause of a place after a refused start.
const PAUSE: Duration = Duration::from_secs(60);
const LONGEST_PAUSE: Duration = Duration::from_secs(3_600);
/// Time without a refusal after which the pauses of a place begin anew.
const PAUSE_MEMORY: Duration = Duration::from_secs(7_200);

/// Sets the bounds of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Starts that the weight store can feed per hour, and most at once.
    pub starts_per_hour: f64,
    pub starts_at_once: u32,
    /// Time until all nodes have stopped sending new work to a VM that is drained.
    pub drain_settle: Duration,
    /// Time after which a drained VM is stopped although it doesn't report itself idle; longer than
    /// the longest deadline of a request.
    pub drain_limit: Duration,
    /// Time after which a start that the VM list doesn't show is given up.
    pub start_limit: Duration,
    /// Unset while the demand of some nodes is not known: then no VM may be given up.
    pub may_drain: bool,
}

/// Tells the shell what to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a VM, or ask again for one with an unknown outcome; report with `Planner::answered`.
    Start(Launch),
    /// Send no new work to the VM.
    Drain(Arc<str>),
    /// Stop a drained VM; repeated until the list no longer shows it.
    Stop(Arc<str>),
}

/// Tells how the platform answered a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Started(Arc<str>),
    /// The place has no VM to give.
    Refused,
    /// The start was not run, or may have been run; it is sent again with the same operation id.
    Unknown,
}

/// Remembers the refusals of a place.
#[derive(Debug, Clone, PartialEq)]
struct Pause {
    until: Duration,
    length: Duration,
}

/// Remembers what hysteresis needs about a pool.
#[derive(Debug, Default)]
struct Pool {
    /// Largest need per period, oldest first.
    needs: VecDeque<(Duration, u32)>,
    /// Time since which another mix has been cheaper than one that suffices.
    cheaper_since: Option<Duration>,
}

/// Counts the VMs of one pool.
#[derive(Debug, Default)]
struct Census {
    /// Listed VMs that stay, and starts that are not listed yet.
    coming: Counts,
    /// VMs that are listed, warm and stay.
    warm: Counts,
}

/// Decides the starts, drains and stops of all pools.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    /// Starts the operation ids; differs between lease holders.
    prefix: Arc<str>,
    ledger: Ledger,
    pauses: BTreeMap<Place, Pause>,
    pools: BTreeMap<Arc<str>, Pool>,
    /// Time of the first decision of this holder.
    first: Option<Duration>,
    /// Starts that the weight store can feed now.
    permits: f64,
    fed: Option<Duration>,
}

impl Planner {
    /// Starts with the ledger of the previous holder; `prefix` must differ between holders.
    pub fn new(settings: Settings, prefix: Arc<str>, ledger: Ledger) -> Planner {
        let permits = f64::from(settings.starts_at_once);
        Planner {
            settings,
            prefix,
            ledger,
            pauses: BTreeMap::new(),
            pools: BTreeMap::new(),
            first: None,
            permits,
            fed: None,
        }
    }

    /// Gives what must be recorded before the actions of `decide` are carried out.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Replaces the bounds, for instance after an operator changed them.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Decides what to do now with the VMs as listed.
    ///
    /// Pools without a need are left alone.
    pub fn decide(&mut self, now: Duration, vms: &[Machine], needs: &[Need]) -> Vec<Action> {
        self.ledger.settle(now, vms, self.settings.start_limit);
        let memory = PAUSE_MEMORY;
        self.pauses.retain(|_, pause| now < pause.until + memory);
        self.refill(now);
        for need in needs {
            self.plan(now, vms, need);
        }
        self.actions(now, vms)
    }

    /// Takes the answer to a start.
    pub fn answered(&mut self, now: Duration, operation: &str, answer: Answer) {
        let Some(launch) = self.ledger.launch(operation) else { return };
        match answer {
            Answer::Started(vm) => {
                launch.vm = Some(vm);
            }
            Answer::Refused => {
                let place = launch.place.clone();
                self.ledger.forget(operation);
                self.pause(now, place);
                // Nothing was started, so the weight store has nothing to feed.
                self.permits += 1.0;
            }
            Answer::Unknown => {}
        }
    }

    /// Tells until when a place is not asked for VMs.
    pub fn paused_until(&self, place: &Place) -> Option<Duration> {
        self.pauses.get(place).map(|pause| pause.until)
    }

    fn pause(&mut self, now: Duration, place: Place) {
        let length = match self.pauses.get(&place) {
            // Several starts can be refused in one round; they are one refusal of the place.
            Some(pause) if now < pause.until => return,
            Some(pause) => (pause.length * 2).min(LONGEST_PAUSE),
            None => PAUSE,
        };
        self.pauses.insert(place, Pause { until: now + length, length });
    }

    fn refill(&mut self, now: Duration) {
        let most = f64::from(self.settings.starts_at_once);
        let passed = self.fed.map_or(Duration::ZERO, |fed| now.saturating_sub(fed));
        let new = passed.as_secs_f64() / 3_600.0 * self.settings.starts_per_hour;
        self.permits = (self.permits + new).min(most);
        self.fed = Some(now);
    }

    fn plan(&mut self, now: Duration, vms: &[Machine], need: &Need) {
        let needed = self.window(now, need).max(need.keep);
        let census = self.census(vms, &need.pool);
        let offers = self.open_offers(now, need, &census);
        let target = mix::cheapest(needed, &offers, &census.coming);
        let enough = mix::survivors(&census.coming) >= needed;
        let missing = difference(&target, &census.coming);
        let replace = self.may_replace(now, &need.pool, enough && !missing.is_empty());
        if !enough || replace {
            let wanted = if replace { None } else { Some(needed) };
            self.launch(now, &offers, missing, census.coming.clone(), wanted);
        }
        let surplus = difference(&census.coming, &target);
        // A new holder doesn't know the needs of the last while, so it gives up nothing yet.
        let known = now >= *self.first.get_or_insert(now) + SHRINK_AFTER;
        if surplus.is_empty() || !known || !self.settings.may_drain {
            return;
        }
        self.drain(now, vms, needed, census, surplus);
    }

    /// Gives the largest need of the last while, so that a short dip stops nothing.
    fn window(&mut self, now: Duration, need: &Need) -> u32 {
        let pool = self.pools.entry(need.pool.clone()).or_default();
        while pool.needs.front().is_some_and(|(at, _)| *at + SHRINK_AFTER < now) {
            pool.needs.pop_front();
        }
        match pool.needs.back_mut() {
            Some((at, vms)) if now.saturating_sub(*at) < SHRINK_STEP => *vms = need.vms.max(*vms),
            _ => pool.needs.push_back((now, need.vms)),
        }
        pool.needs.iter().map(|(_, vms)| *vms).max().unwrap_or(0)
    }

    fn may_replace(&mut self, now: Duration, pool: &Arc<str>, cheaper: bool) -> bool {
        let pool = self.pools.entry(pool.clone()).or_default();
        if !cheaper {
            pool.cheaper_since = None;
            return false;
        }
        now >= *pool.cheaper_since.get_or_insert(now) + REPLACE_AFTER
    }

    fn census(&self, vms: &[Machine], pool: &Arc<str>) -> Census {
        let mut census = Census::default();
        for vm in vms.iter().filter(|vm| vm.place.pool == *pool) {
            if vm.leaving || self.ledger.is_draining(&vm.id) {
                continue;
            }
            *census.coming.entry(vm.place.clone()).or_default() += 1;
            if vm.warm {
                *census.warm.entry(vm.place.clone()).or_default() += 1;
            }
        }
        for launch in self.ledger.unlisted(vms).filter(|launch| launch.place.pool == *pool) {
            *census.coming.entry(launch.place.clone()).or_default() += 1;
        }
        census
    }

    /// Gives the offers without the VMs that paused places would have to add.
    fn open_offers(&self, now: Duration, need: &Need, census: &Census) -> Vec<Offer> {
        let open = need.offers.iter().map(|offer| {
            let paused = self.pauses.get(&offer.place).is_some_and(|pause| now < pause.until);
            let running = census.coming.get(&offer.place).copied().unwrap_or(0);
            let limit = if paused { offer.limit.min(running) } else { offer.limit };
            Offer { limit, ..offer.clone() }
        });
        open.collect()
    }

    /// Begins starts, those that leave most survivors and then the cheapest first, as far as the weight store can feed them.
    ///
    /// With `wanted` it ends when so many VMs survive: the rest of the mix only is cheaper, and has
    /// to stay so for a while before it replaces VMs.
    fn launch(
        &mut self,
        now: Duration,
        offers: &[Offer],
        mut missing: Counts,
        mut coming: Counts,
        wanted: Option<u32>,
    ) {
        let price = |place: &Place| {
            let offer = offers.iter().find(|offer| offer.place == *place);
            offer.map_or(f64::MAX, |offer| offer.price)
        };
        let survivors_with = |coming: &Counts, place: &Place| {
            let mut counts = coming.clone();
            *counts.entry(place.clone()).or_default() += 1;
            mix::survivors(&counts)
        };
        while self.permits >= 1.0 {
            if wanted.is_some_and(|wanted| mix::survivors(&coming) >= wanted) {
                return;
            }
            // A start in the largest failure domain only adds to what its loss takes.
            let open = missing.iter().filter(|(_, count)| **count > 0);
            let best = open.map(|(place, _)| place).max_by(|left, right| {
                let survivors = survivors_with(&coming, left).cmp(&survivors_with(&coming, right));
                survivors.then(price(right).total_cmp(&price(left)))
            });
            let Some(place) = best.cloned() else { return };
            missing.entry(place.clone()).and_modify(|count| *count -= 1);
            *coming.entry(place.clone()).or_default() += 1;
            self.permits -= 1.0;
            self.ledger.begin(now, &self.prefix, place);
        }
    }

    /// Begins the drain of VMs that the mix doesn't need, as long as the warm ones suffice.
    fn drain(
        &mut self,
        now: Duration,
        vms: &[Machine],
        needed: u32,
        census: Census,
        mut surplus: Counts,
    ) {
        let mut warm = census.warm;
        for vm in vms.iter().rev() {
            let Some(left) = surplus.get_mut(&vm.place).filter(|left| **left > 0) else { continue };
            if vm.leaving || self.ledger.is_draining(&vm.id) {
                continue;
            }
            if vm.warm {
                let mut after = warm.clone();
                if let Some(count) = after.get_mut(&vm.place) {
                    *count -= 1;
                }
                if mix::survivors(&after) < needed {
                    continue;
                }
                warm = after;
            }
            *left -= 1;
            self.ledger.drain(now, vm.id.clone());
        }
    }

    fn actions(&self, now: Duration, vms: &[Machine]) -> Vec<Action> {
        let starts = self.ledger.starts.iter().filter(|launch| launch.vm.is_none());
        let mut actions: Vec<Action> = starts.cloned().map(Action::Start).collect();
        for drain in &self.ledger.drains {
            let Some(vm) = vms.iter().find(|vm| vm.id == drain.vm) else { continue };
            let age = now.saturating_sub(Duration::from_millis(drain.since_ms));
            let idle = vm.idle && age >= self.settings.drain_settle;
            // A VM with a reclaim notice leaves by itself.
            let stop = !vm.leaving && (idle || age >= self.settings.drain_limit);
            actions.push(match stop {
                true => Action::Stop(drain.vm.clone()),
                false => Action::Drain(drain.vm.clone()),
            });
        }
        actions
    }
}

/// Counts what `left` has more than `right`.
fn difference(left: &Counts, right: &Counts) -> Counts {
    let more = left.iter().map(|(place, count)| {
        (place.clone(), count.saturating_sub(right.get(place).copied().unwrap_or(0)))
    });
    more.filter(|(_, count)| *count > 0).collect()
}
