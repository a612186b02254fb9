//! Log lines to standard output, bounded in rate and memory.
//!
//! The lines go through a queue to a thread of their own, so that a reader of standard output that
//! stalls delays no request. Above the rate lines of plain successes give way first and those that
//! explain a failure last; what was dropped is counted by event and the counts are logged.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Lines of one process in a second; see `docs/OPERATIONS.md`, section 8.
pub const RATE: u32 = 1_000;
/// Bytes that wait for a reader of standard output.
pub const QUEUE_BYTES: usize = 256 << 10;
const SECOND: Duration = Duration::from_secs(1);
/// Time for which the writer collects lines, so that it is woken less often.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Time that the last lines have at the end of the process.
const FLUSH_TIME: Duration = Duration::from_millis(500);
/// Events counted by name when they are dropped; further ones count as one.
const DROPPED_EVENTS: usize = 64;

/// Events of requests that went well; they give way first.
const SUCCESSES: [&str; 2] = ["placed", "answered"];
/// Events that explain a failed request or a change of belief; they give way last.
const FAILURES: [&str; 25] = [
    "refused",
    "quota_full",
    "crowded",
    "queue_full",
    "queue_late",
    "endpoint_error",
    "cut",
    "bad_headers",
    "unsent",
    "endpoint_refused",
    "unknown",
    "repeat",
    "stream_broken",
    "stream_timeout",
    "caller_gone",
    "moved",
    "move_lost",
    "resume_failed",
    "failed",
    "lease",
    "reverted",
    "phase",
    "store_lost",
    "store_regained",
    "order",
];

/// Says which lines give way to which when there are too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Success,
    State,
    Failure,
}

impl Class {
    /// Classifies a line by its event.
    pub fn of(line: &str) -> Class {
        match event(line) {
            Some(event) if SUCCESSES.contains(&event) => Class::Success,
            Some(event) if FAILURES.contains(&event) => Class::Failure,
            _ => Class::State,
        }
    }

    /// Part of the rate and of the queue, in quarters, that lines of the class may fill.
    fn quarters(self) -> u32 {
        match self {
            Class::Success => 2,
            Class::State => 3,
            Class::Failure => 4,
        }
    }
}

/// Gives the name of the event that a line tells.
pub fn event(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once(" event=")?;
    rest.split_whitespace().next()
}

/// Decides which lines wait to be written.
#[derive(Debug, Default)]
pub struct Queue {
    bytes: Vec<u8>,
    /// Start of the second in which `lines` are counted.
    second: Duration,
    lines: u32,
    dropped: BTreeMap<Box<str>, u64>,
    /// Time at which the counts of dropped lines were last told.
    told: Duration,
}

impl Queue {
    /// Takes a line with its end, or counts it as dropped; tells whether it was taken.
    pub fn offer(&mut self, line: &str, now: Duration) -> bool {
        if now >= self.second + SECOND {
            self.second = now;
            self.lines = 0;
        }
        let quarters = Class::of(line).quarters();
        let room = QUEUE_BYTES / 4 * quarters as usize;
        if self.lines >= RATE / 4 * quarters || self.bytes.len() + line.len() > room {
            self.drop(event(line).unwrap_or("none"));
            return false;
        }
        self.lines += 1;
        self.bytes.extend_from_slice(line.as_bytes());
        true
    }

    fn drop(&mut self, event: &str) {
        let is_new = !self.dropped.contains_key(event);
        let event = if is_new && self.dropped.len() >= DROPPED_EVENTS { "others" } else { event };
        *self.dropped.entry(event.into()).or_default() += 1;
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped.is_empty()
    }

    /// Gives what is to be written: the lines, and once a second what was dropped.
    pub fn take(&mut self, now: Duration) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if now >= self.told + SECOND || self.told.is_zero() {
            self.told = now;
            for (dropped, count) in std::mem::take(&mut self.dropped) {
                let line = format!("logging: event=dropped dropped={dropped} count={count}\n");
                bytes.extend_from_slice(line.as_bytes());
            }
        }
        bytes
    }
}

/// Queue that the logger fills and the writer empties.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

#[derive(Debug, Default)]
struct State {
    queue: Queue,
    /// Set while the writer has lines that are not yet written.
    is_writing: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes the lines of the logger; each write is one line.
struct Tap(Arc<Shared>);

impl Write for Tap {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        let mut state = self.0.lock();
        let was_empty = state.queue.is_empty();
        state.queue.offer(&text, self.0.began.elapsed());
        if was_empty {
            self.0.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the last lines when it is dropped.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let until = Instant::now() + FLUSH_TIME;
        while Instant::now() < until {
            let state = self.shared.lock();
            if state.queue.is_empty() && !state.is_writing {
                return;
            }
            drop(state);
            std::thread::sleep(BATCH_TIME / 4);
        }
    }
}

/// Sends the lines of this process to an output; the level comes from `RUST_LOG`, by default `info`.
///
/// # Errors
///
/// Fails when the thread that writes can't be started, or when there is a logger already.
pub fn start(output: impl Write + Send + 'static) -> io::Result<Guard> {
    let shared = Arc::new(Shared {
        state: Mutex::default(),
        changed: Condvar::new(),
        began: Instant::now(),
    });
    let writer = shared.clone();
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&writer, output))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .target(env_logger::Target::Pipe(Box::new(Tap(shared.clone()))))
        .try_init()
        .map_err(io::Error::other)?;
    Ok(Guard { shared })
}

/// Writes lines for as long as the process lives. A failed write loses its lines: there is no other
/// place to tell of it.
fn write_all(shared: &Shared, mut output: impl Write) {
    loop {
        let mut state = shared.lock();
        while state.queue.is_empty() {
            state.is_writing = false;
            state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        drop(state);
        std::thread::sleep(BATCH_TIME);
        let bytes = shared.lock().queue.take(shared.began.elapsed());
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}
