//! The balancer's choice of endpoints, without a network.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::balancer::{Balancer, Candidate, Job, Load, Overload};
use pomelolink::gateway::catalog::Engine;
use pomelolink::gateway::platform::{Endpoint, Part, Prompt};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINE: Engine = Engine { slots: 32, memory_tokens: 558_872, supports_migration: true };

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: format!("e{index}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: ["a", "b", "c", "d"][index % 4].into(),
        version: "v1".into(),
        slots: 32,
        draining: false,
        reclaimable: true,
        leaves_in: None,
        started_ms: 0,
        cold_for: None,
    }
}

fn prompt(prefix: u64, suffix: u64) -> Prompt {
    let parts = [
        Part { hash: 1, tokens: 512 },
        Part { hash: 1_000 + prefix, tokens: 4_870 },
        Part { hash: 1_000_000 + suffix, tokens: 6_610 },
    ];
    Prompt { prompt_tokens: 11_992, max_output_tokens: 380, parts: parts.into_iter().collect() }
}

/// Ways to choose an endpoint that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Balancer,
    LeastLoaded,
    Random,
}

/// Simulates the heaviest minute of report requests and returns the tokens of shared parts that endpoints
/// had to read, each part once per endpoint.
fn shared_tokens_read(policy: Policy) -> u64 {
    let endpoints: Vec<_> = (0..18).map(endpoint).collect();
    let mut random = StdRng::seed_from_u64(7);
    let mut balancer = Balancer::default();
    let mut sent: HashMap<(Arc<str>, u64), f64> = HashMap::new();
    let mut running: Vec<(f64, Arc<str>, Load)> = Vec::new();
    let mut read = 0;
    for index in 0..1_500_u64 {
        let now = index as f64 / 24.0;
        let time = Duration::from_secs_f64(now + 100.0);
        running.retain(|(end, id, load)| {
            let is_running = *end > now;
            if !is_running {
                balancer.end_request(id, *load);
            }
            is_running
        });
        let prompt = prompt(random.random_range(0..236), index);
        let job = Job {
            prompt: Some(&prompt),
            hash: random.random(),
            deadline: Duration::MAX,
            gap_target: None,
        };
        let candidates: Vec<&Endpoint> = match policy {
            Policy::Balancer => endpoints.iter().collect(),
            Policy::Random => vec![&endpoints[random.random_range(0..endpoints.len())]],
            Policy::LeastLoaded => {
                let load = |it: &&Endpoint| balancer.total_load(&it.id).requests;
                endpoints.iter().min_by_key(load).into_iter().collect()
            }
        };
        let candidates =
            candidates.into_iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
        let choice = balancer
            .choose(job, "a", candidates, Some(&ENGINE), time)
            .expect("an endpoint with capacity");
        balancer.start_request(&choice, Some(&prompt), time);
        for part in &prompt.parts[..2] {
            let previous = sent.insert((choice.endpoint.clone(), part.hash), now);
            if previous.is_none() {
                read += u64::from(part.tokens);
            }
        }
        let mut load = choice.load;
        balancer.record_first_event(&choice.endpoint, &mut load);
        running.push((now + 2.0, choice.endpoint, load));
    }
    read
}

/// Guards against many endpoints reading the same shared parts: compares the balancer with least-loaded
/// and random choice.
#[test]
fn shared_prefixes_stay_cached() {
    let [balancer, least, random] =
        [Policy::Balancer, Policy::LeastLoaded, Policy::Random].map(shared_tokens_read);
    println!("shared tokens read: balancer {balancer}, least loaded {least}, random {random}");
    // Target of issue 4: at most 0.4 of the tokens that the least-loaded choice reads.
    assert!(balancer * 10 <= least * 4, "balancer {balancer}, least loaded {least}");
    assert!(balancer * 10 <= random * 4, "balancer {balancer}, random {random}");
}

/// Guards against overloading the preferred endpoints of a frequent prefix while others are idle.
#[test]
fn hot_prefix_spreads_out() {
    let endpoints: Vec<_> = (0..18).map(endpoint).collect();
    let mut balancer = Balancer::default();
    let time = Duration::from_secs(100);
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for index in 0..90 {
        let prompt = prompt(5, index);
        let job =
            Job { prompt: Some(&prompt), hash: index, deadline: Duration::MAX, gap_target: None };
        let candidates = endpoints.iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
        let choice = balancer
            .choose(job, "a", candidates, Some(&ENGINE), time)
            .expect("an endpoint with capacity");
        balancer.start_request(&choice, Some(&prompt), time);
        *counts.entry(choice.endpoint).or_default() += 1;
    }
    let highest = counts.values().max().expect("some");
    assert!(*highest <= 10, "one endpoint has {highest} of 90 prompts in flight: {counts:?}");
}

/// Guards against sending to a full endpoint, even if only requests from peers fill it.
#[test]
fn full_endpoints_are_skipped() {
    let endpoints: Vec<_> = (0..2).map(endpoint).collect();
    let mut balancer = Balancer::default();
    let full = Load { requests: 32, unread_tokens: 0, memory_tokens: 0 };
    balancer.set_peer_loads([("e0".into(), full), ("e1".into(), full)].into_iter());
    let prompt = prompt(5, 1);
    let job = Job { prompt: Some(&prompt), hash: 3, deadline: Duration::MAX, gap_target: None };
    let candidates = endpoints.iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
    let choice = balancer.choose(job, "a", candidates, Some(&ENGINE), Duration::from_secs(1));
    assert_eq!(choice, Err(Overload::Full));
}

/// Guards against sending a slow endpoint as many requests as the others.
#[test]
fn slow_endpoints_get_less() {
    let endpoints: Vec<_> = (0..4).map(endpoint).collect();
    let mut balancer = Balancer::default();
    let time = Duration::from_secs(100);
    let mut slow = 0;
    for index in 0..40 {
        let prompt = prompt(index, index);
        let job =
            Job { prompt: Some(&prompt), hash: index, deadline: Duration::MAX, gap_target: None };
        let candidates = endpoints.iter().enumerate().map(|(index, endpoint)| Candidate {
            endpoint,
            slowness: if index == 0 { 5.0 } else { 1.0 },
        });
        let choice = balancer
            .choose(job, "a", candidates, Some(&ENGINE), time)
            .expect("an endpoint with capacity");
        balancer.start_request(&choice, Some(&prompt), time);
        slow += u32::from(&*choice.endpoint == "e0");
    }
    assert!(slow <= 4, "{slow} of 40 prompts went to the slow one of four endpoints");
}

/// Guards against refusing long prompts as if the endpoints were overloaded: their first token exceeds the
/// target on an idle endpoint too.
#[test]
fn long_prompts_are_accepted() {
    let endpoints: Vec<_> = (0..2).map(endpoint).collect();
    let mut balancer = Balancer::default();
    let busy = Load { requests: 1, unread_tokens: 0, memory_tokens: 1_000 };
    balancer.set_peer_loads([("e0".into(), busy), ("e1".into(), busy)].into_iter());
    let mut prompt = prompt(5, 1);
    prompt.prompt_tokens = 80_000;
    let now = Duration::from_secs(100);
    let job = Job {
        prompt: Some(&prompt),
        hash: 3,
        deadline: now + Duration::from_secs(1),
        gap_target: None,
    };
    let candidates = endpoints.iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
    let choice = balancer.choose(job, "a", candidates, Some(&ENGINE), now).expect("an endpoint");
    assert!(choice.predicted > Duration::from_secs(1), "{choice:?}");
}

/// Guards against short prompts that raise the slowdown as much as long ones: some take many times their
/// estimate although the service is not slow.
#[test]
fn short_prompts_barely_count() {
    let mut balancer = Balancer::default();
    let (service, now) = (Arc::from("s"), Duration::from_secs(100));
    let ms = Duration::from_millis;
    for index in 0..200 {
        let observed = if index % 10 == 9 { ms(300) } else { ms(30) };
        balancer.record_slowdown(&service, observed, ms(30), now);
        balancer.record_slowdown(&service, ms(320), ms(320), now);
        assert!(
            balancer.service_slowdown("s", now) < 1.5,
            "{}",
            balancer.service_slowdown("s", now)
        );
    }
}

/// Guards against a node that refuses requests after its start because its first response was slow.
#[test]
fn one_slow_response_tolerated() {
    let mut balancer = Balancer::default();
    let (service, now) = (Arc::from("s"), Duration::from_secs(100));
    let (baseline, slow) = (Duration::from_millis(30), Duration::from_millis(150));
    balancer.record_slowdown(&service, slow, baseline, now);
    assert!(balancer.service_slowdown("s", now) < 2.0, "{}", balancer.service_slowdown("s", now));
}
