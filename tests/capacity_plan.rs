//! Guards the capacity plan against too little capacity after a reclaim, doubled starts, stops of
//! VMs in use, and flapping.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::capacity::planner::{Answer, Ledger, Settings};
use pomelolink::capacity::{Action, Machine, Need, Offer, Place, Planner, mix, offer};
use pomelolink::resource::{self, Catalog, Kind, Phase, Progress, Resource, Status};

const DOMAINS: [&str; 4] = ["dk-a", "dk-b", "dk-c", "dk-d"];
const BEGIN: Duration = Duration::from_secs(1_000_000);
const STEP: Duration = Duration::from_secs(60);

fn place(domain: &str, reclaimable: bool) -> Place {
    let (pool, class) = ("engines".into(), "small".into());
    Place { pool, failure_domain: domain.into(), class, reclaimable }
}

fn offers(prices: [f64; 4]) -> Vec<Offer> {
    let offer =
        |domain, reclaimable, price| Offer { place: place(domain, reclaimable), price, limit: 100 };
    let reclaimable = DOMAINS.iter().zip(prices).map(|(domain, price)| offer(domain, true, price));
    reclaimable.chain(DOMAINS.iter().map(|domain| offer(domain, false, 3.0))).collect()
}

fn need(vms: u32) -> Need {
    Need { pool: "engines".into(), vms, keep: 1, offers: offers([1.0, 1.1, 1.2, 1.3]) }
}

fn settings() -> Settings {
    Settings {
        starts_per_hour: 6_000.0,
        starts_at_once: 100,
        drain_settle: STEP * 2,
        drain_limit: STEP * 10,
        start_limit: STEP * 20,
        may_drain: true,
    }
}

/// Models a platform whose VMs are warm as soon as they are listed.
struct World {
    now: Duration,
    planner: Planner,
    vms: Vec<Machine>,
    refused: Vec<Place>,
    starts: usize,
    drains: usize,
    stops: usize,
}

impl World {
    fn new() -> World {
        let planner = Planner::new(settings(), "capacity-1".into(), Ledger::default());
        let (vms, refused) = (Vec::new(), Vec::new());
        World { now: BEGIN, planner, vms, refused, starts: 0, drains: 0, stops: 0 }
    }

    fn decide(&mut self, need: &Need) -> Vec<Action> {
        self.now += STEP;
        self.planner.decide(self.now, &self.vms, std::slice::from_ref(need))
    }

    fn list(&mut self, place: Place) -> Arc<str> {
        let id: Arc<str> = format!("vm-{}", self.starts).into();
        self.starts += 1;
        let (leaving, warm, idle) = (false, true, true);
        self.vms.push(Machine { id: id.clone(), place, leaving, warm, idle });
        id
    }

    fn round(&mut self, need: &Need) {
        for action in self.decide(need) {
            match action {
                Action::Start(launch) if self.refused.contains(&launch.place) => {
                    self.planner.answered(self.now, &launch.operation, Answer::Refused);
                }
                Action::Start(launch) => {
                    let id = self.list(launch.place);
                    self.planner.answered(self.now, &launch.operation, Answer::Started(id));
                }
                Action::Drain(_) => self.drains += 1,
                Action::Stop(id) => {
                    self.vms.retain(|vm| vm.id != id);
                    self.stops += 1;
                }
            }
        }
    }

    fn rounds(&mut self, count: usize, need: &Need) {
        (0..count).for_each(|_| self.round(need));
    }

    fn counts(&self) -> mix::Counts {
        let mut counts = mix::Counts::new();
        for vm in &self.vms {
            *counts.entry(vm.place.clone()).or_default() += 1;
        }
        counts
    }

    fn reclaim(&mut self, domain: &str) {
        self.vms.retain(|vm| !vm.place.reclaimable || &*vm.place.failure_domain != domain);
    }
}

/// A mix that leaves too little after the loss of any failure domain, or that costs more than the
/// best one found by trying all mixes.
#[test]
fn cheapest_mix_survives_the_loss_of_any_failure_domain() {
    for (prices, limit) in
        [([1.0; 4], 100), ([1.0, 1.0, 2.9, 3.5], 100), ([0.5, 2.0, 2.0, 9.0], 3), ([4.0; 4], 2)]
    {
        let offers: Vec<Offer> =
            offers(prices).into_iter().map(|offer| Offer { limit, ..offer }).collect();
        for needed in 0..=7 {
            let counts = mix::cheapest(needed, &offers, &mix::Counts::new());
            assert!(mix::survivors(&counts) >= needed, "{needed} at {prices:?}: {counts:?}");
            let price = |place: &Place| {
                offers.iter().find(|offer| offer.place == *place).map_or(0.0, |offer| offer.price)
            };
            let cost: f64 = counts.iter().map(|(place, n)| price(place) * f64::from(*n)).sum();
            let best = best_cost(needed, prices, limit);
            assert!((cost - best).abs() < 1e-9, "{needed} at {prices:?}: {cost}, best {best}");
        }
    }
}

/// Tries all counts of reclaimable VMs, and on-demand VMs at 3 for what is missing.
fn best_cost(needed: u32, prices: [f64; 4], limit: u32) -> f64 {
    let most = (needed + 1).min(limit + 1);
    let mut best = f64::MAX;
    for code in 0..most.pow(4) {
        let counts = [0, 1, 2, 3].map(|index| code / most.pow(index) % most);
        let left = counts.iter().sum::<u32>() - counts.iter().max().unwrap();
        let on_demand = needed.saturating_sub(left);
        if on_demand <= 4 * limit {
            let reclaimable: f64 = counts.iter().zip(prices).map(|(n, p)| f64::from(*n) * p).sum();
            best = best.min(reclaimable + f64::from(on_demand) * 3.0);
        }
    }
    best
}

/// A reclaim wave after which too little is left, or after which more is started than was lost.
#[test]
fn wave_leaves_enough_and_is_repaired_without_overshoot() {
    let (mut world, need) = (World::new(), need(12));
    world.rounds(40, &need);
    for domain in DOMAINS {
        let before = world.vms.len();
        world.reclaim(domain);
        assert!(world.vms.len() >= 12, "{} VMs after the loss of {domain}", world.vms.len());
        world.refused = vec![place(domain, true)];
        for _ in 0..10 {
            world.round(&need);
            assert!(world.vms.len() <= before + 6, "{} after {before}", world.vms.len());
        }
        assert!(mix::survivors(&world.counts()) >= 12);
        world.refused.clear();
        world.rounds(90, &need);
    }
    assert_eq!(world.vms.len(), 16);
}

/// A refused place that blocks the pool, or that is asked again at every round.
#[test]
fn refused_starts_go_to_the_next_cheapest_place() {
    let (mut world, need) = (World::new(), need(6));
    world.refused = vec![place("dk-a", true), place("dk-b", true)];
    let mut asked = 0;
    for _ in 0..240 {
        let actions = world.decide(&need);
        asked += usize::from(actions.iter().any(
            |action| matches!(action, Action::Start(launch) if world.refused.contains(&launch.place)),
        ));
        world.now -= STEP;
        world.round(&need);
    }
    let counts = world.counts();
    assert!(mix::survivors(&counts) >= 6, "{counts:?}");
    assert!(!counts.contains_key(&world.refused[0]));
    // In four hours, pauses of one minute that double up to an hour allow about ten tries a place.
    assert!((2..=24).contains(&asked), "{asked} rounds asked the refused places");
}

/// A start that is sent under a second operation id because the answer to the first was lost.
#[test]
fn lost_answer_repeats_the_operation() {
    let (mut world, need) = (World::new(), need(2));
    let operations = |actions: &[Action]| -> Vec<Arc<str>> {
        let starts = actions.iter().filter_map(|action| match action {
            Action::Start(launch) => Some(launch.operation.clone()),
            _ => None,
        });
        starts.collect()
    };
    let actions = world.decide(&need);
    let first = operations(&actions);
    assert_eq!(first.len(), 3);
    for operation in &first {
        world.planner.answered(world.now, operation, Answer::Unknown);
    }
    // The platform ran two of them; a new lease holder continues with the recorded ledger.
    world.list(place("dk-a", true));
    world.list(place("dk-b", true));
    let ledger = serde_json::to_value(world.planner.ledger()).unwrap();
    let ledger = serde_json::from_value(ledger).unwrap();
    world.planner = Planner::new(settings(), "capacity-2".into(), ledger);
    assert_eq!(operations(&world.decide(&need)), first);
}

/// A VM that is stopped while requests are in flight, or before all nodes know that it is drained.
#[test]
fn drain_comes_before_stop() {
    let mut world = World::new();
    world.rounds(40, &need(12));
    world.vms.iter_mut().for_each(|vm| vm.idle = false);
    let mut drained = None;
    for _ in 0..100 {
        let actions = world.decide(&need(3));
        assert!(!actions.iter().any(|action| matches!(action, Action::Start(_))));
        if drained.is_none() && actions.iter().any(|action| matches!(action, Action::Drain(_))) {
            drained = Some(world.now);
        }
        if let Some(Action::Stop(id)) =
            actions.iter().find(|action| matches!(action, Action::Stop(_)))
        {
            assert!(world.now - drained.unwrap() >= STEP * 10, "{id} was stopped while in use");
            break;
        }
    }
    let drained = drained.unwrap();
    assert!(drained >= BEGIN + STEP * 60, "the need of the last while was forgotten");
    // Once idle, the surplus is stopped; the need and the spare for a lost domain stay.
    world.vms.iter_mut().for_each(|vm| vm.idle = true);
    world.rounds(30, &need(3));
    assert!(mix::survivors(&world.counts()) >= 3);
    assert!(world.vms.len() <= 5, "{} VMs", world.vms.len());
}

/// The last VMs of a version in a move, or those under a floor, that are stopped.
#[test]
fn kept_vms_stay() {
    let mut world = World::new();
    world.rounds(40, &need(6));
    world.rounds(100, &Need { keep: 2, ..need(0) });
    assert!(mix::survivors(&world.counts()) >= 2, "{:?}", world.counts());
    // A VM that is listed but not warm must not allow the drain of a warm one.
    let ids: Vec<_> = world.vms.iter().map(|vm| vm.id.clone()).collect();
    for _ in 0..8 {
        world.list(place("dk-a", true));
        world.vms.last_mut().unwrap().warm = false;
    }
    let drained = world.decide(&Need { keep: 2, ..need(0) });
    let hits = |action: &Action| matches!(action, Action::Drain(id) if ids.contains(id));
    assert!(!drained.iter().any(hits), "{drained:?}");
}

/// Prices and needs that go up and down a little and replace VMs each time.
#[test]
fn small_changes_don_t_flap() {
    let mut world = World::new();
    world.rounds(60, &need(12));
    let (starts, drains) = (world.starts, world.drains);
    for round in 0..600 {
        let (low, high) = if round / 20 % 2 == 0 { (1.0, 1.05) } else { (1.05, 1.0) };
        let vms = if round % 15 == 0 { 12 } else { 10 };
        world.round(&Need { vms, offers: offers([low, high, low, high]), ..need(12) });
    }
    assert_eq!((world.starts, world.drains), (starts, drains));
    // A lasting large change does replace them, with enough left at every time.
    for _ in 0..120 {
        world.round(&Need { offers: offers([2.8, 1.0, 1.0, 1.0]), ..need(12) });
        assert!(mix::survivors(&world.counts()) >= 12);
    }
    assert!(!world.counts().contains_key(&place("dk-a", true)), "{:?}", world.counts());
}

/// More starts than the weight store can feed with weights.
#[test]
fn starts_keep_to_the_rate_of_the_weight_store() {
    let mut world = World::new();
    let settings = Settings { starts_per_hour: 60.0, starts_at_once: 3, ..settings() };
    world.planner.configure(settings);
    for round in 1..10 {
        world.round(&need(40));
        assert!(world.starts <= 3 + round, "{} in round {round}", world.starts);
    }
}

/// A small growth that replaces VMs by cheaper ones at once, although prices changed only now.
#[test]
fn growth_starts_only_what_is_missing() {
    let mut world = World::new();
    world.rounds(60, &need(12));
    let before = world.vms.len();
    let need = Need { offers: offers([2.8, 1.0, 1.0, 1.0]), ..need(13) };
    world.rounds(10, &need);
    assert!(mix::survivors(&world.counts()) >= 13);
    assert!(world.vms.len() <= before + 3, "{} VMs after {before}", world.vms.len());
}

/// The old version of an open move whose VMs are given up although it may take the traffic back.
#[test]
fn both_versions_of_an_open_move_keep_their_vms() {
    let declared = r#"[
        { "kind": "pool", "name": "old", "class": "small" },
        { "kind": "pool", "name": "new", "class": "small" },
        { "kind": "service", "name": "chat", "protocol": "model", "version": "chat-1" },
        { "kind": "version", "name": "chat-1", "service": "chat", "pool": "old" },
        { "kind": "version", "name": "chat-2", "service": "chat", "pool": "new" },
        { "kind": "move", "name": "m", "service": "chat", "from": "chat-1", "to": "chat-2",
          "within_s": 600 } ]"#;
    let sheet = r#"{ "floors": [{ "service": "chat", "vms": 3 }], "pools": [
        { "pool": "old", "unit": "tokens", "per_vm": 100 },
        { "pool": "new", "unit": "tokens", "per_vm": 100 } ] }"#;
    let sheet = offer::Sheet::parse(sheet).unwrap();
    let needs = |phase: Phase, demand: f64| -> Vec<(u32, u32)> {
        let progress = Progress {
            phase,
            share_permille: 800,
            reason: "".into(),
            accepted_ms: 0,
            changed_ms: 0,
        };
        let resources = resource::parse("m.json", declared).unwrap().into_iter().map(|declared| {
            let open = declared.id.kind == Kind::Move;
            let status = Status { progress: open.then(|| progress.clone()), serving: None };
            (declared.id, Resource { spec: declared.spec, generation: 1, status })
        });
        let catalog = Catalog { revision: 1, resources: resources.collect() };
        let needs = sheet.needs(&catalog, |_, unit| match unit {
            offer::Unit::Tokens => demand,
            offer::Unit::Requests => 0.0,
        });
        needs.into_iter().map(|need| (need.vms, need.keep)).collect()
    };
    assert_eq!(needs(Phase::InProgress, 500.0), [(5, 3), (5, 3)]);
    assert_eq!(needs(Phase::InProgress, 10.0), [(3, 3), (3, 3)]);
    assert_eq!(needs(Phase::Reverted, 500.0), [(5, 3), (0, 0)]);
}
