//! Async task that acquires and renews one lease in the platform's table.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use crate::lease::state::{Action, Event, Grant, State};
use crate::lease::{Duty, Lease};
use crate::platform;

/// Monotonic clock; returns the time since an arbitrary start.
type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Acquires and renews a lease until it is released.
pub struct Keeper {
    duty: Duty,
    client: platform::Client,
    clock: Clock,
    state: Mutex<State>,
    changed: Notify,
}

impl fmt::Debug for Keeper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keeper").field("duty", &self.duty).field("state", &self.state).finish()
    }
}

impl Keeper {
    /// Creates a keeper that does nothing until `run` is called.
    ///
    /// `process` must be unique to this run of the process; see `State::new`.
    pub fn new(
        client: platform::Client,
        duty: Duty,
        process: Arc<str>,
        term: Duration,
        clock: Clock,
    ) -> Keeper {
        let state = Mutex::new(State::new(duty.key(), process, term));
        Keeper { duty, client, clock, state, changed: Notify::new() }
    }

    pub fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Returns the name under which this process holds the lease.
    pub fn process(&self) -> Arc<str> {
        self.state().process()
    }

    /// Returns the lease as last read or written, whichever process holds it; it may have expired
    /// since.
    pub fn last_seen(&self) -> Option<Lease> {
        self.state().last_seen()
    }

    /// Returns the time until this process's lease expires; `None` if it does not hold the lease.
    pub fn remaining(&self) -> Option<Duration> {
        let grant = self.state().grant()?;
        grant.until.checked_sub((self.clock)()).filter(|remaining| !remaining.is_zero())
    }

    /// Returns the grant of this process if it stays valid for longer than `margin`.
    ///
    /// Callers check it before each action that needs the lease.
    pub fn grant(&self, margin: Duration) -> Option<Grant> {
        // The clock is read after the lock is taken, so that time spent waiting for the lock
        // counts.
        let grant = self.state().grant();
        grant.filter(|grant| grant.is_valid_for((self.clock)(), margin))
    }

    /// Returns the current time on the clock that the times in `Grant` refer to.
    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Makes `run` release the lease and return; `grant` returns `None` from now on.
    pub fn release(&self) {
        self.state().release();
        self.changed.notify_one();
    }

    /// Acquires and renews the lease until `release` is called; retries while the platform is down.
    pub async fn run(&self) {
        let mut fence = None;
        while !self.state().is_released() {
            let action = self.state().next_action((self.clock)());
            match action {
                Action::Read => {
                    let read = self.client.read_row(&self.duty.key()).await;
                    let read = read.map_err(|failure| {
                        log::debug!("lease: reading {} failed: {failure}", self.duty.key());
                    });
                    self.handle(Event::Read(read));
                }
                Action::Write(transaction) => {
                    let outcome = self.client.transact(&transaction).await;
                    self.handle(Event::Written(outcome));
                }
                Action::Wait(until) => {
                    let pause = until.saturating_sub((self.clock)());
                    let woken = self.changed.notified();
                    // After the pause or an earlier notification, the next action is decided anew.
                    let _ = tokio::time::timeout(pause, woken).await;
                }
            }
            let before =
                std::mem::replace(&mut fence, self.state().grant().map(|grant| grant.fence));
            self.log_change(before, fence);
        }
    }

    fn handle(&self, event: Event) {
        let mut state = self.state();
        state.handle(event, (self.clock)());
    }

    fn log_change(&self, before: Option<u64>, fence: Option<u64>) {
        match (before, fence) {
            (before, Some(fence)) if before != Some(fence) => {
                log::info!("lease: holds {} with fence {fence}", self.duty.key());
            }
            (Some(_), None) => log::info!("lease: no longer holds {}", self.duty.key()),
            _ => {}
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a lease row without taking part in the lease; returns `None` if there is no row or if it
/// does not parse.
///
/// # Errors
///
/// Returns the failure of the platform call.
pub async fn read(
    client: &platform::Client,
    duty: &Duty,
) -> Result<Option<Lease>, platform::Failure> {
    let row = client.read_row(&duty.key()).await?;
    Ok(row.and_then(|row| Lease::from_value(&row.value)))
}
