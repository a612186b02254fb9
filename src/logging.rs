//! Log lines to standard output, bounded in rate and memory.
//!
//! The lines pass through a queue to a separate writer thread, so that a stalled reader of standard
//! output does not delay requests. Above the rate limit, lines about successful requests are
//! dropped first and lines that explain a failure last. Dropped lines are counted by event, and the
//! counts are logged.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines that a process logs per second; see `docs/OPERATIONS.md`, section 8.
pub const MAX_LINES_PER_SECOND: u32 = 1_000;
/// Maximum size of the queue, in bytes.
pub const MAX_QUEUE_BYTES: usize = 256 << 10;
const SECOND: Duration = Duration::from_secs(1);
/// Time for which the writer collects lines before it writes them, to reduce wakeups.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of event names with a drop count of their own; other events share one count.
const MAX_DROPPED_EVENTS: usize = 64;

/// Events of successful requests; their lines are dropped first.
const SUCCESS_EVENTS: [&str; 2] = ["placed", "answered"];
/// Events that explain a failed request or a change in this process's view of the system; their
/// lines are dropped last.
const FAILURE_EVENTS: [&str; 25] = [
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

/// Represents the priority of a line when lines must be dropped, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Success,
    State,
    Failure,
}

impl Class {
    /// Returns the class of a line by its event.
    pub fn of(line: &str) -> Class {
        match event_name(line) {
            Some(event) if SUCCESS_EVENTS.contains(&event) => Class::Success,
            Some(event) if FAILURE_EVENTS.contains(&event) => Class::Failure,
            _ => Class::State,
        }
    }

    /// Returns how many quarters of the rate limit and of the queue may be used when a line of this
    /// class is added.
    fn quarters(self) -> u32 {
        match self {
            Class::Success => 2,
            Class::State => 3,
            Class::Failure => 4,
        }
    }
}

/// Returns the event name in the first `event=` field of a line.
pub fn event_name(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once(" event=")?;
    rest.split_whitespace().next()
}

/// Holds the lines to be written and counts the dropped ones.
#[derive(Debug, Default)]
pub struct Queue {
    bytes: Vec<u8>,
    /// Start of the one-second window in which `lines` are counted.
    second: Duration,
    lines: u32,
    dropped: BTreeMap<Box<str>, u64>,
    /// Time at which the counts of dropped lines were last reported.
    last_report: Duration,
}

impl Queue {
    /// Adds a line, including its newline, or counts it as dropped; returns whether it was added.
    pub fn offer(&mut self, line: &str, now: Duration) -> bool {
        if now >= self.second + SECOND {
            self.second = now;
            self.lines = 0;
        }
        let quarters = Class::of(line).quarters();
        let max_bytes = MAX_QUEUE_BYTES / 4 * quarters as usize;
        if self.lines >= MAX_LINES_PER_SECOND / 4 * quarters
            || self.bytes.len() + line.len() > max_bytes
        {
            self.count_dropped(event_name(line).unwrap_or("none"));
            return false;
        }
        self.lines += 1;
        self.bytes.extend_from_slice(line.as_bytes());
        true
    }

    fn count_dropped(&mut self, event: &str) {
        let is_new = !self.dropped.contains_key(event);
        let event =
            if is_new && self.dropped.len() >= MAX_DROPPED_EVENTS { "others" } else { event };
        *self.dropped.entry(event.into()).or_default() += 1;
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped.is_empty()
    }

    /// Removes and returns the text to write: the queued lines and, at most once a second, the
    /// counts of dropped lines.
    pub fn drain(&mut self, now: Duration) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        if now >= self.last_report + SECOND || self.last_report.is_zero() {
            self.last_report = now;
            for (dropped, count) in std::mem::take(&mut self.dropped) {
                let line = format!("logging: event=dropped dropped={dropped} count={count}\n");
                bytes.extend_from_slice(line.as_bytes());
            }
        }
        bytes
    }
}

/// Contains the queue shared by the logger and the writer thread.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

#[derive(Debug, Default)]
struct State {
    queue: Queue,
    /// Whether the writer thread holds lines that are not yet written.
    is_writing: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds the logger's output to the queue; each write is one line.
struct LineWriter(Arc<Shared>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        let mut state = self.0.lock();
        let was_empty = state.queue.is_empty();
        state.queue.offer(&text, self.0.started.elapsed());
        if was_empty {
            self.0.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits, when dropped, until the queued lines are written or `FLUSH_TIMEOUT` has passed.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < deadline {
            let state = self.shared.lock();
            if state.queue.is_empty() && !state.is_writing {
                return;
            }
            drop(state);
            std::thread::sleep(BATCH_DELAY / 4);
        }
    }
}

/// Starts logging to `output`; the level comes from `RUST_LOG`, by default `info`.
///
/// # Errors
///
/// Fails if the writer thread can't be started or a logger is already installed.
pub fn start(output: impl Write + Send + 'static) -> io::Result<Guard> {
    let shared = Arc::new(Shared {
        state: Mutex::default(),
        changed: Condvar::new(),
        started: Instant::now(),
    });
    let writer = shared.clone();
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_writer(&writer, output))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .target(env_logger::Target::Pipe(Box::new(LineWriter(shared.clone()))))
        .try_init()
        .map_err(io::Error::other)?;
    Ok(Guard { shared })
}

/// Writes queued lines until the process ends. Lines of a failed write are lost without a report,
/// since the output is the only place to report to.
fn run_writer(shared: &Shared, mut output: impl Write) {
    loop {
        let mut state = shared.lock();
        while state.queue.is_empty() {
            state.is_writing = false;
            state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        drop(state);
        std::thread::sleep(BATCH_DELAY);
        let bytes = shared.lock().queue.drain(shared.started.elapsed());
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}
