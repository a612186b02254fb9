//! Trace of demand, prices, reclaims and refusals, and a fluid model of a pool on it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::capacity::{Machine, Offer, Placement};
use pomelolink::trace::generate::Company;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::policy::{Fleet, Policy, Request};

pub const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
pub const MINUTE: Duration = Duration::from_secs(60);
const DAY_MINUTES: usize = 1_440;
/// Days that are not counted, in which the forecast sees its first week, and days that are.
const WARM_UP_DAYS: usize = 7;
const DAYS: usize = 90;
/// Minutes from a start until the VM is listed and until it is warm.
const LISTED: usize = 2;
const WARM: usize = 8;
/// Minutes after which a drained VM is idle.
const IDLE: usize = 5;
/// On-demand prices by failure domain, and the long-term mean of a reclaimable VM relative to them;
/// the relation is the one that `src/daemon/vms.rs` uses.
const ON_DEMAND: [f64; 4] = [1.0, 1.02, 1.05, 1.08];
const RECLAIMABLE: f64 = 1.0 / 3.0;
/// Mean days between reclaim waves, periods of refusals, and bursts.
const WAVE_DAYS: f64 = 4.0;
const REFUSAL_DAYS: f64 = 3.0;
const ON_DEMAND_REFUSAL_DAYS: f64 = 20.0;
const BURST_DAYS: f64 = 5.0;
/// Chance per hour that a single reclaimable VM is reclaimed.
const SINGLE_RECLAIM: f64 = 0.005;
/// Part of the starts whose answer is lost; half of them take effect.
const LOST_ANSWERS: f64 = 0.02;

/// Holds one minute of what happens outside of the system.
#[derive(Debug, Default, Clone)]
pub struct Minute {
    /// Requests per second.
    pub rate: f64,
    /// Requests per second as counted within the minute.
    pub counted: f64,
    /// Price per hour of a reclaimable VM by failure domain.
    pub prices: [f64; 4],
    /// Part of the reclaimable VMs of a failure domain that is reclaimed now.
    pub waves: [f64; 4],
    pub refuse_reclaimable: [bool; 4],
    pub refuse_on_demand: [bool; 4],
}

/// Holds the trace that all policies of one table meet.
#[derive(Debug)]
pub struct Trace {
    pub minutes: Vec<Minute>,
    /// Price of the VM class relative to the class with an accelerator.
    pub price: f64,
    seed: u64,
}

impl Trace {
    pub fn new(company: &Company, seed: u64, peak: f64, price: f64) -> Trace {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut noise, mut walks) = (0.0_f64, [0.0_f64; 4]);
        let (mut burst, mut burst_left) = (1.0, 0_u32);
        let mut refused = [[0_usize; 4]; 2];
        let mut minutes = Vec::new();
        for index in 0..(WARM_UP_DAYS + DAYS) * DAY_MINUTES {
            let mut minute = Minute::default();
            noise = noise * 0.98 + 0.016 * normal(&mut random);
            if burst_left == 0 && happens(&mut random, BURST_DAYS) {
                burst_left = random.random_range(20..60);
                burst = random.random_range(1.2..1.6);
            }
            burst_left = burst_left.saturating_sub(1);
            let factor = if burst_left > 0 { burst } else { 1.0 };
            let demand = company.demand(MINUTE * index as u32);
            minute.rate = peak * demand * noise.exp() * factor;
            // The normal approximation of the Poisson count of a minute.
            let spread = (minute.rate / 60.0).sqrt() * normal(&mut random);
            minute.counted = (minute.rate + spread).max(0.0);
            for domain in 0..4 {
                if index % 60 == 0 {
                    walks[domain] = walks[domain] * 0.98 + 0.05 * normal(&mut random);
                }
                let mean = RECLAIMABLE * ON_DEMAND[domain];
                minute.prices[domain] = price * mean * walks[domain].exp().clamp(0.6, 2.0);
                if happens(&mut random, WAVE_DAYS) {
                    minute.waves[domain] = if random.random::<f64>() < 0.7 { 1.0 } else { 0.5 };
                    refused[0][domain] = random.random_range(30..240);
                }
                if happens(&mut random, REFUSAL_DAYS) {
                    refused[0][domain] = refused[0][domain].max(random.random_range(60..300));
                }
                if happens(&mut random, ON_DEMAND_REFUSAL_DAYS) {
                    refused[1][domain] = random.random_range(30..90);
                }
                minute.refuse_reclaimable[domain] = refused[0][domain] > 0;
                minute.refuse_on_demand[domain] = refused[1][domain] > 0;
                refused.iter_mut().for_each(|left| left[domain] = left[domain].saturating_sub(1));
            }
            minutes.push(minute);
        }
        Trace { minutes, price, seed }
    }

    /// Gives the rate below which demand is for a part of the counted minutes.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let counted = &self.minutes[WARM_UP_DAYS * DAY_MINUTES..];
        let mut rates: Vec<f64> = counted.iter().map(|minute| minute.rate).collect();
        rates.sort_by(f64::total_cmp);
        rates[((rates.len() - 1) as f64 * quantile).round() as usize]
    }

    pub fn offers(&self, minute: &Minute) -> Vec<Offer> {
        let offer = |domain: usize, reclaimable| {
            let price =
                if reclaimable { minute.prices[domain] } else { self.price * ON_DEMAND[domain] };
            Offer { placement: place(domain, reclaimable), price, max_vms: 2_000 }
        };
        (0..4).flat_map(|domain| [offer(domain, true), offer(domain, false)]).collect()
    }
}

pub fn place(domain: usize, reclaimable: bool) -> Placement {
    let (pool, class) = ("pool".into(), "class".into());
    Placement { pool, failure_domain: DOMAINS[domain].into(), class, reclaimable }
}

/// Tells whether an event with a mean time between events happens in a minute.
fn happens(random: &mut StdRng, days: f64) -> bool {
    random.random::<f64>() < 1.0 / (days * DAY_MINUTES as f64)
}

fn normal(random: &mut StdRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

/// Sums what a policy cost and how well it served.
#[derive(Debug, Default, Clone)]
pub struct Result {
    cost: f64,
    pub requests: f64,
    pub requests_missed: f64,
    pub minutes: u64,
    pub minutes_missed: u64,
    pub starts: u64,
}

impl Result {
    pub fn add(&mut self, other: &Result) {
        self.cost += other.cost;
        self.requests += other.requests;
        self.requests_missed += other.requests_missed;
        self.minutes += other.minutes;
        self.minutes_missed += other.minutes_missed;
        self.starts += other.starts;
    }

    pub fn per_1000(&self) -> f64 {
        self.cost / self.requests * 1_000.0
    }
}

#[derive(Debug)]
struct Vm {
    id: Arc<str>,
    domain: usize,
    place: Placement,
    started: usize,
    drained: Option<usize>,
}

/// Runs a policy on a trace. In a minute with more demand than the warm VMs serve at the latency
/// target, all requests count as missed.
pub fn run(trace: &Trace, per_vm: f64, scale: f64, policy: Policy) -> Result {
    let mut random = StdRng::seed_from_u64(trace.seed ^ 0x5eed);
    let mut fleet = Fleet::new(policy, trace, per_vm, scale);
    let (mut result, mut vms) = (Result::default(), Vec::<Vm>::new());
    let mut operations: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::new();
    for (index, minute) in trace.minutes.iter().enumerate() {
        let now = MINUTE * index as u32;
        let chance = SINGLE_RECLAIM / 60.0;
        vms.retain(|vm| {
            let part = minute.waves[vm.domain].max(chance);
            !vm.place.reclaimable || random.random::<f64>() >= part
        });
        let warm = vms.iter().filter(|vm| index >= vm.started + WARM).count();
        if index >= WARM_UP_DAYS * DAY_MINUTES {
            let offers = trace.offers(minute);
            let price = |vm: &Vm| {
                let offer = offers.iter().find(|offer| offer.placement == vm.place);
                offer.map_or(0.0, |offer| offer.price)
            };
            result.cost += vms.iter().map(price).sum::<f64>() / 60.0;
            result.requests += minute.rate * 60.0;
            result.minutes += 1;
            if minute.rate > warm as f64 * per_vm * (1.0 + 1e-9) {
                result.minutes_missed += 1;
                result.requests_missed += minute.rate * 60.0;
            }
        }
        // The daemon decides every few seconds, so refusals are answered within the minute.
        for round in 0..5 {
            let listed: Vec<Machine> = list(&vms, index);
            let requests =
                fleet.decide(now + Duration::from_secs(round * 10), trace, minute, &listed);
            let mut refused = false;
            for request in requests {
                match request {
                    Request::Start(operation, place) => {
                        let domain =
                            DOMAINS.iter().position(|name| **name == *place.failure_domain);
                        let domain = domain.unwrap_or(0);
                        let full = match place.reclaimable {
                            true => minute.refuse_reclaimable[domain],
                            false => minute.refuse_on_demand[domain],
                        };
                        let lost = random.random::<f64>() < LOST_ANSWERS;
                        let arrived = !lost || random.random::<bool>();
                        if !arrived {
                            continue;
                        }
                        let known = operations.get(&operation).cloned();
                        let id = known.or_else(|| {
                            (!full).then(|| {
                                result.starts += u64::from(index >= WARM_UP_DAYS * DAY_MINUTES);
                                let id: Arc<str> = format!("vm-{operation}").into();
                                let (started, drained) = (index, None);
                                vms.push(Vm { id: id.clone(), domain, place, started, drained });
                                operations.insert(operation.clone(), id.clone());
                                id
                            })
                        });
                        if !lost {
                            refused |= id.is_none();
                            fleet.answered(now, &operation, id);
                        }
                    }
                    Request::Drain(id) => {
                        let vm = vms.iter_mut().find(|vm| vm.id == id);
                        if let Some(vm) = vm {
                            vm.drained.get_or_insert(index);
                        }
                    }
                    Request::Stop(id) => vms.retain(|vm| vm.id != id),
                }
            }
            if !refused {
                break;
            }
        }
    }
    result
}

fn list(vms: &[Vm], index: usize) -> Vec<Machine> {
    let listed = vms.iter().filter(|vm| index >= vm.started + LISTED);
    listed
        .map(|vm| Machine {
            id: vm.id.clone(),
            placement: vm.place.clone(),
            is_leaving: false,
            is_warm: index >= vm.started + WARM,
            is_idle: vm.drained.is_some_and(|at| index >= at + IDLE),
        })
        .collect()
}
