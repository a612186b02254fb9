//! The list of endpoints and the health of each, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::platform::{Change, Endpoint};
use pomelolink::gateway::roster::Roster;

/// Time for which a draining endpoint keeps running.
const DRAIN: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn endpoint(id: &str, draining: bool, born_ms: u64) -> Change {
    Change::Updated(Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 6,
        draining,
        reclaimable: false,
        leaves_in: None,
        started_ms: born_ms,
        cold_for: None,
    })
}

fn usable(roster: &Roster, ms: u64) -> Vec<Arc<str>> {
    let usable = roster.iter().filter(|entry| entry.is_usable(at(ms)));
    usable.map(|entry| entry.endpoint.id.clone()).collect()
}

/// Guards against requests to an endpoint that left, because a node that was cut off from the store told of
/// an outage: only the outage of the node that read the removal counts. Seen as a DRAIN failure on
/// deploy/days/leader-cuts.toml of koinos-photo, seed 681719437785.
#[test]
fn outage_of_another_reader() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    roster.apply(endpoint("f", false, 1), DRAIN, at(0));
    roster.record_store_outage(at(900));
    roster.apply_read(Change::Removed("e".into()), None, DRAIN, at(1_000));
    assert_eq!(usable(&roster, 1_000), ["f".into()], "the reader of the removal had no outage");
    roster.apply_read(Change::Removed("f".into()), Some(at(950)), DRAIN, at(1_000));
    assert_eq!(usable(&roster, 1_000), ["f".into()], "its entry may come back");
    assert!(usable(&roster, 3_000).is_empty());
}

/// Guards against new requests to an endpoint that is draining.
#[test]
fn draining_gets_no_requests() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    assert_eq!(usable(&roster, 0), ["e".into()]);
    roster.apply(endpoint("e", true, 1), DRAIN, at(10));
    assert!(usable(&roster, 10).is_empty());
}

/// Guards against refusing all requests when entries expired during a store outage: live endpoints
/// register again within two seconds. Without an outage a missing entry means that the endpoint is gone.
#[test]
fn entries_missing_after_outage() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    roster.record_store_outage(at(5_000));
    roster.apply(Change::Removed("e".into()), DRAIN, at(6_000));
    assert_eq!(usable(&roster, 6_000), ["e".into()]);
    assert!(
        usable(&roster, 7_000).is_empty(),
        "it did not register again within 2 s of the outage"
    );
    roster.expire(at(7_000));
    assert_eq!(roster.iter().count(), 0);

    roster.apply(endpoint("f", false, 1), DRAIN, at(20_000));
    roster.apply(Change::Removed("f".into()), DRAIN, at(20_100));
    assert!(usable(&roster, 20_100).is_empty());
}

/// Guards against an endpoint that fails half of its requests and still gets its share of them.
#[test]
fn partly_failing_is_paused() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    let mut paused = 0;
    for ms in (0..10_000).step_by(50) {
        let health = roster.health("e").expect("listed");
        if health.is_paused(at(ms)) {
            paused += 1;
        } else if (ms / 50) % 2 == 0 {
            health.record_failure(at(ms));
        } else {
            health.record_success();
        }
    }
    assert!(paused > 140, "paused for {paused} of 200 steps");
}

/// Guards against pausing endpoints of a service that fails one request in seven on its own.
#[test]
fn occasional_failures_tolerated() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    for step in 0..700_u64 {
        let health = roster.health("e").expect("listed");
        assert!(!health.is_paused(at(step * 50)), "paused at step {step}");
        if step % 7 == 0 {
            health.record_failure(at(step * 50));
        } else {
            health.record_success();
        }
    }
}

/// Guards against applying the health of an endpoint to its successor that started under the same id.
#[test]
fn restart_resets_health() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    for _ in 0..5 {
        roster.health("e").expect("listed").record_failure(at(10));
    }
    assert!(usable(&roster, 20).is_empty());
    roster.apply(endpoint("e", false, 2), DRAIN, at(30));
    assert_eq!(usable(&roster, 30), ["e".into()]);
}

/// Guards against streams that are moved too late: an endpoint may disappear from the list without
/// draining, and later events must not postpone its departure.
#[test]
fn departure_time_stays_fixed() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    roster.apply(endpoint("f", false, 1), DRAIN, at(0));
    assert_eq!(roster.leaves_at("e", 1), None);
    roster.apply(Change::Removed("e".into()), DRAIN, at(500));
    roster.apply(Change::Removed("f".into()), DRAIN, at(1_500));
    assert_eq!(roster.leaves_at("e", 1), Some(at(2_500)));
    roster.apply(endpoint("g", false, 1), DRAIN, at(600));
    roster.apply(endpoint("g", true, 1), DRAIN, at(700));
    roster.apply(endpoint("g", true, 1), DRAIN, at(1_200));
    assert_eq!(roster.leaves_at("g", 1), Some(at(2_700)), "the first report counts");
}

/// Guards against requests to an endpoint that left more than two seconds after a store outage: entries
/// that disappear after that time are gone for good.
#[test]
fn later_departures_take_effect() {
    let mut roster = Roster::default();
    roster.apply(endpoint("e", false, 1), DRAIN, at(0));
    roster.record_store_outage(at(5_000));
    roster.apply(Change::Removed("e".into()), DRAIN, at(7_500));
    assert!(usable(&roster, 7_500).is_empty());
}
