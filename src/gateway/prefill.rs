//! Prefill rate of a service's engines, learned from the time to the first event of requests.
//!
//! Engines of different deployments differ in this rate, and the declarations don't state it. It
//! decides how many endpoints a demand needs; see "Endpoints" in `docs/platform.md`.

use std::time::Duration;

/// Rate before enough responses were observed, in prompt tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 60.0;
/// Bounds of the learned rate, in prompt tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 20.0;
const MAX_TOKENS_PER_MS: f64 = 150.0;
/// Number of responses before the rate is learned, and the number over which it is averaged then.
const MIN_SAMPLES: u32 = 40;
const AVERAGED_SAMPLES: u32 = 200;
/// Longest time to the first event that is counted: a stalled engine doesn't show its rate.
const MAX_TIME_MS: f64 = 2_000.0;

/// Linear regression of the time to the first event over the tokens to prefill, with the moving averages
/// that it needs. The intercept is the part of the time that doesn't depend on the prompt.
#[derive(Debug, Default, Clone)]
pub struct Prefill {
    samples: u32,
    tokens: f64,
    time_ms: f64,
    tokens_squared: f64,
    product: f64,
}

impl Prefill {
    /// Records the time to the first event of a request that no other prefill delayed.
    pub fn record(&mut self, tokens: u32, time: Duration) {
        let tokens = f64::from(tokens);
        let time_ms = (time.as_secs_f64() * 1_000.0).min(MAX_TIME_MS);
        self.samples = self.samples.saturating_add(1);
        let weight = 1.0 / f64::from(self.samples.min(AVERAGED_SAMPLES));
        let blend = |mean: &mut f64, value: f64| *mean += (value - *mean) * weight;
        blend(&mut self.tokens, tokens);
        blend(&mut self.time_ms, time_ms);
        blend(&mut self.tokens_squared, tokens * tokens);
        blend(&mut self.product, tokens * time_ms);
    }

    /// Returns the learned rate, or a default while too few responses were observed.
    pub fn tokens_per_ms(&self) -> f64 {
        let variance = self.tokens_squared - self.tokens * self.tokens;
        let covariance = self.product - self.tokens * self.time_ms;
        if self.samples < MIN_SAMPLES || variance < 1.0 {
            return INITIAL_TOKENS_PER_MS;
        }
        let ms_per_token = (covariance / variance).max(1.0 / MAX_TOKENS_PER_MS);
        (1.0 / ms_per_token).max(MIN_TOKENS_PER_MS)
    }
}
