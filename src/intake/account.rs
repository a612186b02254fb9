//! Reads bodies into buffers that are charged to the account of the process.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::Notify;

use super::ledger::{self, Kind, Ledger};

/// Capacity of a buffer whose body announces no length.
const FIRST_CAPACITY: usize = 1 << 10;
/// Shortest time between two log lines about a full account.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Reason why a body was not read to its end.
#[derive(Debug)]
pub enum Failure {
    TooLarge,
    TooSlow,
    /// The account has no room.
    MemoryFull,
    Broken(String),
}

#[derive(Debug)]
struct Slot {
    buffer: Vec<u8>,
    dropped: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    slots: HashMap<u64, Slot>,
    refused: u64,
    dropped: u64,
    logged_at: Option<Instant>,
    unlogged: u64,
}

/// The account of a process; clones share it.
#[derive(Debug, Clone)]
pub struct Account {
    state: Arc<Mutex<State>>,
    start: Instant,
}

/// Counts of an account, for metrics.
#[derive(Debug, Clone, Copy)]
pub struct Counts {
    pub used: usize,
    pub size: usize,
    pub refused: u64,
    pub dropped: u64,
}

/// How a body is read.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Hash of the address of the caller.
    pub owner: u64,
    pub kind: Kind,
    /// Most bytes of the body.
    pub limit: usize,
    /// Longest time for the whole body.
    pub timeout: Duration,
}

/// A whole body, which returns its bytes to the account when the last reference to it is dropped.
#[derive(Debug)]
struct Charged {
    buffer: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

/// Returns the bytes of one body to the account when dropped.
#[derive(Debug)]
struct Charge {
    account: Account,
    id: u64,
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        state.ledger.close(self.id);
        state.slots.remove(&self.id);
    }
}

impl Account {
    pub fn new(size: usize) -> Account {
        let state = State {
            ledger: Ledger::new(size),
            slots: HashMap::new(),
            refused: 0,
            dropped: 0,
            logged_at: None,
            unlogged: 0,
        };
        Account { state: Arc::new(Mutex::new(state)), start: Instant::now() }
    }

    pub fn counts(&self) -> Counts {
        let state = self.lock();
        Counts {
            used: state.ledger.used(),
            size: state.ledger.size(),
            refused: state.refused,
            dropped: state.dropped,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a whole body; its frames are copied on arrival, so that small chunks cost their bytes only.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds its limit, is too slow, breaks, or the account has no room for it.
    pub async fn read<B>(&self, mut body: B, terms: Terms) -> Result<Bytes, Failure>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let announced = body.size_hint().lower();
        if announced > terms.limit as u64 {
            return Err(Failure::TooLarge);
        }
        let capacity = usize::try_from(announced).unwrap_or(terms.limit);
        let began = tokio::time::Instant::now();
        let dropped = Arc::new(Notify::new());
        let charge = self.open(terms, dropped.clone());
        let mut arrived = 0;
        loop {
            let wait = match terms.kind {
                Kind::Unfinished => ledger::time_limit(arrived).min(terms.timeout),
                Kind::Accepted => terms.timeout,
            };
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout_at(began + wait, body.frame()) => frame,
                () = dropped.notified() => return Err(Failure::MemoryFull),
            };
            match frame {
                Err(_) => return Err(Failure::TooSlow),
                Ok(Some(Err(error))) => return Err(Failure::Broken(error.to_string())),
                Ok(None) => return charge.finish(),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    arrived += data.remaining();
                    if arrived > terms.limit {
                        return Err(Failure::TooLarge);
                    }
                    self.append(charge.id, &data, capacity, terms.limit)?;
                }
            }
        }
    }

    fn open(&self, terms: Terms, dropped: Arc<Notify>) -> Charge {
        let now = self.start.elapsed();
        let mut state = self.lock();
        let id = state.ledger.open(terms.owner, terms.kind, now);
        state.slots.insert(id, Slot { buffer: Vec::new(), dropped });
        Charge { account: self.clone(), id }
    }

    /// Adds bytes to a buffer, which is charged before it grows. Buffers grow with what has arrived, as a caller may
    /// announce a length and send nothing.
    fn append(&self, id: u64, data: &[u8], announced: usize, limit: usize) -> Result<(), Failure> {
        let now = self.start.elapsed();
        let mut state = self.lock();
        let State { ledger, slots, .. } = &mut *state;
        let Some(slot) = slots.get(&id) else { return Err(Failure::MemoryFull) };
        let (length, capacity) = (slot.buffer.len(), slot.buffer.capacity());
        let needed = length + data.len();
        if needed > capacity {
            let bound = if announced > 0 { announced.max(needed) } else { limit.max(needed) };
            let target = needed.max(capacity * 2).max(FIRST_CAPACITY).min(bound);
            let Some(dropped) = ledger.grow(id, target, now) else {
                state.refused += 1;
                state.log_full("refused", id);
                return Err(Failure::MemoryFull);
            };
            for other in dropped {
                if let Some(slot) = state.slots.remove(&other) {
                    slot.dropped.notify_one();
                }
                state.dropped += 1;
                state.log_full("dropped", other);
            }
            if let Some(slot) = state.slots.get_mut(&id) {
                slot.buffer.reserve_exact(target - length);
            }
        } else if !ledger.record_progress(id, now) {
            return Err(Failure::MemoryFull);
        }
        if let Some(slot) = state.slots.get_mut(&id) {
            slot.buffer.extend_from_slice(data);
        }
        Ok(())
    }
}

impl Charge {
    /// Returns the whole body, which is never dropped from now on.
    fn finish(self) -> Result<Bytes, Failure> {
        let mut state = self.account.lock();
        let slot = state.slots.remove(&self.id);
        let is_kept = state.ledger.accept(self.id);
        drop(state);
        match slot {
            Some(slot) if is_kept => {
                if slot.buffer.is_empty() {
                    return Ok(Bytes::new());
                }
                Ok(Bytes::from_owner(Charged { buffer: slot.buffer, _charge: self }))
            }
            _ => Err(Failure::MemoryFull),
        }
    }
}

impl State {
    /// Logs that a body had no room, at most once a second.
    fn log_full(&mut self, event: &str, id: u64) {
        if self.logged_at.is_some_and(|at| at.elapsed() < LOG_PERIOD) {
            self.unlogged += 1;
            return;
        }
        log::warn!(
            "intake: event=body_{event} body={id} used={} size={} bodies={} unlogged={}",
            self.ledger.used(),
            self.ledger.size(),
            self.slots.len(),
            self.unlogged
        );
        self.unlogged = 0;
        self.logged_at = Some(Instant::now());
    }
}
