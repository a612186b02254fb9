//! Ring buffer of this node's events.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::timeline::{Clock, Event, Stamp, Subject};

/// Part name of the events that concern the event log itself.
pub(super) const PART: &str = "timeline";
/// Text of the event that marks an orderly stop of the process.
pub(super) const CLOSED: &str = "closed";

/// Maximum length of an event text, in bytes; longer texts are truncated so that the capacity of
/// the buffer bounds its memory.
const MAX_TEXT_BYTES: usize = 512;

/// Contains the fields of an event that its origin supplies; the buffer adds the rest.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Draft {
    pub part: &'static str,
    pub subject: Subject,
    pub text: String,
    pub numbers: BTreeMap<Arc<str>, f64>,
}

/// Adds a stamp and a sequence number to each event and evicts the oldest event when full.
#[derive(Debug)]
pub struct Buffer {
    node: Arc<str>,
    boot: u64,
    capacity: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    clock: Clock,
    ring: VecDeque<Event>,
    next: u64,
    /// Sequence number of the first event that is not yet in a batch.
    next_unbatched: u64,
    dropped: u64,
}

impl Buffer {
    /// Creates a buffer for at least one and at most `capacity` events.
    ///
    /// `boot_ms` is the start time of the process, in milliseconds since the Unix epoch.
    pub fn new(node: Arc<str>, boot_ms: u64, capacity: usize) -> Buffer {
        let inner = Mutex::new(Inner::default());
        Buffer { node, boot: boot_ms, capacity: capacity.max(1), inner }
    }

    pub fn node(&self) -> &Arc<str> {
        &self.node
    }

    pub fn record(&self, now_ms: u64, draft: Draft) -> Stamp {
        let Draft { part, subject, mut text, numbers } = draft;
        if text.len() > MAX_TEXT_BYTES {
            text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        }
        let mut inner = self.lock();
        let stamp = inner.clock.tick(now_ms);
        let sequence = inner.next;
        inner.next += 1;
        while inner.ring.len() >= self.capacity {
            let evicted = inner.ring.pop_front();
            if evicted.is_some_and(|event| event.sequence >= inner.next_unbatched) {
                inner.dropped += 1;
            }
        }
        inner.ring.push_back(Event {
            stamp,
            node: self.node.clone(),
            boot: self.boot,
            sequence,
            part: part.into(),
            subject,
            text: text.into(),
            numbers,
        });
        stamp
    }

    /// Records the orderly stop of the process, so that readers do not assume lost events after it.
    pub fn close(&self, now_ms: u64) {
        self.record(now_ms, Draft { part: PART, text: CLOSED.to_owned(), ..Draft::default() });
    }

    /// Merges a stamp received from a peer and returns the new local stamp.
    ///
    /// Returns `None` if the peer's stamp is more than `MAX_DRIFT_MS` ahead of `now_ms`.
    pub fn observe(&self, now_ms: u64, received: Stamp) -> Option<Stamp> {
        self.lock().clock.observe(now_ms, received)
    }

    /// Returns a new stamp to attach to an outgoing message.
    pub fn next_stamp(&self, now_ms: u64) -> Stamp {
        self.lock().clock.tick(now_ms)
    }

    /// Returns the buffered events with a wall time of at least `wall_ms`, oldest first.
    pub fn events_since(&self, wall_ms: u64) -> Vec<Event> {
        let inner = self.lock();
        inner.ring.iter().filter(|event| event.stamp.wall_ms >= wall_ms).cloned().collect()
    }

    /// Returns up to `limit` of the oldest events that are not yet in a batch, and marks them as
    /// batched; they stay in the buffer.
    pub fn take_batch(&self, limit: usize) -> Vec<Event> {
        let mut inner = self.lock();
        let next_unbatched = inner.next_unbatched;
        let unbatched = inner.ring.iter().skip_while(|event| event.sequence < next_unbatched);
        let events: Vec<Event> = unbatched.take(limit).cloned().collect();
        if let Some(last) = events.last() {
            inner.next_unbatched = last.sequence + 1;
        }
        events
    }

    /// Returns the number of events evicted before they were in a batch.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The state is consistent at any point that could panic, so a poisoned lock is usable.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
