//! What nodes know across a restore of the platform's store from an older copy, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::notice::{Notice, Notices};
use pomelolink::gateway::platform::{Batch, Change, Endpoint, Phase};
use pomelolink::gateway::roster::Roster;
use pomelolink::gateway::shift::Shifts;
use pomelolink::gateway::version::{Eras, Observed, Version};
use pomelolink::lease::{Action, Event, State};
use pomelolink::platform::{Outcome, Row};

const TIME_LIMIT: Duration = Duration::from_secs(12);
const DRAIN: Duration = Duration::from_secs(2);
const TERM: Duration = Duration::from_secs(3);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn endpoint(draining: bool, started_ms: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining,
        reclaimable: false,
        leaves_in: None,
        started_ms,
        cold_for: None,
    }
}

/// Guards against a version of an earlier era that counts as newer because its number is higher.
#[test]
fn era_decides_before_number() {
    let (old, new) = (Version::new(1, 900), Version::new(2, 5));
    assert!(old < new && old.packed() < new.packed());
    assert_eq!(Version::unpack(old.packed()), old);
    let largest = Version::new(u64::MAX, u64::MAX);
    assert_eq!(Version::unpack(largest.packed()), largest);
}

/// Guards against answers that were under way during a restore, and against eras that are absent, fall or
/// can't be read.
#[test]
fn answers_of_an_earlier_era_are_stale() {
    let mut eras = Eras::default();
    assert_eq!(eras.observe(None, at(1)), Observed::Current(0));
    assert_eq!(eras.observe(Some(4), at(2)), Observed::Current(4));
    assert_eq!(eras.observe(Some(5), at(3)), Observed::Current(5));
    assert_eq!(eras.observe(Some(4), at(4)), Observed::Stale);
    assert_eq!(eras.observe(None, at(4)), Observed::Current(5));
    assert_eq!(eras.observe(Some(u64::MAX), at(4)), Observed::Current(5));
    // No answer is delayed for so long: the store has lost its era.
    assert_eq!(eras.observe(Some(1), at(20)), Observed::Current(5));
    assert_eq!(eras.observe(Some(6), at(21)), Observed::Current(6));
}

/// Guards against notices that a node ignores because it has read a higher number before the restore, and
/// against those that a peer still sends of the time before.
#[test]
fn notices_of_the_new_era_take_effect() {
    let mut notices = Notices::default();
    let batch = |version: Version, is_complete| Batch {
        changes: Vec::new(),
        version,
        newest_change: version,
        is_complete,
        is_partial: false,
    };
    notices.apply_batch(batch(Version::new(1, 900), false));
    let gone = |version| Notice { version, change: Change::Removed("e".into()) };
    assert!(notices.apply_notice(gone(Version::new(2, 40)), at(1)).is_some());
    assert!(notices.apply_notice(gone(Version::new(1, 950)), at(1)).is_none());
    notices.apply_batch(batch(Version::new(2, 60), true));
    assert_eq!(notices.era(), 2);
    assert!(notices.apply_notice(gone(Version::new(1, 990)), at(2)).is_none());
}

/// Guards against a leaving endpoint that a copy of the store shows as ready, and one that had left.
#[test]
fn leaving_endpoints_do_not_return() {
    let mut roster = Roster::default();
    roster.apply(Change::Updated(endpoint(false, 1)), DRAIN, at(1));
    roster.apply(Change::Updated(endpoint(true, 1)), DRAIN, at(2));
    let mut copy = vec![Change::Updated(endpoint(false, 1))];
    roster.drop_gone(&mut copy);
    roster.replace(copy.clone(), DRAIN, at(3));
    assert!(!roster.get("e").expect("still listed").is_usable(at(3)));
    roster.apply(Change::Removed("e".into()), DRAIN, at(4));
    roster.drop_gone(&mut copy);
    assert!(copy.is_empty(), "it had left before the restore");
    // A report after the restore shows that it is alive, and a new start is another endpoint.
    roster.apply(Change::Updated(endpoint(false, 2)), DRAIN, at(5));
    assert!(roster.get("e").expect("listed").is_usable(at(5)));
}

/// Guards against an endpoint that has said itself that it leaves and is taken for ready by a row of the list, also
/// after its entry was removed, and against a departure that is taken for earlier than the list says.
#[test]
fn own_word_of_leaving_holds() {
    let ms = Duration::from_millis;
    let mut roster = Roster::default();
    roster.apply(Change::Updated(endpoint(false, 1)), DRAIN, at(1));
    assert!(!roster.record_leaving("e", 0, DRAIN, at(2)), "a word of an earlier start");
    assert!(roster.get("e").expect("listed").is_usable(at(2)));
    assert!(!roster.record_leaving("other", 1, DRAIN, at(2)), "an unknown endpoint");
    assert!(roster.record_leaving("e", 1, DRAIN, at(2)));
    assert!(!roster.record_leaving("e", 1, DRAIN, at(3)), "it is known");
    assert_eq!(roster.leaves_at("e", 1), Some(at(4)));
    let state = |roster: &Roster, now| roster.get("e").expect("listed").avoidance(now);
    for second in 3..20 {
        roster.apply(Change::Updated(endpoint(false, 1)), DRAIN, at(second));
        assert_eq!(state(&roster, at(second)), Some("leaving"));
        assert_eq!(roster.leaves_at("e", 1), Some(at(4)), "reports don't put it off");
    }
    // Peers are told what is known.
    let mut row = endpoint(false, 1);
    roster.keep_leaving(&mut row);
    assert!(row.draining);
    let leaving = Endpoint { leaves_in: Some(ms(8_000)), ..endpoint(true, 1) };
    roster.apply(Change::Updated(leaving), DRAIN, at(20));
    assert_eq!(roster.leaves_at("e", 1), Some(at(28)), "the list knows when it will be gone");
    roster.apply(Change::Removed("e".into()), DRAIN, at(21));
    roster.apply(Change::Updated(endpoint(false, 1)), DRAIN, at(22));
    assert_eq!(state(&roster, at(22)), Some("leaving"));
    roster.apply(Change::Updated(endpoint(false, 2)), DRAIN, at(23));
    assert_eq!(state(&roster, at(23)), None, "another start is another endpoint");
}

/// Guards against a live endpoint that is dropped because the copy of the store is older than its entry.
#[test]
fn missing_endpoint_is_kept_until_it_reports_again() {
    let mut roster = Roster::default();
    roster.apply(Change::Updated(endpoint(false, 1)), DRAIN, at(1));
    roster.record_store_outage(at(10));
    roster.replace(Vec::new(), DRAIN, at(10));
    assert!(roster.get("e").expect("kept").is_usable(at(11)));
    roster.apply(Change::Updated(endpoint(false, 1)), DRAIN, at(11));
    assert!(roster.get("e").expect("back").is_listed());
}

fn start(shifts: &mut Shifts, version: &str, revision: Version, now: Duration) {
    shifts.start("s".into(), version.into(), TIME_LIMIT, revision, now);
}

fn phase(shifts: &Shifts) -> (Arc<str>, Phase) {
    let (version, phase) = shifts.phase("s").expect("a roll-out");
    (version.clone(), phase)
}

/// Guards against a roll-out that begins anew because its order is read from a copy or is written again.
#[test]
fn ended_rollout_does_not_begin_anew() {
    let mut shifts = Shifts::default();
    start(&mut shifts, "v2", Version::new(1, 10), at(1));
    shifts.apply_phase("s", Version::new(1, 10), Phase::Completed);
    start(&mut shifts, "v3", Version::new(1, 50), at(20));
    shifts.apply_phase("s", Version::new(1, 50), Phase::Reverted);
    // The copy still has the earlier order, and the later one is written again with a number given out anew.
    start(&mut shifts, "v2", Version::new(2, 10), at(30));
    assert_eq!(phase(&shifts), ("v3".into(), Phase::Reverted));
    start(&mut shifts, "v3", Version::new(2, 12), at(32));
    start(&mut shifts, "v3", Version::new(2, 15), at(33));
    assert_eq!(phase(&shifts), ("v3".into(), Phase::Reverted));
    // A second restore.
    start(&mut shifts, "v3", Version::new(3, 11), at(36));
    assert_eq!(phase(&shifts), ("v3".into(), Phase::Reverted));
    // An order that the operators give after the recovery.
    start(&mut shifts, "v3", Version::new(3, 90), at(60));
    assert_eq!(phase(&shifts), ("v3".into(), Phase::InProgress));
    start(&mut shifts, "v4", Version::new(4, 20), at(61));
    assert_eq!(phase(&shifts), ("v4".into(), Phase::InProgress));
}

fn acquire(state: &mut State, now: Duration, version: u64) -> Row {
    let Action::Write(transaction) = state.next_action(now) else { panic!("a write is due") };
    state.handle(Event::Written(Outcome::Done(version)), now);
    let write = &transaction.writes[0];
    Row { key: write.key.clone(), version, value: write.value.clone().expect("a value") }
}

/// Guards against a fence that falls, or serves two holders, because the store has lost the newer row.
#[test]
fn fence_outlives_its_row() {
    let new = |process: &str| State::new("lease".to_owned(), process.into(), TERM);
    let (mut first, mut second) = (new("first"), new("second"));
    first.handle(Event::Read(Ok(None)), at(1));
    let copy = acquire(&mut first, at(1), Version::new(1, 10).packed());
    // The first holder is suspended and the second one takes over.
    second.handle(Event::Read(Ok(Some(copy.clone()))), at(2));
    let now = at(6);
    acquire(&mut second, now, Version::new(1, 30).packed());
    let newer = second.grant().expect("the lease").fence;
    // The store is restored; the first process finds its own row again.
    let restored = Row { version: Version::new(2, 10).packed(), ..copy };
    let now = at(7);
    assert_eq!(first.next_action(now), Action::Read, "the row may be another one");
    first.handle(Event::Read(Ok(Some(restored.clone()))), now);
    first.raise_fence(newer);
    acquire(&mut first, now, Version::new(2, 11).packed());
    let grant = first.grant().expect("the lease");
    assert!(grant.fence > newer);
    assert!(grant.predecessor_end >= now + TERM, "the second holder's grant may still be valid");
    second.raise_fence(grant.fence);
    assert_eq!(second.grant(), None);
    // A row that is lost altogether.
    let mut third = new("third");
    third.raise_fence(grant.fence);
    third.handle(Event::Read(Ok(None)), at(8));
    acquire(&mut third, at(8), Version::new(3, 1).packed());
    let last = third.grant().expect("the lease");
    assert!(last.fence > grant.fence && last.predecessor_end >= at(8) + TERM);
    // Nobody is left who knows a fence.
    let mut fourth = new("fourth");
    fourth.set_least_fence(1_000_000);
    fourth.handle(Event::Read(Ok(None)), at(9));
    acquire(&mut fourth, at(9), Version::new(4, 1).packed());
    assert!(fourth.grant().expect("the lease").fence >= 1_000_000);
}
