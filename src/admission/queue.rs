use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::{Ask, MAX_PRIORITY};
use crate::error::Kind;

/// Idle workspaces remembered before they are dropped.
const MAX_IDLE: usize = 1_024;

#[derive(Debug)]
pub(super) struct Waiting {
    pub id: u64,
    pub ask: Ask,
    /// Time after which the request is refused instead of started.
    pub latest: Duration,
}

/// Orders by importance first, then by arrival.
type Order = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct Share {
    weight: f64,
    running: u32,
    /// Work received, divided by the weight; the workspace with the least is next.
    received: f64,
    waiting: BTreeMap<Order, Waiting>,
}

impl Share {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }
}

/// Holds waiting requests and gives workspaces weighted fair shares of the starts.
#[derive(Debug, Default)]
pub(super) struct Queue {
    shares: HashMap<Arc<str>, Share>,
    orders: HashMap<u64, (Arc<str>, Order)>,
    expiries: BTreeSet<(Duration, u64)>,
    arrivals: u64,
    /// Value of `received` at the last start; a workspace that was idle begins here.
    level: f64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    pub fn insert(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        let priority = waiting.ask.priority.min(MAX_PRIORITY);
        let order = (Reverse(priority), self.arrivals);
        let workspace = waiting.ask.workspace.clone();
        self.expiries.insert((waiting.latest, waiting.id));
        self.orders.insert(waiting.id, (workspace, order));
        self.share(&waiting.ask).waiting.insert(order, waiting);
    }

    pub fn remove(&mut self, id: u64) -> Option<Waiting> {
        let (workspace, order) = self.orders.remove(&id)?;
        let waiting = self.shares.get_mut(&workspace)?.waiting.remove(&order)?;
        self.expiries.remove(&(waiting.latest, id));
        Some(waiting)
    }

    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(latest, _)| *latest)
    }

    pub fn take_expired(&mut self, now: Duration) -> Option<Waiting> {
        let &(latest, id) = self.expiries.first()?;
        if latest > now {
            return None;
        }
        self.remove(id)
    }

    /// Takes the most important request of the workspace that has received the least.
    pub fn take_next(&mut self) -> Option<Waiting> {
        let waiting = self.shares.values().filter(|share| !share.waiting.is_empty());
        let least = waiting.min_by(|left, right| left.received.total_cmp(&right.received))?;
        let id = least.waiting.first_key_value()?.1.id;
        self.remove(id)
    }

    pub fn started(&mut self, ask: &Ask) {
        let work = f64::from(ask.work.max(1));
        let share = self.share(ask);
        share.running += 1;
        let start = share.received;
        share.received += work / share.weight;
        self.level = self.level.max(start);
    }

    pub fn stopped(&mut self, workspace: &Arc<str>) {
        if let Some(share) = self.shares.get_mut(workspace) {
            share.running = share.running.saturating_sub(1);
        }
        if self.shares.len() > MAX_IDLE {
            self.shares.retain(|_, share| share.is_active());
        }
    }

    /// Gives the number of starts before that of a new request, as far as it can be predicted.
    pub fn turns_before(&self, ask: &Ask) -> f64 {
        let own = self.shares.get(&ask.workspace);
        let ahead = own.map_or(0, |share| {
            let after = (Reverse(ask.priority.min(MAX_PRIORITY)), u64::MAX);
            share.waiting.range(..=after).count()
        });
        let weight = f64::from(ask.share.max(1));
        let queued = self
            .shares
            .iter()
            .filter(|(name, share)| !share.waiting.is_empty() && **name != ask.workspace);
        let others: f64 = queued.map(|(_, share)| share.weight).sum();
        (ahead as f64 + 1.0) * (weight + others) / weight
    }

    /// Takes the request to shed when too many wait.
    ///
    /// Workspaces above their share lose requests first, because otherwise one workspace could
    /// displace all others by calling everything important. Among their requests the least
    /// important goes first, then the latest.
    pub fn take_least_important(&mut self, limit: u32) -> Option<Waiting> {
        let rated = self.shares.iter().filter_map(|(name, share)| {
            let ((Reverse(priority), arrival), waiting) = share.waiting.last_key_value()?;
            Some((!self.is_over(name, limit), *priority, Reverse(*arrival), waiting.id))
        });
        let (.., id) = rated.min()?;
        self.remove(id)
    }

    /// Tells why a request of a workspace is refused while the service is overloaded.
    pub fn refusal(&self, workspace: &Arc<str>, limit: u32) -> Kind {
        if self.is_over(workspace, limit) { Kind::ShareExceeded } else { Kind::Overloaded }
    }

    /// Tells whether a workspace runs and asks for more than its share of the limit, while others
    /// compete with it.
    fn is_over(&self, workspace: &Arc<str>, limit: u32) -> bool {
        let Some(share) = self.shares.get(workspace) else { return false };
        let active = self.shares.values().filter(|share| share.is_active());
        let total: f64 = active.map(|share| share.weight).sum();
        if total <= share.weight {
            return false;
        }
        let wanted = f64::from(share.running) + share.waiting.len() as f64;
        let all = f64::from(limit) + self.len() as f64;
        wanted > (all * share.weight / total).ceil()
    }

    fn share(&mut self, ask: &Ask) -> &mut Share {
        let level = self.level;
        let share = self.shares.entry(ask.workspace.clone()).or_default();
        share.weight = f64::from(ask.share.max(1));
        if !share.is_active() {
            share.received = share.received.max(level);
        }
        share
    }
}
