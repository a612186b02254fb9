//! Idempotent requests: retries and hedging within one budget.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Call, refuse, send};
use crate::caller::Context;
use crate::caller::target::{self, Flight, Wish};
use crate::endpoint::answer::Answer;
use crate::endpoint::pool;
use crate::error::{Error, Kind, Result, Run};
use crate::node::Node;
use crate::retry;

/// Shortest time in which a further attempt can succeed, and after which it is worth hedging: below
/// it, the second attempt costs the endpoint more than it saves the caller.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(5);

/// Holds what the attempts of one request have shown so far.
#[derive(Debug)]
struct Course {
    wish: Wish,
    attempts: u32,
    /// Last failure after which the request may have run.
    may_have_run: Option<Error>,
}

/// Repeats an idempotent request while time and the retry budget are left.
pub(super) async fn repeat(node: &Arc<Node>, context: &Context, call: &Call) -> Result<Answer> {
    let mut course = Course { wish: call.wish(context), attempts: 0, may_have_run: None };
    loop {
        let flight = match course.choose(node, context) {
            Ok(flight) => flight,
            Err(error) => return Err(course.end(error)),
        };
        let error = match course.attempt(node, context, call, flight).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if error.run() != Run::No {
            course.may_have_run = Some(error.clone());
        }
        let attempt = course.next(node, call, error.run(), SHORTEST_ATTEMPT);
        match node.decide_retry(&call.service, attempt) {
            retry::Decision::Retry(pause) => tokio::time::sleep(pause).await,
            retry::Decision::Stop(_) => return Err(course.end(error)),
        }
        node.metrics.retries.with_label_values(&[&*call.service]).inc();
    }
}

impl Course {
    /// Prefers endpoints that have not failed this request.
    fn choose(&mut self, node: &Arc<Node>, context: &Context) -> Result<Flight> {
        match target::choose(node, &context.catalog, &self.wish) {
            Err(_) if !self.wish.exclude.is_empty() => {
                self.wish.exclude.clear();
                target::choose(node, &context.catalog, &self.wish)
            }
            other => other,
        }
    }

    /// Gives the error to report: a request that may have run once is never reported as not run,
    /// although its last attempt provably did not.
    fn end(&mut self, error: Error) -> Error {
        if error.run() == Run::No { self.may_have_run.take().unwrap_or(error) } else { error }
    }

    fn next(&self, node: &Node, call: &Call, run: Run, expected: Duration) -> retry::Attempt {
        let deadline = node.since_start(call.deadline.into_std());
        retry::Attempt { run, idempotent: true, deadline, expected, number: self.attempts }
    }

    /// Sends the request, and once more to another endpoint when the answer takes longer than
    /// nearly all answers do and the budget allows it. The first whole answer counts.
    async fn attempt(
        &mut self,
        node: &Arc<Node>,
        context: &Context,
        call: &Call,
        flight: Flight,
    ) -> Result<Answer> {
        let began = Instant::now();
        self.attempts += 1;
        self.leave(&flight);
        // A further attempt is not put on another connection that may have gone silent.
        let proof = if self.attempts > 1 { Duration::ZERO } else { pool::PROBE_AFTER };
        let first = judge(node, context, call, flight, proof);
        tokio::pin!(first);
        let Some(after) = node.directory.hedge_after(&call.service, &node.retry_policy) else {
            let result = first.await;
            return record(node, call, began, result);
        };
        let hedge_at = began + after.max(SHORTEST_ATTEMPT);
        if let Ok(result) = tokio::time::timeout_at(hedge_at, &mut first).await {
            return record(node, call, began, result);
        }
        let Some(flight) = self.hedge(node, context, call, after) else {
            let result = first.await;
            return record(node, call, began, result);
        };
        let second = judge(node, context, call, flight, Duration::ZERO);
        tokio::pin!(second);
        let result = tokio::select! {
            result = &mut first => match result {
                Err(error) => second.await.map_err(|other| worse(error, other)),
                answer => answer,
            },
            result = &mut second => match result {
                Err(error) => first.await.map_err(|other| worse(error, other)),
                answer => answer,
            },
        };
        record(node, call, began, result)
    }

    /// Chooses another endpoint for a second attempt and takes it out of the budget.
    fn hedge(
        &mut self,
        node: &Arc<Node>,
        context: &Context,
        call: &Call,
        after: Duration,
    ) -> Option<Flight> {
        let flight = target::choose(node, &context.catalog, &self.wish).ok()?;
        // The budget is asked last, since only a choice that succeeded is paid for.
        let attempt = self.next(node, call, Run::Unknown, after.max(SHORTEST_ATTEMPT));
        match node.decide_retry(&call.service, attempt) {
            retry::Decision::Retry(_) => {
                self.attempts += 1;
                self.leave(&flight);
                node.metrics.retries.with_label_values(&[&*call.service]).inc();
                Some(flight)
            }
            retry::Decision::Stop(_) => None,
        }
    }

    /// Keeps further attempts away from this endpoint and, where there is one to fall back on, from
    /// its version.
    fn leave(&mut self, flight: &Flight) {
        self.wish.exclude.push(flight.vm.clone());
        if flight.fallback.is_some() {
            self.wish.avoid = Some(flight.version.clone());
        }
    }
}

/// Sends the request once; an answer that says the endpoint failed counts as a failure.
async fn judge(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    flight: Flight,
    proof: Duration,
) -> Result<Answer> {
    match send(node, context, call, flight, proof).await {
        Ok(answer) if answer.status.is_server_error() => {
            let detail = format!("the endpoint answered {}", answer.status);
            Err(Error::new(Kind::EndpointFailed, detail))
        }
        Ok(answer) => Ok(answer),
        Err(fault) => Err(refuse(&fault)),
    }
}

/// Gives the error after which the request may have run, if one of the two is such.
fn worse(one: Error, other: Error) -> Error {
    if other.run() == Run::No { one } else { other }
}

/// Feeds the latencies that tell when to hedge. A hedged request counts with its whole time.
fn record(node: &Node, call: &Call, began: Instant, result: Result<Answer>) -> Result<Answer> {
    if result.is_ok() {
        node.directory.record_latency(&call.service, began.elapsed());
    }
    result
}
