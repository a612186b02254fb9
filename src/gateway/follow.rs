//! Follows the operators' declarations and the list of endpoints in the platform's store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::clock;
use crate::gateway::node::Node;
use crate::gateway::notice::Notice;
use crate::gateway::platform::{Change, Declaration, Follow};
use crate::platform::Failure;

/// Longest time for which the store may hold a call on declarations.
const DECLARATION_WAIT: Duration = Duration::from_millis(1_000);
/// Parts of the age that keys may reach for which the store may hold a call: an answer confirms the
/// keys as of the time before the call was sent, so they are two such parts old when it is late.
const WAITS_PER_KEY_AGE: u32 = 4;
/// Time for which the store may hold a call on endpoints. It is short, so that a call that is lost
/// is repeated well within the drain bound.
const ENDPOINT_WAIT: Duration = Duration::from_millis(300);
/// Pause between two reads of endpoints, as a part of the drain bound: their regular reports change
/// the list all the time, and a leaving endpoint has to be known well within the bound.
const PAUSE_PART: f64 = 0.3;
/// The same where at least `TELLERS` nodes are heard, which read at other times and tell of it.
const TOLD_PAUSE_PART: f64 = 0.5;
const TELLERS: usize = 3;
/// First and longest pause after a failed call; it doubles from one to the other.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Follows the declarations until the process ends.
pub async fn declarations(node: Rc<Node>) {
    let mut after = None;
    let mut connected = true;
    let mut pause = RETRY_PAUSE;
    let wait = DECLARATION_WAIT.min(node.settings.bounds.max_key_age() / WAITS_PER_KEY_AGE);
    loop {
        let sent = clock::now();
        let follow = Follow { after, wait };
        match (node.platform.declarations)(follow).await {
            Ok(batch) => {
                note_connection(&mut connected, true, "declarations", "");
                pause = RETRY_PAUSE;
                node.declarations_read_at.set(Some(sent));
                after = Some(batch.version);
                for declaration in batch.changes {
                    declare(&node, declaration);
                }
            }
            Err(failure) => {
                note_connection(&mut connected, false, "declarations", &failure.to_string());
                if is_history_gone(&failure) {
                    after = None;
                } else {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
                }
            }
        }
    }
}

/// Names the reason for which a follower has to read everything again.
pub const HISTORY_GONE: &str = "the history is gone";

fn is_history_gone(failure: &Failure) -> bool {
    matches!(failure, Failure::NotRun(reason) if reason == HISTORY_GONE)
}

fn note_connection(connected: &mut bool, now: bool, what: &str, reason: &str) {
    if *connected != now {
        *connected = now;
        let event = if now { "store_regained" } else { "store_lost" };
        log::warn!("follow: event={event} reads={what} reason=\"{reason}\"");
    }
}

fn declare(node: &Rc<Node>, declaration: Declaration) {
    match declaration {
        Declaration::Catalog(catalog) => {
            let known = node.catalog().map(|catalog| catalog.version);
            if known.is_some_and(|known| catalog.version <= known) {
                return;
            }
            let version = catalog.version;
            node.quotas.borrow_mut().configure(&catalog.tenants, clock::now());
            *node.catalog.borrow_mut() = Some(Arc::from(catalog));
            node.wake_all();
            log::info!("follow: event=catalog version={version} before={known:?}");
        }
        Declaration::Rollout { service, version, within, revision } => {
            log::info!(
                "follow: event=rollout service={service} to={version} within={within:?} \
                 revision={revision}"
            );
            let now = clock::now();
            node.shifts.borrow_mut().start(service, version, within, revision, now);
        }
    }
}

/// Follows the list of endpoints until the process ends.
pub async fn endpoints(node: Rc<Node>) {
    let mut after = None;
    let mut connected = true;
    let mut pause = RETRY_PAUSE;
    loop {
        let sent = clock::now();
        let follow = Follow { after, wait: ENDPOINT_WAIT };
        match (node.platform.endpoints)(follow).await {
            Ok(batch) => {
                note_connection(&mut connected, true, "endpoints", "");
                pause = RETRY_PAUSE;
                after = Some(batch.version);
                let complete = batch.complete;
                let changes = node.notices.borrow_mut().apply_batch(batch);
                publish(&node, &changes);
                apply(&node, changes, complete);
                node.endpoints_read_at.set(Some(sent));
                tokio::time::sleep(endpoint_pause(&node)).await;
            }
            Err(failure) => {
                note_connection(&mut connected, false, "endpoints", &failure.to_string());
                if is_history_gone(&failure) {
                    after = None;
                    continue;
                }
                node.roster.borrow_mut().record_store_outage(clock::now());
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
            }
        }
    }
}

fn endpoint_pause(node: &Node) -> Duration {
    let peers = node.peers.borrow().count(clock::now()) - 1;
    let part = if peers >= TELLERS { TOLD_PAUSE_PART } else { PAUSE_PART };
    node.settings.bounds.drain.mul_f64(part)
}

/// Tells the peers of changes that matter to them; regular reports change nothing.
fn publish(node: &Node, changes: &[Change]) {
    let roster = node.roster.borrow();
    let matters = |change: &Change| match (change, roster.get(change.id())) {
        (Change::Seen(endpoint), Some(known)) => known.endpoint != *endpoint,
        (Change::Seen(_), None) => true,
        (Change::Gone(_), known) => known.is_some(),
    };
    node.notices.borrow_mut().publish(changes, matters, clock::now());
}

/// Takes what a peer has read of endpoints.
pub fn hear(node: &Rc<Node>, peer: &str, notices: Vec<Notice>) {
    let mut known = node.notices.borrow_mut();
    let changes: Vec<_> =
        notices.into_iter().filter_map(|notice| known.apply_notice(notice)).collect();
    drop(known);
    if !changes.is_empty() {
        log::debug!("follow: event=endpoints_told peer={peer} changes={}", changes.len());
        apply(node, changes, false);
    }
}

fn apply(node: &Rc<Node>, changes: Vec<Change>, complete: bool) {
    let now = clock::now();
    let drain = node.settings.bounds.drain;
    let mut roster = node.roster.borrow_mut();
    roster.expire(now);
    let mut departs = complete;
    if complete {
        roster.replace(changes, drain, now);
    } else {
        for change in changes {
            match &change {
                Change::Seen(endpoint) => note_change(&roster, endpoint, node),
                Change::Gone(id) if roster.get(id).is_some() => {
                    log::info!("follow: event=endpoint_gone endpoint={id}");
                }
                Change::Gone(_) => {}
            }
            if let Some(id) = roster.apply(change, drain, now) {
                departs = true;
                log::debug!("follow: event=endpoint_leaving endpoint={id}");
            }
        }
    }
    node.balancer.borrow_mut().retain(|id| roster.get(id).is_some());
    node.links.retain(|id| roster.get(id).is_some());
    drop(roster);
    if departs {
        node.departures.send_modify(|count| *count += 1);
    }
    node.wake_all();
}

fn note_change(
    roster: &crate::gateway::roster::Roster,
    endpoint: &crate::gateway::platform::Endpoint,
    node: &Rc<Node>,
) {
    let before = roster.get(&endpoint.id).map(|entry| &entry.endpoint);
    match before {
        None => log::info!(
            "follow: event=endpoint_new endpoint={} service={} domain={} reclaimable={}",
            endpoint.id,
            endpoint.service,
            endpoint.domain,
            endpoint.reclaimable
        ),
        Some(before) if before.draining != endpoint.draining => log::info!(
            "follow: event=endpoint_state endpoint={} draining={} reclaimable={}",
            endpoint.id,
            endpoint.draining,
            endpoint.reclaimable
        ),
        Some(before) if before.born_ms != endpoint.born_ms => {
            node.balancer.borrow_mut().clear_cache(&endpoint.id);
        }
        Some(_) => {}
    }
}
