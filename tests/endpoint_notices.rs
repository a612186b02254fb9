//! What nodes tell each other of endpoints, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::notice::{Notice, Notices};
use pomelolink::gateway::platform::{Batch, Change, Endpoint};

const NOW: Duration = Duration::from_secs(100);

fn endpoint(draining: bool) -> Change {
    Change::Seen(Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining,
        reclaimable: true,
        leaves_in: draining.then_some(Duration::from_secs(2)),
        born_ms: 1,
    })
}

fn batch(version: u64, changes: Vec<Change>) -> Batch<Change> {
    Batch { changes, version, complete: false }
}

fn gone(version: u64) -> Notice {
    Notice { version, change: Change::Gone(Arc::from("e")) }
}

/// Guards against an endpoint that comes back because a node reads, after it was told, an answer
/// that the store gave before.
#[test]
fn older_reads_give_way_to_what_was_told() {
    let mut notices = Notices::default();
    notices.read(batch(10, vec![endpoint(false)]));
    assert_eq!(notices.hear(gone(14)), Some(Change::Gone("e".into())));
    assert_eq!(notices.read(batch(12, vec![endpoint(false)])), vec![]);
    let back = notices.read(batch(16, vec![endpoint(false)]));
    assert_eq!(back, vec![endpoint(false)], "a newer read counts");
}

/// Guards against notices that are told several times, or late, and undo what is known since.
#[test]
fn known_notices_change_nothing() {
    let mut notices = Notices::default();
    notices.read(batch(10, vec![]));
    assert_eq!(notices.hear(gone(9)), None, "the node has read further itself");
    assert!(notices.hear(gone(14)).is_some());
    assert_eq!(notices.hear(gone(14)), None, "told again");
    assert_eq!(notices.hear(gone(13)), None, "told late by another peer");
    notices.read(batch(20, vec![]));
    assert_eq!(notices.hear(gone(15)), None, "read since");
}

/// Guards against a peer that believes an endpoint to stay longer than it does, and against notices
/// that are told for good.
#[test]
fn notices_age() {
    let mut notices = Notices::default();
    notices.read(batch(10, vec![]));
    notices.publish(&[endpoint(true)], |_| true, NOW);
    let told = notices.recent(NOW + Duration::from_millis(300));
    let Change::Seen(endpoint) = &told[0].change else { panic!("{told:?}") };
    assert_eq!((told[0].version, endpoint.leaves_in), (10, Some(Duration::from_millis(1_700))));
    assert!(notices.recent(NOW + Duration::from_secs(1)).is_empty());
}

/// Guards against what was told before the store's history was gone: a whole list replaces it.
#[test]
fn whole_lists_replace_notices() {
    let mut notices = Notices::default();
    notices.read(batch(10, vec![]));
    notices.hear(gone(14));
    let whole = Batch { changes: vec![endpoint(false)], version: 12, complete: true };
    assert_eq!(notices.read(whole), vec![endpoint(false)]);
}

/// Guards against a leaving endpoint that peers take for one that stays: an answer of the store holds both
/// states, of one version, and peers took the first (DRAIN on scale-2 of jernhjem-fleet-grown).
#[test]
fn last_state_of_an_answer_counts() {
    let (mut reader, mut peer) = (Notices::default(), Notices::default());
    let changes = reader.read(batch(10, vec![endpoint(false), endpoint(true)]));
    reader.publish(&changes, |_| true, NOW);
    let told = reader.recent(NOW);
    let taken: Vec<_> = told.into_iter().filter_map(|notice| peer.hear(notice)).collect();
    assert_eq!(taken, vec![endpoint(true)]);
}
