//! The account of bodies under seeded arrivals, without a network.

use std::collections::HashMap;
use std::time::Duration;

use pomelolink::intake::connections::{Connections, State};
use pomelolink::intake::ledger::{Kind, Ledger, SMALL_BYTES, time_limit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ARRIVALS: usize = 100_000;
const SIZE: usize = 64_000_000;
/// Timeout of a body, as in the gateway.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A body of the seeded load.
struct Body {
    began: Duration,
    size: usize,
    /// Bytes that its caller sends before it stops.
    sent: usize,
    held: usize,
    is_accepted: bool,
}

fn body(random: &mut StdRng, now: Duration) -> (u64, Body) {
    let owner = if random.random_bool(0.5) { 0 } else { random.random_range(1..8) };
    let is_small = random.random_bool(0.7);
    let size = random.random_range(1..=if is_small { SMALL_BYTES } else { 4 << 20 });
    let stops = !is_small && random.random_bool(0.75);
    let sent = if stops { size - size / 50 - 1 } else { size };
    (owner, Body { began: now, size, sent, held: 0, is_accepted: false })
}

/// Guards against an account that is exceeded, leaks, turns small bodies away, drops accepted ones or keeps unfinished
/// ones forever.
#[test]
fn seeded_bodies() {
    let mut random = StdRng::seed_from_u64(44);
    let mut ledger = Ledger::new(SIZE);
    let mut bodies: HashMap<u64, Body> = HashMap::new();
    let (mut refused, mut dropped_count, mut peak) = (0, 0, 0);
    for index in 0..ARRIVALS {
        let now = Duration::from_millis(2 * index as u64);
        let (owner, body) = body(&mut random, now);
        bodies.insert(ledger.open(owner, Kind::Unfinished, now), body);
        let mut ids: Vec<_> = bodies.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(body) = bodies.get_mut(&id) else { continue };
            if body.is_accepted {
                // Each request runs for a moment.
                if random.random_bool(0.2) {
                    ledger.close(id);
                    bodies.remove(&id);
                }
                continue;
            }
            let limit = body.began + time_limit(body.held).min(TIMEOUT);
            if now >= limit {
                ledger.close(id);
                bodies.remove(&id);
                continue;
            }
            let target = body.sent.min((body.held * 2).max(SMALL_BYTES));
            if target == body.held {
                continue;
            }
            match ledger.grow(id, target, now) {
                Some(dropped) => {
                    body.held = target;
                    if target == body.size {
                        assert!(ledger.accept(id));
                        body.is_accepted = true;
                    }
                    for other in dropped {
                        let other = bodies.remove(&other).expect("it was open");
                        assert!(!other.is_accepted, "an accepted body was dropped");
                        dropped_count += 1;
                    }
                }
                None => {
                    assert!(body.size > SMALL_BYTES, "a small body was refused");
                    refused += 1;
                    ledger.close(id);
                    bodies.remove(&id);
                }
            }
        }
        let held: usize = bodies.values().map(|body| body.held).sum();
        assert_eq!(ledger.used(), held);
        assert!(held <= SIZE, "{held} bytes are held");
        peak = peak.max(held);
        let oldest = bodies.values().filter(|body| !body.is_accepted).map(|body| body.began).min();
        assert!(oldest.is_none_or(|began| now < began + TIMEOUT + Duration::from_millis(2)));
    }
    println!("{ARRIVALS} arrivals: {refused} refused, {dropped_count} dropped, peak {peak} bytes");
    assert!(refused > 0 && peak > SIZE / 2, "the load never filled the account");
    bodies.keys().for_each(|id| ledger.close(*id));
    assert_eq!(ledger.used(), 0, "bytes were not returned");
}

/// Guards against responses that drop accepted bodies, or have no room while unfinished bodies hold it.
#[test]
fn responses_come_first() {
    let mut ledger = Ledger::new(8_000_000);
    let at = Duration::from_millis;
    let accepted = ledger.open(1, Kind::Unfinished, at(0));
    assert!(ledger.grow(accepted, 3_000_000, at(0)).is_some() && ledger.accept(accepted));
    let unfinished = ledger.open(2, Kind::Unfinished, at(1));
    assert!(ledger.grow(unfinished, 3_500_000, at(1)).is_some());
    let response = ledger.open(3, Kind::Accepted, at(2));
    assert_eq!(ledger.grow(response, 3_000_000, at(2)), Some(vec![unfinished]));
    assert_eq!(ledger.grow(response, 6_000_000, at(3)), None, "an accepted body was dropped");
    assert_eq!(ledger.used(), 6_000_000);
}

/// Guards against one caller that takes all the room while others hold some.
#[test]
fn half_for_one_caller() {
    let mut ledger = Ledger::new(8_000_000);
    let other = ledger.open(2, Kind::Unfinished, Duration::ZERO);
    assert!(ledger.grow(other, 1_000, Duration::ZERO).is_some());
    let mut grow = |bytes| {
        let id = ledger.open(1, Kind::Unfinished, Duration::ZERO);
        ledger.grow(id, bytes, Duration::ZERO).is_some()
    };
    assert!(grow(3_000_000));
    assert!(!grow(2_000_000), "one caller holds more than half");
    assert!(grow(SMALL_BYTES), "a small body was refused");
}

/// Guards against connections beyond the limit, and against a close of one that runs a request while others are idle.
#[test]
fn seeded_connections() {
    let mut random = StdRng::seed_from_u64(44);
    let mut connections = Connections::new(100);
    let mut open: Vec<(u64, std::sync::Arc<tokio::sync::Notify>, bool)> = Vec::new();
    for index in 0..ARRIVALS {
        let now = Duration::from_millis(index as u64);
        if let Some((id, closed)) = connections.open(now) {
            open.push((id, closed, false));
        } else {
            assert!(open.iter().all(|(.., is_accepted)| *is_accepted));
        }
        let at = random.random_range(0..open.len());
        let state = [State::Idle, State::Reading, State::Accepted][random.random_range(0..3)];
        if connections.set(open[at].0, state, now) {
            open[at].2 = state == State::Accepted;
        } else {
            assert!(!open[at].2, "a connection with an accepted request was closed");
            open.remove(at);
        }
        assert!(connections.count() <= 100);
        open.retain(|(id, _, is_accepted)| {
            let is_ended = *is_accepted && random.random_bool(0.05);
            if is_ended {
                connections.close(*id);
            }
            !is_ended
        });
        if open.len() > 400 {
            open.retain(|(_, closed, _)| std::sync::Arc::strong_count(closed) > 1);
        }
    }
    assert!(connections.closed > 0);
}
