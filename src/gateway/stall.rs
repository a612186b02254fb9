//! Stalls of streams: what unread prompts at an endpoint cost the streams that run there.
//!
//! An engine reads prompts in chunks between the steps of its running batch, so each event of a running
//! stream waits for the chunks that are read in its steps. The load that decides is a mix of long prompts
//! and short streams on endpoints of which some are slow at any time: with a choice by the first event
//! alone, a quarter to a third of the streams had a gap above 600 ms while nearly all first events were on
//! time. Long prompts therefore cost more where many streams run and where other prompts are unread, and
//! streams cost more where prompts are unread.

use std::time::Duration;

/// Steps of an engine for one event, and the prompt tokens that it reads in one of them at most. The
/// declarations state neither.
const STEPS_PER_EVENT: f64 = 8.0;
const TOKENS_PER_STEP: f64 = 4_096.0;
/// Time of one step without prompts to read, in milliseconds.
const STEP_MS: f64 = 3.5;
/// Slowdown of an endpoint in a slow phase. Stalls are rated for it, as a phase begins and ends before nodes
/// know of it.
const SLOW_PHASE: f64 = 2.5;
/// Cost of one stream whose gap reaches the aim, in milliseconds of the time to the first event.
const STREAM_COST_MS: f64 = 20.0;
/// Ratio of gap to aim above which a longer gap costs no more: the stream is late anyway.
const MAX_RATIO: f64 = 1.0;

/// Pace at which an endpoint reads prompts, and the gap that its streams tolerate.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub tokens_per_ms: f64,
    /// Time that the endpoint takes relative to the service as it is usually.
    pub factor: f64,
    pub gap_target: Duration,
}

impl Pace {
    /// Returns the longest gap between two events while an endpoint has prompt tokens to read, in
    /// milliseconds.
    fn gap_ms(self, unread_tokens: f64) -> f64 {
        let read = unread_tokens.min(STEPS_PER_EVENT * TOKENS_PER_STEP);
        (STEPS_PER_EVENT * STEP_MS + read / self.tokens_per_ms) * self.factor
    }

    /// Returns the cost of the gap for one stream, which grows with its square: a gap far below the aim
    /// costs nothing, as only a longer one makes the answer late.
    fn stream_cost_ms(self, unread_tokens: f64) -> f64 {
        let aim_ms = self.gap_target.as_secs_f64() * 1_000.0;
        let ratio = (self.gap_ms(unread_tokens) * SLOW_PHASE / aim_ms.max(1.0)).min(MAX_RATIO);
        STREAM_COST_MS * ratio * ratio
    }

    /// Returns what a request costs through stalls: the one that its prompt adds to each of the `streams`
    /// that run at the endpoint, and the one that it meets there itself.
    pub fn cost_ms(self, unread_tokens: u32, own_tokens: u32, streams: u32) -> f64 {
        let before = self.stream_cost_ms(f64::from(unread_tokens));
        let after = self.stream_cost_ms(f64::from(unread_tokens) + f64::from(own_tokens));
        f64::from(streams) * (after - before) + after
    }

    /// Returns whether the streams of an endpoint would stall for longer than the aim at its present pace.
    pub fn exceeds_aim(self, unread_tokens: u32, own_tokens: u32) -> bool {
        let tokens = f64::from(unread_tokens) + f64::from(own_tokens);
        self.gap_ms(tokens) > self.gap_target.as_secs_f64() * 1_000.0
    }
}
