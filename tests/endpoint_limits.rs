//! Rate limits of endpoints, kept by many nodes without a network.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelolink::gateway::platform::{Endpoint, RateLimit};
use pomelolink::gateway::rate_limit::{Fleet, Limits, Outcome, Permit, Scope};

const STEP: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(4);
/// Most requests that a node sends in a step.
const MAX_SENDS: usize = 20;
/// Interval at which nodes tell each other of limits and assign their parts.
const BEAT: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoint(id: &str, started_ms: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d0".into(),
        version: "v1".into(),
        slots: 32,
        draining: false,
        reclaimable: false,
        leaves_in: None,
        started_ms,
        cold_for: None,
    }
}

/// Nodes that all send an endpoint as many requests as they may.
struct Nodes {
    names: Vec<Arc<str>>,
    domains: Vec<Arc<str>>,
    limits: Vec<Limits>,
    /// Nodes that have stopped, with the others' view of them.
    silent: HashSet<usize>,
    sent: Vec<Duration>,
}

impl Nodes {
    fn new(count: usize, domains: usize) -> Nodes {
        let limits = (0..count).map(|_| Limits::default()).collect();
        let names = (0..count).map(|index| format!("n{index}").into()).collect();
        let domains = (0..domains).map(|index| format!("d{index}").into()).collect();
        Nodes { names, domains, limits, silent: HashSet::new(), sent: Vec::new() }
    }

    fn domain(&self, index: usize) -> usize {
        index % self.domains.len()
    }

    /// Returns the live nodes among `group`, as the node `index` knows them.
    fn fleet(&self, index: usize, group: &[usize]) -> Fleet {
        let live: Vec<usize> =
            group.iter().copied().filter(|it| *it == index || !self.silent.contains(it)).collect();
        let domain = self.domain(index);
        let mut fleet = Fleet {
            node: self.names[index].clone(),
            domain: self.domains[domain].clone(),
            share: live.len() as f64 / self.limits.len() as f64,
            ..Fleet::default()
        };
        for (number, name) in self.domains.iter().enumerate() {
            let count = live.iter().filter(|it| self.domain(**it) == number).count() as u32;
            fleet.domains.push((name.clone(), count));
        }
        let neighbors = live.iter().filter(|it| **it != index && self.domain(**it) == domain);
        fleet.neighbors = neighbors.map(|it| self.names[*it].clone()).collect();
        fleet
    }

    /// Plays from `start` to `end` with the nodes in groups that can't hear each other.
    fn play(&mut self, limit: RateLimit, groups: &[Vec<usize>], start: Duration, end: Duration) {
        let target = endpoint("e", 1);
        let mut now = start;
        let fleets: Vec<Vec<Fleet>> = groups
            .iter()
            .map(|group| group.iter().map(|index| self.fleet(*index, group)).collect())
            .collect();
        while now < end {
            if now.as_millis().is_multiple_of(BEAT.as_millis()) {
                self.beat(groups, &fleets, now);
            }
            for index in groups.iter().flatten().copied() {
                if self.silent.contains(&index) {
                    continue;
                }
                let limits = &mut self.limits[index];
                for _ in 0..MAX_SENDS {
                    if limits.permit("e", now) != Permit::Granted {
                        break;
                    }
                    limits.spend("e", now);
                    limits.record(&target, limit, now);
                    self.sent.push(now);
                }
            }
            now += STEP;
        }
    }

    fn beat(&mut self, groups: &[Vec<usize>], fleets: &[Vec<Fleet>], now: Duration) {
        let domain = self.domains[0].clone();
        for (group, fleets) in groups.iter().zip(fleets) {
            let senders = group.iter().filter(|it| !self.silent.contains(it));
            let reports = senders.map(|it| self.limits[*it].reports(Scope::Own, now));
            let reports: Vec<_> = reports.filter(|reports| !reports.is_empty()).collect();
            for (index, fleet) in group.iter().zip(fleets) {
                for report in &reports {
                    self.limits[*index].merge(report, false, |_, _| Some(&domain), ms(0), now);
                }
                self.limits[*index].set_fleet(fleet.clone(), now);
            }
        }
    }

    /// Returns the largest number of requests in four seconds from `start` on.
    fn most(&self, start: Duration) -> usize {
        let recent: Vec<_> = self.sent.iter().filter(|at| **at >= start).collect();
        let within = |first: &Duration| {
            recent.iter().filter(|at| (first..&(*first + WINDOW)).contains(*at)).count()
        };
        recent.iter().map(|first| within(first)).max().unwrap_or(0)
    }

    fn count(&self, start: Duration, end: Duration) -> usize {
        self.sent.iter().filter(|at| (start..end).contains(*at)).count()
    }
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

fn all(count: usize) -> Vec<Vec<usize>> {
    vec![(0..count).collect()]
}

/// Guards against a limit that each node keeps by itself, and against one that is hardly used.
#[test]
fn limit_is_one_budget_of_all_nodes() {
    let small = [(1, 1), (5, 4), (36, 4)];
    let small = small
        .into_iter()
        .flat_map(|fleet| [0.0, 0.3, 1.0, 1.6, 3.4, 7.0, 40.0, 300.0].map(|limit| (fleet, limit)));
    let large =
        [((117, 6), 1.0), ((117, 6), 7.0), ((330, 8), 0.3), ((330, 8), 7.0), ((117, 6), 60.0)];
    for ((count, domains), limit) in small.chain(large) {
        let mut nodes = Nodes::new(count, domains);
        nodes.play(RateLimit::PerSecond(limit), &all(count), ms(0), ms(12_000));
        let most = nodes.most(ms(1_000));
        assert!(most <= allowed(limit), "{count} nodes, limit {limit}: {most} in 4 s");
        let used = nodes.count(ms(4_000), ms(12_000)) as f64 / 8.0;
        assert!(used >= limit * 0.95, "{count} nodes, limit {limit}: used {used}");
    }
}

/// Guards against a sum that exceeds the limit when some users of an endpoint fall silent.
#[test]
fn silent_users_are_replaced() {
    for count in [5, 36, 117] {
        for limit in [1.0, 3.4, 7.0] {
            let mut nodes = Nodes::new(count, 4);
            nodes.play(RateLimit::PerSecond(limit), &all(count), ms(0), ms(8_000));
            nodes.silent = (0..count).step_by(3).collect();
            nodes.play(RateLimit::PerSecond(limit), &all(count), ms(8_000), ms(20_000));
            nodes.silent.clear();
            nodes.play(RateLimit::PerSecond(limit), &all(count), ms(20_000), ms(28_000));
            let most = nodes.most(ms(1_000));
            assert!(most <= allowed(limit), "{count} nodes, limit {limit}: {most} in 4 s");
            let used = nodes.count(ms(10_000), ms(20_000)) as f64 / 10.0;
            assert!(used >= limit * 0.5, "{count} nodes, limit {limit}: used {used}");
        }
    }
}

/// Guards against two sides of a cut that each use the whole limit.
#[test]
fn cut_domain_keeps_the_sum() {
    for count in [5, 36, 117] {
        for limit in [1.0, 3.4, 7.0] {
            let mut nodes = Nodes::new(count, 4);
            nodes.play(RateLimit::PerSecond(limit), &all(count), ms(0), ms(8_000));
            let (cut, rest): (Vec<_>, Vec<_>) = (0..count).partition(|index| index % 4 == 0);
            nodes.play(RateLimit::PerSecond(limit), &[cut, rest], ms(8_000), ms(16_000));
            nodes.play(RateLimit::PerSecond(limit), &all(count), ms(16_000), ms(24_000));
            let most = nodes.most(ms(1_000));
            assert!(most <= allowed(limit), "{count} nodes, limit {limit}: {most} in 4 s");
        }
    }
}

/// Guards against a frozen node that spends what it would have been allowed meanwhile.
#[test]
fn frozen_node_saves_nothing() {
    let mut nodes = Nodes::new(1, 1);
    nodes.play(RateLimit::PerSecond(7.0), &all(1), ms(0), ms(4_000));
    nodes.play(RateLimit::PerSecond(7.0), &all(1), ms(14_000), ms(20_000));
    assert!(nodes.most(ms(1_000)) <= allowed(7.0));
}

/// Guards against a limit that is taken up again by an answer older than its end.
#[test]
fn older_statement_is_ignored() {
    let target = endpoint("e", 1);
    let domain: Arc<str> = "d0".into();
    let (mut first, mut second) = (Limits::default(), Limits::default());
    first.record(&target, RateLimit::PerSecond(3.0), ms(1_000));
    let old = first.reports(Scope::Own, ms(1_050));
    second.record(&target, RateLimit::PerSecond(5.0), ms(1_020));
    assert_eq!(
        second.record(&target, RateLimit::Absent, ms(1_500)),
        Outcome::Changed(Some(5.0), None)
    );
    let find = |_: &str, _: u64| Some(&domain);
    assert!(second.merge(&old, false, find, ms(500), ms(1_550)).is_empty());
    assert_eq!(second.rate("e"), None);
    // The end reaches the peer, which then knows none either.
    let ended = second.reports(Scope::Changed, ms(1_600));
    assert_eq!(first.merge(&ended, false, find, ms(0), ms(1_600)).len(), 1);
    assert_eq!((first.rate("e"), first.limited_count()), (None, 0));
    // A newer limit replaces a known one.
    second.record(&target, RateLimit::PerSecond(2.0), ms(2_000));
    second.record(&target, RateLimit::PerSecond(4.0), ms(2_100));
    assert_eq!(second.rate("e"), Some(4.0));
}

/// Guards against a limit that outlives its endpoint, and against one of another start.
#[test]
fn limit_ends_with_its_endpoint() {
    let mut limits = Limits::default();
    limits.record(&endpoint("e", 1), RateLimit::PerSecond(3.0), ms(1_000));
    let domain: Arc<str> = "d0".into();
    let reports = limits.reports(Scope::All, ms(1_100));
    let mut other = Limits::default();
    let find = |_: &str, started_ms: u64| (started_ms == 2).then_some(&domain);
    assert!(other.merge(&reports, false, find, ms(0), ms(1_100)).is_empty());
    limits.retain(|_, started_ms| started_ms == 2, ms(1_200));
    assert_eq!((limits.rate("e"), limits.permit("e", ms(1_200))), (None, Permit::Granted));
}

/// Guards against values that can't be limits.
#[test]
fn unreadable_limit_changes_nothing() {
    let target = endpoint("e", 1);
    let mut limits = Limits::default();
    assert_eq!(limits.record(&target, RateLimit::Unreadable, ms(1_000)), Outcome::Unreadable);
    assert_eq!(limits.record(&target, RateLimit::Unreadable, ms(1_001)), Outcome::Unchanged);
    assert_eq!(limits.permit("e", ms(1_002)), Permit::Granted);
    limits.record(&target, RateLimit::PerSecond(3.0), ms(1_003));
    limits.record(&target, RateLimit::Unreadable, ms(1_004));
    assert_eq!(limits.rate("e"), Some(3.0));
    assert_eq!(limits.record(&target, RateLimit::Unstated, ms(1_005)), Outcome::Unchanged);
    assert_eq!(limits.rate("e"), Some(3.0));
}

/// Guards against orders that must be sent but free the endpoint from its limit.
#[test]
fn unavoidable_requests_are_paid_later() {
    let mut nodes = Nodes::new(1, 1);
    nodes.play(RateLimit::PerSecond(2.0), &all(1), ms(0), ms(4_000));
    let limits = &mut nodes.limits[0];
    (0..4).for_each(|_| limits.spend("e", ms(4_000)));
    let Permit::After(wait) = limits.permit("e", ms(4_000)) else { panic!("nothing is left") };
    assert!(wait >= ms(1_900), "{wait:?}");
}

/// Guards against advice that lets all refused callers come back at one moment.
#[test]
fn advice_paces_callers() {
    let mut limits = Limits::default();
    let service: Arc<str> = "llm".into();
    let advice: Vec<_> =
        (0..4).map(|_| limits.advise(&service, 10.0, 5, ms(150), ms(1_000))).collect();
    assert_eq!(advice, [ms(500), ms(1_000), ms(1_500), ms(2_000)]);
    for _ in 0..100 {
        assert!(limits.advise(&service, 10.0, 5, ms(150), ms(1_000)) <= ms(4_000));
    }
    assert!(limits.advise(&service, 10.0, 5, ms(150), ms(60_000)) <= ms(500));
}

/// Guards against datagrams that grow with each answer of a limited endpoint.
#[test]
fn only_changes_are_reported() {
    let mut limits = Limits::default();
    for index in 0..200 {
        limits.record(&endpoint(&format!("e{index}"), 1), RateLimit::PerSecond(3.0), ms(1_000));
    }
    assert_eq!(limits.reports(Scope::Changed, ms(1_100)).len(), 200);
    for index in 0..200 {
        limits.record(&endpoint(&format!("e{index}"), 1), RateLimit::PerSecond(3.0), ms(3_000));
    }
    assert_eq!(limits.reports(Scope::Changed, ms(3_100)).len(), 0);
    assert_eq!(limits.reports(Scope::Own, ms(3_100)).len(), 200);
}

/// Guards against work that grows with the square of the limits when many endpoints name one at once, and
/// against a pass over all limits with each heartbeat.
#[test]
fn each_limit_is_divided_once() {
    const FEW: usize = 100;
    const MANY: usize = 1_600;
    let nodes = Nodes::new(330, 6);
    let group: Vec<usize> = (0..330).collect();
    // Returns the times for naming limits and for as many heartbeats without a change of the nodes.
    let times = |count: usize| {
        let targets: Vec<_> = (0..count).map(|index| endpoint(&format!("e{index}"), 1)).collect();
        let mut limits = Limits::default();
        limits.set_fleet(nodes.fleet(0, &group), ms(900));
        let start = Instant::now();
        for target in &targets {
            limits.record(target, RateLimit::PerSecond(3.0), ms(1_000));
        }
        let named = start.elapsed();
        let fleets: Vec<_> = (0..FEW).map(|_| nodes.fleet(0, &group)).collect();
        let start = Instant::now();
        for fleet in fleets {
            limits.set_fleet(fleet, ms(1_100));
        }
        assert_eq!(limits.limited_count(), count);
        (named, start.elapsed())
    };
    let least = |count: usize| {
        let runs: Vec<_> = (0..5).map(|_| times(count)).collect();
        let named = runs.iter().map(|(named, _)| *named).min().expect("runs");
        (named, runs.iter().map(|(_, beats)| *beats).min().expect("runs"))
    };
    let ((few_named, few_beats), (many_named, many_beats)) = (least(FEW), least(MANY));
    println!("{FEW}: {few_named:?}, {few_beats:?}; {MANY}: {many_named:?}, {many_beats:?}");
    let growth = (MANY / FEW) as u32;
    assert!(many_named < few_named * growth * 4, "{few_named:?} and {many_named:?}");
    assert!(many_beats < few_beats * 4 + ms(1), "{few_beats:?} and {many_beats:?}");
}
