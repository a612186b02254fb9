//! Guards retries: safety, the budget, deadlines, backoff and hedging.

use std::time::Duration;

use pomelolink::error::Run;
use pomelolink::retry::{Attempt, Budget, Decision, Latency, Policy, Reason};
use rand::SeedableRng;
use rand::rngs::StdRng;

const FAR_DEADLINE: Duration = Duration::from_secs(1_000);

fn attempt(run: Run, idempotent: bool) -> Attempt {
    Attempt { number: 1, run, idempotent, deadline: FAR_DEADLINE, expected: Duration::ZERO }
}

fn decide(attempt: Attempt, budget: &mut Budget) -> Decision {
    let mut random = StdRng::seed_from_u64(1);
    Policy::default().decide(Duration::ZERO, attempt, budget, &mut random)
}

#[test]
fn unsafe_retries_refused() {
    for run in [Run::No, Run::Unknown, Run::Yes] {
        for idempotent in [false, true] {
            let mut budget = Budget::new(Duration::ZERO, 0.0, 10.0);
            let decision = decide(attempt(run, idempotent), &mut budget);
            let is_allowed = run == Run::No || idempotent;
            assert_eq!(matches!(decision, Decision::Retry(_)), is_allowed, "{run:?} {idempotent}");
            assert!(is_allowed || decision == Decision::Stop(Reason::MayHaveRun));
        }
    }
}

#[test]
fn retries_bounded_by_successes() {
    let mut budget = Budget::new(Duration::ZERO, 0.0, 10.0);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_success();
        let decision = decide(attempt(Run::No, true), &mut budget);
        retries += u32::from(matches!(decision, Decision::Retry(_)));
    }
    assert!((1_000..=1_010).contains(&retries), "{retries} retries");
}

#[test]
fn minimum_rate_without_successes() {
    let mut budget = Budget::new(Duration::ZERO, 0.5, 5.0);
    let taken = (0..60_000).filter(|millis| budget.take(Duration::from_millis(*millis))).count();
    assert!(
        (33..=35).contains(&taken),
        "5 from the full budget and 30 in a minute expected, got {taken}"
    );
}

#[test]
fn late_retries_refused() {
    let mut budget = Budget::new(Duration::ZERO, 0.0, 10.0);
    let short = Attempt { deadline: Duration::from_millis(10), ..attempt(Run::No, true) };
    assert_eq!(decide(short, &mut budget), Decision::Stop(Reason::Deadline));
    let slow = Attempt { expected: FAR_DEADLINE, ..attempt(Run::No, true) };
    assert_eq!(decide(slow, &mut budget), Decision::Stop(Reason::Deadline));
    let last = Attempt { number: 4, ..attempt(Run::No, true) };
    assert_eq!(decide(last, &mut budget), Decision::Stop(Reason::AttemptLimit));
    // Refused retries must not have drawn on the budget.
    assert_eq!((0..11).filter(|_| budget.take(Duration::ZERO)).count(), 10);
}

#[test]
fn backoff_doubles_with_jitter() {
    let policy = Policy { max_attempts: 100, ..Policy::default() };
    let mut random = StdRng::seed_from_u64(3);
    let mut budget = Budget::new(Duration::ZERO, 0.0, 1_000.0);
    for number in 1..20 {
        let attempt = Attempt { number, ..attempt(Run::No, true) };
        let decision = policy.decide(Duration::ZERO, attempt, &mut budget, &mut random);
        let Decision::Retry(delay) = decision else { panic!("{decision:?}") };
        let full = (policy.base_delay * 2u32.pow((number - 1).min(10))).min(policy.max_delay);
        assert!(delay >= full / 2 && delay <= full, "{delay:?} after attempt {number}");
    }
}

#[test]
fn hedges_only_slow_lookups() {
    let policy = Policy::default();
    let mut latency = Latency::default();
    assert_eq!(policy.hedge_after(&latency, true), None);
    (1..=1_000).for_each(|millis| latency.record(Duration::from_millis(millis)));
    assert_eq!(policy.hedge_after(&latency, false), None);
    let threshold = policy.hedge_after(&latency, true).unwrap();
    assert!((940..=970).contains(&threshold.as_millis()), "{threshold:?}");
    let mut budget = Budget::new(Duration::ZERO, 0.0, 1.0);
    let mut hedge =
        |now, until| policy.try_hedge(now, Duration::ZERO, until, &latency, true, &mut budget);
    assert!(!hedge(threshold / 2, FAR_DEADLINE), "the lookup is not slow yet");
    assert!(
        !hedge(threshold, threshold + Duration::from_millis(100)),
        "a second attempt would miss the deadline"
    );
    assert!(hedge(threshold, FAR_DEADLINE));
    assert!(!hedge(threshold, FAR_DEADLINE), "the budget is exhausted");
}
