//! Guards the capacity planner against too few VMs after a reclaim, duplicate starts, stops of VMs
//! in use, and flapping.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::capacity::planner::{Answer, Ledger, Settings};
use pomelolink::capacity::{Action, Machine, Offer, Placement, Planner, Requirement, mix, offer};
use pomelolink::resource::{self, Catalog, Kind, Phase, Progress, Resource, Status};

const DOMAINS: [&str; 4] = ["dk-a", "dk-b", "dk-c", "dk-d"];
const START: Duration = Duration::from_secs(1_000_000);
const STEP: Duration = Duration::from_secs(60);

fn placement(domain: &str, reclaimable: bool) -> Placement {
    let (pool, class) = ("engines".into(), "small".into());
    Placement { pool, failure_domain: domain.into(), class, reclaimable }
}

fn offers(prices: [f64; 4]) -> Vec<Offer> {
    let offer = |domain, reclaimable, price| Offer {
        placement: placement(domain, reclaimable),
        price,
        max_vms: 100,
    };
    let reclaimable = DOMAINS.iter().zip(prices).map(|(domain, price)| offer(domain, true, price));
    reclaimable.chain(DOMAINS.iter().map(|domain| offer(domain, false, 3.0))).collect()
}

fn requirement(vms: u32) -> Requirement {
    Requirement { pool: "engines".into(), vms, min_vms: 1, offers: offers([1.0, 1.1, 1.2, 1.3]) }
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

/// Simulates a platform whose VMs are warm as soon as they are listed.
struct Simulation {
    now: Duration,
    planner: Planner,
    vms: Vec<Machine>,
    refused: Vec<Placement>,
    starts: usize,
    drains: usize,
    stops: usize,
}

impl Simulation {
    fn new() -> Simulation {
        let planner = Planner::new(settings(), "capacity-1".into(), Ledger::default());
        let (vms, refused) = (Vec::new(), Vec::new());
        Simulation { now: START, planner, vms, refused, starts: 0, drains: 0, stops: 0 }
    }

    fn decide(&mut self, requirement: &Requirement) -> Vec<Action> {
        self.now += STEP;
        self.planner.decide(self.now, &self.vms, std::slice::from_ref(requirement))
    }

    fn add_vm(&mut self, placement: Placement) -> Arc<str> {
        let id: Arc<str> = format!("vm-{}", self.starts).into();
        self.starts += 1;
        let (is_leaving, is_warm, is_idle) = (false, true, true);
        self.vms.push(Machine { id: id.clone(), placement, is_leaving, is_warm, is_idle });
        id
    }

    fn round(&mut self, requirement: &Requirement) {
        for action in self.decide(requirement) {
            match action {
                Action::Start(launch) if self.refused.contains(&launch.placement) => {
                    self.planner.record_answer(self.now, &launch.operation, Answer::Refused);
                }
                Action::Start(launch) => {
                    let id = self.add_vm(launch.placement);
                    self.planner.record_answer(self.now, &launch.operation, Answer::Started(id));
                }
                Action::Drain(_) => self.drains += 1,
                Action::Stop(id) => {
                    self.vms.retain(|vm| vm.id != id);
                    self.stops += 1;
                }
            }
        }
    }

    fn rounds(&mut self, count: usize, requirement: &Requirement) {
        (0..count).for_each(|_| self.round(requirement));
    }

    fn counts(&self) -> mix::Counts {
        let mut counts = mix::Counts::new();
        for vm in &self.vms {
            *counts.entry(vm.placement.clone()).or_default() += 1;
        }
        counts
    }

    fn reclaim(&mut self, domain: &str) {
        self.vms.retain(|vm| !vm.placement.reclaimable || &*vm.placement.failure_domain != domain);
    }
}

/// Guards against a mix that has too few VMs after the loss of a failure domain, or that costs more
/// than the cheapest mix found by exhaustive search.
#[test]
fn cheapest_mix_survives_domain_loss() {
    for (prices, max_vms) in
        [([1.0; 4], 100), ([1.0, 1.0, 2.9, 3.5], 100), ([0.5, 2.0, 2.0, 9.0], 3), ([4.0; 4], 2)]
    {
        let offers: Vec<Offer> =
            offers(prices).into_iter().map(|offer| Offer { max_vms, ..offer }).collect();
        for required in 0..=7 {
            let counts = mix::cheapest(required, &offers, &mix::Counts::new());
            assert!(mix::survivors(&counts) >= required, "{required} at {prices:?}: {counts:?}");
            let price = |placement: &Placement| {
                offers
                    .iter()
                    .find(|offer| offer.placement == *placement)
                    .map_or(0.0, |offer| offer.price)
            };
            let cost: f64 =
                counts.iter().map(|(placement, n)| price(placement) * f64::from(*n)).sum();
            let best = best_cost(required, prices, max_vms);
            assert!((cost - best).abs() < 1e-9, "{required} at {prices:?}: {cost}, best {best}");
        }
    }
}

/// Tries all counts of reclaimable VMs, and adds on-demand VMs at a price of 3 for the missing
/// ones.
fn best_cost(required: u32, prices: [f64; 4], max_vms: u32) -> f64 {
    let choices = (required + 1).min(max_vms + 1);
    let mut best = f64::MAX;
    for code in 0..choices.pow(4) {
        let counts = [0, 1, 2, 3].map(|index| code / choices.pow(index) % choices);
        let survivors = counts.iter().sum::<u32>() - counts.iter().max().unwrap();
        let on_demand = required.saturating_sub(survivors);
        if on_demand <= 4 * max_vms {
            let reclaimable: f64 = counts.iter().zip(prices).map(|(n, p)| f64::from(*n) * p).sum();
            best = best.min(reclaimable + f64::from(on_demand) * 3.0);
        }
    }
    best
}

/// Guards against the reclaim of a whole failure domain that leaves too few VMs, or after which
/// many more VMs are started than were lost.
#[test]
fn reclaim_repair_does_not_overshoot() {
    let (mut sim, requirement) = (Simulation::new(), requirement(12));
    sim.rounds(40, &requirement);
    for domain in DOMAINS {
        let before = sim.vms.len();
        sim.reclaim(domain);
        assert!(sim.vms.len() >= 12, "{} VMs after the loss of {domain}", sim.vms.len());
        sim.refused = vec![placement(domain, true)];
        for _ in 0..10 {
            sim.round(&requirement);
            assert!(sim.vms.len() <= before + 6, "{} after {before}", sim.vms.len());
        }
        assert!(mix::survivors(&sim.counts()) >= 12);
        sim.refused.clear();
        sim.rounds(90, &requirement);
    }
    assert_eq!(sim.vms.len(), 16);
}

/// Guards against a refused placement that blocks its pool, or that is tried again in every round.
#[test]
fn refused_start_uses_next_offer() {
    let (mut sim, requirement) = (Simulation::new(), requirement(6));
    sim.refused = vec![placement("dk-a", true), placement("dk-b", true)];
    let mut asking_rounds = 0;
    for _ in 0..240 {
        let actions = sim.decide(&requirement);
        asking_rounds += usize::from(actions.iter().any(
            |action| matches!(action, Action::Start(start) if sim.refused.contains(&start.placement)),
        ));
        sim.now -= STEP;
        sim.round(&requirement);
    }
    let counts = sim.counts();
    assert!(mix::survivors(&counts) >= 6, "{counts:?}");
    assert!(!counts.contains_key(&sim.refused[0]));
    // In four hours, backoffs of one minute that double up to an hour allow about ten tries per
    // placement.
    assert!(
        (2..=24).contains(&asking_rounds),
        "{asking_rounds} rounds requested refused placements"
    );
}

/// Guards against a start that is repeated under a second operation id after its answer was lost.
#[test]
fn lost_answer_repeats_operation() {
    let (mut sim, requirement) = (Simulation::new(), requirement(2));
    let operations = |actions: &[Action]| -> Vec<Arc<str>> {
        let starts = actions.iter().filter_map(|action| match action {
            Action::Start(launch) => Some(launch.operation.clone()),
            _ => None,
        });
        starts.collect()
    };
    let actions = sim.decide(&requirement);
    let first = operations(&actions);
    assert_eq!(first.len(), 3);
    for operation in &first {
        sim.planner.record_answer(sim.now, operation, Answer::Unknown);
    }
    // The platform ran two of them; a new lease holder continues with the recorded ledger.
    sim.add_vm(placement("dk-a", true));
    sim.add_vm(placement("dk-b", true));
    let ledger = serde_json::to_value(sim.planner.ledger()).unwrap();
    let ledger = serde_json::from_value(ledger).unwrap();
    sim.planner = Planner::new(settings(), "capacity-2".into(), ledger);
    assert_eq!(operations(&sim.decide(&requirement)), first);
}

/// Guards against stopping a VM with requests in flight, or before all nodes know that it is
/// drained.
#[test]
fn drain_comes_before_stop() {
    let mut sim = Simulation::new();
    sim.rounds(40, &requirement(12));
    sim.vms.iter_mut().for_each(|vm| vm.is_idle = false);
    let mut drained_at = None;
    for _ in 0..100 {
        let actions = sim.decide(&requirement(3));
        assert!(!actions.iter().any(|action| matches!(action, Action::Start(_))));
        if drained_at.is_none() && actions.iter().any(|action| matches!(action, Action::Drain(_))) {
            drained_at = Some(sim.now);
        }
        if let Some(Action::Stop(id)) =
            actions.iter().find(|action| matches!(action, Action::Stop(_)))
        {
            assert!(sim.now - drained_at.unwrap() >= STEP * 10, "{id} was stopped while in use");
            break;
        }
    }
    let drained_at = drained_at.unwrap();
    assert!(drained_at >= START + STEP * 60, "recent requirements were ignored");
    // Once idle, the surplus is stopped; the required VMs and the reserve for a lost domain stay.
    sim.vms.iter_mut().for_each(|vm| vm.is_idle = true);
    sim.rounds(30, &requirement(3));
    assert!(mix::survivors(&sim.counts()) >= 3);
    assert!(sim.vms.len() <= 5, "{} VMs", sim.vms.len());
}

/// Guards against stopping the last VMs of a version in a move, or VMs that a floor requires.
#[test]
fn minimum_vms_stay() {
    let mut sim = Simulation::new();
    sim.rounds(40, &requirement(6));
    sim.rounds(100, &Requirement { min_vms: 2, ..requirement(0) });
    assert!(mix::survivors(&sim.counts()) >= 2, "{:?}", sim.counts());
    // A VM that is listed but not warm must not allow the drain of a warm one.
    let ids: Vec<_> = sim.vms.iter().map(|vm| vm.id.clone()).collect();
    for _ in 0..8 {
        sim.add_vm(placement("dk-a", true));
        sim.vms.last_mut().unwrap().is_warm = false;
    }
    let actions = sim.decide(&Requirement { min_vms: 2, ..requirement(0) });
    let is_initial = |action: &Action| matches!(action, Action::Drain(id) if ids.contains(id));
    assert!(!actions.iter().any(is_initial), "{actions:?}");
}

/// Guards against small changes of prices and requirements that replace VMs each time.
#[test]
fn small_changes_replace_nothing() {
    let mut sim = Simulation::new();
    sim.rounds(60, &requirement(12));
    let (starts, drains) = (sim.starts, sim.drains);
    for round in 0..600 {
        let (low, high) = if round / 20 % 2 == 0 { (1.0, 1.05) } else { (1.05, 1.0) };
        let vms = if round % 15 == 0 { 12 } else { 10 };
        sim.round(&Requirement { vms, offers: offers([low, high, low, high]), ..requirement(12) });
    }
    assert_eq!((sim.starts, sim.drains), (starts, drains));
    // A large change that lasts does replace them, with enough VMs at all times.
    for _ in 0..120 {
        sim.round(&Requirement { offers: offers([2.8, 1.0, 1.0, 1.0]), ..requirement(12) });
        assert!(mix::survivors(&sim.counts()) >= 12);
    }
    assert!(!sim.counts().contains_key(&placement("dk-a", true)), "{:?}", sim.counts());
}

/// Guards against more starts than the weight store can supply with weights.
#[test]
fn starts_are_rate_limited() {
    let mut sim = Simulation::new();
    let settings = Settings { starts_per_hour: 60.0, starts_at_once: 3, ..settings() };
    sim.planner.configure(settings);
    for round in 1..10 {
        sim.round(&requirement(40));
        assert!(sim.starts <= 3 + round, "{} in round {round}", sim.starts);
    }
}

/// Guards against a small growth that replaces VMs by cheaper ones at once, right after a price
/// change.
#[test]
fn growth_starts_missing_vms() {
    let mut sim = Simulation::new();
    sim.rounds(60, &requirement(12));
    let before = sim.vms.len();
    let requirement = Requirement { offers: offers([2.8, 1.0, 1.0, 1.0]), ..requirement(13) };
    sim.rounds(10, &requirement);
    assert!(mix::survivors(&sim.counts()) >= 13);
    assert!(sim.vms.len() <= before + 3, "{} VMs after {before}", sim.vms.len());
}

/// Guards against draining the VMs of the old version of an open move, which may take the traffic
/// back.
#[test]
fn open_move_keeps_vms() {
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
    let requirements = |phase: Phase, demand: f64| -> Vec<(u32, u32)> {
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
        let requirements = sheet.requirements(&catalog, |_, unit| match unit {
            offer::Unit::Tokens => demand,
            offer::Unit::Requests => 0.0,
        });
        requirements.into_iter().map(|requirement| (requirement.vms, requirement.min_vms)).collect()
    };
    assert_eq!(requirements(Phase::InProgress, 500.0), [(5, 3), (5, 3)]);
    assert_eq!(requirements(Phase::InProgress, 10.0), [(3, 3), (3, 3)]);
    assert_eq!(requirements(Phase::Reverted, 500.0), [(5, 3), (0, 0)]);
}
