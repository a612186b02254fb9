//! Roll-outs in the gateway, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::platform::Phase;
use pomelolink::gateway::shift::Shifts;

/// Part of a service's requests that a bad version may get.
const EXPOSURE: f64 = 0.1;
const REQUESTS_PER_S: u32 = 60;
const WITHIN: Duration = Duration::from_secs(12);

/// Plays a roll-out; `is_good` tells whether the new version answers well at a time and share.
///
/// Gives the part of all requests that the new version got and the phase at the end.
fn play(is_good: impl Fn(Duration, u64) -> bool) -> (f64, Phase) {
    let mut shifts = Shifts::default();
    let start = Duration::from_secs(100);
    shifts.order("s".into(), "v2".into(), WITHIN, 7, start);
    let total = u64::from(REQUESTS_PER_S) * WITHIN.as_secs();
    let mut new = 0;
    for request in 0..total {
        let elapsed = WITHIN.mul_f64(request as f64 / total as f64);
        shifts.step(start + elapsed);
        let side = shifts.version("s", request.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let takes_new = side.expect("a roll-out is open").admits("v2");
        new += u64::from(takes_new);
        let good = !takes_new || is_good(elapsed, request);
        shifts.record("s", if takes_new { "v2" } else { "v1" }, good);
        for (service, _, revision, phase) in shifts.phases(start + elapsed) {
            shifts.settle(&service, revision, phase);
        }
    }
    let phases = shifts.phases(start + WITHIN);
    (new as f64 / total as f64, phases[0].3)
}

/// Tells at a time of the roll-out whether the new version answers a request well.
type Behaviour = fn(Duration, u64) -> bool;

/// Guards against a good version that isn't taken in by the deadline.
#[test]
fn good_version_completes() {
    assert_eq!(play(|_, _| true).1, Phase::Completed);
}

/// Guards against a bad version that gets more than its share, whether it is bad at once, for part
/// of the requests, or only later.
#[test]
fn bad_version_is_reverted() {
    let cases: [(&str, Behaviour); 3] = [
        ("at once", |_, _| false),
        ("half of the answers", |_, request| request % 2 == 0),
        ("later", |elapsed, _| elapsed < WITHIN / 2),
    ];
    for (name, is_good) in cases {
        let (exposed, phase) = play(is_good);
        assert_eq!(phase, Phase::Reverted, "{name}");
        assert!(exposed <= EXPOSURE, "{name}: {exposed} of the requests");
    }
}

/// Guards against a node that goes on with a version which another node has taken back.
#[test]
fn peers_spread_a_revert() {
    let (mut one, mut other) = (Shifts::default(), Shifts::default());
    let start = Duration::from_secs(100);
    for shifts in [&mut one, &mut other] {
        shifts.order("s".into(), "v2".into(), WITHIN, 7, start);
    }
    for _ in 0..20 {
        one.record("s", "v2", false);
    }
    other.hear(&Arc::from("n1"), 1, one.told());
    assert_eq!(other.phases(start)[0].3, Phase::Reverted);
    other.settle("s", 7, Phase::Completed);
    assert_eq!(other.phases(start)[0].3, Phase::Reverted, "a revert is for good");
}
