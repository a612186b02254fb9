//! Simulates the orders for endpoints without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::catalog::Scaling;
use pomelolink::gateway::demand;
use pomelolink::gateway::fleet::{Planner, Snapshot};
use pomelolink::gateway::platform::{Part, Prompt};

const DOMAINS: [(&str, f64); 4] = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];

/// Prefill rate with which an endpoint is planned for 20,000 tokens per second.
const PREFILL_TOKENS_PER_S: f64 = 47_620.0;

fn scaling() -> Scaling {
    Scaling {
        min: 1,
        max: 10,
        boot_time: Duration::from_secs(4),
        reclaimable_price: Some(0.22),
        domain_prices: DOMAINS.iter().map(|(name, price)| (Arc::from(*name), *price)).collect(),
    }
}

/// Simulates a platform that fulfils orders after the boot time.
struct Simulation {
    planner: Planner,
    now: Duration,
    requested: u64,
    running: BTreeMap<(Arc<str>, bool), u32>,
    booting: Vec<(Duration, (Arc<str>, bool), u32)>,
    /// Whether the platform refuses orders for reclaimable endpoints.
    is_reclaimable_sold_out: bool,
    /// Endpoints that rate limits keep unused.
    limited_endpoints: f64,
    evacuated: Vec<Arc<str>>,
    orders: u32,
}

impl Simulation {
    /// Starts with 18 on-demand endpoints, as the users do.
    fn new() -> Simulation {
        let count = [5, 5, 4, 4].into_iter();
        let running =
            DOMAINS.iter().zip(count).map(|((name, _), count)| ((Arc::from(*name), false), count));
        Simulation {
            planner: Planner::default(),
            now: Duration::from_secs(100),
            requested: 0,
            running: running.collect(),
            booting: Vec::new(),
            is_reclaimable_sold_out: false,
            limited_endpoints: 0.0,
            evacuated: Vec::new(),
            orders: 0,
        }
    }

    /// Simulates a number of seconds with a demand in prompt tokens per second.
    fn run(&mut self, seconds: u32, tokens_per_s: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            self.requested += tokens_per_s;
            let (now, running) = (self.now, &mut self.running);
            self.booting.retain(|(at, key, count)| {
                if *at <= now {
                    *running.entry(key.clone()).or_default() = *count;
                }
                *at > now
            });
            let snapshot = Snapshot {
                requests: 60,
                requested_tokens: self.requested,
                prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
                slots: 32,
                endpoints: self.running.clone(),
                lateness: None,
                evacuated: self.evacuated.iter().cloned().collect(),
                limited_endpoints: self.limited_endpoints,
                other_version: None,
            };
            self.planner.observe(&"s".into(), &scaling(), snapshot, now);
            for order in self.planner.orders(now) {
                let is_accepted = !(order.reclaimable && self.is_reclaimable_sold_out);
                self.orders += 1;
                if is_accepted {
                    let key = (order.domain.clone(), order.reclaimable);
                    let must_boot =
                        self.running.get(&key).is_none_or(|running| *running < order.count);
                    let delay = if must_boot { Duration::from_secs(4) } else { Duration::ZERO };
                    self.booting.retain(|(_, other, _)| *other != key);
                    self.booting.push((now + delay, key, order.count));
                }
                self.planner.record_response(order, is_accepted, now);
            }
        }
    }

    fn count(&self, reclaimable: bool) -> u32 {
        self.running.iter().filter(|((_, it), _)| *it == reclaimable).map(|(_, count)| count).sum()
    }

    fn reclaim(&mut self, domain: &str) {
        self.running.remove(&(Arc::from(domain), true));
        self.is_reclaimable_sold_out = true;
    }
}

/// Guards against on-demand endpoints that keep running where cheaper reclaimable ones are
/// available.
#[test]
fn reclaimable_replace_on_demand() {
    let mut simulation = Simulation::new();
    simulation.run(15, 340_000);
    assert_eq!(simulation.count(false), 0);
    assert!(simulation.count(true) >= 18, "{:?}", simulation.running);
}

/// Guards against orders based on the first observation, when few endpoints have registered yet.
#[test]
fn registration_triggers_no_orders() {
    let mut simulation = Simulation::new();
    let registered = std::mem::take(&mut simulation.running);
    simulation.running.insert(("a".into(), false), 1);
    simulation.run(1, 0);
    assert_eq!(simulation.orders, 0);
    simulation.running = registered;
    simulation.run(12, 340_000);
    assert!(simulation.count(true) >= 18, "{:?}", simulation.running);
}

/// Guards against too few endpoints when one failure domain after another is reclaimed and no
/// reclaimable endpoints are available: on-demand ones must replace them at once, and must be
/// stopped when reclaimable ones are back.
#[test]
fn reclaimed_domains_are_replaced() {
    let mut simulation = Simulation::new();
    simulation.run(40, 340_000);
    for domain in ["a", "b", "c", "d"] {
        simulation.reclaim(domain);
        simulation.run(7, 340_000);
        let total = simulation.count(true) + simulation.count(false);
        assert!(total >= 17, "{total} endpoints 7 s after the reclaim of {domain}");
    }
    simulation.is_reclaimable_sold_out = false;
    simulation.run(20, 340_000);
    assert_eq!(simulation.count(false), 0, "{:?}", simulation.running);
}

/// Guards against a wave of reclaims that leaves too few endpoints: while two of four failure domains are
/// lost, the loss of a third must leave four fifths of the four endpoints that the demand needs.
#[test]
fn reclaim_wave_keeps_reserve() {
    let mut simulation = Simulation::new();
    simulation.run(90, 78_000);
    simulation.reclaim("c");
    simulation.reclaim("d");
    simulation.run(6, 78_000);
    simulation.reclaim("b");
    let left = simulation.count(true) + simulation.count(false);
    assert!(left >= 4, "{left} endpoints are left: {:?}", simulation.running);
}

/// Guards against an evacuated domain whose endpoints count as serving, so that too few are left, and against an
/// order that changes their number.
#[test]
fn evacuated_domain_is_replaced() {
    let mut simulation = Simulation::new();
    simulation.run(40, 340_000);
    let before = simulation.running.clone();
    let in_domain = |running: &BTreeMap<(Arc<str>, bool), u32>| {
        [true, false].map(|kind| running.get(&("b".into(), kind)).copied().unwrap_or(0))
    };
    simulation.evacuated = vec!["b".into()];
    simulation.run(8, 340_000);
    assert_eq!(in_domain(&simulation.running), in_domain(&before), "{:?}", simulation.running);
    let others = simulation.running.values().sum::<u32>() - in_domain(&before).iter().sum::<u32>();
    let total = before.values().sum::<u32>();
    assert!(others >= total, "{others} instead of {total}: {:?}", simulation.running);
    simulation.evacuated.clear();
    simulation.run(20, 340_000);
    assert_eq!(simulation.running.values().sum::<u32>(), total, "the surplus is removed");
}

/// Guards against endpoints for prompt tokens that are cached: prompts that share most of their tokens
/// need few more endpoints than prompts without the shared part.
#[test]
fn cached_tokens_need_few_endpoints() {
    let endpoints = |parts: &[u32]| {
        let parts = parts.iter().map(|tokens| Part { hash: 0, tokens: *tokens });
        let mut prompt = Prompt { parts: parts.collect(), ..Prompt::default() };
        prompt.prompt_tokens = prompt.parts.iter().map(|part| part.tokens).sum();
        let mut simulation = Simulation::new();
        simulation.run(90, 35 * u64::from(demand::prefill_tokens(&prompt)));
        simulation.count(true) + simulation.count(false)
    };
    let (without, with) = (endpoints(&[2_890]), endpoints(&[2_520, 3_780, 2_890]));
    // A fifth of 6,300 shared tokens is 0.44 of 2,890.
    assert!(f64::from(with) <= f64::from(without) * 1.7, "{with} endpoints, {without} without");
}

/// Guards against a new order for every small change of the demand.
#[test]
fn steady_demand_orders_little() {
    let mut simulation = Simulation::new();
    simulation.run(40, 340_000);
    let before = simulation.orders;
    for second in 0..60 {
        simulation.run(1, if second % 2 == 0 { 300_000 } else { 360_000 });
    }
    assert!(simulation.orders - before <= 16, "{} orders in a minute", simulation.orders - before);
}

/// Guards against a number of endpoints, and so a cost, that stays high after the demand has
/// fallen.
#[test]
fn falling_demand_removes_endpoints() {
    let mut simulation = Simulation::new();
    simulation.run(40, 340_000);
    let before = simulation.count(true);
    simulation.run(120, 80_000);
    let after = simulation.count(true) + simulation.count(false);
    assert!(after * 2 <= before, "{before} before, {after} after");
}

/// Guards against orders that stop endpoints which the platform has started for a new version.
#[test]
fn rollout_endpoints_are_kept() {
    let service: Arc<str> = "s".into();
    let mut planner = Planner::default();
    let endpoints = |reclaimable: bool, count: u32| -> BTreeMap<(Arc<str>, bool), u32> {
        DOMAINS.iter().map(|(name, _)| ((Arc::from(*name), reclaimable), count)).collect()
    };
    let mut snapshot = Snapshot {
        slots: 8,
        endpoints: endpoints(true, 6),
        other_version: None,
        ..Snapshot::default()
    };
    let orders = |planner: &mut Planner, snapshot: &Snapshot, second: u64| {
        let now = Duration::from_secs(second);
        planner.observe(&service, &scaling(), snapshot.clone(), now);
        let orders = planner.orders(now);
        orders.iter().for_each(|order| planner.record_response(order.clone(), true, now));
        orders
    };
    for second in 0..60 {
        orders(&mut planner, &snapshot, second);
    }
    snapshot.other_version = Some(endpoints(false, 6));
    for second in 60..75 {
        assert_eq!(orders(&mut planner, &snapshot, second), [], "at {second} s");
    }
    // Lost endpoints are still replaced, in addition to those of the new version.
    snapshot.endpoints.remove(&("a".into(), true));
    let replacements = orders(&mut planner, &snapshot, 75);
    assert!(replacements.iter().all(|order| &*order.domain == "a"), "{replacements:?}");
    assert!(
        replacements.iter().any(|order| !order.reclaimable && order.count > 6),
        "{replacements:?}"
    );
}

/// Guards against a limited endpoint that is counted as a whole one.
#[test]
fn limited_endpoints_are_replaced() {
    let mut simulation = Simulation::new();
    simulation.run(40, 340_000);
    let before = simulation.count(true) + simulation.count(false);
    simulation.limited_endpoints = 6.0;
    simulation.run(8, 340_000);
    let limited = simulation.count(true) + simulation.count(false);
    assert!(limited >= before + 6, "{before} before, {limited} with six unused");
    simulation.limited_endpoints = 0.0;
    simulation.run(20, 340_000);
    assert_eq!(simulation.count(true) + simulation.count(false), before);
}

/// Guards against a limit that counts as lost capacity though the endpoint's planned load is below it.
#[test]
fn limit_counts_what_it_keeps_unused() {
    let mut snapshot = Snapshot { prefill_tokens_per_s: 10_000.0, ..Snapshot::default() };
    snapshot.add_limit(100.0, 1_000.0);
    assert!(snapshot.limited_endpoints.abs() < 1e-9);
    snapshot.add_limit(0.0, 1_000.0);
    assert!((snapshot.limited_endpoints - 1.0).abs() < 1e-9);
}
