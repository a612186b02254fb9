//! Endpoint changes that nodes gossip, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::notice::{self, Notice, Notices};
use pomelolink::gateway::platform::{Batch, Change, Endpoint};
use pomelolink::gateway::roster::Roster;
use pomelolink::gateway::version::Version;

const NOW: Duration = Duration::from_secs(100);

fn endpoint(draining: bool) -> Change {
    Change::Updated(Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining,
        reclaimable: true,
        leaves_in: draining.then_some(Duration::from_secs(2)),
        started_ms: 1,
        cold_for: None,
    })
}

fn batch(version: u64, changes: Vec<Change>) -> Batch<Change> {
    let version = Version::new(1, version);
    Batch { changes, version, newest_change: version, is_complete: false, is_partial: false }
}

fn gone(version: u64) -> Notice {
    Notice { version: Version::new(1, version), change: Change::Removed(Arc::from("e")) }
}

/// Guards against an endpoint that reappears because a node reads an older state from the store after it
/// received a newer one from a peer.
#[test]
fn stale_reads_are_ignored() {
    let mut notices = Notices::default();
    notices.apply_batch(batch(10, vec![endpoint(false)]));
    assert_eq!(notices.apply_notice(gone(14), NOW), Some(Change::Removed("e".into())));
    assert_eq!(notices.apply_batch(batch(12, vec![endpoint(false)])), vec![]);
    let returned = notices.apply_batch(batch(16, vec![endpoint(false)]));
    assert_eq!(returned, vec![endpoint(false)], "a newer read takes effect");
}

/// Guards against repeated or late notices that undo newer changes.
#[test]
fn repeated_notices_are_ignored() {
    let mut notices = Notices::default();
    notices.apply_batch(batch(10, vec![]));
    assert_eq!(
        notices.apply_notice(gone(9), NOW),
        None,
        "the node has read a later version itself"
    );
    assert!(notices.apply_notice(gone(14), NOW).is_some());
    assert_eq!(notices.apply_notice(gone(14), NOW), None, "received twice");
    assert_eq!(notices.apply_notice(gone(13), NOW), None, "received late from another peer");
    notices.apply_batch(batch(20, vec![]));
    assert_eq!(notices.apply_notice(gone(15), NOW), None, "a later version was read since");
}

/// Guards against peers that expect an endpoint to leave later than it does because the notice doesn't
/// account for its age, and against notices that are sent forever.
#[test]
fn notices_expire() {
    let mut notices = Notices::default();
    notices.apply_batch(batch(10, vec![]));
    notices.publish(&[endpoint(true)], |_| true, NOW);
    let outgoing = notices.outgoing(NOW + Duration::from_millis(300));
    let Change::Updated(endpoint) = &outgoing[0].change else { panic!("{outgoing:?}") };
    assert_eq!(
        (outgoing[0].version, endpoint.leaves_in),
        (Version::new(1, 10), Some(Duration::from_millis(1_700)))
    );
    assert!(notices.outgoing(NOW + Duration::from_secs(1)).is_empty());
}

/// Guards against notices that outlive the loss of the store's history: a complete list replaces them.
#[test]
fn complete_lists_replace_notices() {
    let mut notices = Notices::default();
    notices.apply_batch(batch(10, vec![]));
    notices.apply_notice(gone(14), NOW);
    let complete = Batch {
        changes: vec![endpoint(false)],
        version: Version::new(1, 12),
        newest_change: Version::new(1, 12),
        is_complete: true,
        is_partial: false,
    };
    assert_eq!(notices.apply_batch(complete), vec![endpoint(false)]);
}

/// Guards against peers that miss that an endpoint is leaving: one read can return both states of it under
/// one version, and peers applied only the first (seen with DRAIN on scale-2 of jernhjem-fleet-grown).
#[test]
fn last_state_is_published() {
    let (mut reader, mut peer) = (Notices::default(), Notices::default());
    let changes = reader.apply_batch(batch(10, vec![endpoint(false), endpoint(true)]));
    reader.publish(&changes, |_| true, NOW);
    let outgoing = reader.outgoing(NOW);
    let applied: Vec<_> =
        outgoing.into_iter().filter_map(|notice| peer.apply_notice(notice, NOW)).collect();
    assert_eq!(applied, vec![endpoint(true)]);
}

/// Guards against peers that keep an endpoint which registered again and left between two reads of a node that
/// didn't know it any more (seen with DRAIN after a cut of a failure domain).
#[test]
fn removal_of_unknown_endpoint_is_published() {
    let (mut reader, roster) = (Notices::default(), Roster::default());
    let removed = Change::Removed("e".into());
    let changes = reader.apply_batch(batch(10, vec![endpoint(false), removed.clone()]));
    let is_relevant = |change: &Change| notice::is_relevant(change, roster.get(change.id()));
    reader.publish(&changes, is_relevant, NOW);
    let published: Vec<_> = reader.outgoing(NOW).into_iter().map(|notice| notice.change).collect();
    assert_eq!(published, vec![removed]);
}

/// Guards against a change that some nodes never hear of: the node that read it dies, and the node that
/// reads the store from then on knows it from a peer.
#[test]
fn new_reader_repeats_notices() {
    let mut notices = Notices::default();
    notices.apply_batch(batch(10, vec![]));
    notices.report(false, NOW);
    assert!(notices.apply_notice(gone(14), NOW).is_some());
    let later = NOW + Duration::from_secs(2);
    assert_eq!(notices.report(false, later), later - Duration::from_secs(3));
    assert!(notices.outgoing(later).is_empty());
    let covered_since = notices.report(true, later);
    assert!(covered_since <= NOW, "peers that know less have to read the store themselves");
    let sent: Vec<_> = notices.outgoing(later).into_iter().map(|it| it.version).collect();
    assert_eq!(sent, [Version::new(1, 14)]);
    assert!(notices.outgoing(later + Duration::from_secs(1)).is_empty());
}
