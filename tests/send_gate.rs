//! The last check before a request is written to an endpoint, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::budget::{Budget, Limit};
use pomelolink::gateway::gate::{self, Hold};
use pomelolink::gateway::platform::{Change, Endpoint, Pause, RateLimit};
use pomelolink::gateway::rate_limit::Fleet;
use pomelolink::gateway::roster::Roster;

const DRAIN: Duration = Duration::from_secs(2);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn endpoint(started_ms: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in: None,
        started_ms,
        cold_for: None,
    }
}

fn listed() -> Roster {
    let mut roster = Roster::default();
    let domains = [(Arc::from("a"), 1)].into_iter().collect();
    let fleet =
        Fleet { node: "n".into(), domain: "a".into(), neighbors: Vec::new(), domains, share: 1.0 };
    roster.stated.limits.set_fleet(fleet, at(1));
    roster.apply(Change::Updated(endpoint(1)), DRAIN, at(1));
    roster
}

fn hold(roster: &mut Roster, now: Duration) -> Option<Hold> {
    gate::admit(roster, &endpoint(1), false, None, now).err()
}

/// Guards against a request that is written after its endpoint said that it leaves, or was seen to.
#[test]
fn leaving_endpoint_gets_no_placed_request() {
    let mut roster = listed();
    assert_eq!(hold(&mut roster, at(2)), None);
    roster.record_leaving("e", 1, DRAIN, at(2));
    assert_eq!(hold(&mut roster, at(2)), Some(Hold::Leaving));
    let mut roster = listed();
    let row = Endpoint { draining: true, ..endpoint(1) };
    roster.apply(Change::Updated(row), DRAIN, at(2));
    assert_eq!(hold(&mut roster, at(2)), Some(Hold::Leaving));
    let mut roster = listed();
    roster.apply(Change::Removed("e".into()), DRAIN, at(2));
    assert_eq!(hold(&mut roster, at(2)), Some(Hold::Gone));
    let mut roster = listed();
    roster.apply(Change::Updated(endpoint(2)), DRAIN, at(2));
    assert_eq!(hold(&mut roster, at(2)), Some(Hold::Gone), "it was placed on an earlier start");
}

/// Guards against an endpoint that gets nothing while its row is in doubt after an outage, or while it fails.
#[test]
fn doubted_endpoint_gets_placed_requests() {
    let mut roster = listed();
    roster.record_store_outage(at(2));
    roster.apply(Change::Removed("e".into()), DRAIN, at(2));
    assert_eq!(hold(&mut roster, at(3)), None);
    assert_eq!(hold(&mut roster, at(5)), Some(Hold::Gone));
    let mut roster = listed();
    for _ in 0..9 {
        roster.health("e").expect("listed").record_failure(at(2));
    }
    assert!(!roster.get("e").expect("listed").is_usable(at(2)));
    assert_eq!(hold(&mut roster, at(2)), None);
}

/// Guards against a request that is written in a pause, and against a pause that outlasts its end.
#[test]
fn paused_endpoint_gets_no_placed_request() {
    let mut roster = listed();
    roster.stated.record_pause(&endpoint(1), Pause::For(at(3)), at(2));
    // A request that was placed at the end of the pause holds the turn of the next ones.
    roster.stated.pauses.record_request("e", at(5));
    assert_eq!(hold(&mut roster, at(4)), Some(Hold::Paused));
    assert_eq!(hold(&mut roster, at(5)), None);
}

/// Guards against requests beyond a limit that was named after they were placed, and against one charged twice.
#[test]
fn unpaid_request_is_charged_to_new_limit() {
    let mut roster = listed();
    roster.stated.record_limit(&endpoint(1), RateLimit::PerSecond(1.0), at(2));
    let unpaid: Vec<_> = (0..5).map(|_| hold(&mut roster, at(2))).collect();
    assert_eq!(unpaid[..2], [None, None]);
    assert_eq!(unpaid[2..], [Some(Hold::Limited); 3]);
    assert!(
        gate::admit(&mut roster, &endpoint(1), true, None, at(2)).is_ok(),
        "it was charged before"
    );
    assert_eq!(hold(&mut roster, at(3)), None);
}

/// Guards against a budget that is used up by retries that were held back.
#[test]
fn held_back_retry_is_refunded() {
    let service: Arc<str> = "s".into();
    let mut budget = Budget::new(Limit { ratio: 0.0, window: at(10), slack: 2.0 });
    for _ in 0..100 {
        assert!(budget.try_acquire(&service, 1, at(1)));
        budget.refund(&service);
    }
    assert!(budget.try_acquire(&service, 1, at(1)));
    assert!(budget.try_acquire(&service, 1, at(1)));
    assert!(!budget.try_acquire(&service, 1, at(1)));
}
