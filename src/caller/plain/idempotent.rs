//! Idempotent requests of plain services: retries and hedged requests within one retry budget.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Call, fault_error, send};
use crate::caller::Context;
use crate::caller::target::{self, Attempt, Criteria};
use crate::endpoint::answer::Answer;
use crate::endpoint::pool;
use crate::error::{Error, Kind, Result, Run};
use crate::node::Node;
use crate::retry;

/// Shortest time in which another attempt can succeed, and shortest delay of a hedged request.
/// Below it, the second attempt costs the endpoint more than it saves the caller.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Progress of one request over its attempts.
#[derive(Debug)]
struct Progress {
    criteria: Criteria,
    attempts: u32,
    /// Last error after which the request may have run.
    may_have_run: Option<Error>,
}

/// Sends an idempotent request and retries it while the deadline and the retry budget allow.
pub(super) async fn send_with_retries(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
) -> Result<Answer> {
    let mut progress =
        Progress { criteria: call.criteria(context), attempts: 0, may_have_run: None };
    loop {
        let attempt = match progress.choose(node, context) {
            Ok(attempt) => attempt,
            Err(error) => return Err(progress.final_error(error)),
        };
        let error = match progress.send_hedged(node, context, call, attempt).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if error.run() != Run::No {
            progress.may_have_run = Some(error.clone());
        }
        let retry = progress.retry_attempt(node, call, error.run(), MIN_ATTEMPT_TIME);
        match node.decide_retry(&call.service, retry) {
            retry::Decision::Retry(pause) => tokio::time::sleep(pause).await,
            retry::Decision::Stop(_) => return Err(progress.final_error(error)),
        }
        node.metrics.retries.with_label_values(&[&*call.service]).inc();
    }
}

impl Progress {
    /// Chooses an endpoint; those that have failed this request are used only if there is no other.
    fn choose(&mut self, node: &Arc<Node>, context: &Context) -> Result<Attempt> {
        match target::choose(node, &context.catalog, &self.criteria) {
            Err(_) if !self.criteria.exclude.is_empty() => {
                self.criteria.exclude.clear();
                target::choose(node, &context.catalog, &self.criteria)
            }
            other => other,
        }
    }

    /// Returns the error to report. A request that may have run in an earlier attempt is never
    /// reported as not run, even if its last attempt provably did not run.
    fn final_error(&mut self, error: Error) -> Error {
        if error.run() == Run::No { self.may_have_run.take().unwrap_or(error) } else { error }
    }

    fn retry_attempt(
        &self,
        node: &Node,
        call: &Call,
        run: Run,
        expected: Duration,
    ) -> retry::Attempt {
        let deadline = node.since_start(call.deadline.into_std());
        retry::Attempt { run, idempotent: true, deadline, expected, number: self.attempts }
    }

    /// Sends the request, and sends it to a second endpoint if the response takes longer than
    /// nearly all responses do and the retry budget allows it. Returns the first complete response.
    async fn send_hedged(
        &mut self,
        node: &Arc<Node>,
        context: &Context,
        call: &Call,
        attempt: Attempt,
    ) -> Result<Answer> {
        let started = Instant::now();
        self.attempts += 1;
        self.exclude_endpoint(&attempt);
        // A retry must not use another idle connection that may have gone silent.
        let probe_after = if self.attempts > 1 { Duration::ZERO } else { pool::PROBE_AFTER };
        let first = send_checked(node, context, call, attempt, probe_after);
        tokio::pin!(first);
        let Some(hedge_delay) = node.directory.hedge_after(&call.service, &node.retry_policy)
        else {
            let result = first.await;
            return record_latency(node, call, started, result);
        };
        let hedge_at = started + hedge_delay.max(MIN_ATTEMPT_TIME);
        if let Ok(result) = tokio::time::timeout_at(hedge_at, &mut first).await {
            return record_latency(node, call, started, result);
        }
        let Some(attempt) = self.hedge(node, context, call, hedge_delay) else {
            let result = first.await;
            return record_latency(node, call, started, result);
        };
        let second = send_checked(node, context, call, attempt, Duration::ZERO);
        tokio::pin!(second);
        let result = tokio::select! {
            result = &mut first => match result {
                Err(error) => second.await.map_err(|other| prefer_possibly_run(error, other)),
                answer => answer,
            },
            result = &mut second => match result {
                Err(error) => first.await.map_err(|other| prefer_possibly_run(error, other)),
                answer => answer,
            },
        };
        record_latency(node, call, started, result)
    }

    /// Chooses another endpoint for a hedged request and takes the request from the retry budget.
    fn hedge(
        &mut self,
        node: &Arc<Node>,
        context: &Context,
        call: &Call,
        hedge_delay: Duration,
    ) -> Option<Attempt> {
        let attempt = target::choose(node, &context.catalog, &self.criteria).ok()?;
        // The budget is checked last, so that nothing is taken from it when no endpoint is
        // available.
        let retry = self.retry_attempt(node, call, Run::Unknown, hedge_delay.max(MIN_ATTEMPT_TIME));
        match node.decide_retry(&call.service, retry) {
            retry::Decision::Retry(_) => {
                self.attempts += 1;
                self.exclude_endpoint(&attempt);
                node.metrics.retries.with_label_values(&[&*call.service]).inc();
                Some(attempt)
            }
            retry::Decision::Stop(_) => None,
        }
    }

    /// Excludes this endpoint from further attempts and, if there is a fallback version, avoids its
    /// version.
    fn exclude_endpoint(&mut self, attempt: &Attempt) {
        self.criteria.exclude.push(attempt.vm.clone());
        if attempt.fallback.is_some() {
            self.criteria.avoid = Some(attempt.version.clone());
        }
    }
}

/// Sends the request once and treats a response with a 5xx status as a failure.
async fn send_checked(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    attempt: Attempt,
    probe_after: Duration,
) -> Result<Answer> {
    match send(node, context, call, attempt, probe_after).await {
        Ok(answer) if answer.status.is_server_error() => {
            let detail = format!("the endpoint answered {}", answer.status);
            Err(Error::new(Kind::EndpointFailed, detail))
        }
        Ok(answer) => Ok(answer),
        Err(fault) => Err(fault_error(&fault)),
    }
}

/// Returns whichever of two errors says that the request may have run, if one of them does.
fn prefer_possibly_run(first: Error, other: Error) -> Error {
    if other.run() == Run::No { first } else { other }
}

/// Records the latency of a success; the hedge delay is derived from these latencies. A hedged
/// request counts with its whole duration.
fn record_latency(
    node: &Node,
    call: &Call,
    started: Instant,
    result: Result<Answer>,
) -> Result<Answer> {
    if result.is_ok() {
        node.directory.record_latency(&call.service, started.elapsed());
    }
    result
}
