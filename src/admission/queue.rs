use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::{Arrival, MAX_PRIORITY};
use crate::error::Kind;

/// Number of tracked workspaces above which idle ones are removed.
const MAX_WORKSPACES: usize = 1_024;

#[derive(Debug)]
pub(super) struct Waiting {
    pub id: u64,
    pub arrival: Arrival,
    /// Time from which the request is refused instead of started.
    pub expires_at: Duration,
}

/// Position of a request in the queue of its workspace: by priority, then by arrival.
type Position = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct Workspace {
    weight: f64,
    running: u32,
    /// Work started so far divided by the weight; the workspace with the lowest value is next.
    virtual_time: f64,
    waiting: BTreeMap<Position, Waiting>,
}

impl Workspace {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }

    /// Reports whether the workspace has more requests, running and waiting, than its fair share.
    fn is_above_share(&self, fair_share: f64) -> bool {
        let requests = f64::from(self.running) + self.waiting.len() as f64;
        requests > (fair_share * self.weight).ceil()
    }
}

/// Queues waiting requests and selects the next one by weighted fair queueing across workspaces.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Ordered, so that decisions are deterministic.
    workspaces: BTreeMap<Arc<str>, Workspace>,
    positions: HashMap<u64, (Arc<str>, Position)>,
    expiries: BTreeSet<(Duration, u64)>,
    arrivals: u64,
    /// Highest virtual time at which a request started; a workspace that was idle continues from
    /// it.
    virtual_time: f64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    pub fn insert(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        let priority = waiting.arrival.priority.min(MAX_PRIORITY);
        let position = (Reverse(priority), self.arrivals);
        let workspace = waiting.arrival.workspace.clone();
        self.expiries.insert((waiting.expires_at, waiting.id));
        self.positions.insert(waiting.id, (workspace, position));
        self.workspace_mut(&waiting.arrival).waiting.insert(position, waiting);
    }

    pub fn remove(&mut self, id: u64) -> Option<Waiting> {
        let (workspace, position) = self.positions.remove(&id)?;
        let waiting = self.workspaces.get_mut(&workspace)?.waiting.remove(&position)?;
        self.expiries.remove(&(waiting.expires_at, id));
        Some(waiting)
    }

    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(expires_at, _)| *expires_at)
    }

    pub fn take_expired(&mut self, now: Duration) -> Option<Waiting> {
        let &(expires_at, id) = self.expiries.first()?;
        if expires_at > now {
            return None;
        }
        self.remove(id)
    }

    /// Removes the most important request of the waiting workspace with the lowest virtual time.
    pub fn take_next(&mut self) -> Option<Waiting> {
        let waiting = self.workspaces.values().filter(|workspace| !workspace.waiting.is_empty());
        let least =
            waiting.min_by(|left, right| left.virtual_time.total_cmp(&right.virtual_time))?;
        let id = least.waiting.first_key_value()?.1.id;
        self.remove(id)
    }

    pub fn record_start(&mut self, arrival: &Arrival) {
        let work = f64::from(arrival.work.max(1));
        let workspace = self.workspace_mut(arrival);
        workspace.running += 1;
        let start = workspace.virtual_time;
        workspace.virtual_time += work / workspace.weight;
        self.virtual_time = self.virtual_time.max(start);
    }

    pub fn record_end(&mut self, workspace: &Arc<str>) {
        if let Some(workspace) = self.workspaces.get_mut(workspace) {
            workspace.running = workspace.running.saturating_sub(1);
        }
        if self.workspaces.len() > MAX_WORKSPACES {
            self.workspaces.retain(|_, workspace| workspace.is_active());
        }
    }

    /// Predicts the number of starts up to and including that of a new request.
    ///
    /// Workspaces are served by virtual time, so a workspace that has used little is next even if
    /// others have many requests waiting.
    pub fn predict_starts(&self, arrival: &Arrival) -> f64 {
        let workspace = self.workspaces.get(&arrival.workspace);
        let ahead = workspace.map_or(0, |workspace| {
            let last = (Reverse(arrival.priority.min(MAX_PRIORITY)), u64::MAX);
            workspace.waiting.range(..=last).count()
        });
        let virtual_time =
            workspace.map_or(self.virtual_time, |workspace| match workspace.is_active() {
                true => workspace.virtual_time,
                false => workspace.virtual_time.max(self.virtual_time),
            });
        let work = f64::from(arrival.work.max(1));
        let ahead = ahead as f64;
        let start = virtual_time + ahead * work / f64::from(arrival.weight.max(1));
        let others = self.workspaces.iter().filter(|(name, _)| **name != arrival.workspace);
        let before = others.map(|(_, workspace)| {
            let starts = (start - workspace.virtual_time) * workspace.weight / work;
            starts.clamp(0.0, workspace.waiting.len() as f64)
        });
        ahead + 1.0 + before.sum::<f64>()
    }

    /// Removes the request to shed when too many wait.
    ///
    /// Requests of workspaces above their fair share are shed first, since otherwise one workspace
    /// could displace all others by giving its requests a high priority. Among them, the request
    /// with the lowest priority is shed, and of those the latest arrival.
    pub fn take_least_important(&mut self, limit: u32) -> Option<Waiting> {
        let fair_share = self.fair_share(limit);
        let ranked = self.workspaces.values().filter_map(|workspace| {
            let ((Reverse(priority), sequence), waiting) = workspace.waiting.last_key_value()?;
            Some((!workspace.is_above_share(fair_share), *priority, Reverse(*sequence), waiting.id))
        });
        let (.., id) = ranked.min()?;
        self.remove(id)
    }

    /// Returns the reason to refuse a request of a workspace while the service is overloaded.
    pub fn refusal_kind(&self, workspace: &Arc<str>, limit: u32) -> Kind {
        let fair_share = self.fair_share(limit);
        let above = self
            .workspaces
            .get(workspace)
            .is_some_and(|workspace| workspace.is_above_share(fair_share));
        if above { Kind::ShareExceeded } else { Kind::Overloaded }
    }

    /// Returns the fair number of requests, running and waiting, per unit of weight.
    fn fair_share(&self, limit: u32) -> f64 {
        let active = self.workspaces.values().filter(|workspace| workspace.is_active());
        let total: f64 = active.map(|workspace| workspace.weight).sum();
        (f64::from(limit) + self.len() as f64) / total.max(1.0)
    }

    fn workspace_mut(&mut self, arrival: &Arrival) -> &mut Workspace {
        let virtual_time = self.virtual_time;
        let workspace = self.workspaces.entry(arrival.workspace.clone()).or_default();
        workspace.weight = f64::from(arrival.weight.max(1));
        if !workspace.is_active() {
            workspace.virtual_time = workspace.virtual_time.max(virtual_time);
        }
        workspace
    }
}
