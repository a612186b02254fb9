//! State that the parts of one daemon share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{Semaphore, watch};

use crate::admission::controller;
use crate::config::Settings;
use crate::metric::Metrics;
use crate::platform::{self, Vm};
use crate::timeline::{self, Subject};
use crate::{claim, endpoint, peer, retry, revision, rollout, routing, stream};

/// Events kept in memory until a batch holds them; at most about 4 MB.
const TIMELINE_EVENTS: usize = 4_096;
/// Attempts per second that a service may repeat without any success, and most attempts saved up.
const RETRY_FLOOR: f64 = 2.0;
const RETRY_SAVED: f64 = 100.0;

/// Holds the state of one entry VM; everything in it is lost with the process.
#[derive(Debug)]
pub struct Node {
    pub settings: Settings,
    /// Grows with each start of the process, so that ids are not used twice.
    pub incarnation: u64,
    pub client: platform::Client,
    pub revision: Arc<revision::State>,
    pub journal: stream::Journal,
    pub directory: endpoint::Directory,
    pub batcher: claim::Batcher,
    pub admission: controller::Controllers,
    pub limits: controller::Limits,
    /// Bounds the requests whose answer has not begun, and with them the bodies in memory.
    pub places: Semaphore,
    pub metrics: Metrics,
    pub timeline: Arc<timeline::Buffer>,
    pub policy: retry::Policy,
    pub vms: watch::Sender<Arc<Vec<Vm>>>,
    /// Set once the list of VMs has been read; before that, no endpoint is known.
    pub vms_known: AtomicBool,
    /// Ids of endpoint VMs that must not get new work and whose streams move away.
    pub leaving: watch::Sender<Arc<Vec<Arc<str>>>>,
    /// Times at which endpoint VMs with a reclaim notice are gone.
    pub gone_at: Mutex<HashMap<Arc<str>, Instant>>,
    /// Counts answers of drafts that are not yet in the object store.
    pub storing: AtomicUsize,
    /// Turns true when a planned stop begins.
    pub stopping: watch::Sender<bool>,
    /// Set when the platform reclaims this VM: the time at which it is gone.
    pub stop_by: watch::Sender<Option<Instant>>,
    /// Set once when the network to the other daemons has started.
    pub network: OnceLock<Arc<peer::Network>>,
    started: Instant,
    counter: AtomicU64,
    tables: Mutex<HashMap<Arc<str>, routing::Table>>,
    budgets: Mutex<HashMap<Arc<str>, retry::Budget>>,
    marks: Mutex<rollout::BadVersions>,
    observer: Mutex<rollout::Observer>,
    controller: Mutex<rollout::Controller>,
    random: Mutex<StdRng>,
}

impl Node {
    pub fn new(settings: Settings) -> Node {
        let client = platform::Client::new(settings.platform, settings.timing.platform_timeout);
        let incarnation = claim::attempt::unix_ms();
        let timeline = timeline::Buffer::new(settings.node.clone(), incarnation, TIMELINE_EVENTS);
        Node {
            batcher: claim::Batcher::start(client.clone(), settings.timing.claim_window),
            journal: stream::Journal::new(settings.limits.journal_entries),
            timeline: Arc::new(timeline),
            random: Mutex::new(StdRng::seed_from_u64(rand::random())),
            vms: watch::Sender::new(Arc::default()),
            vms_known: AtomicBool::new(false),
            leaving: watch::Sender::new(Arc::default()),
            gone_at: Mutex::default(),
            storing: AtomicUsize::new(0),
            stopping: watch::Sender::new(false),
            stop_by: watch::Sender::new(None),
            policy: retry::Policy::default(),
            started: Instant::now(),
            revision: Arc::default(),
            directory: endpoint::Directory::default(),
            admission: controller::Controllers::default(),
            limits: controller::Limits::default(),
            places: Semaphore::new(settings.limits.in_flight),
            metrics: Metrics::new(),
            network: OnceLock::new(),
            counter: AtomicU64::new(0),
            tables: Mutex::default(),
            budgets: Mutex::default(),
            marks: Mutex::default(),
            observer: Mutex::default(),
            controller: Mutex::default(),
            incarnation,
            client,
            settings,
        }
    }

    /// Gives the time since the start of the daemon, for decisions that take the time as argument.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts an instant to the time scale of `now`.
    pub fn time_of(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started)
    }

    /// Gives a number that differs with each call.
    pub fn tick(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Makes an id that no other request has, on any node.
    pub fn next_id(&self) -> Arc<str> {
        stream::make_id(&self.settings.node, self.incarnation, self.tick())
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Tells whether callers may send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.revision.is_ready() && self.vms_known.load(Ordering::Relaxed)
    }

    /// Tells whether an endpoint VM has to be left.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.leaving.borrow().iter().any(|id| **id == *vm)
    }

    /// Gives the time until an endpoint VM is gone; zero when that is not known.
    pub fn time_left(&self, vm: &str) -> Duration {
        let end = lock(&self.gone_at).get(vm).copied();
        end.map_or(Duration::ZERO, |end| end.saturating_duration_since(Instant::now()))
    }

    /// Lists the members of the cluster; empty before the network has started.
    pub fn members(&self) -> Vec<crate::membership::Member> {
        self.network.get().map(|network| network.members()).unwrap_or_default()
    }

    /// Puts an event on the time line.
    pub fn record(&self, part: &'static str, subject: Subject, text: String) {
        let draft = timeline::Draft { part, subject, text, ..timeline::Draft::default() };
        self.timeline.record(claim::attempt::unix_ms(), draft);
    }

    /// Uses the routing table of a pool; it starts empty.
    pub fn with_table<T>(&self, pool: &Arc<str>, act: impl FnOnce(&mut routing::Table) -> T) -> T {
        let mut tables = lock(&self.tables);
        let table = tables.entry(pool.clone()).or_insert_with(|| {
            let place = routing::Locality {
                node: self.settings.node.clone(),
                failure_domain: self.settings.failure_domain.clone(),
                region: self.settings.region.clone(),
            };
            routing::Table::new(place, self.incarnation)
        });
        act(table)
    }

    /// Gives the routing tables that exist.
    pub fn tables(&self) -> MutexGuard<'_, HashMap<Arc<str>, routing::Table>> {
        lock(&self.tables)
    }

    /// Decides whether a failed attempt is repeated, within the budget of its service.
    pub fn decide_retry(&self, service: &Arc<str>, attempt: retry::Attempt) -> retry::Decision {
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| retry::Budget::new(now, RETRY_FLOOR, RETRY_SAVED));
        self.policy.decide(now, attempt, budget, &mut lock(&self.random))
    }

    /// Credits the retry budget of a service after a success.
    pub fn credit_retry(&self, service: &Arc<str>) {
        if let Some(budget) = lock(&self.budgets).get_mut(service) {
            budget.record_success();
        }
    }

    pub fn marks(&self) -> MutexGuard<'_, rollout::BadVersions> {
        lock(&self.marks)
    }

    pub fn observer(&self) -> MutexGuard<'_, rollout::Observer> {
        lock(&self.observer)
    }

    pub fn controller(&self) -> MutexGuard<'_, rollout::Controller> {
        lock(&self.controller)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
