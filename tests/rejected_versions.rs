//! Versions that a roll-out has introduced without completing, in the roll-outs after it, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::platform::Phase;
use pomelolink::gateway::rollout::{Earlier, Record};
use pomelolink::gateway::shift::Shifts;
use pomelolink::gateway::verdict::{Conditions, Sample};
use pomelolink::gateway::version::Version;

const START: Duration = Duration::from_secs(100);
const TIME_LIMIT: Duration = Duration::from_secs(12);

fn order(shifts: &mut Shifts, version: &str, revision: u64) {
    shifts.start("s".into(), version.into(), TIME_LIMIT, Version::new(0, revision), START);
}

fn end(shifts: &mut Shifts, revision: u64, phase: Phase) {
    shifts.apply_phase("s", Version::new(0, revision), phase);
}

/// Returns how many of 1,000 requests may go to a version.
fn admitted(shifts: &Shifts, version: &str) -> usize {
    let admits = |hash: &u64| shifts.select("s", *hash).is_none_or(|it| it.admits(version));
    (0..1_000).filter(admits).count()
}

/// Guards against a reverted version that gets its traffic back with the next order.
#[test]
fn reverted_version_stays_out() {
    let mut shifts = Shifts::default();
    order(&mut shifts, "v2", 7);
    end(&mut shifts, 7, Phase::Reverted);
    order(&mut shifts, "v3", 8);
    assert_eq!(admitted(&shifts, "v2"), 0);
    assert!(admitted(&shifts, "v1") > 900);
    end(&mut shifts, 8, Phase::Completed);
    order(&mut shifts, "v4", 9);
    assert_eq!(admitted(&shifts, "v2"), 0, "two orders later");
    assert!(admitted(&shifts, "v3") > 900);
}

/// Guards against a version that gets most requests since the next order came before its roll-out had ended.
#[test]
fn unfinished_version_stays_out() {
    let mut shifts = Shifts::default();
    order(&mut shifts, "v2", 7);
    order(&mut shifts, "v3", 8);
    assert_eq!(admitted(&shifts, "v2"), 0);
    assert!(admitted(&shifts, "v1") > 900);
}

/// Guards against a rejected version that can't be ordered again.
#[test]
fn rejected_version_can_be_ordered_again() {
    let mut shifts = Shifts::default();
    order(&mut shifts, "v2", 7);
    end(&mut shifts, 7, Phase::Reverted);
    order(&mut shifts, "v2", 8);
    assert!((1..100).contains(&admitted(&shifts, "v2")));
    end(&mut shifts, 8, Phase::Completed);
    order(&mut shifts, "v3", 9);
    assert!(admitted(&shifts, "v2") > 900);
}

/// Guards against requests to a rejected version on a node that has started since: it knows only the newest order,
/// and the record of that or of the one before.
#[test]
fn started_node_learns_rejected_versions() {
    let record = |revision, version: &str, phase, earlier: Earlier| Record {
        revision: Version::new(0, revision),
        version: version.into(),
        phase,
        earlier,
    };
    let mut earlier = Earlier::default();
    earlier.add(Version::new(0, 7), &"v2".into(), Phase::Reverted);
    let records = [
        record(8, "v3", Phase::InProgress, earlier),
        record(7, "v2", Phase::Reverted, Earlier::default()),
        record(7, "v2", Phase::InProgress, Earlier::default()),
    ];
    for record in records {
        let mut shifts = Shifts::default();
        order(&mut shifts, "v3", 8);
        shifts.await_record(&"s".into());
        shifts.adopt_records(&shifts.awaited_records(), |_| Some(&record));
        assert_eq!(admitted(&shifts, "v2"), 0, "{record:?}");
        assert!(admitted(&shifts, "v1") > 900, "{record:?}");
        let recorded = shifts.records(START, |_, _| true);
        assert!(recorded[0].1.earlier.is_rejected("v2"), "the next record forgets it");
    }
}

/// Guards against a rejected version that a node doesn't know since the order for it was never recorded, though a
/// peer has seen it.
#[test]
fn peers_tell_rejected_versions() {
    let (mut node, mut peer) = (Shifts::default(), Shifts::default());
    order(&mut peer, "v2", 7);
    order(&mut peer, "v3", 8);
    order(&mut node, "v3", 8);
    node.merge_peer(&Arc::from("n1"), 1, peer.reports(START), START);
    assert_eq!(admitted(&node, "v2"), 0);
}

/// Guards against a completed version that a node keeps out since it was cut off when the roll-out ended.
#[test]
fn completed_version_is_not_rejected() {
    let mut shifts = Shifts::default();
    order(&mut shifts, "v2", 7);
    order(&mut shifts, "v3", 8);
    let record = Record {
        revision: Version::new(0, 7),
        version: "v2".into(),
        phase: Phase::Completed,
        earlier: Earlier::default(),
    };
    shifts.adopt_records(&shifts.awaited_records(), |_| Some(&record));
    assert!(admitted(&shifts, "v2") > 900);
}

/// Guards against a bad version that is compared with the one rejected before it.
#[test]
fn rejected_version_is_no_baseline() {
    let mut shifts = Shifts::default();
    order(&mut shifts, "v2", 7);
    order(&mut shifts, "v3", 8);
    // Half of the next version's requests fail, as many as of v1 and v2 together.
    for answer in 0..200 {
        let next = if answer % 2 == 0 { Sample::Failed } else { Sample::Start(1.0) };
        for (version, sample) in [("v1", Sample::Start(1.0)), ("v2", Sample::Failed), ("v3", next)]
        {
            shifts.record("s", version, Conditions::default(), sample);
        }
    }
    shifts.judge(START);
    assert_eq!(shifts.phases(START, |_, _| true)[0].3, Phase::Reverted);
    let (new, old) = (shifts.is_serving("s", "v3"), shifts.is_serving("s", "v1"));
    assert!(old && !new && !shifts.is_serving("s", "v2"), "rejected endpoints count as capacity");
}

/// Guards against a service without a serving version: a peer that has missed the completion of a version, and then
/// learns of the next order, must not make the others reject it.
#[test]
fn missed_completion_rejects_nothing() {
    let (mut node, mut cut_off) = (Shifts::default(), Shifts::default());
    for shifts in [&mut node, &mut cut_off] {
        order(shifts, "v2", 7);
    }
    end(&mut node, 7, Phase::Completed);
    for shifts in [&mut node, &mut cut_off] {
        order(shifts, "v3", 8);
    }
    node.merge_peer(&Arc::from("n2"), 1, cut_off.reports(START), START);
    assert!(admitted(&node, "v2") > 900 && node.is_serving("s", "v2"));
    cut_off.merge_peer(&Arc::from("n1"), 1, node.reports(START), START);
    assert!(admitted(&cut_off, "v2") > 900);
    let record = node.records(START, |_, _| true).remove(0).1;
    let mut started = Shifts::default();
    order(&mut started, "v3", 8);
    started.adopt_records(&started.awaited_records(), |_| Some(&record));
    assert!(admitted(&started, "v2") > 900);
}
