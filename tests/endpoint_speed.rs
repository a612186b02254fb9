//! Speed factors of endpoints, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::balancer::{Balancer, Candidate, Choice, Job, Load};
use pomelolink::gateway::catalog::Engine;
use pomelolink::gateway::platform::{Endpoint, Part, Prompt};
use pomelolink::gateway::roster::Health;
use pomelolink::gateway::speed::{Mean, Report, Sample, Speeds};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENGINE: Engine = Engine { slots: 32, memory_tokens: 558_621, supports_migration: true };
const STREAMS: Load = Load { requests: 8, unread_tokens: 0, memory_tokens: 0 };

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn id(index: usize) -> Arc<str> {
    format!("e{index}").into()
}

/// Records the gaps of two streams at each of six endpoints, of which the first takes `slow` times as long as the
/// others, which take `all` times 50 ms.
fn observe(speeds: &mut Speeds, from_ms: u64, to_ms: u64, slow: f64, all: f64) {
    for ms in (from_ms..to_ms).step_by(25) {
        for index in 0..6 {
            let factor = if index == 0 { slow * all } else { all };
            let gap = Duration::from_millis(50).mul_f64(factor);
            speeds.record(&"s".into(), &id(index), Sample::Gap(gap, STREAMS), at(ms));
        }
    }
}

/// Guards against factors that follow a slow phase of 600 ms too late, or that last after it.
#[test]
fn both_directions() {
    let mut speeds = Speeds::default();
    observe(&mut speeds, 0, 3_000, 1.0, 1.0);
    let factor = |speeds: &Speeds, ms| speeds.factor("e0", at(ms)).expect("observed");
    assert!((factor(&speeds, 3_000) - 1.0).abs() < 0.01);
    observe(&mut speeds, 3_000, 3_300, 2.5, 1.0);
    assert!(factor(&speeds, 3_300) > 1.4, "{}", factor(&speeds, 3_300));
    observe(&mut speeds, 3_300, 3_600, 2.5, 1.0);
    assert!(factor(&speeds, 3_600) > 1.5, "{}", factor(&speeds, 3_600));
    observe(&mut speeds, 3_600, 4_200, 1.0, 1.0);
    assert!(factor(&speeds, 4_200) < 1.2, "{}", factor(&speeds, 4_200));
    // A factor returns without observations too, and each change is logged once.
    observe(&mut speeds, 4_200, 5_000, 5.0, 1.0);
    let changes = speeds.refresh(at(5_000));
    assert!(changes.iter().any(|it| &*it.endpoint == "e0" && it.is_slow), "{changes:?}");
    assert!(speeds.refresh(at(5_000)).is_empty());
    assert!(factor(&speeds, 5_900) < factor(&speeds, 5_000) / 1.5);
    assert_eq!(speeds.factor("e0", at(6_000)), None);
    assert!(speeds.refresh(at(8_000)).iter().any(|it| &*it.endpoint == "e0" && !it.is_slow));
}

/// Guards against factors that count a slowdown of the whole service, which the estimate has already.
#[test]
fn service_slowdown() {
    let mut speeds = Speeds::default();
    observe(&mut speeds, 0, 2_000, 1.0, 1.0);
    for step in 0..40 {
        let from = 2_000 + step * 50;
        observe(&mut speeds, from, from + 50, 1.0, 3.0);
        for index in 0..6 {
            let factor = speeds.factor(&id(index), at(from + 50)).expect("observed");
            assert!((factor - 1.0).abs() < 0.1, "{factor} of e{index} after {} ms", step * 50);
        }
    }
}

/// Guards against reports of peers that are not weighed, or that are used when they are old.
#[test]
fn peer_reports() {
    let mut speeds = Speeds::default();
    let (one, two) = (Report { factor: 400, weight: 40 }, Report { factor: 100, weight: 20 });
    let reports = [(&id(0), one, Duration::ZERO), (&id(0), two, Duration::ZERO)];
    speeds.set_peers(reports.into_iter(), at(0));
    let factor = speeds.factor("e0", at(0)).expect("a report");
    assert!((2.7..3.0).contains(&factor), "{factor}");
    observe(&mut speeds, 0, 3_000, 1.0, 1.0);
    speeds.set_peers(reports.into_iter(), at(3_000));
    assert!(speeds.factor("e0", at(3_000)).expect("both") < factor);
    // Own observations are not changed by what the peers report, so no report comes back.
    assert!(speeds.report("e0", at(3_000)).factor < 105);
    assert_eq!(speeds.report("e9", at(3_000)).weight, 0);
    // A failure domain reports the weighted mean, and an old report counts no more.
    let mut mean = Mean::default();
    mean.add_report(one, Duration::ZERO);
    mean.add_report(two, Duration::ZERO);
    mean.add_report(Report { factor: 2_000, weight: 200 }, Duration::from_secs(1));
    assert_eq!(mean.report(), Report { factor: 300, weight: 60 });
    let mut silent = Speeds::default();
    silent.set_peers([(&id(0), one, Duration::from_millis(600))].into_iter(), at(0));
    assert!(silent.factor("e0", at(300)).is_some());
    assert_eq!(silent.factor("e0", at(400)), None);
}

struct Stream {
    node: usize,
    choice: Choice,
    next_event: f64,
    events: u32,
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: id(index),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: ENGINE.slots,
        draining: false,
        reclaimable: true,
        leaves_in: None,
        cold_for: None,
        started_ms: 0,
    }
}

/// Sends 200 requests a second for 10 s from eight nodes to 24 endpoints. Every 2.5 s another third of the endpoints
/// is 2.5 times slower; returns the share of the requests that is sent to those, and all choices.
fn simulate(learns: bool, observes: bool, seed: u64) -> (f64, Vec<Arc<str>>) {
    const NODES: usize = 8;
    let mut random = SmallRng::seed_from_u64(seed);
    let endpoints: Vec<_> = (0..24).map(endpoint).collect();
    let mut balancers: Vec<Balancer> = (0..NODES).map(|_| Balancer::default()).collect();
    let mut speeds: Vec<Speeds> = (0..NODES).map(|_| Speeds::default()).collect();
    let mut health = vec![vec![Health::default(); endpoints.len()]; NODES];
    let mut streams: Vec<Stream> = Vec::new();
    let is_slow = |index: usize, ms: u64| index % 3 == (ms / 2_500) as usize % 3;
    let (mut slow, mut chosen) = (0, Vec::new());
    for ms in 0..10_000_u64 {
        let now = at(ms);
        for stream in streams.iter_mut().filter(|stream| stream.next_event <= ms as f64) {
            let Stream { node, choice, .. } = stream;
            let (node, index) = (*node, choice.endpoint[1..].parse().expect("a number"));
            let load = balancers[node].total_load(&choice.endpoint);
            let pace =
                if is_slow(index, ms) { 2.5 } else { 1.0 } * (0.8 + 0.4 * random.random::<f64>());
            let gap = (28.0 + 0.6 * f64::from(load.requests)) * pace;
            if stream.events == 0 {
                balancers[node].record_first_event(&choice.endpoint, &mut choice.load);
                let slowdown = balancers[node].service_slowdown("s", now);
                health[node][index].record_slowness(pace / slowdown);
                let observed = choice.baseline.mul_f64(pace);
                balancers[node].record_slowdown(&"s".into(), observed, choice.baseline, now);
            } else if observes {
                let gap = Duration::from_secs_f64(gap / 1_000.0);
                speeds[node].record(&"s".into(), &choice.endpoint, Sample::Gap(gap, load), now);
            }
            stream.next_event += gap;
            stream.events += 1;
        }
        for stream in streams.extract_if(.., |stream| stream.events > 30) {
            balancers[stream.node].end_request(&stream.choice.endpoint, stream.choice.load);
        }
        if ms % 100 == 0 {
            let reports: Vec<Vec<_>> = (0..NODES)
                .map(|node| {
                    let loads = balancers[node].own_loads();
                    loads
                        .map(|(id, load)| (id.clone(), load, speeds[node].report(id, now)))
                        .collect()
                })
                .collect();
            for node in 0..NODES {
                let peers = (0..NODES).filter(|peer| *peer != node).flat_map(|peer| &reports[peer]);
                let loads = peers.clone().map(|(id, load, _)| (id.clone(), *load));
                balancers[node].set_peer_loads(loads);
                let peers = peers.map(|(id, _, report)| (id, *report, Duration::ZERO));
                speeds[node].set_peers(peers, now);
            }
        }
        if ms % 5 != 0 {
            continue;
        }
        let node = random.random_range(0..NODES);
        let parts = [(1, 200), (1_000 + ms, 400)].map(|(hash, tokens)| Part { hash, tokens });
        let parts = parts.into_iter().collect();
        let prompt = Prompt { prompt_tokens: 600, max_output_tokens: 300, parts };
        let deadline = now + Duration::from_millis(600);
        let hash = random.random();
        let job = Job { prompt: Some(&prompt), hash, deadline, gap_target: Some(deadline - now) };
        let candidates = endpoints.iter().enumerate().map(|(index, endpoint)| {
            let factor = speeds[node].slowness(&endpoint.id, now).filter(|_| learns);
            let slowness = factor.unwrap_or(health[node][index].slowness());
            Candidate { endpoint, slowness }
        });
        let choice = balancers[node].choose(job, "a", candidates, Some(&ENGINE), now);
        let choice = choice.expect("an endpoint");
        balancers[node].start_request(&choice, Some(&prompt), now);
        slow += u32::from(is_slow(choice.endpoint[1..].parse().expect("a number"), ms));
        chosen.push(choice.endpoint.clone());
        let next_event = ms as f64 + choice.predicted.as_secs_f64() * 1_000.0;
        streams.push(Stream { node, choice, next_event, events: 0 });
    }
    (f64::from(slow) / chosen.len() as f64, chosen)
}

/// Guards against requests that are sent to slow endpoints although the nodes could have known together.
#[test]
fn fewer_at_slow_endpoints() {
    let (mut without, mut with) = (0.0, 0.0);
    for seed in 1..4 {
        let shares = [false, true].map(|learns| simulate(learns, true, seed).0);
        println!(
            "seed {seed}: share at slow endpoints {:.3} without, {:.3} with",
            shares[0], shares[1]
        );
        without += shares[0];
        with += shares[1];
    }
    // A third of the endpoints is slow; half of their part is what half of a phase costs until it is known.
    assert!(with < without && with / 3.0 < 1.0 / 6.0, "{with} {without}");
}

/// Guards against choices that change where nothing is observed.
#[test]
fn no_observations() {
    assert_eq!(simulate(true, false, 1).1, simulate(false, false, 1).1);
}
