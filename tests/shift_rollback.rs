//! Simulates roll-outs in the gateway without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::platform::Phase;
use pomelolink::gateway::rollout::{Earlier, Record};
use pomelolink::gateway::shift::Shifts;
use pomelolink::gateway::verdict::{Conditions, Sample};
use pomelolink::gateway::version::Version;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Share of a service's requests that a bad version may get.
const MAX_EXPOSURE: f64 = 0.1;
const REQUESTS_PER_S: u32 = 60;
const TIME_LIMIT: Duration = Duration::from_secs(12);

/// Records a response that was as fast as estimated, or that failed, and judges the version.
fn record(shifts: &mut Shifts, version: &str, is_good: bool, now: Duration) {
    let sample = if is_good { Sample::Start(1.0) } else { Sample::Failed };
    shifts.record("s", version, Conditions::default(), sample);
    shifts.judge(now);
}

/// Simulates a roll-out; `is_good` decides by elapsed time and request number whether the new
/// version's answer is good.
///
/// Returns the share of all requests that the new version got and the final phase.
fn simulate(is_good: impl Fn(Duration, u64) -> bool) -> (f64, Phase) {
    let mut shifts = Shifts::default();
    let start = Duration::from_secs(100);
    shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    let total = u64::from(REQUESTS_PER_S) * TIME_LIMIT.as_secs();
    let mut new = 0;
    for request in 0..total {
        let elapsed = TIME_LIMIT.mul_f64(request as f64 / total as f64);
        shifts.update_stages(start + elapsed);
        let selection = shifts.select("s", request.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let selection = selection.expect("a roll-out is in progress");
        let is_new = selection.admits("v2");
        new += u64::from(is_new);
        let is_good_answer = !is_new || is_good(elapsed, request);
        let version = if is_new { "v2" } else { "v1" };
        let sample = if is_good_answer { Sample::Start(1.0) } else { Sample::Failed };
        shifts.record("s", version, Conditions::new(selection.stage, "r"), sample);
        shifts.judge(start + elapsed);
        for (service, _, revision, phase) in shifts.phases(start + elapsed, |_, _| true) {
            shifts.apply_phase(&service, revision, phase);
        }
    }
    let phases = shifts.phases(start + TIME_LIMIT, |_, _| true);
    (new as f64 / total as f64, phases[0].3)
}

/// Decides by elapsed time and request number whether an answer of the new version is good.
type Behavior = fn(Duration, u64) -> bool;

/// Guards against a roll-out of a good version that hasn't completed by the deadline.
#[test]
fn good_version_completes() {
    assert_eq!(simulate(|_, _| true).1, Phase::Completed);
}

/// Guards against a bad version that gets too many requests, whether it fails at once, for part of
/// the requests, or only later.
#[test]
fn bad_version_is_reverted() {
    let cases: [(&str, Behavior); 3] = [
        ("at once", |_, _| false),
        ("half of the answers", |_, request| request % 2 == 0),
        ("later", |elapsed, _| elapsed < TIME_LIMIT / 2),
    ];
    for (name, is_good) in cases {
        let (exposure, phase) = simulate(is_good);
        assert_eq!(phase, Phase::Reverted, "{name}");
        assert!(exposure <= MAX_EXPOSURE, "{name}: {exposure} of the requests");
    }
}

/// Guards against a node that continues a roll-out which a peer has reverted.
#[test]
fn revert_reaches_peers() {
    let (mut node, mut peer) = (Shifts::default(), Shifts::default());
    let start = Duration::from_secs(100);
    for shifts in [&mut node, &mut peer] {
        shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    }
    for _ in 0..20 {
        record(&mut node, "v2", false, start);
    }
    peer.merge_peer(&Arc::from("n1"), 1, node.reports(start), start);
    assert_eq!(peer.phases(start, |_, _| true)[0].3, Phase::Reverted);
    peer.update_stages(start + TIME_LIMIT);
    assert_eq!(
        peer.phases(start + TIME_LIMIT, |_, _| true)[0].3,
        Phase::Reverted,
        "a revert is final"
    );
}

/// Guards against a node that refuses every request: it has reverted the roll-out while a peer has
/// reported it as completed, and the platform then stops the endpoints of the old version.
#[test]
fn completion_overrides_revert() {
    let (mut peer, mut node) = (Shifts::default(), Shifts::default());
    let start = Duration::from_secs(100);
    for shifts in [&mut peer, &mut node] {
        shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    }
    for _ in 0..20 {
        record(&mut node, "v2", false, start);
    }
    peer.apply_phase("s", Version::new(0, 7), Phase::Completed);
    node.merge_peer(&Arc::from("n1"), 1, peer.reports(start), start);
    let selection = node.select("s", 1).expect("a roll-out is known");
    assert!(selection.admits("v2") && selection.allows_fallback());
}

/// Guards against refused requests while the selected version has no endpoints, and against
/// requests to a reverted version when the old one has none.
#[test]
fn reverted_version_never_serves() {
    let mut shifts = Shifts::default();
    let start = Duration::from_secs(100);
    shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    assert!(shifts.select("s", 1).expect("a roll-out is in progress").allows_fallback());
    shifts.apply_phase("s", Version::new(0, 7), Phase::Reverted);
    assert!(!shifts.select("s", 1).expect("a roll-out is known").allows_fallback());
}

/// Guards against a roll-out that starts over when a node restarts and so misses its deadline.
#[test]
fn restart_keeps_the_deadline() {
    let (mut node, mut restarted) = (Shifts::default(), Shifts::default());
    let start = Duration::from_secs(100);
    node.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    for _ in 0..20 {
        record(&mut node, "v2", true, start);
    }
    let later = start + TIME_LIMIT.mul_f64(0.7);
    restarted.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), later);
    restarted.merge_peer(&Arc::from("n1"), 1, node.reports(later), later);
    let phases = restarted.phases(start + TIME_LIMIT.mul_f64(0.96), |_, _| true);
    assert_eq!(phases[0].3, Phase::Completed);
}

/// Guards against a roll-out that starts over when all nodes restart. The elapsed time is restored
/// from the store before the declaration is read, and the clock of a new VM has run for less time
/// than the roll-out.
#[test]
fn full_restart_keeps_deadline() {
    let (mut node, mut restarted) = (Shifts::default(), Shifts::default());
    let (start, boot) = (Duration::from_secs(100), Duration::from_secs(1));
    node.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    let reports = node.reports_without_evidence(start + TIME_LIMIT.mul_f64(0.7));
    restarted.restore(reports, Duration::ZERO, boot);
    restarted.start(
        "s".into(),
        "v2".into(),
        TIME_LIMIT,
        Version::new(0, 7),
        boot + TIME_LIMIT.mul_f64(0.1),
    );
    for _ in 0..20 {
        record(&mut restarted, "v2", true, boot);
    }
    let phase =
        |fraction: f64| restarted.phases(boot + TIME_LIMIT.mul_f64(fraction), |_, _| true)[0].3;
    assert_eq!((phase(0.2), phase(0.26)), (Phase::InProgress, Phase::Completed));
}

/// Guards against a bad version that is not detected because the old version fails some requests
/// too: after its 50th bad answer it may get requests for only a few more seconds.
#[test]
fn flaky_service_reverts_bad_version() {
    for seed in 0..200_u64 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut shifts = Shifts::default();
        shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), Duration::ZERO);
        let mut bad = 0;
        for answer in 0..10_000 {
            let is_new = answer % 12 == 0;
            let is_bad = random.random_bool(if is_new { 0.3 } else { 0.14 });
            bad += u32::from(is_new && is_bad);
            record(&mut shifts, if is_new { "v2" } else { "v1" }, !is_bad, Duration::ZERO);
            if shifts.phases(Duration::ZERO, |_, _| true)[0].3 == Phase::Reverted {
                break;
            }
        }
        // Within 5 s a new version that gets 4 requests a second has 6 more bad answers.
        assert!(bad <= 56, "seed {seed}: {bad} bad answers");
    }
}

/// Guards against good versions that are reverted because both versions fail some requests: one in
/// eight answers of either is late under load. The target of `docs/design.md` is that at most one
/// in a hundred good versions is reverted.
#[test]
fn flaky_service_keeps_good_version() {
    let is_reverted = |seed: &u64| {
        let mut random = SmallRng::seed_from_u64(*seed);
        let mut shifts = Shifts::default();
        shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), Duration::ZERO);
        for answer in 0..4_000 {
            let version = if answer % 12 == 0 { "v2" } else { "v1" };
            record(&mut shifts, version, !random.random_bool(0.125), Duration::ZERO);
        }
        shifts.phases(Duration::ZERO, |_, _| true)[0].3 == Phase::Reverted
    };
    let reverted = (0..200).filter(is_reverted).count();
    assert!(reverted <= 2, "{reverted} of 200 good versions were reverted");
}

/// Guards against an operator who reads `reverted` and then `completed`, or the reverse: a recorded outcome holds,
/// whatever another node decides or reports later.
#[test]
fn recorded_outcome_is_final() {
    let start = Duration::from_secs(100);
    let revision = Version::new(0, 7);
    let outcomes = [(Phase::Reverted, Phase::Completed), (Phase::Completed, Phase::Reverted)];
    for (recorded, reported) in outcomes {
        let (mut node, mut peer) = (Shifts::default(), Shifts::default());
        for shifts in [&mut node, &mut peer] {
            shifts.start("s".into(), "v2".into(), TIME_LIMIT, revision, start);
        }
        let record =
            Record { revision, version: "v2".into(), phase: recorded, earlier: Earlier::default() };
        node.adopt_records(&node.awaited_records(), |_| Some(&record));
        peer.apply_phase("s", revision, reported);
        node.merge_peer(&Arc::from("n1"), 1, peer.reports(start), start);
        node.apply_phase("s", revision, reported);
        assert_eq!(node.phases(start, |_, _| true)[0].3, recorded);
    }
}

/// Guards against requests to a version that was reverted before this node started: it knows the declaration, and
/// not yet the record.
#[test]
fn unknown_record_keeps_new_version_out() {
    let start = Duration::from_secs(100);
    let mut shifts = Shifts::default();
    shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    shifts.await_record(&"s".into());
    let selects_new = |shifts: &Shifts| {
        let is_new = |hash| shifts.select("s", hash).expect("a roll-out").admits("v2");
        (0..1_000).any(is_new)
    };
    assert!(!selects_new(&shifts));
    assert!(shifts.phases(start, |_, _| true).is_empty(), "a phase is reported without the record");
    // A read that was sent before the declaration was known tells nothing.
    shifts.adopt_records(&Default::default(), |_| None);
    assert!(!selects_new(&shifts));
    shifts.adopt_records(&shifts.awaited_records(), |_| None);
    assert!(selects_new(&shifts));
}

/// Guards against the completion of a version whose endpoints have all left: the platform then stops the old ones.
#[test]
fn version_without_endpoints_is_reverted() {
    let start = Duration::from_secs(100);
    let mut shifts = Shifts::default();
    shifts.start("s".into(), "v2".into(), TIME_LIMIT, Version::new(0, 7), start);
    for _ in 0..20 {
        record(&mut shifts, "v2", true, start);
    }
    let phase = |fraction: f64, has_endpoint| {
        shifts.phases(start + TIME_LIMIT.mul_f64(fraction), |_, _| has_endpoint)[0].3
    };
    assert_eq!(phase(0.96, true), Phase::Completed);
    assert_eq!((phase(0.96, false), phase(1.01, false)), (Phase::InProgress, Phase::Reverted));
}
