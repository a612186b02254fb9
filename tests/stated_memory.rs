//! What is remembered of endpoints' statements whatever becomes of their rows, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::platform::{Change, Endpoint, Pause, RateLimit};
use pomelolink::gateway::rate_limit::{Fleet, Permit, Scope};
use pomelolink::gateway::roster::Roster;
use pomelolink::gateway::statement::{ABSENT_TIME, MAX_ABSENT};

const DRAIN: Duration = Duration::from_secs(2);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn endpoint(id: &str, started_ms: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
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

fn list(roster: &mut Roster, id: &str, started_ms: u64, now: Duration) {
    roster.expire(now);
    roster.apply(Change::Updated(endpoint(id, started_ms)), DRAIN, now);
}

fn unlist(roster: &mut Roster, id: &str, now: Duration) {
    roster.apply(Change::Removed(id.into()), DRAIN, now);
    roster.expire(now);
}

fn avoidance(roster: &Roster, id: &str, now: Duration) -> Option<&'static str> {
    roster.get(id).expect("listed").avoidance(now)
}

/// Guards against a leaving that is forgotten when the endpoint's row runs out in an outage of the store.
#[test]
fn leaving_outlives_a_doubted_row() {
    for is_said in [true, false] {
        let mut roster = Roster::default();
        list(&mut roster, "e", 1, at(1));
        if is_said {
            assert!(roster.record_leaving("e", 1, DRAIN, at(2)));
        } else {
            let row = Endpoint { draining: true, ..endpoint("e", 1) };
            roster.apply(Change::Updated(row), DRAIN, at(2));
        }
        roster.record_store_outage(at(5));
        unlist(&mut roster, "e", at(6));
        roster.expire(at(9));
        assert!(roster.get("e").is_none(), "the row didn't come back");
        list(&mut roster, "e", 1, at(10));
        assert_eq!(avoidance(&roster, "e", at(10)), Some("leaving"));
        list(&mut roster, "e", 2, at(11));
        assert_eq!(avoidance(&roster, "e", at(11)), None, "another start is another endpoint");
    }
}

/// Guards against a word that is lost because its endpoint has no row at that moment.
#[test]
fn unlisted_endpoint_says_that_it_leaves() {
    let mut roster = Roster::default();
    list(&mut roster, "e", 1, at(1));
    unlist(&mut roster, "e", at(2));
    assert!(!roster.record_leaving("e", 1, DRAIN, at(3)), "no entry changes");
    list(&mut roster, "e", 1, at(4));
    assert_eq!(avoidance(&roster, "e", at(4)), Some("leaving"));
}

/// Guards against a restored row of an earlier start that hides the word of the one that runs.
#[test]
fn earlier_row_hides_no_leaving() {
    let mut roster = Roster::default();
    list(&mut roster, "e", 2, at(1));
    assert!(roster.record_leaving("e", 2, DRAIN, at(2)));
    list(&mut roster, "e", 1, at(3));
    assert_eq!(avoidance(&roster, "e", at(3)), Some("leaving"));
    list(&mut roster, "e", 2, at(4));
    assert_eq!(avoidance(&roster, "e", at(4)), Some("leaving"));
    assert!(!roster.record_leaving("e", 1, DRAIN, at(5)), "an answer of an earlier start");
    list(&mut roster, "e", 3, at(6));
    assert_eq!(avoidance(&roster, "e", at(6)), None);
}

/// Returns a roster whose listed endpoint has asked for a pause of 20 s, and named a limit, at 2 s.
fn stated() -> Roster {
    let mut roster = Roster::default();
    let domains = [(Arc::from("a"), 1)].into_iter().collect();
    let fleet =
        Fleet { node: "n".into(), domain: "a".into(), neighbors: Vec::new(), domains, share: 1.0 };
    roster.stated.limits.set_fleet(fleet, at(1));
    list(&mut roster, "e", 1, at(1));
    roster.stated.record_pause(&endpoint("e", 1), Pause::For(at(20)), at(2));
    roster.stated.record_limit(&endpoint("e", 1), RateLimit::PerSecond(1.0), at(2));
    for _ in 0..2 {
        roster.stated.limits.spend("e", at(2));
    }
    roster
}

/// Guards against a pause and a limit that end when the endpoint is missing from one list.
#[test]
fn missing_row_ends_no_statement() {
    let mut roster = stated();
    unlist(&mut roster, "e", at(3));
    assert_eq!(roster.stated.limited_count(), 0, "only listed endpoints count");
    assert!(roster.stated.limit_reports(Scope::All, at(3)).is_empty());
    let reports = stated().stated.limit_reports(Scope::All, at(3));
    assert_eq!(reports.len(), 1);
    for now in [at(4), at(5)] {
        roster.apply(Change::Updated(endpoint("e", 1)), DRAIN, now);
        roster.expire(now);
    }
    assert!(roster.stated.pauses.is_paused("e", at(21)));
    assert_eq!(roster.stated.limits.rate("e"), Some(1.0));
    assert!(matches!(roster.stated.limits.permit("e", at(2)), Permit::After(_)), "no new tokens");
    assert_eq!(roster.stated.limited_count(), 1);
}

/// Guards against statements that outlast the start of their endpoint, and against late ones of an earlier start.
#[test]
fn later_start_ends_all_statements() {
    let mut roster = stated();
    let reports = roster.stated.limit_reports(Scope::All, at(3));
    list(&mut roster, "e", 2, at(4));
    assert_eq!(roster.stated.pauses.wait("e", at(4)), None);
    assert_eq!(roster.stated.limits.permit("e", at(4)), Permit::Granted);
    assert!(roster.merge_limits(&reports, false, at(0), at(5)).is_empty(), "a peer's late report");
    roster.stated.record_pause(&endpoint("e", 2), Pause::For(at(3)), at(5));
    roster.stated.record_pause(&endpoint("e", 1), Pause::For(at(30)), at(5));
    assert!(!roster.stated.pauses.is_paused("e", at(9)), "an answer of an earlier start");
    // A row of an earlier start, from a restored store, ends nothing.
    list(&mut roster, "e", 1, at(6));
    assert!(roster.stated.pauses.is_paused("e", at(7)));
}

/// Guards against statements of endpoints that are long gone, and against a memory without a bound.
#[test]
fn absent_endpoints_are_forgotten() {
    let mut roster = Roster::default();
    for id in ["kept", "gone"] {
        list(&mut roster, id, 1, at(1));
        roster.record_leaving(id, 1, DRAIN, at(1));
    }
    unlist(&mut roster, "gone", at(2));
    roster.expire(at(2) + ABSENT_TIME - at(1));
    assert_eq!(roster.stated.len(), 2);
    roster.expire(at(2) + ABSENT_TIME);
    assert_eq!(roster.stated.len(), 1, "a listed endpoint's statements stay");
    let now = at(1_000);
    for index in 0..2 * MAX_ABSENT {
        let id: Arc<str> = format!("e{index}").into();
        roster.record_leaving(&id, 1, DRAIN, now);
    }
    roster.expire(now);
    assert_eq!(roster.stated.len(), MAX_ABSENT + 1);
    list(&mut roster, "kept", 1, now);
    assert_eq!(avoidance(&roster, "kept", now), Some("leaving"));
}
