//! Admission control: admits, queues or refuses requests before they are accepted.
//!
//! A refused request was not run. Under overload, a request that would miss its deadline takes
//! capacity from one that would meet it, so it is refused early. See `docs/design.md`, section 9.5.

pub mod controller;
mod estimate;
mod limit;
mod queue;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::error::Kind;

use estimate::Estimates;
pub use limit::Limit;
use queue::{Queue, Waiting};

/// Highest priority; requests with priority 0 are shed first.
pub const MAX_PRIORITY: u8 = 9;

/// Limits the requests that a service accepts on one node.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum number of requests in flight.
    pub max_in_flight: u32,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum time that a request waits.
    pub max_wait: Duration,
}

/// Describes a request that arrives for admission.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub workspace: Arc<str>,
    /// Weight of the workspace in fair queueing.
    pub weight: u32,
    pub priority: u8,
    /// Time by which the response must be complete.
    pub deadline: Duration,
    /// Group of requests with similar service times, such as the service or the route.
    pub class: Arc<str>,
    /// Expected work in any unit proportional to the service time, such as output tokens; 1 for all
    /// requests of the class if nothing is known.
    pub work: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Admit,
    /// The request is queued; a later call of [`Gate::poll`] returns the decision.
    Wait,
    Refuse(Kind),
}

/// Holds the decision about a waiting request, with its ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    Admit(u64),
    Refuse(u64, Kind),
}

pub type Actions = SmallVec<[Action; 4]>;

#[derive(Debug)]
struct Running {
    workspace: Arc<str>,
    class: Arc<str>,
    work: u32,
    started_at: Duration,
}

/// Decides which requests to one group of endpoints start, wait or are refused.
///
/// It has no clock and performs no I/O; [`controller`] connects it to the tasks that wait.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    limit: u32,
    running: HashMap<u64, Running>,
    queue: Queue,
    estimates: Estimates,
    shed_actions: Actions,
}

impl Gate {
    pub fn new(settings: Settings) -> Gate {
        Gate {
            settings,
            limit: settings.max_in_flight.max(1),
            running: HashMap::new(),
            queue: Queue::default(),
            estimates: Estimates::default(),
            shed_actions: Actions::new(),
        }
    }

    /// Sets the current concurrency limit of the endpoints; the configured limit stays the maximum.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.clamp(1, self.settings.max_in_flight.max(1));
    }

    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides about a new request with a unique ID.
    ///
    /// Call [`Gate::poll`] afterwards, since a request with a higher priority may have displaced a
    /// waiting one.
    pub fn submit(&mut self, now: Duration, id: u64, arrival: Arrival) -> Verdict {
        if arrival.deadline <= now {
            return Verdict::Refuse(Kind::DeadlineTooShort);
        }
        // At least one request must run, because only completed requests correct the predictions.
        if self.running.is_empty() && self.queue.len() == 0 {
            self.start(now, id, &arrival);
            return Verdict::Admit;
        }
        let has_capacity = self.running.len() < self.limit as usize && self.queue.len() == 0;
        let wait = if has_capacity { Duration::ZERO } else { self.predict_wait(&arrival) };
        let service_time = self.estimates.predict(now, &arrival.class, arrival.work);
        if now + wait + service_time > arrival.deadline {
            return Verdict::Refuse(Kind::DeadlineTooShort);
        }
        if has_capacity {
            self.start(now, id, &arrival);
            return Verdict::Admit;
        }
        if wait > self.settings.max_wait {
            return Verdict::Refuse(self.queue.refusal_kind(&arrival.workspace, self.limit));
        }
        let expires_at =
            (now + self.settings.max_wait).min(arrival.deadline.saturating_sub(service_time));
        let waiting = Waiting { id, arrival, expires_at };
        self.queue.insert(waiting);
        if self.queue.len() <= self.settings.max_waiting {
            return Verdict::Wait;
        }
        match self.shed_one() {
            Some((shed, kind)) if shed == id => Verdict::Refuse(kind),
            Some((shed, kind)) => {
                self.shed_actions.push(Action::Refuse(shed, kind));
                Verdict::Wait
            }
            None => Verdict::Wait,
        }
    }

    /// Returns the decisions about waiting requests that can be made at `now`.
    pub fn poll(&mut self, now: Duration) -> Actions {
        let mut actions = std::mem::take(&mut self.shed_actions);
        while let Some(waiting) = self.queue.take_expired(now) {
            let kind = if waiting.arrival.deadline
                <= now + self.estimates.predict(now, &waiting.arrival.class, waiting.arrival.work)
            {
                Kind::DeadlineTooShort
            } else {
                self.queue.refusal_kind(&waiting.arrival.workspace, self.limit)
            };
            actions.push(Action::Refuse(waiting.id, kind));
        }
        while self.running.len() < self.limit as usize {
            let Some(waiting) = self.queue.take_next() else { break };
            if now + self.estimates.predict(now, &waiting.arrival.class, waiting.arrival.work)
                > waiting.arrival.deadline
            {
                actions.push(Action::Refuse(waiting.id, Kind::DeadlineTooShort));
                continue;
            }
            self.start(now, waiting.id, &waiting.arrival);
            actions.push(Action::Admit(waiting.id));
        }
        actions
    }

    /// Returns the time at which [`Gate::poll`] must be called even without other events.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.queue.next_expiry()
    }

    /// Records that a request completed, and uses its service time for predictions.
    pub fn complete(&mut self, now: Duration, id: u64) {
        if let Some(running) = self.running.remove(&id) {
            self.queue.record_end(&running.workspace);
            self.estimates.record(
                now,
                &running.class,
                running.work,
                now.saturating_sub(running.started_at),
            );
        }
    }

    /// Removes a running or waiting request that ended without completing.
    pub fn cancel(&mut self, id: u64) {
        if let Some(running) = self.running.remove(&id) {
            self.queue.record_end(&running.workspace);
        } else {
            self.queue.remove(id);
        }
    }

    fn start(&mut self, now: Duration, id: u64, arrival: &Arrival) {
        self.queue.record_start(arrival);
        let running = Running {
            workspace: arrival.workspace.clone(),
            class: arrival.class.clone(),
            work: arrival.work,
            started_at: now,
        };
        self.running.insert(id, running);
    }

    fn predict_wait(&self, arrival: &Arrival) -> Duration {
        let starts = self.queue.predict_starts(arrival);
        self.estimates.mean().mul_f64(starts / f64::from(self.limit))
    }

    /// Removes the least important waiting request and returns its ID and the reason for its
    /// refusal.
    fn shed_one(&mut self) -> Option<(u64, Kind)> {
        let waiting = self.queue.take_least_important(self.limit)?;
        let kind = self.queue.refusal_kind(&waiting.arrival.workspace, self.limit);
        Some((waiting.id, kind))
    }
}
