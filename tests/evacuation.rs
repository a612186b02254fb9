//! Evacuated failure domains, without a network.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::cold::{Excess, Rule};
use pomelolink::gateway::evacuation::{Concern, Evacuations};
use pomelolink::gateway::gate::{self, Hold};
use pomelolink::gateway::platform::{Change, Endpoint};
use pomelolink::gateway::roster::Roster;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn endpoint(id: &str, domain: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: domain.into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in: None,
        started_ms: 1,
        cold_for: None,
    }
}

fn listed(endpoints: &[(&str, &str)]) -> Roster {
    let mut roster = Roster::default();
    for (id, domain) in endpoints {
        roster.apply(Change::Updated(endpoint(id, domain)), at(2), at(1));
    }
    roster
}

fn domains(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

/// Guards against a request that was placed before the order and is written after it, and against a domain that
/// stays unused after the order's end.
#[test]
fn placed_request_is_held_back() {
    let mut roster = listed(&[("e1", "a"), ("e2", "b")]);
    let hold = |roster: &mut Roster, id: &str, domain: &str| {
        gate::admit(roster, &endpoint(id, domain), false, None, at(2)).err()
    };
    assert_eq!(hold(&mut roster, "e1", "a"), None);
    assert!(roster.evacuations.begin("a".into()));
    assert!(!roster.evacuations.begin("a".into()), "an order that is read again is not new");
    assert_eq!(hold(&mut roster, "e1", "a"), Some(Hold::Evacuated));
    assert_eq!(hold(&mut roster, "e2", "b"), None);
    assert!(roster.evacuations.end("a"));
    assert!(!roster.evacuations.end("a"));
    assert_eq!(hold(&mut roster, "e1", "a"), None);
}

/// Guards against a domain that stays evacuated because the removal of its order was never read, and against a
/// complete read that ends what it still holds.
#[test]
fn complete_read_ends_others() {
    let mut evacuations = Evacuations::default();
    for domain in ["a", "b"] {
        evacuations.begin(domain.into());
    }
    assert_eq!(evacuations.retain_ordered(&["b".into()]), ["a".into()]);
    assert!(!evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
    assert_eq!(evacuations.retain_ordered(&["b".into()]), []);
}

/// Guards against orders with an unexpected effect that nobody is told of, and against one that isn't executed.
#[test]
fn doubtful_orders_are_named() {
    let listed = domains(&["a", "b"]);
    let mut evacuations = Evacuations::default();
    evacuations.begin("x".into());
    assert_eq!(evacuations.concerns("x", &listed)[..], [Concern::UnknownDomain]);
    evacuations.end("x");
    evacuations.begin("a".into());
    assert!(evacuations.concerns("a", &listed).is_empty());
    evacuations.begin("b".into());
    let concerns = evacuations.concerns("b", &listed);
    assert_eq!(concerns[..], [Concern::Concurrent, Concern::LastDomain]);
    assert!(evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
}

/// Guards against a burst of requests to the endpoints of a domain whose evacuation has ended.
#[test]
fn resumed_endpoints_are_suspected() {
    let mut roster = listed(&[("e1", "a"), ("e2", "b")]);
    assert!(roster.resume_domain("a", at(2)).is_empty(), "the service declares no cold rate");
    let rules = HashMap::from([("s".into(), Rule { start: at(3), per_s: 10.0 })]);
    roster.stated.cold.configure(rules, Excess::default(), at(2));
    assert_eq!(roster.resume_domain("a", at(2)), ["e1".into()]);
    assert!(roster.stated.cold.is_cold("e1", at(4)) && !roster.stated.cold.is_cold("e2", at(4)));
    assert!(!roster.stated.cold.is_cold("e1", at(6)));
}
