//! The prefill rate that is learned from the time to the first event.

use std::time::Duration;

use pomelolink::gateway::prefill::Prefill;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Records responses of an engine with a rate, a fixed delay of 41 ms and random other delays.
fn learn(tokens_per_ms: f64, responses: u32) -> f64 {
    let mut random = SmallRng::seed_from_u64(11);
    let mut prefill = Prefill::default();
    for _ in 0..responses {
        let tokens = random.random_range(100..6_000);
        let delay = 41.0 + random.random_range(0.0..20.0);
        let ms = delay + f64::from(tokens) / tokens_per_ms;
        prefill.record(tokens, Duration::from_secs_f64(ms / 1_000.0));
    }
    prefill.tokens_per_ms()
}

/// Guards against figures of one deployment's engines that are used for another's.
#[test]
fn rate_is_learned() {
    for rate in [30.0, 61.2, 81.9, 120.0] {
        let learned = learn(rate, 400);
        assert!((learned / rate - 1.0).abs() < 0.1, "{learned} learned, {rate} is true");
    }
}

/// Guards against a rate from a few responses, or an absurd one from equal prompts.
#[test]
fn few_responses_keep_default() {
    assert_eq!(learn(30.0, 10), Prefill::default().tokens_per_ms());
    let mut prefill = Prefill::default();
    for _ in 0..100 {
        prefill.record(500, Duration::from_millis(60));
    }
    assert_eq!(prefill.tokens_per_ms(), Prefill::default().tokens_per_ms());
}
