//! The number of endpoints that follows the share of late answers, simulated without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::catalog::Scaling;
use pomelolink::gateway::fleet::{Planner, Snapshot};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Prompt tokens per second for which 18 endpoints are needed.
const TOKENS_PER_S: u64 = 300_000;
/// Largest share of late answers that the plan allows.
const MAX_LATE_SHARE: f64 = 0.05;
const ANSWERS_PER_S: u64 = 400;
const BOOT_S: u64 = 4;

/// Endpoints that answer late in proportion to the part of the time above a quarter in which they read prompts.
struct Simulation {
    planner: Planner,
    is_fed_back: bool,
    /// Late share that doesn't depend on the number of endpoints.
    constant_share: f64,
    second: u64,
    requested: u64,
    totals: (u64, u64),
    running: BTreeMap<Arc<str>, u32>,
    booting: Vec<(u64, Arc<str>, u32)>,
    shares: Vec<f64>,
}

impl Simulation {
    fn new(is_fed_back: bool, constant_share: f64) -> Simulation {
        Simulation {
            planner: Planner::default(),
            is_fed_back,
            constant_share,
            second: 100,
            requested: 0,
            totals: (0, 0),
            running: DOMAINS.iter().map(|name| (Arc::from(*name), 16)).collect(),
            booting: Vec::new(),
            shares: Vec::new(),
        }
    }

    fn count(&self) -> u32 {
        self.running.values().sum()
    }

    fn factor(&self) -> f64 {
        self.planner.factors().map(|(_, factor)| factor).sum()
    }

    fn run(&mut self, seconds: u64, tokens_per_s: u64) {
        let scaling = Scaling {
            min: 1,
            max: 25,
            boot_time: Duration::from_secs(BOOT_S),
            reclaimable_price: Some(0.22),
            domain_prices: DOMAINS.iter().map(|name| (Arc::from(*name), 1.0)).collect(),
        };
        for _ in 0..seconds {
            self.second += 1;
            let (second, now) = (self.second, Duration::from_secs(self.second));
            for (_, domain, count) in self.booting.extract_if(.., |(at, ..)| *at <= second) {
                self.running.insert(domain, count);
            }
            let busy = tokens_per_s as f64 / (f64::from(self.count()) * PREFILL_TOKENS_PER_S);
            let share = ((busy - 0.25) * 2.0).clamp(0.0, 1.0).max(self.constant_share);
            self.shares.push(share);
            self.requested += tokens_per_s;
            self.totals.0 += ANSWERS_PER_S;
            self.totals.1 += (ANSWERS_PER_S as f64 * share) as u64;
            let endpoints = self.running.iter().map(|(it, count)| ((it.clone(), true), *count));
            let snapshot = Snapshot {
                requests: 60,
                requested_tokens: self.requested,
                prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
                slots: 32,
                endpoints: endpoints.collect(),
                lateness: self.is_fed_back.then_some(self.totals),
                ..Snapshot::default()
            };
            self.planner.observe(&"s".into(), &scaling, snapshot, now);
            for order in self.planner.orders(now) {
                if order.reclaimable {
                    let domain = order.domain.clone();
                    let is_less = self.running[&domain] >= order.count;
                    let delay = if is_less { 0 } else { BOOT_S };
                    self.booting.retain(|(_, other, _)| *other != domain);
                    self.booting.push((second + delay, domain, order.count));
                }
                self.planner.record_response(order, true, now);
            }
        }
    }

    /// Returns the mean late share of the last seconds.
    fn late_share(&self, seconds: usize) -> f64 {
        let last = &self.shares[self.shares.len() - seconds..];
        last.iter().sum::<f64>() / seconds as f64
    }
}

/// Guards against a number of endpoints far below what callers need, because the tokens to prefill ask for few.
#[test]
fn late_answers_keep_endpoints() {
    let mut late = Vec::new();
    for is_fed_back in [false, true] {
        let mut simulation = Simulation::new(is_fed_back, 0.0);
        for _ in 0..12 {
            simulation.run(10, TOKENS_PER_S);
            let (count, share) = (simulation.count(), simulation.late_share(10));
            println!(
                "with={is_fed_back} second={} endpoints={count} late={share:.3}",
                simulation.second
            );
        }
        late.push(simulation.late_share(60));
    }
    assert!(late[0] > MAX_LATE_SHARE, "the load shows nothing: {late:?}");
    assert!(late[1] <= MAX_LATE_SHARE, "{late:?} of the answers are late");
}

/// Guards against endpoints that stay after the demand has fallen.
#[test]
fn lull_lowers_plan() {
    let mut simulation = Simulation::new(true, 0.0);
    simulation.run(90, TOKENS_PER_S);
    let before = simulation.count();
    simulation.run(180, TOKENS_PER_S / 6);
    let after = simulation.count();
    println!("{before} endpoints before the lull, {after} after it");
    assert!(after * 2 <= before, "{before} before, {after} after");
    assert!((simulation.factor() - 1.0).abs() < 1e-9);
}

/// Guards against a plan without end when answers are late for a reason that endpoints don't mend, such as one
/// failing endpoint.
#[test]
fn other_lateness_is_bounded() {
    let mut simulation = Simulation::new(true, 0.07);
    simulation.run(300, TOKENS_PER_S / 2);
    println!("factor {:.2}, {} endpoints", simulation.factor(), simulation.count());
    assert!(simulation.factor() < 2.0, "{}", simulation.factor());
}

/// Guards against stalls that are answered only after many seconds: the demand doubles in prompts that stall others.
#[test]
fn stalls_raise_within_seconds() {
    let mut simulation = Simulation::new(true, 0.0);
    // Until the endpoints found at the start are gone: the plan is at most twice what the tokens ask for.
    simulation.run(150, TOKENS_PER_S / 2);
    let before = simulation.count();
    // Lateness grows at once, the tokens to prefill don't.
    simulation.constant_share = 0.3;
    simulation.run(3 + BOOT_S, TOKENS_PER_S / 2);
    let after = simulation.count();
    assert!(after > before, "{before} endpoints before the stalls, {after} after them");
}
