//! Orders of roll-outs that can't be read, without a network.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::platform::Phase;
use pomelolink::gateway::rollout::{Earlier, Record};
use pomelolink::gateway::shift::{Exposure, Shifts};
use pomelolink::gateway::version::Version;

const NOW: Duration = Duration::from_secs(100);
const TIME_LIMIT: Duration = Duration::from_secs(12);

fn service() -> Arc<str> {
    Arc::from("s")
}

fn revision(number: u64) -> Version {
    Version::new(1, number)
}

/// Returns the versions among `v1`, `v2` and `v3` that some request may be served by.
fn served(shifts: &Shifts) -> Vec<&'static str> {
    let admits = |version: &&str| {
        (0..500).any(|hash| shifts.select("s", hash).is_none_or(|it| it.admits(version)))
    };
    ["v1", "v2", "v3"].into_iter().filter(admits).collect()
}

fn record(number: u64, phase: Phase) -> Record {
    Record { revision: revision(number), version: "v2".into(), phase, earlier: Earlier::default() }
}

/// Guards against a roll-out that goes on, or is completed, although a newer order replaced it.
#[test]
fn unreadable_order_ends_rollout() {
    let mut shifts = Shifts::new(Exposure::default());
    shifts.start(service(), "v2".into(), TIME_LIMIT, revision(5), NOW);
    assert_eq!(served(&shifts), ["v1", "v2", "v3"]);
    assert!(shifts.start_unreadable(service(), None, revision(7), NOW));
    assert_eq!(served(&shifts), ["v1", "v3"]);
    let later = NOW + TIME_LIMIT;
    shifts.update_stages(later);
    assert_eq!(served(&shifts), ["v1", "v3"]);
    assert_eq!(shifts.records(later, |_, _| true), [], "there is no version to tell of");
    assert!(!shifts.start_unreadable(service(), None, revision(6), later), "an earlier order");

    assert!(shifts.start(service(), "v3".into(), TIME_LIMIT, revision(9), later));
    assert_eq!(served(&shifts), ["v1", "v3"], "a readable order is carried out");
    assert!(!shifts.start_unreadable(service(), None, revision(7), later));
}

/// Guards against a version that gets requests without a time limit, and against operators that aren't told.
#[test]
fn order_without_time_limit_is_reverted() {
    let mut shifts = Shifts::new(Exposure::default());
    shifts.start_unreadable(service(), Some("v2".into()), revision(7), NOW);
    assert_eq!(served(&shifts), ["v1", "v3"]);
    let records = shifts.records(NOW, |_, _| true);
    assert_eq!(records, [(service(), record(7, Phase::Reverted))]);
    shifts.apply_phase("s", revision(7), Phase::Reverted);
    assert_eq!(served(&shifts), ["v1", "v3"]);
}

/// Guards against a node that starts with an unreadable order and serves the version of the one before, or nothing
/// although that one was completed.
#[test]
fn start_reads_record_before() {
    for (phase, expected) in [
        (Phase::InProgress, &["v1", "v3"][..]),
        (Phase::Reverted, &["v1", "v3"]),
        (Phase::Completed, &["v1", "v2", "v3"]),
    ] {
        let mut shifts = Shifts::new(Exposure::default());
        shifts.start_unreadable(service(), None, revision(7), NOW);
        shifts.await_record(&service());
        let awaited = HashSet::from([service()]);
        let before = record(5, phase);
        shifts.adopt_records(&awaited, |_| Some(&before));
        assert_eq!(served(&shifts), expected, "{phase:?}");
    }
}
