//! Lets requests in through the admission gate of their service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::admission::{Action, Actions, Ask, Gate, Settings, Verdict};
use crate::error::{Error, Kind, Result};

/// Requests of a service that may wait on one node.
const QUEUE: usize = 1_024;
/// Longest wait of a request; a chat reply that starts later misses its target anyway.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Holds one gate per service.
#[derive(Debug, Default)]
pub struct Doors {
    doors: Mutex<HashMap<Arc<str>, Arc<Door>>>,
}

/// Holds the gate of one service and the requests that wait at it.
#[derive(Debug)]
pub struct Door {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    gate: Gate,
    waiting: HashMap<u64, oneshot::Sender<std::result::Result<(), Kind>>>,
}

/// Counts as one running request until it is dropped.
#[derive(Debug)]
pub struct Permit {
    door: Arc<Door>,
    id: u64,
    clock: tokio::time::Instant,
    /// Work done so far; set when the request has completed.
    done: Option<u32>,
}

impl Doors {
    /// Gives the door of a service with the limit that is now in effect.
    pub fn door(&self, service: &Arc<str>, in_flight: u32, limit: u32) -> Arc<Door> {
        let mut doors = self.doors.lock().unwrap_or_else(PoisonError::into_inner);
        let door = doors.entry(service.clone()).or_insert_with(|| {
            let settings = Settings { in_flight, queue: QUEUE, wait: LONGEST_WAIT };
            let inner = Inner { gate: Gate::new(settings), waiting: HashMap::new() };
            Arc::new(Door { inner: Mutex::new(inner) })
        });
        door.lock().gate.set_limit(limit);
        door.clone()
    }
}

impl Door {
    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// Fails with `Overloaded`, `ShareExceeded` or `DeadlineTooShort`; the request was not run.
    pub async fn enter(self: &Arc<Door>, id: u64, now: Duration, ask: Ask) -> Result<Permit> {
        let clock = tokio::time::Instant::now() - now;
        let answer = {
            let mut inner = self.lock();
            let (sender, answer) = oneshot::channel();
            let verdict = inner.gate.arrive(now, id, ask);
            if verdict == Verdict::Wait {
                // The gate may admit the request in the next step already.
                inner.waiting.insert(id, sender);
            }
            let actions = inner.gate.ready(now);
            inner.carry_out(actions);
            match verdict {
                Verdict::Admit => return Ok(self.permit(id, clock)),
                Verdict::Refuse(kind) => return Err(refusal(kind)),
                Verdict::Wait => answer,
            }
        };
        // From here on a dropped future must give its place back.
        let mut permit = self.permit(id, clock);
        let answer = tokio::time::timeout(LONGEST_WAIT, answer).await;
        match answer {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(kind))) => {
                permit.done = Some(0);
                Err(refusal(kind))
            }
            _ => Err(refusal(Kind::Overloaded)),
        }
    }

    fn permit(self: &Arc<Door>, id: u64, clock: tokio::time::Instant) -> Permit {
        Permit { door: self.clone(), id, clock, done: None }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn carry_out(&mut self, actions: Actions) {
        for action in actions {
            let (id, answer) = match action {
                Action::Admit(id) => (id, Ok(())),
                Action::Refuse(id, kind) => (id, Err(kind)),
            };
            if let Some(sender) = self.waiting.remove(&id) {
                let _ = sender.send(answer);
            }
        }
    }
}

impl Permit {
    /// Records the work that a completed request took.
    pub fn complete(mut self, work: u32) {
        self.done = Some(work);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.elapsed();
        let mut inner = self.door.lock();
        inner.waiting.remove(&self.id);
        match self.done {
            Some(work) if work > 0 => inner.gate.finished(now, self.id, work),
            _ => inner.gate.cancelled(self.id),
        }
        let actions = inner.gate.ready(now);
        inner.carry_out(actions);
    }
}

fn refusal(kind: Kind) -> Error {
    let detail = match kind {
        Kind::ShareExceeded => "the workspace uses more than its share while others wait",
        Kind::DeadlineTooShort => "the request would not complete within its deadline",
        _ => "the service is overloaded",
    };
    Error::new(kind, detail)
}
