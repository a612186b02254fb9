//! Accepts a request, or refuses it before acceptance.
//!
//! A refused request was not run. Under overload, a request that would miss its deadline takes
//! capacity from one that would not, so it is refused early. See `docs/design.md`, section 9.5.

pub mod door;
mod limit;
mod pace;
mod queue;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::error::Kind;

pub use limit::Limit;
use pace::Paces;
use queue::{Queue, Waiting};

/// Highest priority; requests of priority 0 are shed first.
pub const MAX_PRIORITY: u8 = 9;

/// Bounds the work that a service accepts on one node.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Requests in flight at most.
    pub in_flight: u32,
    /// Requests that wait at most.
    pub queue: usize,
    /// Longest time that a request waits.
    pub wait: Duration,
}

/// Describes a request that asks for acceptance.
#[derive(Debug, Clone)]
pub struct Ask {
    pub workspace: Arc<str>,
    /// Weight of the workspace.
    pub share: u32,
    pub priority: u8,
    /// Time by which the response must be complete.
    pub deadline: Duration,
    /// Groups requests that take similar times, such as the service or the route.
    pub class: Arc<str>,
    /// Expected work in any unit that service time is proportional to, such as output tokens, or 1
    /// for all requests of the class if nothing is known.
    pub work: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Admit,
    /// The result follows from a later call of [`Gate::ready`].
    Wait,
    Refuse(Kind),
}

/// Tells what became of a request that was waiting.
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
    since: Duration,
}

/// Decides which requests to one group of endpoints start, wait or are refused.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    limit: u32,
    running: HashMap<u64, Running>,
    queue: Queue,
    paces: Paces,
    shed: Actions,
}

impl Gate {
    pub fn new(settings: Settings) -> Gate {
        Gate {
            settings,
            limit: settings.in_flight.max(1),
            running: HashMap::new(),
            queue: Queue::default(),
            paces: Paces::default(),
            shed: Actions::new(),
        }
    }

    /// Follows what the endpoints can take now; the configured limit stays the maximum.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.clamp(1, self.settings.in_flight.max(1));
    }

    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides about a new request; ids are unique. Call [`Gate::ready`] afterwards: a more important request may
    /// have taken the place of a waiting one.
    pub fn arrive(&mut self, now: Duration, id: u64, ask: Ask) -> Verdict {
        if ask.deadline <= now {
            return Verdict::Refuse(Kind::DeadlineTooShort);
        }
        // One request always runs, because only completed requests correct the predictions.
        if self.running.is_empty() && self.queue.len() == 0 {
            self.start(now, id, &ask);
            return Verdict::Admit;
        }
        let free = self.running.len() < self.limit as usize && self.queue.len() == 0;
        let wait = if free { Duration::ZERO } else { self.predicted_wait(&ask) };
        let service = self.paces.service(now, &ask.class, ask.work);
        if now + wait + service > ask.deadline {
            return Verdict::Refuse(Kind::DeadlineTooShort);
        }
        if free {
            self.start(now, id, &ask);
            return Verdict::Admit;
        }
        if wait > self.settings.wait {
            return Verdict::Refuse(self.queue.refusal(&ask.workspace, self.limit));
        }
        let latest = (now + self.settings.wait).min(ask.deadline.saturating_sub(service));
        let waiting = Waiting { id, ask, latest };
        self.queue.insert(waiting);
        if self.queue.len() <= self.settings.queue {
            return Verdict::Wait;
        }
        match self.shed_one() {
            Some((shed, kind)) if shed == id => Verdict::Refuse(kind),
            Some((shed, kind)) => {
                self.shed.push(Action::Refuse(shed, kind));
                Verdict::Wait
            }
            None => Verdict::Wait,
        }
    }

    /// Gives the decisions about waiting requests that are due now.
    pub fn ready(&mut self, now: Duration) -> Actions {
        let mut actions = std::mem::take(&mut self.shed);
        while let Some(waiting) = self.queue.take_expired(now) {
            let kind = if waiting.ask.deadline
                <= now + self.paces.service(now, &waiting.ask.class, waiting.ask.work)
            {
                Kind::DeadlineTooShort
            } else {
                self.queue.refusal(&waiting.ask.workspace, self.limit)
            };
            actions.push(Action::Refuse(waiting.id, kind));
        }
        while self.running.len() < self.limit as usize {
            let Some(waiting) = self.queue.take_next() else { break };
            if now + self.paces.service(now, &waiting.ask.class, waiting.ask.work)
                > waiting.ask.deadline
            {
                actions.push(Action::Refuse(waiting.id, Kind::DeadlineTooShort));
                continue;
            }
            self.start(now, waiting.id, &waiting.ask);
            actions.push(Action::Admit(waiting.id));
        }
        actions
    }

    /// Gives the time at which [`Gate::ready`] has to be called even if nothing else happens.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.queue.next_expiry()
    }

    /// Records a completed request, from which rates are measured.
    pub fn finished(&mut self, now: Duration, id: u64) {
        if let Some(running) = self.running.remove(&id) {
            self.queue.stopped(&running.workspace);
            self.paces.sample(now, &running.class, running.work, now.saturating_sub(running.since));
        }
    }

    /// Forgets a request, running or waiting, that ended early.
    pub fn cancelled(&mut self, id: u64) {
        if let Some(running) = self.running.remove(&id) {
            self.queue.stopped(&running.workspace);
        } else {
            self.queue.remove(id);
        }
    }

    fn start(&mut self, now: Duration, id: u64, ask: &Ask) {
        self.queue.started(ask);
        let running = Running {
            workspace: ask.workspace.clone(),
            class: ask.class.clone(),
            work: ask.work,
            since: now,
        };
        self.running.insert(id, running);
    }

    fn predicted_wait(&self, ask: &Ask) -> Duration {
        let turns = self.queue.turns(ask);
        self.paces.mean().mul_f64(turns / f64::from(self.limit))
    }

    /// Removes the waiting request that matters least and gives the reason for its refusal.
    fn shed_one(&mut self) -> Option<(u64, Kind)> {
        let waiting = self.queue.take_least_important(self.limit)?;
        let kind = self.queue.refusal(&waiting.ask.workspace, self.limit);
        Some((waiting.id, kind))
    }
}
