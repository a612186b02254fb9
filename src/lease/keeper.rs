//! Async shell that keeps one lease on the platform's table.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use crate::lease::state::{Action, Event, Holder, State};
use crate::lease::{Duty, Lease};
use crate::platform;

/// Gives the time since an arbitrary start on a clock that never goes back.
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
    /// Prepares a keeper; `process` must be unique to this run of the process, see `State::new`.
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

    /// Gives the name under which this process holds the lease.
    pub fn process(&self) -> Arc<str> {
        self.state().process()
    }

    /// Gives the lease as last seen, also one of another process; it may have ended since.
    pub fn seen(&self) -> Option<Lease> {
        self.state().seen()
    }

    /// Gives the time for which this process still holds the lease; `None` when it doesn't.
    pub fn left(&self) -> Option<Duration> {
        let holder = self.state().holder()?;
        holder.until.checked_sub((self.clock)()).filter(|left| !left.is_zero())
    }

    /// Gives the proof of holding if the time left exceeds `margin`; asked before each order.
    pub fn holder(&self, margin: Duration) -> Option<Holder> {
        // The clock is read after the lock was taken, so that waiting for it costs time.
        let holder = self.state().holder();
        holder.filter(|holder| holder.check((self.clock)(), margin))
    }

    /// Reads the clock that the times of `Holder` belong to.
    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Makes `run` give the row up and return; no proof is given from now on.
    pub fn release(&self) {
        self.state().release();
        self.changed.notify_one();
    }

    /// Keeps the lease until `release`; retries while the platform is down.
    pub async fn run(&self) {
        let mut fence = None;
        while !self.state().is_released() {
            let action = self.state().next((self.clock)());
            match action {
                Action::Read => {
                    let read = self.client.read_row(&self.duty.key()).await;
                    let read = read.map_err(|failure| {
                        log::debug!("lease: {} was not read: {failure}", self.duty.key());
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
                    // A wake-up only shortens the pause; both ways the state decides anew.
                    let _ = tokio::time::timeout(pause, woken).await;
                }
            }
            let before = std::mem::replace(&mut fence, self.state().holder().map(|it| it.fence));
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

/// Reads a lease as an onlooker, for status pages.
///
/// # Errors
///
/// Fails as the platform call does.
pub async fn read(
    client: &platform::Client,
    duty: &Duty,
) -> Result<Option<Lease>, platform::Failure> {
    let row = client.read_row(&duty.key()).await?;
    Ok(row.and_then(|row| Lease::from_value(&row.value)))
}
