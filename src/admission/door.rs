//! Lets requests in through the admission gate of their service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::admission::{Action, Actions, Ask, Gate, Limit, Settings, Verdict};
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

/// Requests at one endpoint that this node may always have in flight.
const LIMIT_FLOOR: u32 = 4;

/// Holds the adaptive limit of each endpoint, from which the limit of a service follows.
#[derive(Debug, Default)]
pub struct Limits {
    limits: Mutex<HashMap<Arc<str>, Limit>>,
}

impl Limits {
    /// Sums what the endpoints of a pool can take from this node; endpoints that have gone are
    /// forgotten with `retain`.
    pub fn sum<'a>(&self, vms: impl Iterator<Item = &'a Arc<str>>, concurrency: u32) -> u32 {
        let mut limits = self.lock();
        let each = vms.map(|vm| match limits.get(vm) {
            Some(limit) => limit.current(),
            None => {
                let limit = Limit::new(LIMIT_FLOOR.min(concurrency), concurrency);
                let current = limit.current();
                limits.insert(vm.clone(), limit);
                current
            }
        });
        each.fold(0, u32::saturating_add).max(1)
    }

    /// Records the time to the first byte of a request.
    pub fn sample(&self, vm: &str, latency: Duration, in_flight: u32) {
        if let Some(limit) = self.lock().get_mut(vm) {
            limit.sample(latency, in_flight);
        }
    }

    /// Records a timeout, a refusal or a broken answer of an endpoint.
    pub fn overloaded(&self, vm: &str) {
        if let Some(limit) = self.lock().get_mut(vm) {
            limit.overloaded();
        }
    }

    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().retain(|vm, _| keep(vm));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Limit>> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
    /// Set when the request has completed, so that its time counts for predictions.
    done: bool,
}

impl Doors {
    /// Gives the door of a service with the limit that is now in effect.
    pub fn door(&self, service: &Arc<str>, in_flight: u32, limit: u32) -> Arc<Door> {
        let mut doors = self.doors.lock().unwrap_or_else(PoisonError::into_inner);
        let door = doors.entry(service.clone()).or_insert_with(|| {
            // The declared limit may change with the configuration, so it is applied below.
            let settings = Settings { in_flight: u32::MAX, queue: QUEUE, wait: LONGEST_WAIT };
            let inner = Inner { gate: Gate::new(settings), waiting: HashMap::new() };
            Arc::new(Door { inner: Mutex::new(inner) })
        });
        door.lock().gate.set_limit(limit.min(in_flight));
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
        let permit = self.permit(id, clock);
        let answer = tokio::time::timeout(LONGEST_WAIT, answer).await;
        match answer {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(kind))) => Err(refusal(kind)),
            _ => Err(refusal(Kind::Overloaded)),
        }
    }

    fn permit(self: &Arc<Door>, id: u64, clock: tokio::time::Instant) -> Permit {
        Permit { door: self.clone(), id, clock, done: false }
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
    /// Records that the request has completed.
    pub fn complete(mut self) {
        self.done = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.elapsed();
        let mut inner = self.door.lock();
        inner.waiting.remove(&self.id);
        match self.done {
            true => inner.gate.finished(now, self.id),
            false => inner.gate.cancelled(self.id),
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
