//! Pauses that endpoints ask for, without a network.

use std::time::Duration;

use pomelolink::gateway::pause::{MAX_PAUSE, Outcome, Pauses};
use pomelolink::gateway::platform::{Endpoint, Pause};
use pomelolink::gateway::queue;

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
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in: None,
        started_ms,
        cold_for: None,
    }
}

/// Guards against requests within a pause, and against all that waited meeting the endpoint at its end.
#[test]
fn requests_come_back_one_by_one() {
    let mut pauses = Pauses::default();
    assert_eq!(pauses.wait("e", ms(0)), None);
    let outcome = pauses.record(&endpoint(1), Pause::For(ms(2_000)), ms(1_000));
    assert_eq!(outcome, Outcome::Began(ms(2_000)));
    let mut sent = Vec::new();
    for now in (1_000..6_000).map(ms) {
        assert_eq!(pauses.is_paused("e", now), now < ms(3_000));
        // Everything waits for this endpoint.
        while pauses.wait("e", now).is_none() && sent.len() < 1_000 {
            pauses.record_request("e", now);
            sent.push(now);
            if now >= ms(4_000) {
                break;
            }
        }
    }
    assert_eq!(sent[0], ms(3_000), "nothing comes before the end, and something at the end");
    let returning = sent.iter().filter(|at| **at < ms(4_000)).count();
    assert!((5..=10).contains(&returning), "{returning} in the first second");
    assert!(sent.iter().filter(|at| **at >= ms(4_000)).count() > 500, "then it is as before");
}

/// Guards against a pause that a later one shortens, and against ones without a bound.
#[test]
fn longest_pause_holds() {
    let mut pauses = Pauses::default();
    pauses.record(&endpoint(1), Pause::For(ms(4_000)), ms(1_000));
    let shorter = pauses.record(&endpoint(1), Pause::For(ms(500)), ms(1_500));
    assert_eq!(shorter, Outcome::Unchanged);
    assert_eq!(pauses.wait("e", ms(2_000)), Some(ms(3_000)));
    let minutes = pauses.record(&endpoint(1), Pause::For(ms(600_000)), ms(2_000));
    assert_eq!(minutes, Outcome::Unchanged);
    assert_eq!(pauses.wait("e", ms(2_000)), Some(ms(600_000)), "it is kept to its end");
    pauses.record(&endpoint(1), Pause::For(Duration::MAX), ms(2_000));
    assert_eq!(pauses.wait("e", ms(2_000)), Some(MAX_PAUSE));
    // A zero pause is none.
    let mut pauses = Pauses::default();
    assert_eq!(pauses.record(&endpoint(1), Pause::For(ms(0)), ms(1_000)), Outcome::Unchanged);
    assert_eq!(pauses.wait("e", ms(1_000)), None);
}

/// Guards against a pause that outlasts its endpoint, and against values that can't be read.
#[test]
fn pause_ends_with_its_endpoint() {
    let mut pauses = Pauses::default();
    assert_eq!(pauses.record(&endpoint(1), Pause::Absent, ms(1_000)), Outcome::Unchanged);
    assert!(pauses.is_empty());
    let unreadable =
        |pauses: &mut Pauses| pauses.record(&endpoint(1), Pause::Unreadable, ms(1_000));
    assert_eq!(unreadable(&mut pauses), Outcome::Unreadable);
    assert_eq!(unreadable(&mut pauses), Outcome::Unchanged, "it is logged once");
    assert_eq!(pauses.wait("e", ms(1_000)), None);
    pauses.record(&endpoint(1), Pause::For(ms(5_000)), ms(1_000));
    pauses.retain(|_, started_ms| started_ms == 1);
    assert!(pauses.is_paused("e", ms(2_000)));
    pauses.record(&endpoint(2), Pause::For(ms(100)), ms(1_100));
    assert_eq!(pauses.wait("e", ms(1_100)), Some(ms(100)), "another start asks for itself");
    pauses.retain(|_, started_ms| started_ms == 3);
    assert!(pauses.is_empty());
}

/// Guards against advice to come back before the pause is over, and against callers that all come back at once.
#[test]
fn advice_is_never_early() {
    let advice = |hash: u64| queue::delay(ms(1_000), hash);
    assert_eq!(advice(0), ms(1_000));
    assert_eq!(advice(1 << 63), ms(1_125));
    assert!(advice(u64::MAX) > ms(1_249) && advice(u64::MAX) <= ms(1_250));
}
