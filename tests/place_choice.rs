//! Choice of endpoints, without a network.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::board::{Board, Candidate, Job, Lack, Load};
use pomelolink::gateway::catalog::Engine;
use pomelolink::gateway::platform::{Endpoint, Part, Prompt};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINE: Engine = Engine { slots: 32, memory_tokens: 558_872, moves: true };

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
        born_ms: 0,
    }
}

fn prompt(document: u64, own: u64) -> Prompt {
    let parts = [
        Part { hash: 1, tokens: 512 },
        Part { hash: 1_000 + document, tokens: 4_870 },
        Part { hash: 1_000_000 + own, tokens: 6_610 },
    ];
    Prompt { prompt_tokens: 11_992, max_output_tokens: 380, parts: parts.into_iter().collect() }
}

/// How a comparison places requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Board,
    LeastLoaded,
    Random,
}

/// Plays the heaviest minute of reports and gives the shared tokens that were read again.
fn read_again(way: Way) -> u64 {
    let endpoints: Vec<_> = (0..18).map(endpoint).collect();
    let mut random = StdRng::seed_from_u64(7);
    let mut board = Board::default();
    let mut kept: HashMap<(Arc<str>, u64), f64> = HashMap::new();
    let mut ends: Vec<(f64, Arc<str>, Load)> = Vec::new();
    let mut again = 0;
    for index in 0..1_500_u64 {
        let now = index as f64 / 24.0;
        let time = Duration::from_secs_f64(now + 100.0);
        ends.retain(|(end, id, load)| {
            let runs = *end > now;
            if !runs {
                board.end(id, *load);
            }
            runs
        });
        let prompt = prompt(random.random_range(0..236), index);
        let job = Job { prompt: Some(&prompt), hash: random.random(), latest: Duration::MAX };
        let candidates: Vec<&Endpoint> = match way {
            Way::Board => endpoints.iter().collect(),
            Way::Random => vec![&endpoints[random.random_range(0..endpoints.len())]],
            Way::LeastLoaded => {
                let load = |it: &&Endpoint| board.total(&it.id).requests;
                endpoints.iter().min_by_key(load).into_iter().collect()
            }
        };
        let candidates =
            candidates.into_iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
        let choice = board.choose(job, "a", candidates, Some(&ENGINE), time).expect("room");
        board.begin(&choice, Some(&prompt), time);
        for part in &prompt.parts[..2] {
            let last = kept.insert((choice.endpoint.clone(), part.hash), now);
            if last.is_none() {
                again += u64::from(part.tokens);
            }
        }
        let mut load = choice.load;
        board.first_event(&choice.endpoint, &mut load);
        ends.push((now + 2.0, choice.endpoint, load));
    }
    again
}

/// Guards against reading shared parts again: the board is compared with least-loaded and random
/// placing in one run.
#[test]
fn shared_parts_are_kept_together() {
    let [board, least, random] = [Way::Board, Way::LeastLoaded, Way::Random].map(read_again);
    println!("shared tokens read: board {board}, least loaded {least}, random {random}");
    // The target of issue 4: at most 0.4 of what least-loaded placing reads.
    assert!(board * 10 <= least * 4, "board {board}, least loaded {least}");
    assert!(board * 10 <= random * 4, "board {board}, random {random}");
}

/// Guards against an endpoint that gets more than it can run while others are idle.
#[test]
fn hot_part_gets_a_second_home() {
    let endpoints: Vec<_> = (0..18).map(endpoint).collect();
    let mut board = Board::default();
    let time = Duration::from_secs(100);
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for index in 0..90 {
        let prompt = prompt(5, index);
        let job = Job { prompt: Some(&prompt), hash: index, latest: Duration::MAX };
        let candidates = endpoints.iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
        let choice = board.choose(job, "a", candidates, Some(&ENGINE), time).expect("room");
        board.begin(&choice, Some(&prompt), time);
        *counts.entry(choice.endpoint).or_default() += 1;
    }
    let most = counts.values().max().expect("some");
    assert!(*most <= 10, "one endpoint has {most} of 90 prompts under way: {counts:?}");
}

/// Guards against sending to a full endpoint, also where only peers have filled it.
#[test]
fn full_endpoints_get_nothing() {
    let endpoints: Vec<_> = (0..2).map(endpoint).collect();
    let mut board = Board::default();
    let full = Load { requests: 32, unread_tokens: 0, memory_tokens: 0 };
    board.set_peers([("e0".into(), full), ("e1".into(), full)].into_iter());
    let prompt = prompt(5, 1);
    let job = Job { prompt: Some(&prompt), hash: 3, latest: Duration::MAX };
    let candidates = endpoints.iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
    let choice = board.choose(job, "a", candidates, Some(&ENGINE), Duration::from_secs(1));
    assert_eq!(choice, Err(Lack::Room));
}

/// Guards against a slow endpoint that goes on to get its full part.
#[test]
fn slow_endpoints_get_less() {
    let endpoints: Vec<_> = (0..4).map(endpoint).collect();
    let mut board = Board::default();
    let time = Duration::from_secs(100);
    let mut slow = 0;
    for index in 0..40 {
        let prompt = prompt(index, index);
        let job = Job { prompt: Some(&prompt), hash: index, latest: Duration::MAX };
        let candidates = endpoints.iter().enumerate().map(|(index, endpoint)| Candidate {
            endpoint,
            slowness: if index == 0 { 5.0 } else { 1.0 },
        });
        let choice = board.choose(job, "a", candidates, Some(&ENGINE), time).expect("room");
        board.begin(&choice, Some(&prompt), time);
        slow += u32::from(&*choice.endpoint == "e0");
    }
    assert!(slow <= 4, "{slow} of 40 prompts went to the slow one of four endpoints");
}

/// Guards against long prompts that are refused as if the endpoints were crowded: their first token takes
/// longer than the target on an idle endpoint too.
#[test]
fn long_prompts_are_served_late() {
    let endpoints: Vec<_> = (0..2).map(endpoint).collect();
    let mut board = Board::default();
    let busy = Load { requests: 1, unread_tokens: 0, memory_tokens: 1_000 };
    board.set_peers([("e0".into(), busy), ("e1".into(), busy)].into_iter());
    let mut prompt = prompt(5, 1);
    prompt.prompt_tokens = 80_000;
    let now = Duration::from_secs(100);
    let job = Job { prompt: Some(&prompt), hash: 3, latest: now + Duration::from_secs(1) };
    let candidates = endpoints.iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
    let choice = board.choose(job, "a", candidates, Some(&ENGINE), now).expect("an endpoint");
    assert!(choice.predicted > Duration::from_secs(1), "{choice:?}");
}

/// Guards against short prompts that count as much as long ones: some take many times their estimate
/// although the service is at its usual pace.
#[test]
fn short_prompts_leave_the_pace() {
    let mut board = Board::default();
    let (service, now) = (Arc::from("s"), Duration::from_secs(100));
    let ms = Duration::from_millis;
    for index in 0..200 {
        let took = if index % 10 == 9 { ms(300) } else { ms(30) };
        board.record_pace(&service, took, ms(30), now);
        board.record_pace(&service, ms(320), ms(320), now);
        assert!(board.pace("s", now) < 1.5, "{}", board.pace("s", now));
    }
}

/// Guards against a node that refuses requests after its start because its first answer was slow.
#[test]
fn one_answer_makes_no_pace() {
    let mut board = Board::default();
    let (service, now) = (Arc::from("s"), Duration::from_secs(100));
    let (usual, slow) = (Duration::from_millis(30), Duration::from_millis(150));
    board.record_pace(&service, slow, usual, now);
    assert!(board.pace("s", now) < 2.0, "{}", board.pace("s", now));
}
