//! Applies what endpoints state about themselves in their responses.

mod memory;

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::clock;
use crate::gateway::cold;
use crate::gateway::node::Node;
use crate::gateway::pause;
use crate::gateway::platform::{Endpoint, Statement};
use crate::gateway::rate_limit::{Outcome, Report};

pub use memory::{ABSENT_TIME, MAX_ABSENT, Memory};

/// Applies the statement of a response whose head has just arrived.
pub fn apply(node: &Node, endpoint: &Endpoint, statement: Statement) {
    if node.roster.borrow().has_later_start(endpoint) {
        log_ignored(endpoint, "it has started again since");
        return;
    }
    if statement.is_leaving {
        record_leaving(node, endpoint);
    }
    if let Some(remaining) = statement.cold_for {
        let cold = &mut node.roster.borrow_mut().stated.cold;
        if cold.record_stated(endpoint, remaining, clock::now()) {
            cold::log_cold(&endpoint.id, "response");
        }
    }
    let outcome =
        node.roster.borrow_mut().stated.record_pause(endpoint, statement.pause, clock::now());
    match outcome {
        pause::Outcome::Unchanged => {}
        pause::Outcome::Began(length) => log::info!(
            "statement: event=pause_asked endpoint={} pause_ms={}",
            endpoint.id,
            length.as_millis()
        ),
        pause::Outcome::Unreadable => {
            log::warn!("statement: event=unreadable_pause endpoint={}", endpoint.id);
        }
    }
    let outcome =
        node.roster.borrow_mut().stated.record_limit(endpoint, statement.rate_limit, clock::now());
    match outcome {
        Outcome::Unchanged => {}
        Outcome::Changed(before, limit) => {
            log_limit(&endpoint.id, before, limit, "response");
        }
        Outcome::Unreadable => {
            log::warn!("statement: event=unreadable_limit endpoint={}", endpoint.id);
        }
    }
}

/// Applies the suspicions of cold endpoints that a peer reports; `delay` is the time that its datagram took.
pub fn apply_cold(
    node: &Node,
    peer: &str,
    reports: &[cold::Report],
    is_other_domain: bool,
    delay: Duration,
) {
    let mut roster = node.roster.borrow_mut();
    for id in roster.merge_cold(reports, is_other_domain, delay, clock::now()) {
        cold::log_cold(&id, peer);
    }
}

/// Logs that a response tells nothing about the endpoint to which its request was sent.
pub fn log_ignored(endpoint: &Endpoint, reason: &str) {
    log::info!("statement: event=ignored endpoint={} reason=\"{reason}\"", endpoint.id);
}

/// Takes the word of an endpoint that it leaves like that of the platform's list. Peers learn it from its
/// responses or from the list.
fn record_leaving(node: &Node, endpoint: &Endpoint) {
    let drain = node.settings.bounds.drain;
    let mut roster = node.roster.borrow_mut();
    if roster.record_leaving(&endpoint.id, endpoint.started_ms, drain, clock::now()) {
        drop(roster);
        log::info!("statement: event=endpoint_leaving endpoint={} source=response", endpoint.id);
        node.departures.send_modify(|count| *count += 1);
        node.wake_all();
    }
}

/// Applies the limits that a peer reports; `delay` is the time that its datagram took.
pub fn apply_reports(
    node: &Node,
    peer: &str,
    reports: &[Report],
    is_other_domain: bool,
    delay: Duration,
) {
    if reports.is_empty() {
        return;
    }
    let mut roster = node.roster.borrow_mut();
    let changed = roster.merge_limits(reports, is_other_domain, delay, clock::now());
    for (id, before, limit) in &changed {
        log_limit(id, *before, *limit, peer);
    }
}

fn log_limit(endpoint: &Arc<str>, before: Option<f64>, limit: Option<f64>, source: &str) {
    let shown = |limit: Option<f64>| limit.map_or_else(|| "none".to_owned(), |it| it.to_string());
    log::info!(
        "statement: event=limit endpoint={endpoint} per_s={} before={} source={source}",
        shown(limit),
        shown(before)
    );
}
