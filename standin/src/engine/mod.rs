//! Usage: `standin engine [--listen IP:PORT] [--gap-ms N] [--batch N] [--slots N] ...`
//!
//! Stand-in for a model engine: continuous batching, prefix cache, resume, orders and faults.

pub mod cache;
mod control;
mod router;
mod scheduler;
pub mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::fault::{self, Dice, Scope};
use crate::serve;
use scheduler::{Scheduler, Speed};
use stream::Stream;

/// stand-in for a model engine
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct Options {
    /// address to listen on
    #[argh(option, default = "Options::default().listen")]
    pub listen: SocketAddr,
    /// milliseconds between tokens of one stream, 0 for no limit
    #[argh(option, default = "Options::default().gap_ms")]
    pub gap_ms: f64,
    /// streams above this number make the gap grow in proportion
    #[argh(option, default = "Options::default().batch")]
    pub batch: usize,
    /// streams above this number wait
    #[argh(option, default = "Options::default().slots")]
    pub slots: usize,
    /// milliseconds to compute one uncached block of 16 words
    #[argh(option, default = "Options::default().prefill_ms")]
    pub prefill_ms: f64,
    /// milliseconds to export or import the state of one block
    #[argh(option, default = "Options::default().state_ms")]
    pub state_ms: f64,
    /// blocks that the prefix cache holds
    #[argh(option, default = "Options::default().cache_blocks")]
    pub cache_blocks: usize,
    /// milliseconds between steps of the batch
    #[argh(option, default = "Options::default().tick_ms")]
    pub tick_ms: f64,
    /// age of the answer of GET /load, in milliseconds
    #[argh(option, default = "Options::default().load_lag_ms")]
    pub load_lag_ms: u64,
    /// age of the newest visible cache event, in milliseconds
    #[argh(option, default = "Options::default().event_lag_ms")]
    pub event_lag_ms: u64,
    /// share of cache events that are lost, 0 to 1
    #[argh(option, default = "Options::default().event_loss")]
    pub event_loss: f64,
    /// reject orders with an outdated fencing number
    #[argh(switch)]
    pub check_fencing: bool,
    /// seed of the draws for shares of faults
    #[argh(option, default = "Options::default().seed")]
    pub seed: u64,
    /// faults from the start, as the JSON of POST /control/faults
    #[argh(option, default = "Options::default().faults")]
    pub faults: String,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            gap_ms: 10.0,
            batch: 16,
            slots: 64,
            prefill_ms: 1.0,
            state_ms: 0.0,
            cache_blocks: 4_096,
            tick_ms: 2.0,
            load_lag_ms: 200,
            event_lag_ms: 0,
            event_loss: 0.0,
            check_fencing: false,
            seed: 1,
            faults: "{}".to_owned(),
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Selects the requests to which the other fields, except `freeze`, apply.
    scope: Scope,
    /// Answers this share of completions with 500.
    #[serde(deserialize_with = "fault::share")]
    fail_share: f64,
    /// Multiplies prefill times and token gaps.
    slow: f64,
    /// Ends the body after this many tokens, without the last chunk.
    truncate_after: Option<u64>,
    /// Ends a truncated body by closing the connection instead of a regular end.
    truncate_abort: bool,
    /// Answers this share with the id of another request.
    #[serde(deserialize_with = "fault::share")]
    wrong_id: f64,
    /// Sends nothing on any stream, while connections stay open.
    freeze: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            scope: Scope::default(),
            fail_share: 0.0,
            slow: 1.0,
            truncate_after: None,
            truncate_abort: false,
            wrong_id: 0.0,
            freeze: false,
        }
    }
}

/// Holds one engine; the scheduler has its own lock because each token batch needs it.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    dice: Dice,
    scheduler: Mutex<Scheduler>,
    faults: Mutex<Faults>,
    frozen: AtomicBool,
    orders: Mutex<control::Orders>,
    requests: AtomicU64,
    failed: AtomicU64,
    completed: AtomicU64,
    mismatches: AtomicU64,
    /// Wakes the tick task when the first stream starts.
    busy: Notify,
}

impl Engine {
    fn new(options: Options) -> io::Result<Engine> {
        let faults: Faults = serde_json::from_str(&options.faults)?;
        let speed = Speed {
            gap: millis(options.gap_ms),
            batch: options.batch.max(1),
            slots: options.slots.max(1),
            prefill_per_block: millis(options.prefill_ms),
        };
        Ok(Engine {
            dice: Dice::new(options.seed),
            scheduler: Mutex::new(Scheduler::new(speed, options.cache_blocks)),
            frozen: AtomicBool::new(faults.freeze),
            faults: Mutex::new(faults),
            orders: Mutex::default(),
            requests: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            completed: AtomicU64::new(0),
            mismatches: AtomicU64::new(0),
            busy: Notify::new(),
            options,
        })
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn frozen(&self) -> bool {
        self.frozen.load(Ordering::Acquire)
    }

    fn start(&self, stream: Arc<Stream>) {
        self.scheduler().add(stream, Instant::now());
        self.busy.notify_one();
    }

    fn release(&self, stream: &Arc<Stream>) {
        self.scheduler().remove(stream, Instant::now());
    }

    fn completed(&self) {
        self.completed.fetch_add(1, Ordering::Relaxed);
    }

    /// Steps the batch while streams run, and sleeps while none do.
    async fn tick(&self) {
        let period = millis(self.options.tick_ms).max(Duration::from_micros(100));
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            interval.tick().await;
            if !self.frozen() && !self.scheduler().tick(Instant::now()) {
                self.busy.notified().await;
            }
        }
    }
}

fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}

/// Binds the listen address, announces it and serves.
pub async fn execute(options: Options) -> io::Result<()> {
    run(serve::bind(options.listen).await?, options).await
}

/// Serves on the listener until the task is dropped; fails when the faults of the options are wrong.
pub async fn run(listener: TcpListener, options: Options) -> io::Result<()> {
    let engine = Arc::new(Engine::new(options)?);
    tokio::select! {
        result = serve::serve(listener, router::router(Arc::clone(&engine))) => result,
        () = engine.tick() => Ok(()),
    }
}
