//! State machine of one process for one lease, without I/O.
//!
//! Times are durations since an arbitrary start of the process's monotonic clock.

use std::sync::Arc;
use std::time::Duration;

use crate::lease::Lease;
use crate::platform::{Outcome, Row, Transaction};

/// Renewals per term, so that two in a row may fail before the lease expires.
const RENEWALS_PER_TERM: u32 = 3;
/// Retries per term after failed calls, and polls per term of a row that another process holds.
const RETRIES_PER_TERM: u32 = 10;

/// What the caller of `State::next_action` has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the row, then pass the result to `State::handle` as `Event::Read`.
    Read,
    /// Send the transaction, then pass its outcome to `State::handle` as `Event::Written`.
    Write(Transaction),
    /// Wait until this time, then call `State::next_action` again.
    Wait(Duration),
}

/// Result of an action.
#[derive(Debug, Clone)]
pub enum Event {
    /// The row as read; `Err` if the read failed.
    Read(Result<Option<Row>, ()>),
    Written(Outcome),
}

/// Proof that the process holds the lease until a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Fencing number of the lease.
    pub fence: u64,
    /// Time at which the lease expires for its holder: one term after the write was sent.
    ///
    /// Observers wait for one term after they first saw the write, which is never earlier.
    pub until: Duration,
    /// Time by which the lease with the previous fencing number has expired, counted as if its
    /// holder had not released it early.
    pub predecessor_end: Duration,
}

impl Grant {
    /// Reports whether the lease stays valid for longer than `margin` from `now`.
    ///
    /// Callers check this right before each action, so that a process that was paused past the
    /// expiry does not act.
    pub fn is_valid_for(&self, now: Duration, margin: Duration) -> bool {
        now.checked_add(margin).is_some_and(|end| end < self.until)
    }
}

/// A write whose outcome is not known yet.
#[derive(Debug, Clone)]
struct Write {
    lease: Lease,
    /// Time before the write was sent.
    sent_at: Duration,
    predecessor_end: Duration,
}

/// An observer waits for the term and the term divided by this, since monotonic clocks can run at
/// different speeds.
const DRIFT_DIVISOR: u32 = 100;

/// The row in the version last seen.
#[derive(Debug, Clone)]
struct Observation {
    row_version: Option<u64>,
    lease: Option<Lease>,
    /// Time after the read or write that first returned this version.
    first_seen: Duration,
}

/// What a process knows about a lease.
#[derive(Debug)]
pub struct State {
    key: String,
    process: Arc<str>,
    term: Duration,
    serial: u64,
    last_seen: Option<Observation>,
    pending: Option<Write>,
    grant: Option<Grant>,
    next_action_at: Duration,
    released: bool,
    must_read: bool,
    /// Highest fencing number known from elsewhere.
    known_fence: u64,
    /// Least fencing number of a new holder.
    least_fence: u64,
    /// Time of the last answer that showed the row.
    read_at: Duration,
}

impl State {
    /// Creates a state that does not hold the lease.
    ///
    /// `process` must differ between processes, and between two runs on one VM: a restarted process
    /// must not treat the row written by the previous run as its own.
    pub fn new(key: String, process: Arc<str>, term: Duration) -> State {
        State {
            key,
            process,
            // The row stores the term in whole milliseconds; the holder and the observers must use
            // the same value.
            term: Duration::from_millis(term.as_millis() as u64),
            serial: 0,
            last_seen: None,
            pending: None,
            grant: None,
            next_action_at: Duration::ZERO,
            released: false,
            must_read: true,
            known_fence: 0,
            least_fence: 0,
            read_at: Duration::ZERO,
        }
    }

    /// Notes a fencing number that some process has had. The platform may have lost the row that showed it, so
    /// later holders take higher ones, and a grant with a lower one is over.
    pub fn raise_fence(&mut self, fence: u64) {
        self.known_fence = self.known_fence.max(fence);
        if self.grant.is_some_and(|grant| grant.fence < self.known_fence) {
            self.grant = None;
        }
    }

    fn next_fence(&self, fence: u64) -> u64 {
        fence.max(self.known_fence).saturating_add(1).max(self.least_fence)
    }

    /// Sets the least fencing number of a new holder. A number from a clock rises even if all who know the last
    /// one, and the row that holds it, are lost.
    pub fn set_least_fence(&mut self, fence: u64) {
        self.least_fence = fence;
    }

    /// Returns the grant last obtained. It may have expired: `Grant::is_valid_for` has to be
    /// checked before each use.
    pub fn grant(&self) -> Option<Grant> {
        self.grant
    }

    pub fn process(&self) -> Arc<str> {
        self.process.clone()
    }

    /// Returns the lease as last read or written; `None` before the first read, without a row, and
    /// for a row that does not parse.
    pub fn last_seen(&self) -> Option<Lease> {
        self.last_seen.as_ref()?.lease.clone()
    }

    /// Stops renewing and releases the lease, so that another process can acquire it before the
    /// term ends.
    ///
    /// `grant` returns `None` from now on, so this process takes no further action under the
    /// lease.
    pub fn release(&mut self) {
        self.released = true;
        self.grant = None;
        self.next_action_at = Duration::ZERO;
    }

    /// Reports whether `release` was called and the row is known not to name this process as
    /// holder.
    pub fn is_released(&self) -> bool {
        let is_own =
            |seen: &Observation| seen.lease.as_ref().is_some_and(|lease| self.is_own(lease));
        self.released && !self.must_read && !self.last_seen.as_ref().is_some_and(is_own)
    }

    /// Returns what to do now.
    pub fn next_action(&mut self, now: Duration) -> Action {
        if self.grant.is_some_and(|grant| now >= grant.until) {
            self.grant = None;
        }
        if now < self.next_action_at {
            return Action::Wait(self.next_action_at);
        }
        let Some(seen) = self.last_seen.clone().filter(|_| !self.must_read) else {
            return Action::Read;
        };
        match &seen.lease {
            _ if self.released && !self.is_released() => self.write_release(&seen),
            _ if self.released => Action::Wait(now + self.term),
            Some(lease) if self.is_own(lease) => match self.grant {
                Some(held) => self.write(now, seen.row_version, held.fence, held.predecessor_end),
                // The process may have been suspended, and the row may be another one since.
                None if now.saturating_sub(self.read_at) > self.retry_delay() => Action::Read,
                // An expired own lease is acquired again with a new fencing number, as if it had
                // been another holder's.
                None => self.write(
                    now,
                    seen.row_version,
                    self.next_fence(lease.fence),
                    self.expiry(lease, &seen),
                ),
            },
            Some(lease) => {
                let expiry = self.expiry(lease, &seen);
                if lease.holder.is_empty() || now > expiry {
                    return self.write(now, seen.row_version, self.next_fence(lease.fence), expiry);
                }
                self.poll_later(now, expiry)
            }
            // A row that does not parse cannot be taken over, since its fencing number is unknown.
            None if seen.row_version.is_some() && self.least_fence == 0 => {
                self.poll_later(now, now + self.term)
            }
            // A number from a clock is above it. Whoever still holds the lease writes the row within the term.
            None if seen.row_version.is_some() => {
                let expiry = seen.first_seen + self.term + self.term / DRIFT_DIVISOR;
                if now > expiry {
                    return self.write(now, seen.row_version, self.next_fence(0), expiry);
                }
                self.poll_later(now, expiry)
            }
            // The platform may have lost the row of a lease that is still held.
            None if self.known_fence > 0 => {
                let end = seen.first_seen + self.term + self.term / DRIFT_DIVISOR;
                self.write(now, None, self.next_fence(0), end)
            }
            None => self.write(now, None, self.next_fence(0), Duration::ZERO),
        }
    }

    /// Returns the time by which the lease in a row has expired for its holder, including the
    /// allowance for clock drift.
    fn expiry(&self, lease: &Lease, seen: &Observation) -> Duration {
        let term = self.term.max(Duration::from_millis(lease.term_ms));
        seen.first_seen + term + term / DRIFT_DIVISOR
    }

    fn poll_later(&mut self, now: Duration, latest: Duration) -> Action {
        self.must_read = true;
        self.next_action_at = (now + self.retry_delay()).min(latest);
        Action::Wait(self.next_action_at)
    }

    /// Handles the result of an action; `now` must be read after the answer arrived.
    pub fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Read(Ok(row)) => self.handle_row(row, now),
            Event::Read(Err(())) => self.next_action_at = now + self.retry_delay(),
            Event::Written(Outcome::Done(version)) => {
                let Some(pending) = self.pending.take() else { return };
                self.handle_own_write(version, pending, now);
            }
            // The row is read back, which shows whether the write took effect.
            Event::Written(Outcome::Unknown) => {
                self.must_read = true;
                self.next_action_at = now;
            }
            Event::Written(Outcome::Rejected(_)) => {
                self.pending = None;
                self.must_read = true;
            }
            Event::Written(Outcome::NotRun) => {
                self.pending = None;
                self.next_action_at = now + self.retry_delay();
            }
        }
    }

    fn handle_row(&mut self, row: Option<Row>, now: Duration) {
        self.must_read = false;
        self.read_at = now;
        let lease: Option<Lease> = row.as_ref().and_then(|row| Lease::from_value(&row.value));
        let row_version = row.as_ref().map(|row| row.version);
        if let (Some(pending), Some(lease), Some(version)) =
            (self.pending.clone(), &lease, row_version)
            && pending.lease == *lease
        {
            self.pending = None;
            self.handle_own_write(version, pending, now);
            return;
        }
        if self.pending.is_some() {
            // A write that the row does not show may still take effect. It is conditional on the
            // row version that it was based on, so it can no longer do so once the version has
            // changed.
            let unchanged =
                self.last_seen.as_ref().is_some_and(|seen| seen.row_version == row_version);
            if !unchanged {
                self.pending = None;
            }
        }
        if !lease.as_ref().is_some_and(|lease| self.is_own(lease)) {
            self.grant = None;
        }
        if self.last_seen.as_ref().is_none_or(|seen| seen.row_version != row_version) {
            self.last_seen = Some(Observation { row_version, lease, first_seen: now });
        }
    }

    fn handle_own_write(&mut self, version: u64, pending: Write, now: Duration) {
        self.must_read = false;
        self.read_at = now;
        let is_own = self.is_own(&pending.lease);
        let until = pending.sent_at + self.term;
        self.grant = (is_own && !self.released && now < until).then_some(Grant {
            fence: pending.lease.fence,
            until,
            predecessor_end: pending.predecessor_end,
        });
        self.next_action_at = match self.released {
            true => now,
            false => pending.sent_at + self.term / RENEWALS_PER_TERM,
        };
        self.last_seen = Some(Observation {
            row_version: Some(version),
            lease: Some(pending.lease),
            first_seen: now,
        });
    }

    fn write(
        &mut self,
        now: Duration,
        row_version: Option<u64>,
        fence: u64,
        predecessor_end: Duration,
    ) -> Action {
        self.serial += 1;
        let (holder, term_ms) = (self.process.clone(), self.term.as_millis() as u64);
        let lease = Lease { holder, fence, term_ms, serial: self.serial };
        self.send(row_version, Write { lease, sent_at: now, predecessor_end })
    }

    fn write_release(&mut self, seen: &Observation) -> Action {
        self.serial += 1;
        let (fence, term_ms) = seen.lease.as_ref().map_or((0, 0), |row| (row.fence, row.term_ms));
        let lease = Lease { holder: "".into(), fence, term_ms, serial: self.serial };
        let pending = Write { lease, sent_at: Duration::ZERO, predecessor_end: Duration::ZERO };
        self.send(seen.row_version, pending)
    }

    fn send(&mut self, row_version: Option<u64>, pending: Write) -> Action {
        let mut transaction = Transaction::default();
        transaction.put(&self.key, row_version, pending.lease.to_value());
        self.pending = Some(pending);
        Action::Write(transaction)
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.process
    }

    fn retry_delay(&self) -> Duration {
        self.term / RETRIES_PER_TERM
    }
}
