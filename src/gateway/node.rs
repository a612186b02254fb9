//! State of one node of the gateway, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use crate::gateway::balancer::Balancer;
use crate::gateway::budget::{Budget, Rule};
use crate::gateway::catalog::Catalog;
use crate::gateway::demand::Demand;
use crate::gateway::link::Links;
use crate::gateway::notice::Notices;
use crate::gateway::peers::Peers;
use crate::gateway::platform::{Dialect, Platform};
use crate::gateway::queue::{Queue, Rank};
use crate::gateway::quota::Quotas;
use crate::gateway::roster::Roster;
use crate::gateway::settings::Settings;
use crate::gateway::shift::Shifts;
use crate::gateway::usage::{Source, Usage};
use crate::gateway::{clock, metrics};

/// Longest time after a start in which the node is not ready because it doesn't know yet what
/// tenants have used of their quotas.
const RECALL_TIME: Duration = Duration::from_millis(1_500);

/// Waiting requests of one service, each with the signal that it may try again.
#[derive(Debug, Default)]
pub struct Waiting {
    pub queue: Queue,
    pub waiters: HashMap<u64, Rc<Notify>>,
}

impl Waiting {
    /// Wakes the requests that are next in turn.
    pub fn wake(&self, count: usize) {
        for rank in self.queue.ranks().take(count) {
            if let Some(turn) = self.waiters.get(&rank.serial) {
                turn.notify_one();
            }
        }
    }

    pub fn leave(&mut self, rank: &Rank) {
        self.queue.remove(rank);
        self.waiters.remove(&rank.serial);
    }
}

/// Versions and ages of what a node knows.
#[derive(Debug)]
pub struct Beliefs {
    catalog: Option<u64>,
    catalog_age: Option<Duration>,
    endpoints_age: Option<Duration>,
    /// Nodes that are heard, with this one.
    nodes: usize,
}

impl fmt::Display for Beliefs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // What is not known has the age -1.
        let ms = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        write!(
            f,
            "catalog={} catalog_age_ms={} endpoints_age_ms={} nodes={}",
            self.catalog.map_or(-1, |version| version as i64),
            ms(self.catalog_age),
            ms(self.endpoints_age),
            self.nodes
        )
    }
}

#[derive(Debug)]
pub struct Node {
    pub settings: Settings,
    pub platform: Platform,
    pub dialect: Dialect,
    /// Time at which the node started.
    pub began: Duration,
    /// Tells this start of the node apart from others: the wall clock at its start.
    pub start: u64,
    pub catalog: RefCell<Option<Arc<Catalog>>>,
    /// Time before the last successful read of the declarations was sent.
    pub confirmed: Cell<Option<Duration>>,
    pub roster: RefCell<Roster>,
    pub notices: RefCell<Notices>,
    /// Time before the last successful read of the list of endpoints was sent.
    pub listed: Cell<Option<Duration>>,
    pub balancer: RefCell<Balancer>,
    pub quotas: RefCell<Quotas>,
    pub budget: RefCell<Budget>,
    pub usage: RefCell<Usage>,
    pub demand: RefCell<Demand>,
    pub shifts: RefCell<Shifts>,
    pub peers: RefCell<Peers>,
    pub waiting: RefCell<HashMap<Arc<str>, Waiting>>,
    pub links: Links,
    pub metrics: metrics::Registry,
    /// Difference between true time since 1970 and `clock::now`, in milliseconds.
    pub epoch_ms: Cell<i64>,
    /// Set when the process has got SIGTERM.
    pub stopping: Cell<bool>,
    /// Set when a stopping process takes no more requests.
    pub closing: Cell<bool>,
    pub stop: Notify,
    /// Tells that the peers must hear soon what this node has admitted.
    pub quota_news: Notify,
    /// Set while this node holds the lease of the duties.
    pub holds_duties: Cell<bool>,
    /// Requests being served.
    pub active: Cell<usize>,
    /// Counts the changes in which endpoints were found to be leaving.
    pub departures: watch::Sender<u64>,
}

impl Node {
    pub fn new(settings: Settings, platform: Platform, dialect: Dialect) -> Rc<Node> {
        let bounds = &settings.bounds;
        let rule = Rule {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        };
        let wall = clock::wall_ms();
        let start = wall.unsigned_abs();
        let peers = Peers::new(settings.node.clone(), start);
        let metrics = metrics::Registry::new();
        let platform = platform.counted(&metrics);
        Rc::new(Node {
            began: clock::now(),
            start,
            platform,
            dialect,
            catalog: RefCell::default(),
            confirmed: Cell::default(),
            roster: RefCell::default(),
            notices: RefCell::default(),
            listed: Cell::default(),
            balancer: RefCell::default(),
            quotas: RefCell::new(Quotas::new(bounds.quota_window, settings.first_start)),
            budget: RefCell::new(Budget::new(rule)),
            usage: RefCell::default(),
            demand: RefCell::default(),
            shifts: RefCell::default(),
            peers: RefCell::new(peers),
            waiting: RefCell::default(),
            links: Links::default(),
            metrics,
            epoch_ms: Cell::new(wall - clock::now().as_millis() as i64),
            stopping: Cell::default(),
            closing: Cell::default(),
            stop: Notify::new(),
            quota_news: Notify::new(),
            holds_duties: Cell::default(),
            active: Cell::default(),
            departures: watch::Sender::new(0),
            settings,
        })
    }

    /// Identifies this run of the node in counts.
    pub fn source(&self) -> Source {
        (self.settings.node.clone(), self.start)
    }

    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Gives the age of what is known about keys; `None` before the first read.
    pub fn key_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.get().map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Tells whether the node can show that its keys are valid.
    pub fn keys_are_fresh(&self, now: Duration) -> bool {
        self.key_age(now).is_some_and(|age| age < self.settings.bounds.max_key_age())
    }

    /// Tells whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let now = clock::now();
        let known = self.catalog.borrow().is_some() && self.listed.get().is_some();
        let waits = now.saturating_sub(self.began) < RECALL_TIME;
        let counts = !waits || !self.quotas.borrow().is_unsure();
        known && counts && !self.stopping.get() && self.keys_are_fresh(now)
    }

    /// Gives what the node's decisions rest on, for the lines that tell them.
    pub fn beliefs(&self, now: Duration) -> Beliefs {
        Beliefs {
            catalog: self.catalog.borrow().as_ref().map(|catalog| catalog.version),
            catalog_age: self.key_age(now),
            endpoints_age: self.listed.get().map(|listed| now.saturating_sub(listed)),
            nodes: self.peers.borrow().count(now),
        }
    }

    /// Gives true time since 1970 in milliseconds, whatever the steps of this VM's clock.
    pub fn true_ms(&self) -> u64 {
        (clock::now().as_millis() as i64 + self.epoch_ms.get()).unsigned_abs()
    }

    /// Gives the window of usage reports that a moment belongs to.
    pub fn window(&self) -> u64 {
        self.true_ms() / self.settings.bounds.report_window_ms()
    }

    /// Lets waiting requests of a service try again, after a place has become free.
    pub fn release(&self, service: &str) {
        let mut waiting = self.waiting.borrow_mut();
        if let Some(waiting) = waiting.get_mut(service) {
            waiting.queue.record_release(clock::now());
            waiting.wake(1);
        }
    }

    /// Lets all waiting requests try again, after the endpoints or their loads have changed.
    pub fn wake_all(&self) {
        for waiting in self.waiting.borrow().values() {
            waiting.wake(usize::MAX);
        }
    }
}
