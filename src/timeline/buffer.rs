//! Bounded ring of the events of this node.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::timeline::{Clock, Event, Stamp, Subject};

/// Names the part that events about the timeline itself come from.
pub(super) const PART: &str = "timeline";
/// Text of the last event of an orderly stop.
pub(super) const CLOSED: &str = "closed";

/// Longest text of an event; together with the capacity it bounds the memory of the ring.
const TEXT_BYTES: usize = 512;

/// Holds what a part of the system says about an event.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Draft {
    pub part: &'static str,
    pub subject: Subject,
    pub text: String,
    pub numbers: BTreeMap<Arc<str>, f64>,
}

/// Stamps and keeps events; the oldest give way to new ones.
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
    /// First sequence number that no batch has taken yet.
    untaken: u64,
    dropped: u64,
}

impl Buffer {
    /// Builds a ring for `capacity` events; `boot_ms` is the start of the process.
    pub fn new(node: Arc<str>, boot_ms: u64, capacity: usize) -> Buffer {
        let inner = Mutex::new(Inner::default());
        Buffer { node, boot: boot_ms, capacity: capacity.max(1), inner }
    }

    pub fn node(&self) -> &Arc<str> {
        &self.node
    }

    pub fn record(&self, now_ms: u64, draft: Draft) -> Stamp {
        let Draft { part, subject, mut text, numbers } = draft;
        if text.len() > TEXT_BYTES {
            text.truncate(text.floor_char_boundary(TEXT_BYTES));
        }
        let mut inner = self.lock();
        let stamp = inner.clock.tick(now_ms);
        let sequence = inner.next;
        inner.next += 1;
        while inner.ring.len() >= self.capacity {
            let evicted = inner.ring.pop_front();
            if evicted.is_some_and(|event| event.sequence >= inner.untaken) {
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

    /// Records that the process stops in an orderly way, so that a reader expects no more events.
    pub fn close(&self, now_ms: u64) {
        self.record(now_ms, Draft { part: PART, text: CLOSED.to_owned(), ..Draft::default() });
    }

    /// Merges a stamp received from a peer; `None` when the peer's clock is too far ahead.
    pub fn observe(&self, now_ms: u64, received: Stamp) -> Option<Stamp> {
        self.lock().clock.observe(now_ms, received)
    }

    /// Gives a stamp to send along with a message.
    pub fn stamp(&self, now_ms: u64) -> Stamp {
        self.lock().clock.tick(now_ms)
    }

    /// Gives the events in the ring from a wall time on, oldest first.
    pub fn since(&self, wall_ms: u64) -> Vec<Event> {
        let inner = self.lock();
        inner.ring.iter().filter(|event| event.stamp.wall_ms >= wall_ms).cloned().collect()
    }

    /// Takes the oldest events that no batch holds yet.
    pub fn take(&self, most: usize) -> Vec<Event> {
        let mut inner = self.lock();
        let untaken = inner.untaken;
        let fresh = inner.ring.iter().skip_while(|event| event.sequence < untaken);
        let events: Vec<Event> = fresh.take(most).cloned().collect();
        if let Some(last) = events.last() {
            inner.untaken = last.sequence + 1;
        }
        events
    }

    /// Gives the number of events that left the ring before a batch took them.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The state is consistent between any two statements that could panic.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
