//! Decides which connection is closed for a new one, for more connections than the process has descriptors or memory.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// Shortest time between two log lines about closed connections.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// No head of a request has arrived whole.
    Idle,
    /// A request body is being read.
    Reading,
    /// A request was accepted and its response is not complete.
    Accepted,
}

#[derive(Debug)]
struct Entry {
    state: State,
    since: Duration,
    closed: Arc<Notify>,
}

/// Open connections with their states and the times since which these hold.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: HashMap<u64, Entry>,
    next: u64,
    /// Number of connections that were closed for others, or refused.
    pub closed: u64,
    logged_at: Option<Duration>,
}

impl Connections {
    pub fn new(limit: usize) -> Connections {
        Connections { limit, open: HashMap::new(), next: 0, closed: 0, logged_at: None }
    }

    pub fn count(&self) -> usize {
        self.open.len()
    }

    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Adds a connection and returns its identifier and what is notified when it is to be closed. Closes another for it
    /// if there are too many: the one that has been idle for longest, else the one with the oldest unfinished body.
    /// Returns `None` if all others run accepted requests.
    pub fn open(&mut self, now: Duration) -> Option<(u64, Arc<Notify>)> {
        if self.open.len() >= self.limit {
            let candidates = self.open.iter().filter(|(_, entry)| entry.state != State::Accepted);
            let oldest = candidates.min_by_key(|(id, entry)| (entry.state, entry.since, **id));
            let oldest = oldest.map(|(id, _)| *id);
            self.closed += 1;
            self.log_full(now);
            let entry = self.open.remove(&oldest?)?;
            entry.closed.notify_one();
        }
        self.next += 1;
        let closed = Arc::new(Notify::new());
        let entry = Entry { state: State::Idle, since: now, closed: closed.clone() };
        self.open.insert(self.next, entry);
        Some((self.next, closed))
    }

    /// Records the state of a connection; returns `false` if it was closed for another.
    pub fn set(&mut self, id: u64, state: State, now: Duration) -> bool {
        let Some(entry) = self.open.get_mut(&id) else { return false };
        (entry.state, entry.since) = (state, now);
        true
    }

    pub fn close(&mut self, id: u64) {
        self.open.remove(&id);
    }

    fn log_full(&mut self, now: Duration) {
        if self.logged_at.is_none_or(|at| now.saturating_sub(at) >= LOG_PERIOD) {
            log::warn!(
                "intake: event=connections_full open={} limit={} closed={}",
                self.open.len(),
                self.limit,
                self.closed
            );
            self.logged_at = Some(now);
        }
    }
}

/// The connections of one listener; clones share them.
#[derive(Debug, Clone)]
pub struct Table {
    connections: Arc<Mutex<Connections>>,
    start: Instant,
}

impl Table {
    pub fn new(limit: usize) -> Table {
        let connections = Arc::new(Mutex::new(Connections::new(limit)));
        Table { connections, start: Instant::now() }
    }

    pub fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an accepted connection; see `Connections::open`.
    pub fn open(&self) -> Option<(Connection, Arc<Notify>)> {
        let (id, closed) = self.lock().open(self.start.elapsed())?;
        Some((Connection { table: self.clone(), id }, closed))
    }
}

/// An open connection, removed from its table when dropped.
#[derive(Debug)]
pub struct Connection {
    table: Table,
    id: u64,
}

impl Connection {
    /// Returns a guard for a request whose head has arrived.
    pub fn request(&self) -> Request {
        let request = Request { table: self.table.clone(), id: self.id };
        request.set(State::Reading);
        request
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.table.lock().close(self.id);
    }
}

/// A request on a connection, which is idle again when this is dropped.
#[derive(Debug)]
pub struct Request {
    table: Table,
    id: u64,
}

impl Request {
    /// Keeps the connection open until the end of the response; returns `false` if it was closed for another.
    pub fn accept(&self) -> bool {
        self.set(State::Accepted)
    }

    fn set(&self, state: State) -> bool {
        self.table.lock().set(self.id, state, self.table.start.elapsed())
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.set(State::Idle);
    }
}
