//! Places a request on an endpoint, or queues it until one has capacity.
//!
//! A request waits on the node, in the order of [`queue`], while all endpoints are full. It is refused
//! as soon as no endpoint can start to respond in time.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::gateway::balancer::{Candidate, Choice, Job, Overload};
use crate::gateway::clock;
use crate::gateway::handle::{Context, Refusal};
use crate::gateway::node::Node;
use crate::gateway::placement::Placement;
use crate::gateway::queue;
use crate::gateway::rate_limit::Permit;
use crate::gateway::refusal::Cause;
use crate::gateway::roster::Entry;
use crate::gateway::share::Claim;
use crate::gateway::shortage;
use crate::gateway::statement::Memory;
use crate::gateway::verdict::Conditions;

/// Advised time before a retry when a service has no endpoint, or only evacuated ones; new ones take seconds to
/// start.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Part of the time until a request's deadline that it may wait for the rate limits of endpoints.
const MAX_LIMIT_WAIT_SHARE: f64 = 0.5;
/// Longest time for which a request waits for the end of a pause that all endpoints have asked for; it is
/// refused at once for a longer one.
const MAX_PAUSE_WAIT: Duration = Duration::from_millis(200);
/// Longest assumed time between two requests that the rate limits of endpoints allow.
const MAX_LIMIT_INTERVAL: Duration = Duration::from_secs(60);
/// A request in the queue; dropping it removes the request and wakes the next one.
struct Waiter {
    node: Rc<Node>,
    service: Arc<str>,
    rank: queue::Rank,
    notify: Rc<Notify>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if let Some(waiting) = self.node.waiting.borrow_mut().get_mut(&self.service) {
            waiting.remove(&self.rank, clock::now());
            // The capacity that this request didn't use is free for the next one.
            waiting.wake(1);
        }
    }
}

/// Places a request on an endpoint, and waits for capacity if all are full.
///
/// # Errors
///
/// Returns the refusal if the request can't be served in time.
pub async fn acquire(
    node: &Rc<Node>,
    context: &Context,
    tried: &[Arc<str>],
) -> Result<Placement, Refusal> {
    let deadline = context.deadline.min(context.arrived + context.route.target_latency);
    let deadline = if tried.is_empty() { deadline } else { context.deadline };
    let claim = context.claim(tried);
    // A request whose tenant or class got nothing for too long is rather late than rejected.
    let is_overdue = node.with_share(&context.service, |it| it.is_overdue(&claim, clock::now()));
    let deadline = if is_overdue { context.deadline } else { deadline };
    let busy = |after| (Cause::Busy, Some(queue::spread(after, context.hash)));
    let mut waiter: Option<Waiter> = None;
    loop {
        let now = clock::now();
        let mut next_permit = None;
        let is_next = is_next(node, context, &claim, waiter.as_ref(), now);
        match is_next.then(|| select(node, context, tried, deadline, now)) {
            Some(Selection::Endpoint(placement)) => {
                log::info!(
                    "place: event=placed id={} route={} endpoint={} domain={} waited_ms={} \
                     predicted_ms={} running={} {}",
                    context.metadata.id,
                    context.route.name,
                    placement.endpoint.id,
                    placement.endpoint.domain,
                    now.saturating_sub(context.arrived).as_millis(),
                    placement.predicted.as_millis(),
                    node.balancer.borrow().total_load(&placement.endpoint.id).requests,
                    node.freshness(now)
                );
                return Ok(placement);
            }
            Some(Selection::NoEndpoint) => {
                return Err((
                    Cause::NoEndpoint,
                    Some(queue::jitter(NO_ENDPOINT_RETRY_AFTER, context.hash)),
                ));
            }
            Some(Selection::Evacuated) => {
                log::info!(
                    "place: event=endpoints_evacuated id={} service={}",
                    context.metadata.id,
                    context.service
                );
                return Err((
                    Cause::Evacuated,
                    Some(queue::jitter(NO_ENDPOINT_RETRY_AFTER, context.hash)),
                ));
            }
            Some(Selection::Late(late)) => {
                log::info!(
                    "place: event=crowded id={} service={} time_left_ms={} late_ms={} pace={:.1}",
                    context.metadata.id,
                    context.service,
                    deadline.saturating_sub(now).as_millis(),
                    late.as_millis(),
                    node.balancer.borrow().service_slowdown(&context.service, now)
                );
                shortage::record_rejection(node, context, &claim, now);
                // Room is in time once this much work is done, and is shared with the others that come back.
                let after =
                    late + queue::spread(shortage::retry_after(node, context, now), context.hash);
                return Err((Cause::Busy, Some(after.min(queue::MAX_RETRY_AFTER))));
            }
            Some(Selection::Limited(budget)) => {
                let remaining = deadline.saturating_sub(now);
                if budget.next > remaining.mul_f64(MAX_LIMIT_WAIT_SHARE) {
                    return Err(refuse_limited(node, context, budget, now));
                }
                shortage::set_min_interval(node, context, budget.interval);
                next_permit = Some(budget.next);
            }
            Some(Selection::Paused(wait)) => {
                if wait > MAX_PAUSE_WAIT {
                    log::info!(
                        "place: event=endpoints_paused id={} service={} wait_ms={}",
                        context.metadata.id,
                        context.service,
                        wait.as_millis()
                    );
                    return Err((Cause::Paused, Some(queue::delay(wait, context.hash))));
                }
                shortage::set_min_interval(node, context, Duration::ZERO);
                next_permit = Some(wait);
            }
            Some(Selection::Full(next)) => {
                shortage::set_min_interval(node, context, Duration::ZERO);
                next_permit = next;
            }
            None => {}
        }
        if let Some(after) = shortage::refuse_above_share(node, context, &claim, now) {
            return Err(busy(after));
        }
        match &waiter {
            None => {
                waiter = Some(enqueue(node, context, &claim, deadline, now).map_err(|after| {
                    log::info!(
                        "place: event=queue_full id={} service={} time_left_ms={} advice_ms={}",
                        context.metadata.id,
                        context.service,
                        deadline.saturating_sub(now).as_millis(),
                        after.as_millis()
                    );
                    shortage::record_rejection(node, context, &claim, now);
                    busy(after)
                })?);
            }
            Some(waiter) if is_unservable(node, waiter, now) => {
                log::info!(
                    "place: event=queue_late id={} service={} waited_ms={} time_left_ms={}",
                    context.metadata.id,
                    context.service,
                    now.saturating_sub(context.arrived).as_millis(),
                    deadline.saturating_sub(now).as_millis()
                );
                shortage::record_rejection(node, context, &claim, now);
                return Err(busy(shortage::retry_after(node, context, now)));
            }
            Some(_) => {}
        }
        if let Some(waiter) = &waiter {
            let remaining = deadline.saturating_sub(clock::now());
            let wait = next_permit.map_or(remaining, |next| remaining.min(next));
            // Both a wake-up and the timeout lead to a new decision.
            let _ = tokio::time::timeout(wait, waiter.notify.notified()).await;
        }
    }
}

/// Refuses a request because the rate limits of all endpoints are used up. All nodes hand out times to come
/// back, so that callers return as fast as the endpoints take them.
fn refuse_limited(node: &Node, context: &Context, budget: Budget, now: Duration) -> Refusal {
    let nodes = node.peers.borrow().live_count(now);
    let after = node.roster.borrow_mut().stated.limits.advise(
        &context.service,
        budget.rate,
        nodes,
        shortage::MIN_RETRY_AFTER,
        now,
    );
    log::info!(
        "place: event=limits_used id={} service={} endpoints={} per_s={:.1} advice_ms={}",
        context.metadata.id,
        context.service,
        budget.endpoints,
        budget.rate,
        after.as_millis()
    );
    (Cause::Limited, Some(after))
}

/// Returns whether the request is the first to be served, or would be if it were queued.
fn is_next(
    node: &Node,
    context: &Context,
    claim: &Claim,
    waiter: Option<&Waiter>,
    now: Duration,
) -> bool {
    let waiting = node.waiting.borrow();
    let Some(waiting) = waiting.get(&context.service) else { return true };
    match waiter {
        None => waiting.queue.is_first(claim, now),
        Some(waiter) => waiting.queue.is_next(&waiter.rank),
    }
}

/// Returns whether a queued request is expected to miss its deadline.
fn is_unservable(node: &Node, waiter: &Waiter, now: Duration) -> bool {
    let waiting = node.waiting.borrow();
    waiting.get(&waiter.service).is_none_or(|it| it.queue.unservable(now).contains(&waiter.rank))
}

/// Queues a request, and wakes the requests that are now expected to miss their deadlines.
///
/// # Errors
///
/// Returns the time after which the caller should retry.
fn enqueue(
    node: &Rc<Node>,
    context: &Context,
    claim: &Claim,
    deadline: Duration,
    now: Duration,
) -> Result<Waiter, Duration> {
    let mut all = node.waiting.borrow_mut();
    let waiting = all.entry(context.service.clone()).or_default();
    let rank = waiting.queue.enqueue(claim, deadline, now)?;
    waiting.queue.share.record_lack(claim, now);
    let notify = Rc::new(Notify::new());
    waiting.notifiers.insert(rank.serial, notify.clone());
    // An urgent request may push back others past their deadlines.
    for rank in waiting.queue.unservable(now) {
        if let Some(waiter) = waiting.notifiers.get(&rank.serial) {
            waiter.notify_one();
        }
    }
    let service = context.service.clone();
    Ok(Waiter { node: node.clone(), service, rank, notify })
}

/// Places a request on an endpoint that has capacity now; doesn't wait.
pub fn try_acquire(node: &Rc<Node>, context: &Context, tried: &[Arc<str>]) -> Option<Placement> {
    match select(node, context, tried, context.deadline, clock::now()) {
        Selection::Endpoint(placement) => Some(placement),
        Selection::Late(_)
        | Selection::Full(_)
        | Selection::Limited(_)
        | Selection::Paused(_)
        | Selection::NoEndpoint
        | Selection::Evacuated => None,
    }
}

/// Result of an attempt to select an endpoint.
enum Selection {
    Endpoint(Placement),
    /// The response would start this much too late on the best endpoint that has capacity.
    Late(Duration),
    /// All endpoints are full, but this node may send a request to a limited one after this time, if any.
    Full(Option<Duration>),
    /// The rate limits of all endpoints are used up.
    Limited(Budget),
    /// All endpoints have asked for a pause; the first may get a request after this time.
    Paused(Duration),
    /// The service has no endpoint that may be tried.
    NoEndpoint,
    /// All endpoints that may be tried are in evacuated failure domains.
    Evacuated,
}

/// What the rate limits of the endpoints allow that have no request left for this node now.
#[derive(Debug, Clone, Copy)]
struct Budget {
    endpoints: usize,
    /// Requests per second from all nodes.
    rate: f64,
    /// Time until this node may send the next request.
    next: Duration,
    /// Mean time between two requests of this node.
    interval: Duration,
}

impl Budget {
    /// Removes the endpoints to which this node may not send a request now; returns what their limits
    /// allow, or `None` if there are none.
    fn apply(
        stated: &Memory,
        entries: &mut SmallVec<[&Entry; 32]>,
        now: Duration,
    ) -> Option<Budget> {
        let mut budget =
            Budget { endpoints: 0, rate: 0.0, next: Duration::MAX, interval: MAX_LIMIT_INTERVAL };
        let mut own_rate = 0.0;
        entries.retain(|entry| {
            let id = &entry.endpoint.id;
            let permit = stated.permit(id, now);
            if permit == Permit::Granted {
                return true;
            }
            if let Permit::After(wait) = permit {
                budget.next = budget.next.min(wait);
            }
            budget.endpoints += 1;
            let (rate, own) = stated.rates(id, now).unwrap_or_default();
            budget.rate += rate;
            own_rate += own;
            false
        });
        if own_rate > 0.0 {
            budget.interval = Duration::from_secs_f64(1.0 / own_rate).min(MAX_LIMIT_INTERVAL);
        }
        (budget.endpoints > 0).then_some(budget)
    }
}

/// Selects an endpoint among those that were not tried and adds the request to its load.
fn select(
    node: &Rc<Node>,
    context: &Context,
    tried: &[Arc<str>],
    deadline: Duration,
    now: Duration,
) -> Selection {
    let catalog = node.catalog();
    let engine = catalog.as_ref().and_then(|it| it.services.get(&context.service)?.engine);
    let roster = node.roster.borrow();
    let version_selection = node.shifts.borrow().select(&context.service, context.hash);
    let may_get = |entry: &&Entry| {
        !tried.contains(&entry.endpoint.id) && !roster.is_evacuated(&entry.endpoint)
    };
    let is_eligible = |entry: &&Entry| {
        may_get(entry)
            && version_selection
                .as_ref()
                .is_none_or(|selection| selection.admits(&entry.endpoint.version))
    };
    let mut entries: SmallVec<[&Entry; 32]> = roster
        .for_service(&context.service)
        .filter(is_eligible)
        .filter(|entry| entry.is_usable(now))
        .collect();
    if entries.is_empty() {
        // Paused endpoints are still better than none.
        entries = roster
            .for_service(&context.service)
            .filter(is_eligible)
            .filter(|entry| entry.is_listed())
            .collect();
    }
    if entries.is_empty()
        && let Some(selection) = version_selection.as_ref().filter(|it| it.allows_fallback())
    {
        let others = roster
            .for_service(&context.service)
            .filter(|entry| may_get(entry) && !selection.is_rejected(&entry.endpoint.version));
        entries = others.filter(|entry| entry.is_listed()).collect();
    }
    if entries.is_empty() {
        let is_left = |entry: &Entry| {
            let endpoint = &entry.endpoint;
            entry.is_listed() && roster.is_evacuated(endpoint) && !tried.contains(&endpoint.id)
        };
        let is_evacuated = roster.for_service(&context.service).any(is_left);
        return if is_evacuated { Selection::Evacuated } else { Selection::NoEndpoint };
    }
    let mut pause = Duration::MAX;
    if !roster.stated.pauses.is_empty() {
        entries.retain(|entry| {
            let wait = roster.stated.pauses.wait(&entry.endpoint.id, now);
            pause = pause.min(wait.unwrap_or(Duration::MAX));
            wait.is_none()
        });
        if entries.is_empty() {
            return Selection::Paused(pause);
        }
    }
    let stated = &roster.stated;
    let budget = match stated.limits.is_empty() && stated.cold.is_empty() {
        true => None,
        false => Budget::apply(stated, &mut entries, now),
    };
    if let Some(mut budget) = budget {
        node.metrics.record_limit_skip(&context.service);
        if entries.is_empty() {
            budget.next = budget.next.min(pause);
            return Selection::Limited(budget);
        }
    }
    let job = Job {
        prompt: context.metadata.prompt.as_ref(),
        hash: context.hash,
        deadline,
        gap_target: catalog.as_ref().and_then(|it| it.gap_target(&context.service)),
    };
    // The speed factors are not used here, see docs/design/endpoint-speed.md.
    let candidates = entries
        .iter()
        .map(|entry| Candidate { endpoint: &entry.endpoint, slowness: entry.health.slowness() });
    let domain = &node.settings.failure_domain;
    let mut balancer = node.balancer.borrow_mut();
    let claim = context.claim(tried);
    let reserved = node.with_share(&context.service, |share| share.reserved(&claim, now));
    let engine = engine.as_ref();
    let mut choice = balancer.choose_within(job, domain, candidates.clone(), engine, reserved, now);
    if reserved > 0.0 && choice.is_err() {
        choice = match balancer.choose(job, domain, candidates, engine, now) {
            // The reserved room is in time; the request waits for it to become free.
            Ok(choice) if shortage::is_room_wanted(node, &context.service, &claim, now) => {
                log::debug!(
                    "place: event=reserved id={} service={} endpoint={} reserved={reserved:.3}",
                    context.metadata.id,
                    context.service,
                    choice.endpoint
                );
                node.metrics.record_reserved(&context.service);
                Err(Overload::Full)
            }
            other => other,
        };
    }
    let choice = match choice {
        Ok(choice) => choice,
        Err(Overload::Late(late)) => return Selection::Late(late),
        Err(Overload::Full) => {
            let next = budget.map_or(pause, |budget| budget.next.min(pause));
            return Selection::Full((next < Duration::MAX).then_some(next));
        }
    };
    let Some(entry) = roster.get(&choice.endpoint) else { return Selection::NoEndpoint };
    let endpoint = entry.endpoint.clone();
    drop(entries);
    drop(roster);
    balancer.start_request(&choice, job.prompt, now);
    node.with_share(&context.service, |share| share.record_start(&claim, now));
    let Choice { load, baseline, predicted, shows_prefill_rate, .. } = choice;
    let stated = &mut node.roster.borrow_mut().stated;
    let is_limit_paid = stated.limits.rate(&endpoint.id).is_some();
    stated.limits.spend(&endpoint.id, now);
    let cold_charged_at = stated.cold.spend(&endpoint.id, now).then_some(now);
    stated.pauses.record_request(&endpoint.id, now);
    Selection::Endpoint(Placement {
        node: node.clone(),
        endpoint,
        load,
        baseline,
        predicted,
        began: now,
        shows_prefill_rate,
        shows_speed: catalog.as_ref().is_some_and(|it| it.has_gap_targets()),
        is_limit_paid,
        cold_charged_at,
        conditions: Conditions::new(
            version_selection.map(|selection| selection.stage).unwrap_or_default(),
            &context.route.name,
        ),
        is_first: tried.is_empty(),
        has_started: Cell::new(false),
        is_rejected: Cell::new(false),
        is_awaited: Cell::new(false),
    })
}
