//! Seeded simulation that drives the decisions of `rollout` over streams of requests.
//!
//! Five nodes choose versions, record evidence and mark; one of them decides steps once a second.
//! Configuration, marks and reports reach the nodes late, within the bounds of the design page.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::resource::{self, Catalog, Id, Kind, Phase, Progress, Resource, Spec, Status};
use pomelolink::rollout::{BadVersions, Controller, Observer, Sample, Split, Step};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const NODES: usize = 5;
const TICK_MS: u64 = 100;
const DECIDE_MS: u64 = 1_000;
const TARGET: Duration = Duration::from_millis(360);
const ROUTES: [&str; 3] = ["/slots", "/bookings", "/deposits"];
const ACCEPTED_MS: u64 = 1_800_000_000_000;

/// Describes how the versions of one move behave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Case {
    Good,
    /// Good, with failures and latency that vary over time on both versions.
    NoisyGood,
    /// Good, while both versions fail for a part of the move.
    BothFailing,
    /// Bad from the start.
    BadAtOnce,
    /// Bad from a random time of the move on.
    BadLater,
    /// Slower by a factor, without failures.
    SlowOnly,
    /// Bad while the share exceeds a random bound.
    BadUnderLoad,
    /// Bad on one of three routes.
    BadRoute,
    /// Bad while the service fails on both versions for a part of the move.
    BadInOutage,
}

impl Case {
    pub const ALL: [Case; 9] = [
        Case::Good,
        Case::NoisyGood,
        Case::BothFailing,
        Case::BadAtOnce,
        Case::BadLater,
        Case::SlowOnly,
        Case::BadUnderLoad,
        Case::BadRoute,
        Case::BadInOutage,
    ];

    pub fn is_good(self) -> bool {
        matches!(self, Case::Good | Case::NoisyGood | Case::BothFailing)
    }
}

/// Sets the size of one simulated move.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub case: Case,
    /// Requests per second of the whole service.
    pub rate: f64,
    pub within_s: u64,
    pub seed: u64,
}

/// Tells how a simulated move ended.
#[derive(Debug, Clone, Default)]
pub struct Result {
    pub done: bool,
    pub reverted: bool,
    /// Requests until the move ended.
    pub requests: u64,
    pub new_requests: u64,
    /// Requests to the new version after the first 20 bad responses on a node plus 1 s.
    pub late_on_node: u64,
    /// Requests to the new version after the first 20 bad responses on any node plus 3 s.
    pub late_anywhere: u64,
    /// Set when the fault showed at least once.
    pub showed: bool,
    pub reason: Arc<str>,
}

impl Result {
    pub fn share(&self) -> f64 {
        self.new_requests as f64 / self.requests.max(1) as f64
    }
}

/// Draws the behaviour of the versions over time.
struct World {
    case: Case,
    base_failed: f64,
    bad_failed: f64,
    slowdown: f64,
    bad_from: f64,
    bad_above_permille: u32,
    outage: (f64, f64),
    outage_rate: f64,
    typical_ms: f64,
    noise_period: f64,
}

impl World {
    fn draw(case: Case, rng: &mut SmallRng) -> World {
        let from = rng.random_range(0.05..0.8);
        World {
            case,
            base_failed: rng.random_range(0.0..0.01),
            bad_failed: rng.random_range(0.1..1.0),
            slowdown: rng.random_range(2.5..10.0),
            bad_from: rng.random_range(0.1..0.8),
            bad_above_permille: [5, 40, 200, 500][rng.random_range(0..4)],
            outage: (from, from + rng.random_range(0.05..0.2)),
            outage_rate: rng.random_range(0.3..1.0),
            typical_ms: rng.random_range(60.0..200.0),
            noise_period: rng.random_range(5.0..60.0),
        }
    }

    /// Tells whether both versions fail, so that a fault of the new one cannot be observed.
    fn is_outage(&self, part: f64) -> bool {
        let outage = matches!(self.case, Case::BothFailing | Case::BadInOutage);
        outage && (self.outage.0..self.outage.1).contains(&part)
    }

    /// Gives whether the fault shows, the failure rate and the typical latency.
    fn behaviour(
        &self,
        new: bool,
        part: f64,
        second: f64,
        share: u32,
        route: usize,
    ) -> (bool, f64, f64) {
        let (mut failed, mut latency) = (self.base_failed, self.typical_ms);
        if self.case == Case::NoisyGood {
            let wave = (second / self.noise_period).sin().max(0.0);
            failed += 0.15 * wave;
            latency *= 1.0 + wave;
        }
        if self.is_outage(part) {
            failed = failed.max(self.outage_rate);
        }
        let shows = new
            && match self.case {
                Case::BadAtOnce | Case::BadInOutage => true,
                Case::BadLater => part >= self.bad_from,
                Case::BadUnderLoad => share > self.bad_above_permille,
                Case::BadRoute => route == 2,
                Case::SlowOnly => {
                    latency *= self.slowdown;
                    return (true, failed, latency);
                }
                _ => false,
            };
        if shows {
            failed = failed.max(self.bad_failed);
        }
        (shows, failed, latency)
    }
}

struct Node {
    observer: Observer,
    marks: BadVersions,
    catalog: Catalog,
    split: Option<Split>,
    bad_seen: u32,
    bad_since: Option<u64>,
}

/// Runs one move until it is closed, reverted or past its deadline.
pub fn run(setup: Setup) -> Result {
    let mut rng = SmallRng::seed_from_u64(setup.seed);
    let world = World::draw(setup.case, &mut rng);
    let mut catalog = catalog(setup.within_s);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| node(&catalog)).collect();
    // Catalogs on their way to a node, with the time at which they arrive.
    let mut on_way: Vec<(u64, usize, Catalog)> = Vec::new();
    let mut marks_on_way = Vec::new();
    let mut controller = Controller::default();
    let mut holder_marks = BadVersions::default();
    let mut result = Result::default();
    let mut first_bad: Option<u64> = None;
    let mut due = 0.0;
    let end = setup.within_s * 1_000 + 10_000;
    for now in (0..end).step_by(TICK_MS as usize) {
        on_way.retain(|(at, node, catalog)| {
            let arrived = *at <= now;
            if arrived && catalog.revision > nodes[*node].catalog.revision {
                apply(&mut nodes[*node], catalog.clone());
            }
            !arrived
        });
        marks_on_way.retain(|(at, mark): &(u64, pomelolink::rollout::BadVersion)| {
            let arrived = *at <= now;
            if arrived {
                for node in &mut nodes {
                    node.marks.insert(mark.clone());
                }
                holder_marks.insert(mark.clone());
            }
            !arrived
        });
        due += setup.rate * TICK_MS as f64 / 1_000.0 * rng.random_range(0.5..1.5);
        while due >= 1.0 {
            due -= 1.0;
            let index = rng.random_range(0..NODES);
            let node = &mut nodes[index];
            let Some(split) = &node.split else { continue };
            let choice = split.choose(rng.random(), &node.marks);
            let new = &*choice.version == "new";
            let (part, second) = (now as f64 / (setup.within_s as f64 * 1e3), now as f64 / 1e3);
            let route = [0, 0, 0, 0, 0, 1, 1, 1, 2, 2][rng.random_range(0..10)];
            let share = progress(&catalog).share_permille;
            let (shows, rate, typical) = world.behaviour(new, part, second, share, route);
            let failed = rng.random_bool(rate);
            let first_byte = latency(typical, &mut rng);
            result.requests += 1;
            result.new_requests += u64::from(new);
            result.showed |= shows;
            if new {
                let late =
                    |since: Option<u64>, grace| since.is_some_and(|since| now > since + grace);
                result.late_on_node += u64::from(late(node.bad_since, 1_000));
                result.late_anywhere += u64::from(late(first_bad, 3_000));
                let slow = setup.case == Case::SlowOnly && first_byte > TARGET;
                if shows && (failed || slow) && !world.is_outage(part) {
                    node.bad_seen += 1;
                    if node.bad_seen == 20 {
                        node.bad_since = Some(now);
                        first_bad = first_bad.or(Some(now));
                    }
                }
            }
            let sample = Sample {
                route: ROUTES[route],
                share_permille: choice.share_permille,
                failed,
                first_byte,
                token_gap: None,
            };
            if let Some(mark) = node.observer.record("booking", &choice.version, &sample) {
                node.marks.insert(mark.clone());
                marks_on_way.push((now + rng.random_range(200..1_500), mark));
            }
            // Idempotent requests that fail on the new version run again on the old one.
            if failed
                && route == 0
                && let Some(old) = &choice.fallback
            {
                let (_, rate, typical) = world.behaviour(false, part, second, share, route);
                let again = Sample {
                    failed: rng.random_bool(rate),
                    first_byte: latency(typical, &mut rng),
                    ..sample
                };
                node.observer.record("booking", old, &again);
            }
        }
        if now % DECIDE_MS != 0 {
            continue;
        }
        for (index, node) in nodes.iter().enumerate() {
            let name: Arc<str> = format!("node-{index}").into();
            for report in node.observer.reports(&name, now + 1) {
                controller.accept_report(report, ACCEPTED_MS + now);
            }
        }
        for decision in controller.decide(&catalog, &holder_marks, ACCEPTED_MS + now) {
            if let Some(mark) = decision.bad_version {
                marks_on_way.push((now + rng.random_range(200..1_500), mark));
            }
            if !take_step(&mut catalog, &decision.step, ACCEPTED_MS + now) {
                continue;
            }
            for node in 0..NODES {
                on_way.push((now + rng.random_range(100..2_000), node, catalog.clone()));
            }
        }
        let progress = progress(&catalog);
        if progress.phase != Phase::InProgress {
            result.done = progress.phase == Phase::Done && now <= setup.within_s * 1_000;
            result.reverted = progress.phase == Phase::Reverted;
            result.reason = progress.reason.clone();
            break;
        }
    }
    result
}

fn latency(typical_ms: f64, rng: &mut SmallRng) -> Duration {
    Duration::from_secs_f64(typical_ms / 1e3 * (rng.random_range(-1.0f64..1.0) * 0.8).exp())
}

fn node(catalog: &Catalog) -> Node {
    let mut node = Node {
        observer: Observer::default(),
        marks: BadVersions::default(),
        catalog: Catalog::default(),
        split: None,
        bad_seen: 0,
        bad_since: None,
    };
    apply(&mut node, catalog.clone());
    node
}

fn apply(node: &mut Node, catalog: Catalog) {
    node.observer.sync(&catalog);
    node.split = Split::build(&catalog, "booking");
    node.catalog = catalog;
}

fn progress(catalog: &Catalog) -> &Progress {
    let resource = catalog.get(Kind::Move, "shift").unwrap();
    resource.status.progress.as_ref().unwrap()
}

/// Writes a step as the lease holder does; tells whether the configuration changed.
fn take_step(catalog: &mut Catalog, step: &Step, now_ms: u64) -> bool {
    let resource = catalog.resources.get_mut(&Id::new(Kind::Move, "shift")).unwrap();
    let progress = resource.status.progress.as_mut().unwrap();
    match step {
        Step::Hold => return false,
        Step::Raise { share_permille } => progress.share_permille = *share_permille,
        Step::Complete => progress.phase = Phase::Done,
        Step::Revert { reason } => {
            progress.phase = Phase::Reverted;
            progress.reason = reason.clone();
        }
    }
    progress.changed_ms = now_ms;
    catalog.revision += 1;
    true
}

/// Builds a catalog with one service, two versions and an open move named `shift`.
pub fn catalog(within_s: u64) -> Catalog {
    let service = resource::Service {
        protocol: resource::Protocol::Plain,
        version: "old".into(),
        routes: Vec::new(),
        first_token_ms: TARGET.as_millis() as u32,
        token_gap_ms: 74,
        deadline_ms: 10_000,
        in_flight: 4_096,
    };
    let shift = resource::Move {
        service: "booking".into(),
        from: "old".into(),
        to: "new".into(),
        within_s,
    };
    let progress = Progress {
        phase: Phase::InProgress,
        share_permille: 0,
        reason: "".into(),
        accepted_ms: ACCEPTED_MS,
        changed_ms: ACCEPTED_MS,
    };
    let version = |pool: &str| resource::Version { service: "booking".into(), pool: pool.into() };
    let status = Status { progress: Some(progress), ..Status::default() };
    let resources = [
        ("booking", Spec::Service(service), Status::default()),
        ("old", Spec::Version(version("a")), Status::default()),
        ("new", Spec::Version(version("b")), Status::default()),
        ("shift", Spec::Move(shift), status),
    ];
    let resources = resources.into_iter().map(|(name, spec, status)| {
        (Id::new(spec.kind(), name), Resource { spec, generation: 1, status })
    });
    Catalog { revision: 1, resources: resources.collect() }
}
