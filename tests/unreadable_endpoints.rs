//! Endpoints whose rows can't be read, without a network.

use std::time::Duration;

use pomelolink::gateway::platform::{Change, Endpoint};
use pomelolink::gateway::roster::Roster;
use pomelolink::gateway::unreadable::{Kind, Rows};

const NOW: Duration = Duration::from_secs(100);
const DRAIN: Duration = Duration::from_secs(2);

fn ready(id: &str) -> Change {
    Change::Updated(Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in: None,
        started_ms: 1,
        cold_for: None,
    })
}

fn unreadable(id: &str) -> Change {
    Change::Unreadable { id: id.into(), reason: String::new() }
}

/// Guards against an endpoint that is used on, as after an outage of the store, although its row is there.
#[test]
fn outage_excuses_no_row() {
    let mut roster = Roster::default();
    roster.apply(ready("e"), DRAIN, NOW);
    roster.record_store_outage(NOW);
    assert!(roster.apply(unreadable("e"), DRAIN, NOW).is_some());
    assert!(roster.get("e").is_none());
    assert_eq!(roster.leaves_at("e", 1), Some(NOW + DRAIN), "what runs there goes on until then");
    assert!(roster.apply(unreadable("e"), DRAIN, NOW).is_none(), "nothing leaves a second time");
}

/// Guards against a start of an endpoint that is taken for gone although its row was mended.
#[test]
fn mended_row_returns() {
    let mut roster = Roster::default();
    roster.apply(ready("e"), DRAIN, NOW);
    roster.apply(unreadable("e"), DRAIN, NOW);
    let mut list = vec![ready("e"), unreadable("f")];
    roster.drop_gone(&mut list);
    assert_eq!(list.len(), 2);
    roster.replace(list, DRAIN, NOW);
    assert!(roster.get("e").is_some_and(|entry| entry.is_usable(NOW)));
    assert!(roster.get("f").is_none());
}

/// Guards against a log line for each report, and against one that is missing after a row was mended.
#[test]
fn rows_are_news_once() {
    let mut rows = Rows::default();
    assert!(rows.record(Kind::Endpoint, "e", "no number"));
    assert!(!rows.record(Kind::Endpoint, "e", "no number"));
    assert!(rows.record(Kind::Rollout, "e", "no number"));
    assert_eq!(rows.count(Kind::Endpoint), 1);
    rows.clear(Kind::Endpoint, "e");
    assert!(rows.record(Kind::Endpoint, "e", "no number"));
    rows.retain(Kind::Endpoint, |_| false);
    assert_eq!((rows.count(Kind::Endpoint), rows.count(Kind::Rollout)), (0, 1));
}
