//! Finds the endpoint for a request, or lets it wait for one.
//!
//! A request waits on the node, in the order of [`queue`], while all endpoints are full. It is refused
//! as soon as no endpoint can begin to answer it in time.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::gateway::board::{Candidate, Choice, Job, Lack, Load};
use crate::gateway::clock;
use crate::gateway::handle::{Context, Refusal};
use crate::gateway::node::Node;
use crate::gateway::platform::Endpoint;
use crate::gateway::queue;
use crate::gateway::refusal::Cause;
use crate::gateway::roster;

/// Shortest advice when all endpoints are crowded; some room comes up several times a second.
const CROWDED_ADVICE: Duration = Duration::from_millis(150);
/// Advice when a service has no endpoint; new ones take seconds to start.
const NO_ENDPOINT_ADVICE: Duration = Duration::from_millis(800);
/// Shortest estimate that a time is compared with, in seconds.
const SHORTEST_S: f64 = 0.005;

/// Counts a request on its endpoint until it is dropped.
#[derive(Debug)]
pub struct Placed {
    node: Rc<Node>,
    pub endpoint: Endpoint,
    load: Load,
    /// Time to the first byte at the usual pace of the service.
    usual: Duration,
    pub predicted: Duration,
    pub began: Duration,
}

impl Placed {
    /// Records that the prompt was read; `target` is the time within which the route wants that.
    pub fn first_event(&mut self, target: Duration) {
        let now = clock::now();
        let took = now.saturating_sub(self.began);
        let ratio = took.as_secs_f64() / self.usual.as_secs_f64().max(SHORTEST_S);
        let mut board = self.node.board.borrow_mut();
        board.first_event(&self.endpoint.id, &mut self.load);
        if let Some(health) = self.node.roster.borrow_mut().health(&self.endpoint.id) {
            health.record_speed(ratio / board.pace(&self.endpoint.service, now));
        }
        board.record_pace(&self.endpoint.service, took, self.usual, now);
        drop(board);
        self.note_success();
        self.record_evidence(took <= target);
    }

    /// Counts an answer for the version of the endpoint, in case it is being rolled out.
    fn record_evidence(&self, is_good: bool) {
        let Endpoint { service, version, .. } = &self.endpoint;
        self.node.shifts.borrow_mut().record(service, version, is_good);
    }

    pub fn record_success(&self) {
        self.note_success();
        self.record_evidence(true);
    }

    fn note_success(&self) {
        let mut roster = self.node.roster.borrow_mut();
        let id = &self.endpoint.id;
        if roster.health(id).is_some_and(|health| health.record_success()) {
            log::info!("place: event=endpoint_regained endpoint={id}");
        }
    }

    pub fn record_failure(&self) {
        self.record_evidence(false);
        let mut roster = self.node.roster.borrow_mut();
        let id = &self.endpoint.id;
        let paused = roster.health(id).and_then(|health| health.record_failure(clock::now()));
        if let Some(roster::Pause { length, failures, share }) = paused {
            log::info!(
                "place: event=endpoint_paused endpoint={id} pause_ms={} failures={failures} \
                 failure_share={share:.2}",
                length.as_millis()
            );
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.node.board.borrow_mut().end(&self.endpoint.id, self.load);
        self.node.release_capacity(&self.endpoint.service);
    }
}

/// Holds a request's place in the queue until it is dropped.
struct Turn {
    node: Rc<Node>,
    service: Arc<str>,
    rank: queue::Rank,
    notify: Rc<Notify>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let Some(waiting) = self.node.waiting.borrow_mut().get_mut(&self.service) {
            waiting.leave(&self.rank);
            // The place that this request didn't take is free for the next one.
            waiting.wake(1);
        }
    }
}

/// Finds an endpoint for a request, or waits for room at one.
///
/// # Errors
///
/// Gives the refusal when the request can't be served in time.
pub async fn wait(node: &Rc<Node>, ask: &Context, tried: &[Arc<str>]) -> Result<Placed, Refusal> {
    let latest = ask.deadline.min(ask.arrived + ask.route.target_latency);
    let latest = if tried.is_empty() { latest } else { ask.deadline };
    let advice = |after| (Cause::Busy, Some(queue::spread(after, ask.hash)));
    let mut turn: Option<Turn> = None;
    loop {
        let now = clock::now();
        let is_next = is_next(node, ask, turn.as_ref());
        match is_next.then(|| choose(node, ask, tried, latest, now)) {
            Some(Chosen::Endpoint(placed)) => {
                log::info!(
                    "place: event=placed id={} route={} endpoint={} domain={} waited_ms={} \
                     predicted_ms={} running={} {}",
                    ask.demand.id,
                    ask.route.name,
                    placed.endpoint.id,
                    placed.endpoint.domain,
                    now.saturating_sub(ask.arrived).as_millis(),
                    placed.predicted.as_millis(),
                    node.board.borrow().total(&placed.endpoint.id).requests,
                    node.freshness(now)
                );
                return Ok(placed);
            }
            Some(Chosen::NoEndpoint) => {
                return Err((Cause::NoEndpoint, Some(queue::spread(NO_ENDPOINT_ADVICE, ask.hash))));
            }
            Some(Chosen::Late(late)) => {
                log::info!(
                    "place: event=crowded id={} service={} time_left_ms={} late_ms={} pace={:.1}",
                    ask.demand.id,
                    ask.service,
                    latest.saturating_sub(now).as_millis(),
                    late.as_millis(),
                    node.board.borrow().pace(&ask.service, now)
                );
                return Err(advice(late.max(CROWDED_ADVICE)));
            }
            Some(Chosen::Full) | None => {}
        }
        match &turn {
            None => {
                turn = Some(join(node, ask, latest, now).map_err(|after| {
                    log::info!(
                        "place: event=queue_full id={} service={} time_left_ms={} advice_ms={}",
                        ask.demand.id,
                        ask.service,
                        latest.saturating_sub(now).as_millis(),
                        after.as_millis()
                    );
                    advice(after)
                })?);
            }
            Some(turn) if is_hopeless(node, turn, now) => {
                log::info!(
                    "place: event=queue_late id={} service={} waited_ms={} time_left_ms={}",
                    ask.demand.id,
                    ask.service,
                    now.saturating_sub(ask.arrived).as_millis(),
                    latest.saturating_sub(now).as_millis()
                );
                let waiting = node.waiting.borrow();
                let after = waiting.get(&ask.service).map(|it| it.queue.retry_after());
                return Err(advice(after.unwrap_or(CROWDED_ADVICE)));
            }
            Some(_) => {}
        }
        if let Some(turn) = &turn {
            let left = latest.saturating_sub(clock::now());
            // A wake-up and the end of the time both lead to a new decision.
            let _ = tokio::time::timeout(left, turn.notify.notified()).await;
        }
    }
}

fn is_next(node: &Node, ask: &Context, turn: Option<&Turn>) -> bool {
    let waiting = node.waiting.borrow();
    let Some(waiting) = waiting.get(&ask.service) else { return true };
    match turn {
        None => waiting.queue.is_first(ask.priority),
        Some(turn) => waiting.queue.ranks().next() == Some(turn.rank),
    }
}

fn is_hopeless(node: &Node, turn: &Turn, now: Duration) -> bool {
    let waiting = node.waiting.borrow();
    waiting.get(&turn.service).is_none_or(|it| it.queue.hopeless(now).contains(&turn.rank))
}

fn join(node: &Rc<Node>, ask: &Context, latest: Duration, now: Duration) -> Result<Turn, Duration> {
    let mut all = node.waiting.borrow_mut();
    let waiting = all.entry(ask.service.clone()).or_default();
    let rank = waiting.queue.join(ask.priority, latest, now)?;
    let notify = Rc::new(Notify::new());
    waiting.notifiers.insert(rank.serial, notify.clone());
    // An urgent request may leave too little time to those behind it.
    for rank in waiting.queue.hopeless(now) {
        if let Some(turn) = waiting.notifiers.get(&rank.serial) {
            turn.notify_one();
        }
    }
    let service = ask.service.clone();
    Ok(Turn { node: node.clone(), service, rank, notify })
}

/// Finds an endpoint with room now, without waiting for one.
pub fn at_once(node: &Rc<Node>, ask: &Context, tried: &[Arc<str>]) -> Option<Placed> {
    match choose(node, ask, tried, ask.deadline, clock::now()) {
        Chosen::Endpoint(placed) => Some(placed),
        Chosen::Late(_) | Chosen::Full | Chosen::NoEndpoint => None,
    }
}

enum Chosen {
    Endpoint(Placed),
    /// The answer would begin this much too late at the best of the endpoints.
    Late(Duration),
    Full,
    NoEndpoint,
}

fn choose(
    node: &Rc<Node>,
    ask: &Context,
    tried: &[Arc<str>],
    latest: Duration,
    now: Duration,
) -> Chosen {
    let catalog = node.catalog();
    let engine = catalog.as_ref().and_then(|it| it.services.get(&ask.service)?.engine);
    let roster = node.roster.borrow();
    let version = node.shifts.borrow().select(&ask.service, ask.hash);
    let fits = |entry: &&roster::Entry| {
        !tried.contains(&entry.endpoint.id)
            && version.as_ref().is_none_or(|version| version.admits(&entry.endpoint.version))
    };
    let mut entries: SmallVec<[_; 32]> =
        roster.of(&ask.service).filter(fits).filter(|entry| entry.is_usable(now)).collect();
    if entries.is_empty() {
        // Endpoints that seem to fail are still better than none.
        entries = roster.of(&ask.service).filter(fits).filter(|entry| entry.is_listed()).collect();
    }
    if entries.is_empty() && version.is_some_and(|version| version.allows_fallback()) {
        let others = roster.of(&ask.service).filter(|entry| !tried.contains(&entry.endpoint.id));
        entries = others.filter(|entry| entry.is_listed()).collect();
    }
    if entries.is_empty() {
        return Chosen::NoEndpoint;
    }
    let job = Job { prompt: ask.demand.prompt.as_ref(), hash: ask.hash, latest };
    let candidates = entries
        .iter()
        .map(|entry| Candidate { endpoint: &entry.endpoint, slowness: entry.health.slowness() });
    let domain = &node.settings.failure_domain;
    let mut board = node.board.borrow_mut();
    let choice = match board.choose(job, domain, candidates, engine.as_ref(), now) {
        Ok(choice) => choice,
        Err(Lack::Time(late)) => return Chosen::Late(late),
        Err(Lack::Room) => return Chosen::Full,
    };
    board.begin(&choice, job.prompt, now);
    let Choice { endpoint, load, usual, predicted } = choice;
    let Some(entry) = roster.get(&endpoint) else { return Chosen::NoEndpoint };
    let endpoint = entry.endpoint.clone();
    Chosen::Endpoint(Placed { node: node.clone(), endpoint, load, usual, predicted, began: now })
}
