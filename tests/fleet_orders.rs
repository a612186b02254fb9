//! Orders for endpoints, without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::catalog::Scaling;
use pomelolink::gateway::fleet::{Planner, View};

const DOMAINS: [(&str, f64); 4] = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];

fn scaling() -> Scaling {
    Scaling {
        min: 1,
        max: 10,
        boot_time: Duration::from_secs(4),
        reclaimable_price: Some(0.22),
        domain_prices: DOMAINS.iter().map(|(name, price)| (Arc::from(*name), *price)).collect(),
    }
}

/// Plays a platform that meets orders after the boot time.
struct World {
    planner: Planner,
    now: Duration,
    asked: u64,
    running: BTreeMap<(Arc<str>, bool), u32>,
    booting: Vec<(Duration, (Arc<str>, bool), u32)>,
    /// Set while no reclaimable endpoints are to be had.
    is_dry: bool,
    orders: u32,
}

impl World {
    /// Starts with 18 endpoints that can't be reclaimed, as the users do.
    fn new() -> World {
        let count = [5, 5, 4, 4].into_iter();
        let running =
            DOMAINS.iter().zip(count).map(|((name, _), count)| ((Arc::from(*name), false), count));
        World {
            planner: Planner::default(),
            now: Duration::from_secs(100),
            asked: 0,
            running: running.collect(),
            booting: Vec::new(),
            is_dry: false,
            orders: 0,
        }
    }

    /// Lets seconds pass with a demand in prompt tokens a second.
    fn pass(&mut self, seconds: u32, tokens_per_s: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            self.asked += tokens_per_s;
            let (now, running) = (self.now, &mut self.running);
            self.booting.retain(|(at, key, count)| {
                if *at <= now {
                    *running.entry(key.clone()).or_default() = *count;
                }
                *at > now
            });
            let view = View {
                requests: 60,
                asked_tokens: self.asked,
                slots: 32,
                endpoints: self.running.clone(),
                other_version: None,
            };
            self.planner.observe(&"s".into(), &scaling(), view, now);
            for order in self.planner.orders(now) {
                let taken = !(order.reclaimable && self.is_dry);
                self.orders += 1;
                if taken {
                    let key = (order.domain.clone(), order.reclaimable);
                    let boots = self.running.get(&key).is_none_or(|running| *running < order.count);
                    let delay = if boots { Duration::from_secs(4) } else { Duration::ZERO };
                    self.booting.retain(|(_, other, _)| *other != key);
                    self.booting.push((now + delay, key, order.count));
                }
                self.planner.record(order, taken, now);
            }
        }
    }

    fn count(&self, reclaimable: bool) -> u32 {
        self.running.iter().filter(|((_, it), _)| *it == reclaimable).map(|(_, count)| count).sum()
    }

    fn reclaim(&mut self, domain: &str) {
        self.running.remove(&(Arc::from(domain), true));
        self.is_dry = true;
    }
}

/// Guards against paying the full price all day.
#[test]
fn reclaimable_replace_the_others() {
    let mut world = World::new();
    world.pass(15, 340_000);
    assert_eq!(world.count(false), 0);
    assert!(world.count(true) >= 18, "{:?}", world.running);
}

/// Guards against an order before the endpoints have registered: the first look shows few of them.
#[test]
fn first_look_orders_nothing() {
    let mut world = World::new();
    let all = std::mem::take(&mut world.running);
    world.running.insert(("a".into(), false), 1);
    world.pass(1, 0);
    assert_eq!(world.orders, 0);
    world.running = all;
    world.pass(12, 340_000);
    assert!(world.count(true) >= 18, "{:?}", world.running);
}

/// Guards against too few endpoints when failure domain after failure domain is reclaimed and no
/// reclaimable ones are to be had: others take over at once and leave when those are back.
#[test]
fn reclaimed_domains_are_made_good() {
    let mut world = World::new();
    world.pass(40, 340_000);
    for domain in ["a", "b", "c", "d"] {
        world.reclaim(domain);
        world.pass(7, 340_000);
        let total = world.count(true) + world.count(false);
        assert!(total >= 17, "{total} endpoints 7 s after the reclaim of {domain}");
    }
    world.is_dry = false;
    world.pass(20, 340_000);
    assert_eq!(world.count(false), 0, "{:?}", world.running);
}

/// Guards against orders that follow every small change of the demand.
#[test]
fn steady_demand_orders_little() {
    let mut world = World::new();
    world.pass(40, 340_000);
    let before = world.orders;
    for second in 0..60 {
        world.pass(1, if second % 2 == 0 { 300_000 } else { 360_000 });
    }
    assert!(world.orders - before <= 16, "{} orders in a minute", world.orders - before);
}

/// Guards against a cost that does not fall with the demand.
#[test]
fn falling_demand_needs_fewer() {
    let mut world = World::new();
    world.pass(40, 340_000);
    let before = world.count(true);
    world.pass(120, 80_000);
    let after = world.count(true) + world.count(false);
    assert!(after * 2 <= before, "{before} before, {after} after");
}

/// Guards against orders that stop the endpoints which the platform has started for a new version.
#[test]
fn rollouts_are_left_alone() {
    let service: Arc<str> = "s".into();
    let mut planner = Planner::default();
    let kinds = |reclaimable: bool, count: u32| -> BTreeMap<(Arc<str>, bool), u32> {
        DOMAINS.iter().map(|(name, _)| ((Arc::from(*name), reclaimable), count)).collect()
    };
    let mut view =
        View { slots: 8, endpoints: kinds(true, 6), other_version: None, ..View::default() };
    let orders = |planner: &mut Planner, view: &View, second: u64| {
        let now = Duration::from_secs(second);
        planner.observe(&service, &scaling(), view.clone(), now);
        let orders = planner.orders(now);
        orders.iter().for_each(|order| planner.record(order.clone(), true, now));
        orders
    };
    for second in 0..60 {
        orders(&mut planner, &view, second);
    }
    view.other_version = Some(kinds(false, 6));
    for second in 60..75 {
        assert_eq!(orders(&mut planner, &view, second), [], "at {second} s");
    }
    // Lost endpoints are still made up for, beside those of the new version.
    view.endpoints.remove(&("a".into(), true));
    let made_up = orders(&mut planner, &view, 75);
    assert!(made_up.iter().all(|order| &*order.domain == "a"), "{made_up:?}");
    assert!(made_up.iter().any(|order| !order.reclaimable && order.count > 6), "{made_up:?}");
}
