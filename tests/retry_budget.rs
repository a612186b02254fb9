//! Guards retries: what may be resent, the budget, the deadline and hedging.

use std::time::Duration;

use pomelolink::error::Run;
use pomelolink::retry::{Attempt, Budget, Decision, Latency, Policy, Stop};
use rand::SeedableRng;
use rand::rngs::StdRng;

const FAR: Duration = Duration::from_secs(1_000);

fn attempt(run: Run, idempotent: bool) -> Attempt {
    Attempt { number: 1, run, idempotent, deadline: FAR, expected: Duration::ZERO }
}

fn decide(attempt: Attempt, budget: &mut Budget) -> Decision {
    let mut random = StdRng::seed_from_u64(1);
    Policy::default().decide(Duration::ZERO, attempt, budget, &mut random)
}

#[test]
fn only_what_did_not_run_or_is_idempotent_is_resent() {
    for run in [Run::No, Run::Unknown, Run::Yes] {
        for idempotent in [false, true] {
            let mut budget = Budget::new(Duration::ZERO, 0.0, 10.0);
            let decision = decide(attempt(run, idempotent), &mut budget);
            let may = run == Run::No || idempotent;
            assert_eq!(matches!(decision, Decision::Resend(_)), may, "{run:?} {idempotent}");
            assert!(may || decision == Decision::Stop(Stop::MayHaveRun));
        }
    }
}

#[test]
fn resends_stay_within_a_tenth_of_successes() {
    let mut budget = Budget::new(Duration::ZERO, 0.0, 10.0);
    let mut resent = 0;
    for _ in 0..10_000 {
        budget.succeeded();
        let decision = decide(attempt(Run::No, true), &mut budget);
        resent += u32::from(matches!(decision, Decision::Resend(_)));
    }
    assert!((1_000..=1_010).contains(&resent), "{resent}");
}

#[test]
fn without_successes_only_the_floor_is_spent() {
    let mut budget = Budget::new(Duration::ZERO, 0.5, 5.0);
    let taken = (0..60_000).filter(|millis| budget.take(Duration::from_millis(*millis))).count();
    assert!((33..=35).contains(&taken), "5 saved and 30 in a minute, got {taken}");
}

#[test]
fn a_resend_needs_time_before_the_deadline_and_a_further_attempt() {
    let mut budget = Budget::new(Duration::ZERO, 0.0, 10.0);
    let short = Attempt { deadline: Duration::from_millis(10), ..attempt(Run::No, true) };
    assert_eq!(decide(short, &mut budget), Decision::Stop(Stop::Deadline));
    let slow = Attempt { expected: FAR, ..attempt(Run::No, true) };
    assert_eq!(decide(slow, &mut budget), Decision::Stop(Stop::Deadline));
    let last = Attempt { number: 4, ..attempt(Run::No, true) };
    assert_eq!(decide(last, &mut budget), Decision::Stop(Stop::Attempts));
    // Refused resends must not have drawn on the budget.
    assert_eq!((0..11).filter(|_| budget.take(Duration::ZERO)).count(), 10);
}

#[test]
fn delays_double_with_jitter_up_to_the_longest() {
    let policy = Policy { attempts: 100, ..Policy::default() };
    let mut random = StdRng::seed_from_u64(3);
    let mut budget = Budget::new(Duration::ZERO, 0.0, 1_000.0);
    for number in 1..20 {
        let attempt = Attempt { number, ..attempt(Run::No, true) };
        let decision = policy.decide(Duration::ZERO, attempt, &mut budget, &mut random);
        let Decision::Resend(delay) = decision else { panic!("{decision:?}") };
        let full = (policy.base * 2u32.pow((number - 1).min(10))).min(policy.longest);
        assert!(delay >= full / 2 && delay <= full, "{delay:?} after attempt {number}");
    }
}

#[test]
fn only_slow_idempotent_lookups_are_hedged_within_the_budget() {
    let policy = Policy::default();
    let mut latency = Latency::default();
    assert_eq!(policy.hedge_after(&latency, true), None);
    (1..=1_000).for_each(|millis| latency.record(Duration::from_millis(millis)));
    assert_eq!(policy.hedge_after(&latency, false), None);
    let after = policy.hedge_after(&latency, true).unwrap();
    assert!((940..=970).contains(&after.as_millis()), "{after:?}");
    let mut budget = Budget::new(Duration::ZERO, 0.0, 1.0);
    let mut hedge =
        |now, deadline| policy.hedge(now, Duration::ZERO, deadline, &latency, true, &mut budget);
    assert!(!hedge(after / 2, FAR), "the lookup is not slow yet");
    assert!(!hedge(after, after + Duration::from_millis(100)), "no time is left");
    assert!(hedge(after, FAR));
    assert!(!hedge(after, FAR), "the budget is spent");
}
