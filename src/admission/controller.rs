//! Makes tasks wait until the admission gate of their service admits their request.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::admission::{Action, Actions, Arrival, Gate, Limit, Settings, Verdict};
use crate::error::{Error, Kind, Result};

/// Maximum number of requests of a service that wait on one node.
const MAX_WAITING: usize = 1_024;
/// Maximum wait of a request; a chat reply that starts later misses its latency target anyway.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Holds the admission controller of each service.
#[derive(Debug, Default)]
pub struct Controllers {
    controllers: Mutex<HashMap<Arc<str>, Arc<Controller>>>,
}

/// Minimum concurrency limit of this node at one endpoint.
const MIN_ENDPOINT_LIMIT: u32 = 4;

/// Holds the adaptive concurrency limit of each endpoint; the limit of a service is their sum over
/// its endpoints.
#[derive(Debug, Default)]
pub struct Limits {
    limits: Mutex<HashMap<Arc<str>, Limit>>,
}

impl Limits {
    /// Returns the sum of the limits of the endpoints `vms`, and creates missing limits.
    /// [`Limits::retain`] removes the limits of endpoints that no longer exist.
    pub fn total<'a>(&self, vms: impl Iterator<Item = &'a Arc<str>>, concurrency: u32) -> u32 {
        let mut limits = self.lock();
        let current_limits = vms.map(|vm| match limits.get(vm) {
            Some(limit) => limit.current(),
            None => {
                let limit = Limit::new(MIN_ENDPOINT_LIMIT.min(concurrency), concurrency);
                let current = limit.current();
                limits.insert(vm.clone(), limit);
                current
            }
        });
        current_limits.fold(0, u32::saturating_add).max(1)
    }

    /// Adapts the limit of an endpoint to the time to the first byte of a request.
    pub fn record(&self, vm: &str, latency: Duration, in_flight: u32) {
        if let Some(limit) = self.lock().get_mut(vm) {
            limit.record(latency, in_flight);
        }
    }

    /// Lowers the limit of an endpoint after a timeout, a refusal or an incomplete answer.
    pub fn record_overload(&self, vm: &str) {
        if let Some(limit) = self.lock().get_mut(vm) {
            limit.record_overload();
        }
    }

    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().retain(|vm, _| keep(vm));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Limit>> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds the gate of one service and the tasks that wait for its decisions.
#[derive(Debug)]
pub struct Controller {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    gate: Gate,
    waiting: HashMap<u64, oneshot::Sender<std::result::Result<(), Kind>>>,
}

/// Represents one request, waiting or running, that leaves the gate when the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    controller: Arc<Controller>,
    id: u64,
    epoch: tokio::time::Instant,
    /// Set when the request has completed, so that its service time counts for predictions.
    is_complete: bool,
}

impl Controllers {
    /// Returns the controller of a service after setting its limit to the lower of `in_flight`, the
    /// declared limit, and `limit`, the current limit of the endpoints.
    pub fn controller(&self, service: &Arc<str>, in_flight: u32, limit: u32) -> Arc<Controller> {
        let mut controllers = self.controllers.lock().unwrap_or_else(PoisonError::into_inner);
        let controller = controllers.entry(service.clone()).or_insert_with(|| {
            // The declared limit may change with the configuration, so it is set below.
            let settings =
                Settings { max_in_flight: u32::MAX, max_waiting: MAX_WAITING, max_wait: MAX_WAIT };
            let inner = Inner { gate: Gate::new(settings), waiting: HashMap::new() };
            Arc::new(Controller { inner: Mutex::new(inner) })
        });
        controller.lock().gate.set_limit(limit.min(in_flight));
        controller.clone()
    }
}

impl Controller {
    /// Waits until the request is admitted.
    ///
    /// # Errors
    ///
    /// Returns `Overloaded`, `ShareExceeded` or `DeadlineTooShort`; the request was not run.
    pub async fn acquire(
        self: &Arc<Controller>,
        id: u64,
        now: Duration,
        arrival: Arrival,
    ) -> Result<Permit> {
        let epoch = tokio::time::Instant::now() - now;
        let decision = {
            let mut inner = self.lock();
            let (sender, decision) = oneshot::channel();
            let verdict = inner.gate.submit(now, id, arrival);
            if verdict == Verdict::Wait {
                // The call of `poll` below may already decide about the request.
                inner.waiting.insert(id, sender);
            }
            let actions = inner.gate.poll(now);
            inner.send_decisions(actions);
            match verdict {
                Verdict::Admit => return Ok(self.permit(id, epoch)),
                Verdict::Refuse(kind) => return Err(refusal_error(kind)),
                Verdict::Wait => decision,
            }
        };
        // If this future is dropped while it waits, dropping the permit removes the request.
        let permit = self.permit(id, epoch);
        let decision = tokio::time::timeout(MAX_WAIT, decision).await;
        match decision {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(kind))) => Err(refusal_error(kind)),
            _ => Err(refusal_error(Kind::Overloaded)),
        }
    }

    fn permit(self: &Arc<Controller>, id: u64, epoch: tokio::time::Instant) -> Permit {
        Permit { controller: self.clone(), id, epoch, is_complete: false }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn send_decisions(&mut self, actions: Actions) {
        for action in actions {
            let (id, decision) = match action {
                Action::Admit(id) => (id, Ok(())),
                Action::Refuse(id, kind) => (id, Err(kind)),
            };
            if let Some(sender) = self.waiting.remove(&id) {
                let _ = sender.send(decision);
            }
        }
    }
}

impl Permit {
    /// Marks the request as completed.
    pub fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.epoch.elapsed();
        let mut inner = self.controller.lock();
        inner.waiting.remove(&self.id);
        match self.is_complete {
            true => inner.gate.complete(now, self.id),
            false => inner.gate.cancel(self.id),
        }
        let actions = inner.gate.poll(now);
        inner.send_decisions(actions);
    }
}

fn refusal_error(kind: Kind) -> Error {
    let detail = match kind {
        Kind::ShareExceeded => "the workspace uses more than its share while others wait",
        Kind::DeadlineTooShort => "the request would not complete within its deadline",
        _ => "the service is overloaded",
    };
    Error::new(kind, detail)
}
