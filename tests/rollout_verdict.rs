//! Guards the parts of a move: traffic split, bad versions, reports and the verdict of one node.

#[path = "../examples/rollout/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use pomelolink::resource::{Catalog, Id, Kind, Phase};
use pomelolink::rollout::{
    self, BadVersion, BadVersions, Controller, Evidence, Key, MAX_BAD_VERSIONS, MAX_ROUTES,
    OVERFLOW_ROUTE, Observer, Report, STEPS_PERMILLE, Sample, Split, Step, Targets,
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

fn bad_version(accepted_ms: u64) -> BadVersion {
    BadVersion { key: key(accepted_ms), reason: "failing".into() }
}

fn open_key(catalog: &Catalog) -> Key {
    Split::build(catalog, "booking").unwrap().open_move.unwrap().key
}

fn sample(failed: bool, millis: u64) -> Sample<'static> {
    let first_byte = Duration::from_millis(millis);
    Sample { route: "/slots", share_permille: 250, failed, first_byte, token_gap: None }
}

/// Records equal numbers of requests for both versions; returns how many of each it takes until the
/// node marks the new version bad.
fn requests_until_marked(new: Sample<'_>, old: Sample<'_>, requests: usize) -> Option<usize> {
    let mut observer = Observer::default();
    observer.sync(&catalog(250));
    (1..=requests).find(|_| {
        assert_eq!(observer.record("booking", "old", &old), None, "the old version was marked bad");
        observer.record("booking", "new", &new).is_some()
    })
}

#[test]
fn share_is_exact_and_monotonic() {
    let bad_versions = BadVersions::default();
    let is_new = |share: u32, hash: u64| {
        let version =
            rollout::choose_version(&catalog(share), "booking", hash, &bad_versions).unwrap();
        &*version == "new"
    };
    let splits = [10, 250].map(|share| Split::build(&catalog(share), "booking").unwrap());
    for (split, share) in splits.iter().zip([10.0, 250.0]) {
        let new = |hash: &u64| &*split.choose(*hash, &bad_versions).version == "new";
        let observed = (0..400_000u64).filter(new).count() as f64 / 400.0;
        assert!((observed - share).abs() < 3.0, "share {share} permille, observed {observed}");
    }
    for hash in 0..200 {
        assert!(
            !is_new(10, hash) || is_new(250, hash),
            "request {hash} left the share when it rose"
        );
        assert!(is_new(1_000, hash) && !is_new(0, hash));
    }
}

#[test]
fn bad_version_gets_no_requests() {
    let mut catalog = catalog(1_000);
    let mut bad_versions = BadVersions::default();
    bad_versions.insert(BadVersion { key: open_key(&catalog), reason: "failing".into() });
    for hash in 0..1_000 {
        assert_eq!(
            &*rollout::choose_version(&catalog, "booking", hash, &bad_versions).unwrap(),
            "old"
        );
    }
    let shift = catalog.resources.get_mut(&Id::new(Kind::Move, "shift")).unwrap();
    shift.status.progress.as_mut().unwrap().accepted_ms += 1;
    assert_eq!(&*rollout::choose_version(&catalog, "booking", 1, &bad_versions).unwrap(), "new");
    let shift = catalog.resources.get_mut(&Id::new(Kind::Move, "shift")).unwrap();
    shift.status.progress.as_mut().unwrap().phase = Phase::Reverted;
    assert_eq!(&*rollout::choose_version(&catalog, "booking", 1, &bad_versions).unwrap(), "old");
    assert_eq!(rollout::choose_version(&catalog, "unknown", 1, &bad_versions), None);
}

#[test]
fn merge_order_does_not_matter() {
    let all: Vec<BadVersion> = (0..MAX_BAD_VERSIONS as u64 + 50).map(bad_version).collect();
    let (mut forward, mut backward) = (BadVersions::default(), BadVersions::default());
    assert!(forward.merge(all.iter().cloned()));
    assert!(backward.merge(all.iter().rev().cloned()));
    assert!(!forward.merge(all.iter().cloned()), "a repeated merge changed the set");
    assert_eq!(forward, backward);
    assert_eq!((forward.len(), forward.digest()), (MAX_BAD_VERSIONS, backward.digest()));
    assert!(!forward.contains(&key(0)) && forward.contains(&key(50)));
    assert_ne!(BadVersions::default().digest(), forward.digest());
}

#[test]
fn marked_after_twenty_failures() {
    assert_eq!(requests_until_marked(sample(true, 50), sample(false, 50), 100), Some(20));
}

#[test]
fn outage_marks_no_version() {
    assert_eq!(requests_until_marked(sample(true, 50), sample(true, 50), 5_000), None);
}

#[test]
fn slow_version_is_marked() {
    // Both latencies are below the target of 360 ms.
    assert!(requests_until_marked(sample(false, 300), sample(false, 40), 100).is_some());
    // 3 ms instead of 1 ms does not matter at a target of 360 ms.
    assert_eq!(requests_until_marked(sample(false, 3), sample(false, 1), 1_000), None);
}

#[test]
fn late_fault_is_marked() {
    let mut observer = Observer::default();
    observer.sync(&catalog(250));
    for _ in 0..5_000 {
        observer.record("booking", "old", &sample(false, 50));
        assert_eq!(observer.record("booking", "new", &sample(false, 50)), None);
    }
    let failures = (1..100).find(|_| {
        observer.record("booking", "old", &sample(false, 50));
        observer.record("booking", "new", &sample(true, 50)).is_some()
    });
    assert!(failures.is_some_and(|failures| failures <= 25), "marked after {failures:?} failures");
}

#[test]
fn missing_old_requests_mark_nothing() {
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
    assert!(stratum.routes.len() <= MAX_ROUTES + 1);
    let overflow = stratum.routes.iter().find(|route| &*route.name == OVERFLOW_ROUTE).unwrap();
    assert_eq!(overflow.new.total.requests(), 100 - MAX_ROUTES as u32);
    let bytes = postcard::to_stdvec(&evidence).unwrap();
    assert_eq!(postcard::from_bytes::<Evidence>(&bytes).unwrap(), evidence);
}

#[test]
fn repeated_reports_count_once() {
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
    assert!(controller.accept_report(report("a", 5), now_ms));
    assert!(!controller.accept_report(report("a", 5), now_ms));
    assert!(!controller.accept_report(report("a", 4), now_ms));
    assert!(controller.accept_report(report("b", 1), now_ms));
    let decision = controller.decide(&catalog, &BadVersions::default(), now_ms).remove(0);
    let Step::Revert { reason } = &decision.step else { panic!("{decision:?}") };
    assert!(reason.contains("new 30 bad of 30, old 0 bad of 30"), "{reason}");
    assert_eq!(decision.bad_version.map(|bad_version| bad_version.key), Some(open_key(&catalog)));
}

#[test]
fn minority_cannot_raise_share() {
    let catalog = catalog(10);
    let mut observer = Observer::default();
    observer.sync(&catalog);
    let mut controller = Controller::default();
    let late_ms = open_key(&catalog).accepted_ms + 540_000;
    let mut step_after = |nodes: &[&str], now_ms: u64| {
        for node in nodes {
            let report = observer.reports(&Arc::from(*node), now_ms).remove(0);
            controller.accept_report(report, now_ms);
        }
        controller.decide(&catalog, &BadVersions::default(), now_ms).remove(0).step
    };
    assert_eq!(step_after(&[], late_ms), Step::Hold, "a new lease holder has no reports");
    assert_eq!(step_after(&["a", "b", "c"], late_ms), Step::Hold, "other nodes may still report");
    assert_eq!(
        step_after(&["a"], late_ms + 6_000),
        Step::Hold,
        "two of three nodes stopped reporting"
    );
    let raise = Step::Raise { share_permille: 50 };
    assert_eq!(step_after(&["a", "b"], late_ms + 7_000), raise);
}

#[test]
fn deadline_reverts_move() {
    let catalog = catalog(250);
    let deadline = open_key(&catalog).accepted_ms + 600_000;
    let mut controller = Controller::default();
    let decision = controller.decide(&catalog, &BadVersions::default(), deadline).remove(0);
    assert!(
        matches!(decision.step, Step::Revert { reason } if reason.starts_with("the deadline passed"))
    );
}
