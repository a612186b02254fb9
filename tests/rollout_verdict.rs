//! Guards the parts of a move: traffic split, marks, reports, and the verdict of one node.

#[path = "../examples/rollout/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use pomelolink::resource::{Catalog, Id, Kind, Phase};
use pomelolink::rollout::{
    self, Controller, Evidence, Key, MARKS, Mark, Marks, OVERFLOW_ROUTE, Observer, ROUTES, Report,
    STEPS_PERMILLE, Sample, Split, Step, Targets,
};

fn catalog(share_permille: u32) -> Catalog {
    let mut catalog = simulation::catalog(600);
    let shift = catalog.resources.get_mut(&Id::new(Kind::Move, "shift")).unwrap();
    shift.status.progress.as_mut().unwrap().share_permille = share_permille;
    catalog
}

fn key(accepted_ms: u64) -> Key {
    Key { accepted_ms, service: "booking".into(), version: "new".into(), name: "shift".into() }
}

fn mark(accepted_ms: u64) -> Mark {
    Mark { key: key(accepted_ms), reason: "failing".into() }
}

fn open_key(catalog: &Catalog) -> Key {
    Split::of(catalog, "booking").unwrap().open.unwrap().key
}

fn sample(failed: bool, millis: u64) -> Sample<'static> {
    let first_byte = Duration::from_millis(millis);
    Sample { route: "/slots", share_permille: 250, failed, first_byte, token_gap: None }
}

/// Feeds equal numbers of requests to both versions; gives after how many the node marks.
fn feed(new: Sample<'_>, old: Sample<'_>, requests: usize) -> Option<usize> {
    let mut observer = Observer::default();
    observer.sync(&catalog(250));
    (1..=requests).find(|_| {
        assert_eq!(observer.record("booking", "old", &old), None, "the old version was marked");
        observer.record("booking", "new", &new).is_some()
    })
}

#[test]
fn share_is_exact_on_average_and_rises_monotonically() {
    let marks = Marks::default();
    let taken = |share: u32, hash: u64| {
        let version = rollout::choose(&catalog(share), "booking", hash, &marks).unwrap();
        &*version == "new"
    };
    let splits = [10, 250].map(|share| Split::of(&catalog(share), "booking").unwrap());
    for (split, share) in splits.iter().zip([10.0, 250.0]) {
        let new = |hash: &u64| &*split.choose(*hash, &marks).version == "new";
        let seen = (0..400_000u64).filter(new).count() as f64 / 400.0;
        assert!((seen - share).abs() < 3.0, "share {share} permille, seen {seen}");
    }
    for hash in 0..200 {
        assert!(!taken(10, hash) || taken(250, hash), "a rising share lost request {hash}");
        assert!(taken(1_000, hash) && !taken(0, hash));
    }
}

#[test]
fn marked_version_gets_nothing_until_a_new_move() {
    let mut catalog = catalog(1_000);
    let mut marks = Marks::default();
    marks.insert(Mark { key: open_key(&catalog), reason: "failing".into() });
    for hash in 0..1_000 {
        assert_eq!(&*rollout::choose(&catalog, "booking", hash, &marks).unwrap(), "old");
    }
    let shift = catalog.resources.get_mut(&Id::new(Kind::Move, "shift")).unwrap();
    shift.status.progress.as_mut().unwrap().accepted_ms += 1;
    assert_eq!(&*rollout::choose(&catalog, "booking", 1, &marks).unwrap(), "new");
    let shift = catalog.resources.get_mut(&Id::new(Kind::Move, "shift")).unwrap();
    shift.status.progress.as_mut().unwrap().phase = Phase::Reverted;
    assert_eq!(&*rollout::choose(&catalog, "booking", 1, &marks).unwrap(), "old");
    assert_eq!(rollout::choose(&catalog, "unknown", 1, &marks), None);
}

#[test]
fn marks_merge_to_the_same_set_in_any_order() {
    let all: Vec<Mark> = (0..MARKS as u64 + 50).map(mark).collect();
    let (mut forward, mut backward) = (Marks::default(), Marks::default());
    assert!(forward.merge(all.iter().cloned()));
    assert!(backward.merge(all.iter().rev().cloned()));
    assert!(!forward.merge(all.iter().cloned()), "a repeat changed the set");
    assert_eq!(forward, backward);
    assert_eq!((forward.len(), forward.digest()), (MARKS, backward.digest()));
    assert!(!forward.contains(&key(0)) && forward.contains(&key(50)));
    assert_ne!(Marks::default().digest(), forward.digest());
}

#[test]
fn node_marks_after_twenty_failures() {
    assert_eq!(feed(sample(true, 50), sample(false, 50), 100), Some(20));
}

#[test]
fn outage_of_both_versions_marks_nothing() {
    assert_eq!(feed(sample(true, 50), sample(true, 50), 5_000), None);
}

#[test]
fn slow_version_is_marked_although_it_meets_the_target() {
    assert!(feed(sample(false, 300), sample(false, 40), 100).is_some());
    // 3 ms instead of 1 ms does not matter with a target of 360 ms.
    assert_eq!(feed(sample(false, 3), sample(false, 1), 1_000), None);
}

#[test]
fn fault_after_a_long_good_time_is_marked_soon() {
    let mut observer = Observer::default();
    observer.sync(&catalog(250));
    for _ in 0..5_000 {
        observer.record("booking", "old", &sample(false, 50));
        assert_eq!(observer.record("booking", "new", &sample(false, 50)), None);
    }
    let marked = (1..100).find(|_| {
        observer.record("booking", "old", &sample(false, 50));
        observer.record("booking", "new", &sample(true, 50)).is_some()
    });
    assert!(marked.is_some_and(|failures| failures <= 25), "marked after {marked:?} failures");
}

#[test]
fn without_old_requests_nothing_is_marked() {
    let mut observer = Observer::default();
    observer.sync(&catalog(250));
    for _ in 0..500 {
        assert_eq!(observer.record("booking", "new", &sample(true, 50)), None);
    }
}

#[test]
fn routes_and_strata_are_bounded() {
    let targets =
        Targets { first_byte: Duration::from_millis(360), token_gap: Duration::from_millis(74) };
    let mut evidence = Evidence::default();
    for share_permille in [0].into_iter().chain(STEPS_PERMILLE) {
        for route in 0..100 {
            let route = format!("/{route}");
            let sample = Sample { route: &route, share_permille, ..sample(false, 50) };
            evidence.record(rollout::Side::New, &sample, &targets);
        }
    }
    assert_eq!(evidence.strata.len(), 4);
    let stratum = evidence.stratum(250).unwrap();
    assert!(stratum.routes.len() <= ROUTES + 1);
    let overflow = stratum.routes.iter().find(|route| &*route.name == OVERFLOW_ROUTE).unwrap();
    assert_eq!(overflow.new.total.requests(), 100 - ROUTES as u32);
    let bytes = postcard::to_stdvec(&evidence).unwrap();
    assert_eq!(postcard::from_bytes::<Evidence>(&bytes).unwrap(), evidence);
}

#[test]
fn repeated_reports_count_once_and_proof_reverts() {
    let catalog = catalog(250);
    let mut observer = Observer::default();
    observer.sync(&catalog);
    for _ in 0..15 {
        observer.record("booking", "old", &sample(false, 50));
        assert_eq!(observer.record("booking", "new", &sample(true, 50)), None);
    }
    let report =
        |node: &str, sequence| -> Report { observer.reports(&Arc::from(node), sequence).remove(0) };
    let mut controller = Controller::default();
    let now_ms = open_key(&catalog).accepted_ms + 1_000;
    assert!(controller.report(report("a", 5), now_ms));
    assert!(!controller.report(report("a", 5), now_ms));
    assert!(!controller.report(report("a", 4), now_ms));
    assert!(controller.report(report("b", 1), now_ms));
    let decision = controller.decide(&catalog, &Marks::default(), now_ms).remove(0);
    let Step::Revert { reason } = &decision.step else { panic!("{decision:?}") };
    assert!(reason.contains("new 30 bad of 30, old 0 bad of 30"), "{reason}");
    assert_eq!(decision.mark.map(|mark| mark.key), Some(open_key(&catalog)));
}

#[test]
fn share_is_not_raised_on_the_word_of_a_minority() {
    let catalog = catalog(10);
    let mut observer = Observer::default();
    observer.sync(&catalog);
    let mut controller = Controller::default();
    let late_ms = open_key(&catalog).accepted_ms + 540_000;
    let mut step_after = |nodes: &[&str], now_ms: u64| {
        for node in nodes {
            let report = observer.reports(&Arc::from(*node), now_ms).remove(0);
            controller.report(report, now_ms);
        }
        controller.decide(&catalog, &Marks::default(), now_ms).remove(0).step
    };
    assert_eq!(step_after(&[], late_ms), Step::Hold, "a new lease holder knows nothing");
    assert_eq!(step_after(&["a", "b", "c"], late_ms), Step::Hold, "some nodes may follow");
    assert_eq!(step_after(&["a"], late_ms + 6_000), Step::Hold, "two of three are not heard");
    let raised = Step::Raise { share_permille: 50 };
    assert_eq!(step_after(&["a", "b"], late_ms + 7_000), raised);
}

#[test]
fn deadline_takes_the_move_back() {
    let catalog = catalog(250);
    let deadline = open_key(&catalog).accepted_ms + 600_000;
    let mut controller = Controller::default();
    let decision = controller.decide(&catalog, &Marks::default(), deadline).remove(0);
    assert!(matches!(decision.step, Step::Revert { reason } if reason.starts_with("taken back")));
}
