//! Decisions of one process about one lease.
//!
//! Times are durations since an arbitrary start of the monotonic clock of the process.

use std::sync::Arc;
use std::time::Duration;

use crate::lease::Lease;
use crate::platform::{Outcome, Row, Transaction};

/// Parts of the term after which a lease is renewed, so that two renewals may fail.
const RENEWALS_PER_TERM: u32 = 3;
/// Part of the term between two tries after a failure, or two looks at another holder's row.
const TRIES_PER_TERM: u32 = 10;

/// Tells the shell what to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the row, then report `Event::Read`.
    Read,
    /// Send the transaction, then report `Event::Written` with the time before it was sent.
    Write(Transaction),
    /// Do nothing until this time.
    Wait(Duration),
}

/// Reports what the shell did.
#[derive(Debug, Clone)]
pub enum Event {
    /// The row as read; `Err` when the platform did not answer.
    Read(Result<Option<Row>, ()>),
    Written(Outcome),
}

/// Proves that the process holds the lease, for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    pub fence: u64,
    /// Time at which the lease ends for its holder: the term after the write was sent.
    ///
    /// Observers wait for the term after they first saw the write, which is never earlier.
    pub until: Duration,
    /// Time by which the lease of the holder before this fence has ended, also if it released it.
    pub predecessor_end: Duration,
}

impl Holder {
    /// Tells whether an order that takes at most `margin` may be sent now.
    ///
    /// It is asked right before each order: a process that was paused finds no time left.
    pub fn check(&self, now: Duration, margin: Duration) -> bool {
        now.checked_add(margin).is_some_and(|end| end < self.until)
    }
}

/// Remembers a write whose outcome is not known yet.
#[derive(Debug, Clone)]
struct Attempt {
    lease: Lease,
    sent: Duration,
    predecessor_end: Duration,
}

/// Part of the term by which an observer waits longer, for monotonic clocks of different speed.
const DRIFT_PARTS: u32 = 100;

/// Remembers a row as first seen with its version.
#[derive(Debug, Clone)]
struct Seen {
    row_version: Option<u64>,
    lease: Option<Lease>,
    /// Time after the read that first gave this version.
    since: Duration,
}

/// Holds what a process knows about a lease.
#[derive(Debug)]
pub struct State {
    key: String,
    process: Arc<str>,
    term: Duration,
    serial: u64,
    seen: Option<Seen>,
    attempt: Option<Attempt>,
    held: Option<Holder>,
    next_try: Duration,
    released: bool,
    must_read: bool,
}

impl State {
    /// Starts without the lease.
    ///
    /// `process` must differ between processes, also between two runs on one VM: a restarted
    /// process must not take the row of its predecessor for its own.
    pub fn new(key: String, process: Arc<str>, term: Duration) -> State {
        State {
            key,
            process,
            // The row tells the term in whole milliseconds; both sides must use the same value.
            term: Duration::from_millis(term.as_millis() as u64),
            serial: 0,
            seen: None,
            attempt: None,
            held: None,
            next_try: Duration::ZERO,
            released: false,
            must_read: true,
        }
    }

    /// Gives the proof of holding; its time has to be checked before each use.
    pub fn holder(&self) -> Option<Holder> {
        self.held
    }

    pub fn process(&self) -> Arc<str> {
        self.process.clone()
    }

    /// Gives the lease in the row as last read or written; `None` before that and without a row.
    pub fn seen(&self) -> Option<Lease> {
        self.seen.as_ref()?.lease.clone()
    }

    /// Stops renewing and gives the row up, so that a successor need not wait for the term.
    ///
    /// From now on this process sends no order; `holder` gives nothing.
    pub fn release(&mut self) {
        self.released = true;
        self.held = None;
        self.next_try = Duration::ZERO;
    }

    /// Tells whether the row was given up, or never held, after a release.
    pub fn is_released(&self) -> bool {
        let ours = |seen: &Seen| seen.lease.as_ref().is_some_and(|lease| self.is_ours(lease));
        self.released && !self.must_read && !self.seen.as_ref().is_some_and(ours)
    }

    /// Decides what to do now.
    pub fn next(&mut self, now: Duration) -> Action {
        if self.held.is_some_and(|holder| now >= holder.until) {
            self.held = None;
        }
        if now < self.next_try {
            return Action::Wait(self.next_try);
        }
        let Some(seen) = self.seen.clone().filter(|_| !self.must_read) else {
            return Action::Read;
        };
        match &seen.lease {
            _ if self.released && !self.is_released() => self.give_up(&seen),
            _ if self.released => Action::Wait(now + self.term),
            Some(lease) if self.is_ours(lease) => match self.held {
                Some(held) => self.write(now, seen.row_version, held.fence, held.predecessor_end),
                // The own row without remaining time is taken anew, as if from another holder.
                None => {
                    self.write(now, seen.row_version, lease.fence + 1, self.end_of(lease, &seen))
                }
            },
            Some(lease) => {
                let end = self.end_of(lease, &seen);
                if lease.holder.is_empty() || now > end {
                    return self.write(now, seen.row_version, lease.fence + 1, end);
                }
                self.look_again(now, end)
            }
            // A row that is not a lease cannot be taken over: its fencing number is not known.
            None if seen.row_version.is_some() => self.look_again(now, now + self.term),
            None => self.write(now, None, 1, Duration::ZERO),
        }
    }

    /// Gives the time by which the lease in a row has ended for its holder, on any clock.
    fn end_of(&self, lease: &Lease, seen: &Seen) -> Duration {
        let term = self.term.max(Duration::from_millis(lease.term_ms));
        seen.since + term + term / DRIFT_PARTS
    }

    fn look_again(&mut self, now: Duration, end: Duration) -> Action {
        self.must_read = true;
        self.next_try = (now + self.pause()).min(end);
        Action::Wait(self.next_try)
    }

    /// Takes the result of an action; `now` is read after the answer came.
    pub fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Read(Ok(row)) => self.take_row(row, now),
            Event::Read(Err(())) => self.next_try = now + self.pause(),
            Event::Written(Outcome::Done(version)) => {
                let Some(attempt) = self.attempt.take() else { return };
                self.take_own(version, attempt, now);
            }
            // The outcome is read back: the row shows whether the write took effect.
            Event::Written(Outcome::Unknown) => {
                self.must_read = true;
                self.next_try = now;
            }
            Event::Written(Outcome::Rejected(_)) => {
                self.attempt = None;
                self.must_read = true;
            }
            Event::Written(Outcome::NotRun) => {
                self.attempt = None;
                self.next_try = now + self.pause();
            }
        }
    }

    fn take_row(&mut self, row: Option<Row>, now: Duration) {
        self.must_read = false;
        let lease: Option<Lease> = row.as_ref().and_then(|row| Lease::from_value(&row.value));
        let row_version = row.as_ref().map(|row| row.version);
        if let (Some(attempt), Some(lease), Some(version)) =
            (self.attempt.clone(), &lease, row_version)
            && attempt.lease == *lease
        {
            self.attempt = None;
            self.take_own(version, attempt, now);
            return;
        }
        if self.attempt.is_some() {
            // A write that is not in the row may still arrive; it is conditional on the version
            // it was made for, so it fails once the row has changed.
            let unchanged = self.seen.as_ref().is_some_and(|seen| seen.row_version == row_version);
            if !unchanged {
                self.attempt = None;
            }
        }
        if !lease.as_ref().is_some_and(|lease| self.is_ours(lease)) {
            self.held = None;
        }
        if self.seen.as_ref().is_none_or(|seen| seen.row_version != row_version) {
            self.seen = Some(Seen { row_version, lease, since: now });
        }
    }

    fn take_own(&mut self, version: u64, attempt: Attempt, now: Duration) {
        self.must_read = false;
        let ours = self.is_ours(&attempt.lease);
        let until = attempt.sent + self.term;
        self.held = (ours && !self.released && now < until).then_some(Holder {
            fence: attempt.lease.fence,
            until,
            predecessor_end: attempt.predecessor_end,
        });
        self.next_try = match self.released {
            true => now,
            false => attempt.sent + self.term / RENEWALS_PER_TERM,
        };
        self.seen =
            Some(Seen { row_version: Some(version), lease: Some(attempt.lease), since: now });
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
        self.send(row_version, Attempt { lease, sent: now, predecessor_end })
    }

    fn give_up(&mut self, seen: &Seen) -> Action {
        self.serial += 1;
        let (fence, term_ms) = seen.lease.as_ref().map_or((0, 0), |row| (row.fence, row.term_ms));
        let lease = Lease { holder: "".into(), fence, term_ms, serial: self.serial };
        let attempt = Attempt { lease, sent: Duration::ZERO, predecessor_end: Duration::ZERO };
        self.send(seen.row_version, attempt)
    }

    fn send(&mut self, row_version: Option<u64>, attempt: Attempt) -> Action {
        let mut transaction = Transaction::default();
        transaction.put(&self.key, row_version, attempt.lease.to_value());
        self.attempt = Some(attempt);
        Action::Write(transaction)
    }

    fn is_ours(&self, lease: &Lease) -> bool {
        lease.holder == self.process
    }

    fn pause(&self) -> Duration {
        self.term / TRIES_PER_TERM
    }
}
