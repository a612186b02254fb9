//! Replays a trace through the decisions, with modelled endpoints in place of real ones.

mod fleet;
mod simulation;

use std::time::Duration;

use super::engine;
use super::report::Report;
use super::{BLOCK_TOKENS, Record};
use crate::retry;
use simulation::Simulation;

/// Selects how endpoints are chosen; all but the last are baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    Random,
    RoundRobin,
    LeastInFlight,
    Affinity,
}

/// Selects how failed requests are sent again.
#[derive(Debug, Clone, Copy)]
pub enum Retries {
    /// Resends up to this many times whatever may be resent, without a budget (baseline).
    Fixed(u32),
    Budget(retry::Policy),
}

/// Makes a part of the attempts fail for a time, at all endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub from: Duration,
    pub until: Duration,
    /// Part of the attempts that fail, from 0 to 1.
    pub part: f64,
}

/// Describes the modelled system and the decisions in use.
#[derive(Debug, Clone)]
pub struct Settings {
    pub seed: u64,
    pub nodes: usize,
    pub domains: usize,
    /// Model workers, and application workers for plain requests.
    pub workers: usize,
    pub applications: usize,
    pub engine: engine::Settings,
    pub block_tokens: u32,
    pub choice: Choice,
    /// Without admission every request is accepted at once.
    pub admission: bool,
    pub retries: Retries,
    pub fault: Option<Fault>,
    /// Time at which the first worker begins to leave.
    pub leaving: Option<Duration>,
    /// Delay of cache events, and the part of them that is lost.
    pub event_delay: Duration,
    pub event_loss: f64,
    /// Time that callers allow for a model request and per response token, and for a plain request.
    pub model_deadline: Duration,
    pub token_deadline: Duration,
    pub plain_deadline: Duration,
    /// Part of the trace before which completions are not counted as goodput.
    pub warm_up: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seed: 1,
            nodes: 5,
            domains: 4,
            workers: 18,
            applications: 4,
            engine: engine::Settings::default(),
            block_tokens: BLOCK_TOKENS,
            choice: Choice::Affinity,
            admission: true,
            retries: Retries::Budget(retry::Policy::default()),
            fault: None,
            leaving: None,
            event_delay: Duration::from_secs(2),
            event_loss: 0.1,
            model_deadline: Duration::from_secs(10),
            token_deadline: Duration::from_millis(100),
            plain_deadline: Duration::from_secs(2),
            warm_up: Duration::ZERO,
        }
    }
}

/// Replays records in order of time and reports what became of them.
pub fn run(settings: &Settings, records: &[Record]) -> Report {
    Simulation::new(settings, records).run()
}
