//! Watches the operators' declarations and the list of endpoints in the platform's store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::clock;
use crate::gateway::node::Node;
use crate::gateway::notice::Notice;
use crate::gateway::platform::{Change, Declaration, LongPoll};
use crate::platform::Failure;

/// Longest wait of a long poll for declarations.
const MAX_DECLARATION_WAIT: Duration = Duration::from_millis(1_000);
/// Number of waits of a long poll that fit into the maximum age of API keys. A response confirms the keys
/// as of the time its call was sent, so the keys are two waits old when the next response is late.
const WAITS_PER_KEY_AGE: u32 = 4;
/// Wait of a long poll for endpoints. It is short so that a lost call is repeated well within the drain
/// bound.
const ENDPOINT_WAIT: Duration = Duration::from_millis(300);
/// Delay between reads of endpoints, as a fraction of the drain bound. The regular reports of endpoints
/// change the list all the time, so each call returns at once, but a leaving endpoint has to be known
/// well within the bound.
const READ_DELAY_FRACTION: f64 = 0.3;
/// Delay between reads of endpoints, as a fraction of the drain bound, while at least `MIN_GOSSIP_PEERS`
/// peers are alive, which read at other times and gossip what they read.
const GOSSIP_READ_DELAY_FRACTION: f64 = 0.5;
const MIN_GOSSIP_PEERS: usize = 3;
/// First and longest delay after a failed call; the delay doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Watches the declarations until the process ends.
pub async fn watch_declarations(node: Rc<Node>) {
    let mut after = None;
    let mut is_connected = true;
    let mut retry_delay = MIN_RETRY_DELAY;
    let wait = MAX_DECLARATION_WAIT.min(node.settings.bounds.max_key_age() / WAITS_PER_KEY_AGE);
    loop {
        let sent = clock::now();
        let poll = LongPoll { after, wait };
        match (node.platform.declarations)(poll).await {
            Ok(batch) => {
                log_connection(&mut is_connected, true, "declarations", "");
                retry_delay = MIN_RETRY_DELAY;
                node.declarations_read_at.set(Some(sent));
                after = Some(batch.version);
                for declaration in batch.changes {
                    apply_declaration(&node, declaration);
                }
            }
            Err(failure) => {
                log_connection(&mut is_connected, false, "declarations", &failure.to_string());
                if is_history_gone(&failure) {
                    after = None;
                } else {
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }
}

/// Reason of a failure after which the caller has to read the whole table again.
pub const HISTORY_GONE: &str = "the store no longer has the changes since this version";

fn is_history_gone(failure: &Failure) -> bool {
    matches!(failure, Failure::NotRun(reason) if reason == HISTORY_GONE)
}

fn log_connection(was_connected: &mut bool, is_connected: bool, target: &str, reason: &str) {
    if *was_connected != is_connected {
        *was_connected = is_connected;
        let event = if is_connected { "store_regained" } else { "store_lost" };
        log::warn!("follow: event={event} reads={target} reason=\"{reason}\"");
    }
}

fn apply_declaration(node: &Rc<Node>, declaration: Declaration) {
    match declaration {
        Declaration::Catalog(catalog) => {
            let current = node.catalog().map(|catalog| catalog.version);
            if current.is_some_and(|current| catalog.version <= current) {
                return;
            }
            let version = catalog.version;
            node.quotas.borrow_mut().configure(&catalog.tenants, clock::now());
            *node.catalog.borrow_mut() = Some(Arc::from(catalog));
            node.wake_all();
            log::info!("follow: event=catalog version={version} before={current:?}");
        }
        Declaration::Rollout { service, version, time_limit, revision } => {
            log::info!(
                "follow: event=rollout service={service} to={version} within={time_limit:?} \
                 revision={revision}"
            );
            let now = clock::now();
            node.shifts.borrow_mut().start(service, version, time_limit, revision, now);
        }
    }
}

/// Watches the list of endpoints until the process ends.
pub async fn watch_endpoints(node: Rc<Node>) {
    let mut after = None;
    let mut is_connected = true;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let sent = clock::now();
        let poll = LongPoll { after, wait: ENDPOINT_WAIT };
        match (node.platform.endpoints)(poll).await {
            Ok(batch) => {
                log_connection(&mut is_connected, true, "endpoints", "");
                retry_delay = MIN_RETRY_DELAY;
                after = Some(batch.version);
                let is_complete = batch.is_complete;
                let changes = node.notices.borrow_mut().apply_batch(batch);
                publish_changes(&node, &changes);
                apply_changes(&node, changes, is_complete);
                node.endpoints_read_at.set(Some(sent));
                tokio::time::sleep(read_delay(&node)).await;
            }
            Err(failure) => {
                log_connection(&mut is_connected, false, "endpoints", &failure.to_string());
                if is_history_gone(&failure) {
                    after = None;
                    continue;
                }
                node.roster.borrow_mut().record_store_outage(clock::now());
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

fn read_delay(node: &Node) -> Duration {
    let peers = node.peers.borrow().live_count(clock::now()) - 1;
    let fraction =
        if peers >= MIN_GOSSIP_PEERS { GOSSIP_READ_DELAY_FRACTION } else { READ_DELAY_FRACTION };
    node.settings.bounds.drain.mul_f64(fraction)
}

/// Queues changes for the peers, except the regular reports of endpoints that change nothing.
fn publish_changes(node: &Node, changes: &[Change]) {
    let roster = node.roster.borrow();
    let is_relevant = |change: &Change| match (change, roster.get(change.id())) {
        (Change::Updated(endpoint), Some(known)) => known.endpoint != *endpoint,
        (Change::Updated(_), None) => true,
        (Change::Removed(_), known) => known.is_some(),
    };
    node.notices.borrow_mut().publish(changes, is_relevant, clock::now());
}

/// Applies endpoint changes that a peer has read, unless this node knows them.
pub fn apply_peer_changes(node: &Rc<Node>, peer: &str, notices: Vec<Notice>) {
    let mut own = node.notices.borrow_mut();
    let changes: Vec<_> =
        notices.into_iter().filter_map(|notice| own.apply_notice(notice)).collect();
    drop(own);
    if !changes.is_empty() {
        log::debug!("follow: event=endpoints_told peer={peer} changes={}", changes.len());
        apply_changes(node, changes, false);
    }
}

fn apply_changes(node: &Rc<Node>, changes: Vec<Change>, is_complete: bool) {
    let now = clock::now();
    let drain = node.settings.bounds.drain;
    let mut roster = node.roster.borrow_mut();
    roster.expire(now);
    let mut has_departures = is_complete;
    if is_complete {
        roster.replace(changes, drain, now);
    } else {
        for change in changes {
            match &change {
                Change::Updated(endpoint) => prepare_update(&roster, endpoint, node),
                Change::Removed(id) if roster.get(id).is_some() => {
                    log::info!("follow: event=endpoint_gone endpoint={id}");
                }
                Change::Removed(_) => {}
            }
            if let Some(id) = roster.apply(change, drain, now) {
                has_departures = true;
                log::debug!("follow: event=endpoint_leaving endpoint={id}");
            }
        }
    }
    node.balancer.borrow_mut().retain(|id| roster.get(id).is_some());
    node.pools.retain(|id| roster.get(id).is_some());
    drop(roster);
    if has_departures {
        node.departures.send_modify(|count| *count += 1);
    }
    node.wake_all();
}

/// Logs a new endpoint or a change of its draining state, and resets the cache estimate of a restarted
/// one, before the update is applied.
fn prepare_update(
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
        Some(before) if before.started_ms != endpoint.started_ms => {
            node.balancer.borrow_mut().clear_cache(&endpoint.id);
        }
        Some(_) => {}
    }
}
