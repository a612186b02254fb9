//! Policies that the measurement compares.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::capacity::planner::{Answer, Ledger, Settings};
use pomelolink::capacity::{
    Action, Forecast, Machine, Placement, Planner, Requirement, vms_for_demand,
};

use super::world::{DOMAINS, MINUTE, Minute, Trace, place};

const LEAD: Duration = Duration::from_secs(900);
const QUANTILE: f64 = 0.98;
/// Reserve and patience of the reactive policy, as is usual for threshold scaling.
const REACTIVE_RESERVE: f64 = 1.25;
const REACTIVE_PATIENCE: Duration = Duration::from_secs(600);
const REACTIVE_RETRY: Duration = Duration::from_secs(300);
/// Time after which a start that is not listed is given up: its VM may be reclaimed already.
const START_LIMIT: Duration = Duration::from_secs(1_200);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// A constant number of on-demand VMs that serves the demand of a part of the minutes.
    Fixed {
        quantile: f64,
    },
    /// Follows the demand of the last minutes with the cheapest VMs, or with reclaimable VMs of all
    /// failure domains.
    Reactive {
        spread: bool,
    },
    Plan,
}

#[derive(Debug)]
pub enum Request {
    Start(Arc<str>, Placement),
    Drain(Arc<str>),
    Stop(Arc<str>),
}

/// Holds a start of a policy without a planner until its VM is listed.
#[derive(Debug)]
struct Pending {
    operation: Arc<str>,
    place: Placement,
    since: Duration,
    vm: Option<Arc<str>>,
}

#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    per_vm: f64,
    fixed: usize,
    planner: Planner,
    series: Forecast,
    seen: Option<Duration>,
    recent: f64,
    enough_since: Option<Duration>,
    retry: Vec<(Placement, Duration)>,
    pending: Vec<Pending>,
    serial: u64,
}

impl Fleet {
    pub fn new(policy: Policy, trace: &Trace, per_vm: f64, scale: f64) -> Fleet {
        let quantile = if let Policy::Fixed { quantile } = policy { quantile } else { 1.0 };
        let settings = Settings {
            starts_per_hour: 60.0 * scale,
            starts_at_once: (10.0 * scale) as u32,
            drain_settle: Duration::from_secs(30),
            drain_limit: Duration::from_secs(900),
            start_limit: START_LIMIT,
            may_drain: true,
        };
        Fleet {
            policy,
            per_vm,
            fixed: vms_for_demand(trace.quantile(quantile), per_vm) as usize,
            planner: Planner::new(settings, "plan".into(), Ledger::default()),
            series: Forecast::new(LEAD),
            seen: None,
            recent: 0.0,
            enough_since: None,
            retry: Vec::new(),
            pending: Vec::new(),
            serial: 0,
        }
    }

    pub fn decide(
        &mut self,
        now: Duration,
        trace: &Trace,
        minute: &Minute,
        vms: &[Machine],
    ) -> Vec<Request> {
        if self.seen.is_none_or(|seen| now >= seen + MINUTE) {
            self.seen = Some(now);
            self.series.observe(now + MINUTE, MINUTE, minute.counted);
            self.recent = self.recent * 0.8 + minute.counted * 0.2;
        }
        match self.policy {
            Policy::Fixed { .. } => self.keep(now, vms),
            Policy::Reactive { spread } => self.react(now, trace, minute, vms, spread),
            Policy::Plan => self.plan(now, trace, minute, vms),
        }
    }

    pub fn answered(&mut self, now: Duration, operation: &str, vm: Option<Arc<str>>) {
        if self.policy == Policy::Plan {
            let answer = vm.map_or(Answer::Refused, Answer::Started);
            self.planner.record_answer(now, operation, answer);
            return;
        }
        let Some(index) = self.pending.iter().position(|start| *start.operation == *operation)
        else {
            return;
        };
        match vm {
            Some(vm) => self.pending[index].vm = Some(vm),
            None => {
                let place = self.pending.remove(index).place;
                self.retry.push((place, now + REACTIVE_RETRY));
            }
        }
    }

    fn plan(
        &mut self,
        now: Duration,
        trace: &Trace,
        minute: &Minute,
        vms: &[Machine],
    ) -> Vec<Request> {
        let need = Requirement {
            pool: "pool".into(),
            vms: vms_for_demand(self.series.planned_demand(now + MINUTE, QUANTILE), self.per_vm)
                .max(1),
            min_vms: 1,
            offers: trace.offers(minute),
        };
        let actions = self.planner.decide(now, vms, &[need]);
        let requests = actions.into_iter().map(|action| match action {
            Action::Start(launch) => Request::Start(launch.operation, launch.placement),
            Action::Drain(vm) => Request::Drain(vm),
            Action::Stop(vm) => Request::Stop(vm),
        });
        requests.collect()
    }

    /// Keeps a fixed number of on-demand VMs, spread over the failure domains.
    fn keep(&mut self, now: Duration, vms: &[Machine]) -> Vec<Request> {
        self.settle(now, vms);
        while vms.len() + self.pending.len() < self.fixed {
            let open = (0..DOMAINS.len()).map(|domain| place(domain, false));
            let open = open.filter(|place| !self.retry.iter().any(|(paused, _)| paused == place));
            let Some(place) = open.min_by_key(|place| self.count(vms, place)) else {
                self.retry.clear();
                break;
            };
            self.begin(now, place);
        }
        self.starts()
    }

    fn react(
        &mut self,
        now: Duration,
        trace: &Trace,
        minute: &Minute,
        vms: &[Machine],
        spread: bool,
    ) -> Vec<Request> {
        self.settle(now, vms);
        self.retry.retain(|(_, until)| now < *until);
        let wanted = vms_for_demand(self.recent * REACTIVE_RESERVE, self.per_vm).max(1) as usize;
        let mut offers = trace.offers(minute);
        offers.sort_by(|left, right| left.price.total_cmp(&right.price));
        while vms.len() + self.pending.len() < wanted {
            let paused = |place: &Placement| self.retry.iter().any(|(paused, _)| paused == place);
            let open = offers.iter().filter(|offer| !paused(&offer.placement));
            let open = open.min_by_key(|offer| match spread {
                true => (!offer.placement.reclaimable, self.count(vms, &offer.placement)),
                false => (false, 0),
            });
            let Some(place) = open.map(|offer| offer.placement.clone()) else { break };
            self.begin(now, place);
        }
        let mut requests = self.starts();
        if vms.len() <= wanted {
            self.enough_since = None;
        } else if now >= *self.enough_since.get_or_insert(now) + REACTIVE_PATIENCE {
            let counts = offers.iter().map(|offer| self.count(vms, &offer.placement));
            let counts: Vec<usize> = counts.collect();
            let rank = |vm: &&Machine| {
                let position =
                    offers.iter().position(|offer| offer.placement == vm.placement).unwrap_or(0);
                match spread {
                    true => (!vm.placement.reclaimable, counts[position]),
                    false => (false, position),
                }
            };
            let mut dearest: Vec<&Machine> = vms.iter().collect();
            dearest.sort_by_cached_key(|vm| std::cmp::Reverse(rank(vm)));
            let surplus = dearest.into_iter().take(vms.len() - wanted);
            requests.extend(surplus.map(|vm| Request::Stop(vm.id.clone())));
        }
        requests
    }

    /// Counts the VMs of a place, listed or started.
    fn count(&self, vms: &[Machine], place: &Placement) -> usize {
        let listed = vms.iter().filter(|vm| vm.placement == *place).count();
        listed + self.pending.iter().filter(|start| start.place == *place).count()
    }

    fn settle(&mut self, now: Duration, vms: &[Machine]) {
        let listed = |id: &Arc<str>| vms.iter().any(|vm| vm.id == *id);
        self.pending.retain(|start| {
            !start.vm.as_ref().is_some_and(listed) && now < start.since + START_LIMIT
        });
    }

    fn begin(&mut self, now: Duration, place: Placement) {
        self.serial += 1;
        let operation = format!("start-{}", self.serial).into();
        self.pending.push(Pending { operation, place, since: now, vm: None });
    }

    fn starts(&self) -> Vec<Request> {
        let open = self.pending.iter().filter(|start| start.vm.is_none());
        open.map(|start| Request::Start(start.operation.clone(), start.place.clone())).collect()
    }
}
