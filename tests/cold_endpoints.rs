//! The rate of a cold endpoint, kept by many nodes without a network.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::cold::{Cold, Excess, Rule};
use pomelolink::gateway::division::{Fleet, Permit};
use pomelolink::gateway::gate::{self, Hold};
use pomelolink::gateway::platform::{Change, Endpoint};
use pomelolink::gateway::rate_limit::Scope;
use pomelolink::gateway::roster::Roster;

const STEP: u64 = 10;
const BEAT: u64 = 100;
const RETURN: u64 = 2_000;
const END: u64 = 6_000;
/// 10 requests per second, times 1.5, plus 5.
const BOUND: usize = 20;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoint(started_ms: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d0".into(),
        version: "v1".into(),
        slots: 24,
        draining: false,
        reclaimable: false,
        leaves_in: None,
        started_ms,
        cold_for: None,
    }
}

fn cold() -> Cold {
    let mut cold = Cold::default();
    let rule = Rule { start: ms(3_000), per_s: 10.0 };
    cold.configure(HashMap::from([("llm".into(), rule)]), Excess::default(), ms(0));
    cold.record_list();
    cold
}

fn alone() -> Fleet {
    let domains = [(Arc::from("d0"), 1)].into_iter().collect();
    Fleet { node: "n".into(), domain: "d0".into(), neighbors: Vec::new(), domains, share: 1.0 }
}

/// What happens to the nodes around the return of the endpoint.
#[derive(Debug, Default)]
struct Load {
    name: &'static str,
    sides: usize,
    /// Delay of the reports in milliseconds.
    delay: u64,
    /// Every third node starts while the endpoint is cold, or is frozen around its return.
    starts: bool,
    freezes: bool,
}

/// Returns the most requests in one second after the return, and the mean per second.
fn play(count: usize, domains: usize, load: &Load) -> (usize, f64) {
    let names: Vec<Arc<str>> = (0..count).map(|it| format!("n{it}").into()).collect();
    let domain_of = |index: usize| -> Arc<str> { format!("d{}", index % domains).into() };
    let mut nodes: Vec<Cold> = (0..count).map(|_| cold()).collect();
    let is_silent = |index: usize, now: u64| {
        index % 3 == 2
            && (load.starts && now < 2_500 || load.freezes && (1_500..3_000).contains(&now))
    };
    let fleet = |index: usize, now: u64| {
        let side = (0..count).filter(|it| it % load.sides == index % load.sides);
        let live: Vec<usize> = side.filter(|it| *it == index || !is_silent(*it, now)).collect();
        let mut by_domain: HashMap<Arc<str>, u32> = HashMap::new();
        live.iter().for_each(|it| *by_domain.entry(domain_of(*it)).or_default() += 1);
        let mates = live.iter().filter(|it| **it != index && domain_of(**it) == domain_of(index));
        Fleet {
            node: names[index].clone(),
            domain: domain_of(index),
            neighbors: mates.map(|it| names[*it].clone()).collect(),
            domains: by_domain.into_iter().collect(),
            share: live.len() as f64 / count as f64,
        }
    };
    let target = endpoint(1);
    let mut sent = Vec::new();
    let mut in_flight = Vec::new();
    let mut silent: HashSet<usize> = HashSet::new();
    for now in (0..END).step_by(STEP as usize) {
        let at = ms(now);
        let now_silent: HashSet<usize> = (0..count).filter(|it| is_silent(*it, now)).collect();
        let is_changed = now == 0 || now_silent != silent;
        silent = now_silent;
        if is_changed {
            for index in (0..count).filter(|it| !silent.contains(it)) {
                nodes[index].set_fleet(&fleet(index, now), at);
            }
        }
        // One node of each side finds out, and then again with each of its requests.
        if now % 500 == 0 && now < RETURN {
            for node in &mut nodes[..load.sides] {
                node.record_failure(&target, at);
            }
        }
        if load.starts && now == 2_500 {
            for index in silent_third(count) {
                nodes[index] = cold();
                let row = Endpoint { cold_for: Some(ms(2_500)), ..target.clone() };
                nodes[index].observe(&row, false, at);
                nodes[index].set_fleet(&fleet(index, now), at);
            }
        }
        if now % BEAT == 0 {
            let senders = (0..count).filter(|it| !silent.contains(it));
            for sender in senders {
                let reports = nodes[sender].reports(Scope::Own, at);
                if !reports.is_empty() {
                    in_flight.push((now + load.delay, sender, reports));
                }
            }
        }
        let due: Vec<_> = in_flight.iter().filter(|(due, ..)| *due == now).cloned().collect();
        in_flight.retain(|(due, ..)| *due > now);
        for (_, sender, reports) in due {
            let side = (0..count).filter(|it| it % load.sides == sender % load.sides);
            for index in side.filter(|it| !silent.contains(it) && *it != sender) {
                nodes[index].merge(&reports, false, |_| Some(&target), ms(load.delay), at);
            }
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            while now >= RETURN && !silent.contains(&index) && sent.len() < 100_000 {
                if !node.is_cold("e", at) || node.permit("e", at) != Permit::Granted {
                    // A node without knowledge would send more than fits; one request shows it.
                    sent.extend((!node.is_cold("e", at)).then_some(now));
                    break;
                }
                node.spend("e", at);
                sent.push(now);
                node.record_success(&target, at, at);
            }
        }
    }
    // The endpoint is cold for three seconds.
    sent.retain(|at| *at < RETURN + 3_000);
    let within =
        |first: &u64| sent.iter().filter(|at| (*first..first + 1_000).contains(at)).count();
    (sent.iter().map(within).max().unwrap_or(0), sent.len() as f64 / 3.0)
}

fn silent_third(count: usize) -> impl Iterator<Item = usize> {
    (0..count).filter(|it| it % 3 == 2)
}

/// Guards against a burst of all nodes at a cold endpoint, through partitions, late news, starts and thaws.
#[test]
fn sum_stays_bounded() {
    let base = || Load { name: "alone", sides: 1, delay: 100, ..Load::default() };
    let loads = [
        base(),
        Load { name: "two sides", sides: 2, ..base() },
        Load { name: "three sides", sides: 3, ..base() },
        Load { name: "late news", delay: 500, ..base() },
        Load { name: "starts", starts: true, ..base() },
        Load { name: "thaws", freezes: true, ..base() },
    ];
    println!("{:>5} {:>12} {:>6} {:>5} {:>6}", "nodes", "load", "bound", "most", "mean");
    for (count, domains) in [(5, 4), (29, 4), (330, 8)] {
        for load in &loads {
            let (most, mean) = play(count, domains, load);
            println!("{count:>5} {:>12} {BOUND:>6} {most:>5} {mean:>6.1}", load.name);
            assert!(most <= BOUND, "{count} nodes, {}: {most} in a second", load.name);
            assert!(mean >= 4.0, "{count} nodes, {}: hardly used, {mean}", load.name);
        }
    }
}

/// Guards against a failure that counts as over by a response to a request that was sent before it, by a missing
/// success for ever, or before the endpoint is warm.
#[test]
fn success_ends_suspicion() {
    let target = endpoint(1);
    let mut cold = cold();
    assert!(cold.record_failure(&target, ms(1_000)));
    cold.record_success(&target, ms(900), ms(1_100));
    assert!(cold.is_cold("e", ms(8_900)), "suspected without a success");
    assert!(!cold.is_cold("e", ms(9_100)), "it expires");
    cold.record_success(&target, ms(1_200), ms(1_300));
    assert!(cold.is_cold("e", ms(4_200)));
    assert!(!cold.is_cold("e", ms(4_400)));
}

/// Guards against an endpoint that gets a burst from nodes that had no failure there: a new one, one that was missing,
/// one with a later start; and against a first list that makes all endpoints cold.
#[test]
fn new_endpoints_are_suspected() {
    let mut roster = Roster::default();
    let rule = Rule { start: ms(3_000), per_s: 10.0 };
    let rules = HashMap::from([("llm".into(), rule)]);
    roster.stated.cold.configure(rules, Excess::default(), ms(0));
    roster.replace(vec![Change::Updated(endpoint(1))], ms(2_000), ms(0));
    assert!(!roster.stated.cold.is_cold("e", ms(10)), "listed at the start");
    roster.apply(Change::Updated(endpoint(2)), ms(2_000), ms(1_000));
    assert!(roster.stated.cold.is_cold("e", ms(3_900)), "a later start");
    roster.apply(Change::Removed("e".into()), ms(2_000), ms(5_000));
    roster.apply(Change::Updated(endpoint(2)), ms(2_000), ms(6_000));
    assert!(roster.stated.cold.is_cold("e", ms(8_900)), "listed again");
    assert!(!roster.stated.cold.is_cold("e", ms(9_100)));
}

/// Guards against a stated time that a later row doesn't end, and against limits without declared ones.
#[test]
fn rows_state_the_time() {
    let mut cold = cold();
    let row = |millis| Endpoint { cold_for: Some(ms(millis)), ..endpoint(1) };
    assert!(cold.observe(&row(1_500), false, ms(1_000)));
    assert!(!cold.observe(&row(200), false, ms(1_100)), "the latest end holds");
    assert!(cold.is_cold("e", ms(2_600)));
    cold.observe(&row(0), false, ms(1_200));
    assert!(!cold.is_cold("e", ms(1_210)));
    assert!(cold.record_stated(&endpoint(1), ms(500), ms(2_000)));
    cold.configure(HashMap::new(), Excess::default(), ms(2_100));
    assert_eq!(cold.permit("e", ms(2_100)), Permit::Granted);
    assert!(!cold.record_failure(&endpoint(1), ms(2_100)), "the service declares no rate");
}

/// Guards against requests that wait for a connection and are then written at once, and against placed requests that
/// are written after the endpoint has become cold.
#[test]
fn late_writes_are_charged() {
    let mut roster = Roster::default();
    let rules = HashMap::from([("llm".into(), Rule { start: ms(3_000), per_s: 10.0 })]);
    roster.stated.cold.configure(rules, Excess::default(), ms(0));
    roster.stated.cold.set_fleet(&alone(), ms(0));
    roster.apply(Change::Updated(endpoint(1)), ms(2_000), ms(0));
    roster.stated.cold.record_failure(&endpoint(1), ms(1_000));
    let mut admit = |charged_at: Option<u64>, now| {
        gate::admit(&mut roster, &endpoint(1), false, charged_at.map(ms), ms(now)).err()
    };
    assert_eq!(admit(None, 1_010), Some(Hold::Cold), "a bucket starts empty");
    assert_eq!(admit(Some(1_200), 1_250), None);
    let late: Vec<_> = (0..5).map(|_| admit(Some(1_200), 1_400)).collect();
    assert_eq!(late[0], None);
    assert_eq!(late[1..], [Some(Hold::Cold); 4]);
}
