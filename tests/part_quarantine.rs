//! Decisions of the quarantine of prompt parts, without a network.

use std::time::Duration;

use pomelolink::gateway::platform::{Endpoint, Part, Prompt};
use pomelolink::gateway::quarantine::Quarantine;

const SYSTEM: u64 = 1;
const DEADLY: u64 = 666;
const START: Duration = Duration::from_secs(1_000);
/// Time for which a part is refused after its last crash.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

fn prompt(parts: &[u64]) -> Prompt {
    let parts = parts.iter().map(|hash| Part { hash: *hash, tokens: 100 }).collect();
    Prompt { prompt_tokens: 300, max_output_tokens: 10, parts }
}

/// Returns a prompt that shares `parts`, with a last part of its own.
fn request(parts: &[u64], number: u64) -> Prompt {
    prompt(&[parts, &[1_000_000 + number]].concat())
}

fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        id: format!("e{number}").into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in: None,
        started_ms: 1,
        cold_for: None,
    }
}

fn at(seconds: f64) -> Duration {
    START + Duration::from_secs_f64(seconds)
}

/// Ends an endpoint under requests with these prompts; returns the parts that are quarantined for it.
fn crash(node: &mut Quarantine, number: u64, prompts: &[Prompt], now: Duration) -> Vec<u64> {
    for prompt in prompts {
        node.suspect(&endpoint(number), prompt);
    }
    node.conclude(&endpoint(number), true, now).to_vec()
}

fn refuses(node: &Quarantine, parts: &[u64], now: Duration) -> bool {
    node.refusal(&request(parts, 9), false, now).is_some()
}

/// Returns a node on which requests with the deadly part have crashed three endpoints by second 3.
fn quarantined() -> Quarantine {
    let mut node = Quarantine::default();
    node.record_start(&request(&[SYSTEM, 2], 0), at(0.0));
    for number in 1..=3 {
        let prompts = [request(&[SYSTEM, DEADLY, 10 + number], number)];
        crash(&mut node, number, &prompts, at(number as f64));
    }
    node
}

/// Guards against requests with one part that crash endpoint after endpoint.
#[test]
fn deadly_part_is_refused() {
    let node = quarantined();
    assert!(refuses(&node, &[SYSTEM, DEADLY, 77], at(3.0)));
}

/// Guards against the refusal of sound requests that share the other parts of deadly ones.
#[test]
fn other_parts_stay_admitted() {
    let node = quarantined();
    assert!(!refuses(&node, &[SYSTEM, 11], at(3.0)));
    // A part of its own is nobody else's.
    assert!(node.refusal(&prompt(&[SYSTEM, DEADLY]), false, at(3.0)).is_none());
}

/// Guards against a deadly part that is overlooked among those of many sound requests on busy endpoints.
#[test]
fn busy_endpoints_show_deadly_part() {
    let mut node = Quarantine::default();
    let sound: Vec<Prompt> = (0..60).map(|part| request(&[SYSTEM, 100 + part], part)).collect();
    for number in 1..=3 {
        sound.iter().for_each(|prompt| drop(node.record_start(prompt, at(number as f64 - 0.5))));
        let deadly = request(&[SYSTEM, DEADLY], number);
        let prompts = [sound.as_slice(), &[deadly]].concat();
        crash(&mut node, number, &prompts, at(number as f64));
    }
    assert!(refuses(&node, &[SYSTEM, DEADLY], at(3.0)));
    assert!((0..60).all(|part| !refuses(&node, &[SYSTEM, 100 + part], at(3.0))));
}

/// Guards against a part that each node has seen too rarely.
#[test]
fn nodes_sum_crashes() {
    let mut nodes: Vec<Quarantine> = (0..40).map(|_| Quarantine::default()).collect();
    for number in 1..=3 {
        let node = &mut nodes[number as usize * 10];
        let prompts = [request(&[SYSTEM, DEADLY], number)];
        assert!(crash(node, number, &prompts, at(number as f64)).is_empty());
    }
    nodes[0].record_start(&request(&[SYSTEM], 8), at(3.5));
    for _ in 0..2 {
        let reports: Vec<_> = nodes.iter_mut().map(|node| node.report(at(4.0))).collect();
        for node in &mut nodes {
            reports.iter().for_each(|report| drop(node.merge(report, at(4.0))));
        }
    }
    for (index, node) in nodes.iter().enumerate() {
        assert!(refuses(node, &[SYSTEM, DEADLY], at(4.0)), "node {index}");
        assert!(!refuses(node, &[SYSTEM, 3], at(4.0)), "node {index}");
    }
}

/// Guards against parts that are refused because a failure domain was lost.
#[test]
fn common_end_condemns_no_part() {
    let mut node = Quarantine::default();
    for number in 0..20 {
        let prompts = [request(&[SYSTEM, 5], number)];
        let now = at(1.0) + Duration::from_millis(5 * number);
        assert!(crash(&mut node, number, &prompts, now).is_empty());
    }
    assert!(!refuses(&node, &[SYSTEM, 5], at(2.0)));
}

/// Guards against parts of sound requests that happen to wait on endpoints when these crash.
#[test]
fn started_part_is_no_suspect() {
    let mut node = Quarantine::default();
    for number in 0..20 {
        let prompts = [request(&[SYSTEM, 5], number)];
        assert!(crash(&mut node, number, &prompts, at(number as f64)).is_empty());
        node.record_start(&request(&[SYSTEM, 5], 100 + number), at(number as f64 + 0.5));
    }
    assert!(!node.is_suspect(&request(&[SYSTEM, 5], 200)));
}

/// Guards against a caller who gets the parts of others refused by sending them with a deadly one.
#[test]
fn companion_of_deadly_part_stays_admitted() {
    let mut node = Quarantine::default();
    node.record_start(&request(&[SYSTEM, 5], 0), at(0.0));
    for number in 1..=10 {
        let prompts = [request(&[SYSTEM, 5, DEADLY], number)];
        crash(&mut node, number, &prompts, at(number as f64));
    }
    assert!(refuses(&node, &[DEADLY], at(11.0)));
    assert!(!refuses(&node, &[SYSTEM, 5], at(11.0)));
}

/// Guards against a failed request that crashes one endpoint for each attempt.
#[test]
fn suspect_is_not_repeated() {
    let mut node = Quarantine::default();
    node.record_start(&request(&[SYSTEM], 0), at(0.0));
    crash(&mut node, 1, &[request(&[SYSTEM, DEADLY], 1)], at(1.0));
    assert!(node.is_suspect(&request(&[SYSTEM, DEADLY], 2)));
    assert!(!node.is_suspect(&request(&[SYSTEM, 3], 2)));
}

/// Guards against an endpoint that is taken for crashed because it garbles its answers.
#[test]
fn live_endpoint_is_no_evidence() {
    let mut node = Quarantine::default();
    for number in 0..10 {
        assert!(node.suspect(&endpoint(number), &request(&[SYSTEM, 5], number)));
        assert!(node.conclude(&endpoint(number), false, at(number as f64)).is_empty());
    }
    assert!(!refuses(&node, &[SYSTEM, 5], at(10.0)));
}

/// Guards against an expired quarantine after which every node tries the part again.
#[test]
fn expired_part_is_tried_once() {
    let mut node = quarantined();
    let deadly = request(&[SYSTEM, DEADLY], 20);
    let now = at(3.0) + QUARANTINE_TIME;
    assert!(node.refusal(&deadly, true, now - Duration::from_millis(1)).is_some());
    assert!(node.refusal(&deadly, false, now).is_some());
    assert!(node.refusal(&deadly, true, now).is_none());
    node.start_trial(&deadly, now);
    assert!(node.refusal(&deadly, true, now).is_some());
    crash(&mut node, 21, std::slice::from_ref(&deadly), now + Duration::from_secs(1));
    let later = now + QUARANTINE_TIME;
    assert!(node.refusal(&deadly, true, later).is_some(), "the crash extends the quarantine");
}

/// Guards against a part that stays refused after endpoints answer it again.
#[test]
fn start_releases_part() {
    let mut node = quarantined();
    let mut peer = Quarantine::default();
    peer.merge(&node.report(at(3.1)), at(3.1));
    assert!(refuses(&peer, &[DEADLY], at(3.2)));
    node.record_start(&request(&[DEADLY], 30), at(4.0));
    assert!(!refuses(&node, &[DEADLY], at(4.0)));
    peer.merge(&node.report(at(4.1)), at(4.1));
    node.merge(&peer.report(at(4.2)), at(4.2));
    assert!(!refuses(&peer, &[DEADLY], at(4.2)) && !refuses(&node, &[DEADLY], at(4.2)));
}

/// Guards against nodes that keep refusing a part which a trial has released long after its crashes.
#[test]
fn trial_releases_part_everywhere() {
    let mut node = quarantined();
    let mut peer = Quarantine::default();
    peer.merge(&node.report(at(3.1)), at(3.1));
    let now = at(4.0) + QUARANTINE_TIME;
    node.start_trial(&request(&[DEADLY], 30), now);
    node.record_start(&request(&[DEADLY], 30), now);
    // A peer that missed the first reports tells that it still holds the part.
    let later = now + Duration::from_secs(30);
    node.report(later);
    node.merge(&peer.report(later), later);
    peer.merge(&node.report(later), later);
    assert!(peer.refusal(&request(&[DEADLY], 31), false, later).is_none());
}

/// Guards against a part that crashes endpoints again after the loss of all nodes.
#[test]
fn restart_keeps_quarantine() {
    let mut node = Quarantine::default();
    node.restore(&quarantined().stored(at(5.0)), at(5.0));
    assert!(refuses(&node, &[DEADLY], at(6.0)));
}

/// Guards against callers who fill the memory and the datagrams of the nodes.
#[test]
fn many_parts_stay_bounded() {
    let mut node = Quarantine::default();
    for number in 0..20_000u64 {
        let parts: Vec<u64> = (0..100).map(|part| number * 100 + part).collect();
        if number % 20 == 0 {
            crash(&mut node, number, &[prompt(&parts)], at(number as f64 * 0.001));
        } else {
            node.record_start(&prompt(&parts), at(number as f64 * 0.001));
        }
    }
    let report = postcard::to_stdvec(&node.report(at(20.0))).expect("a report is serializable");
    assert!(report.len() < 8_000, "{} bytes", report.len());
    let text = format!("{node:?}");
    assert!(text.len() < 1_000_000, "{} bytes", text.len());
}

/// Guards against stored parts that fill the memory.
#[test]
fn restored_parts_stay_bounded() {
    let mut node = Quarantine::default();
    let stored: Vec<(u64, u64)> = (0..10_000).map(|part| (part, 0)).collect();
    node.restore(&stored, at(1.0));
    assert!(node.quarantined_count() <= 64);
}
