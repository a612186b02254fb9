//! Pauses that endpoints ask of this node when they turn a request away.
//!
//! They are kept apart from the health of the endpoints, since an endpoint that asks for a pause is sound, and
//! from their load, since it says nothing about free capacity. A pause binds only the node that was asked.
//! Afterwards the requests come back one after the other, so that all that waited don't meet the endpoint at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::platform::{Endpoint, Pause};

/// Longest pause that is kept; a longer one is taken for it. No sound endpoint asks for more.
pub const MAX_PAUSE: Duration = Duration::from_secs(86_400);
/// Time after a pause within which the endpoint gets requests at intervals, and the least interval.
const RETURN_TIME: Duration = Duration::from_secs(1);
const RETURN_INTERVAL: Duration = Duration::from_millis(100);

/// What an endpoint has asked for.
#[derive(Debug)]
struct Entry {
    started_ms: u64,
    /// End of the pause.
    until: Duration,
    /// Time from which the endpoint gets the next request.
    next: Duration,
    has_unreadable: bool,
}

/// Result of a statement that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Unchanged,
    /// A pause has begun.
    Began(Duration),
    /// The first pause of an endpoint that can't be read.
    Unreadable,
}

/// Pauses of all endpoints that have asked for one lately.
#[derive(Debug, Default)]
pub struct Pauses {
    entries: HashMap<Arc<str>, Entry>,
}

impl Pauses {
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records what a response at `now` asks for.
    ///
    /// Of overlapping pauses the one that ends last holds: each response is kept to by itself.
    pub fn record(&mut self, endpoint: &Endpoint, pause: Pause, now: Duration) -> Outcome {
        if pause == Pause::Absent {
            return Outcome::Unchanged;
        }
        let new = Entry {
            started_ms: endpoint.started_ms,
            until: Duration::ZERO,
            next: Duration::ZERO,
            has_unreadable: false,
        };
        let entry = match self.entries.get_mut(&endpoint.id) {
            Some(entry) if entry.started_ms == endpoint.started_ms => entry,
            _ => self.entries.entry(endpoint.id.clone()).insert_entry(new).into_mut(),
        };
        let Pause::For(length) = pause else {
            return match std::mem::replace(&mut entry.has_unreadable, true) {
                true => Outcome::Unchanged,
                false => Outcome::Unreadable,
            };
        };
        let length = length.min(MAX_PAUSE);
        let is_new = entry.until <= now && !length.is_zero();
        entry.until = entry.until.max(now + length);
        entry.next = entry.next.max(entry.until);
        if is_new { Outcome::Began(length) } else { Outcome::Unchanged }
    }

    /// Returns the time until an endpoint may get a request; `None` if it may now.
    pub fn wait(&self, endpoint: &str, now: Duration) -> Option<Duration> {
        let entry = self.entries.get(endpoint)?;
        let is_over = now >= entry.until + RETURN_TIME || now >= entry.next;
        (!is_over).then(|| entry.next - now)
    }

    /// Returns whether an endpoint has asked for a pause that isn't over.
    pub fn is_paused(&self, endpoint: &str, now: Duration) -> bool {
        self.entries.get(endpoint).is_some_and(|entry| now < entry.until)
    }

    /// Records a request to an endpoint.
    pub fn record_request(&mut self, endpoint: &str, now: Duration) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.next = entry.next.max(now + RETURN_INTERVAL);
        }
    }

    /// Ends the pause of an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        self.entries.remove(endpoint);
    }

    /// Drops the endpoints for which `keep`, which gets the start too, returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str, u64) -> bool) {
        self.entries.retain(|id, entry| keep(id, entry.started_ms));
    }
}
