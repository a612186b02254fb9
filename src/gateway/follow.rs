//! Watches the operators' declarations and the list of endpoints in the platform's store.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::gateway::catalog::{Catalog, Problem};
use crate::gateway::clock;
use crate::gateway::cold;
use crate::gateway::node::Node;
use crate::gateway::notice::{self, Notice};
use crate::gateway::peers::Receipt;
use crate::gateway::platform::{Change, Declaration, LongPoll};
use crate::gateway::unreadable::Kind;
use crate::gateway::version::Version;
use crate::platform::Failure;

/// Longest wait of a long poll for declarations.
const MAX_DECLARATION_WAIT: Duration = Duration::from_millis(500);
/// Number of waits of a long poll that fit into the maximum age of API keys. A response confirms the keys
/// as of the time its call was sent, so the keys are two waits old when the next response is late.
const WAITS_PER_KEY_AGE: u32 = 4;
/// Age of the declarations from which a node that relies on a peer's reads reads them itself: more than
/// two waits of the peer.
const MAX_PEER_READ_AGE: Duration = Duration::from_millis(1_300);
/// Age of a node's last read from which it reads the whole table, since the store may no longer have the
/// changes since then.
const MAX_HISTORY_AGE: Duration = Duration::from_secs(15);
/// Interval at which a node checks whether it has to read the store itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between reads of endpoints, as a fraction of the drain bound. The regular reports of endpoints
/// change the list all the time, so each call returns at once, but a leaving endpoint has to be known
/// well within the bound.
const READ_DELAY_FRACTION: f64 = 0.3;
/// Age of the endpoints from which a node that relies on a peer's reads reads them itself, as a fraction
/// of the drain bound.
const MAX_PEER_READ_FRACTION: f64 = 0.5;
/// Age of its own reads up to which a node reports them to its peers.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(4);
/// Key under which the row with the catalog is listed while it can't be read.
const CATALOG_ROW: &str = "newest";
/// First and longest delay after a failed call; the delay doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Newest declarations that this node knows and has heard of.
#[derive(Debug, Default)]
pub struct Declared {
    /// Version of the newest change that this node has read.
    version: Cell<Version>,
    /// Version of the newest change that a peer has read.
    told: Cell<Version>,
    /// Time at which this node's own last successful read was sent.
    own_read_at: Cell<Option<Duration>>,
    /// Notified when a peer has read a newer version.
    changed: Notify,
}

/// Ages of the reads that a node made itself, as it reports them to its peers.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reading {
    /// Version of the newest change of the declarations, and the age of the read that found none after it.
    declared: Version,
    declarations_age_ms: u32,
    /// Age of the last read of the endpoints, and age from which on the notices hold all changes.
    endpoints_age_ms: u32,
    notices_age_ms: u32,
    /// Era of the store in which the endpoints were read.
    endpoints_era: u64,
    /// Time since the last failed read, if any.
    outage_age_ms: Option<u32>,
}

impl Reading {
    /// Returns the time of the last failed read.
    pub fn outage(&self, now: Duration) -> Option<Duration> {
        let age = Duration::from_millis(u64::from(self.outage_age_ms?));
        Some(now.saturating_sub(age))
    }
}

/// Returns what this node reports about its own reads; `None` unless both are recent.
pub fn own_reading(node: &Node, now: Duration) -> Option<Reading> {
    let reading = recent_reading(node, now);
    if reading.is_none() {
        node.notices.borrow_mut().report(false, now);
    }
    reading
}

fn recent_reading(node: &Node, now: Duration) -> Option<Reading> {
    let age = |time: Option<Duration>| time.map(|time| now.saturating_sub(time));
    let is_recent = |age: &Duration| *age < MAX_REPORTED_AGE;
    let declarations = age(node.declared.own_read_at.get()).filter(is_recent)?;
    let endpoints = age(node.own_endpoints_read_at.get()).filter(is_recent)?;
    let outage = age(node.roster.borrow().last_outage()).filter(is_recent);
    let covered_since = node.notices.borrow_mut().report(true, now);
    // The changes before the first read are not in the notices.
    let covered_since = node.first_endpoints_read_at.get().max(Some(covered_since));
    Some(Reading {
        declared: node.declared.version.get(),
        declarations_age_ms: declarations.as_millis() as u32,
        endpoints_age_ms: endpoints.as_millis() as u32,
        notices_age_ms: age(covered_since).unwrap_or_default().as_millis() as u32,
        endpoints_era: node.notices.borrow().era(),
        outage_age_ms: outage.map(|age| age.as_millis() as u32),
    })
}

/// Applies what a peer reports about its reads: this node's knowledge is as recent as the peer's read if
/// it has the same declarations and has received all notices since its own last read.
///
/// A report whose delay is unknown confirms nothing: it may have waited while this node was suspended.
pub fn apply_reading(node: &Node, reading: &Reading, receipt: Receipt, now: Duration) {
    let known = &node.declared;
    if reading.declared > known.told.get() {
        known.told.set(reading.declared);
        known.changed.notify_one();
    }
    let Some(delay) = receipt.delay else { return };
    let time_of =
        |age_ms: u32| now.saturating_sub(delay + Duration::from_millis(u64::from(age_ms)));
    let declarations = Some(time_of(reading.declarations_age_ms));
    if reading.declared == known.version.get() && node.declarations_read_at.get().is_some() {
        confirm_declarations(node, declarations, now);
    }
    // What the peer read in another era says nothing about this node's list.
    if reading.endpoints_era != node.notices.borrow().era() {
        return;
    }
    let covered_since = receipt.contiguous_since.max(time_of(reading.notices_age_ms));
    let is_complete = |known: Duration| known >= covered_since;
    if node.endpoints_read_at.get().is_some_and(is_complete) {
        let endpoints = Some(time_of(reading.endpoints_age_ms));
        node.endpoints_read_at.set(node.endpoints_read_at.get().max(endpoints));
    }
}

/// Records the time as of which the declarations are known, unless a live peer has a newer catalog: a store
/// that was restored from a copy shows an older one until it is written again. Returns whether they are known.
fn confirm_declarations(node: &Node, at: Option<Duration>, now: Duration) -> bool {
    let version = node.catalog().map_or(0, |catalog| catalog.version);
    let is_newest = node.has_heard_catalogs(now) && version >= node.told_catalog(now);
    if is_newest {
        node.declarations_read_at.set(node.declarations_read_at.get().max(at));
    }
    is_newest
}

/// Records the era of a read. What the store has lost is written again within some seconds: until then, endpoints
/// that are missing are doubted only, and this node writes its own rows again.
fn observe_era(node: &Node, era: u64) {
    let before = node.store_era.get();
    if before.is_some_and(|before| era <= before) {
        return;
    }
    node.store_era.set(Some(era));
    if let Some(before) = before {
        log::warn!("follow: event=store_restored era={era} before={before}");
        node.metrics.record_restore();
        node.roster.borrow_mut().record_store_outage(clock::now());
    }
}

/// Watches the declarations until the process ends: by long polls while this node reads them for its
/// direct peers, otherwise by single reads when a peer has read a newer version or none reports.
pub async fn watch_declarations(node: Rc<Node>) {
    let mut after = None;
    let mut is_connected = true;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut is_confirmed = true;
    let mut is_partial = false;
    let max_wait = MAX_DECLARATION_WAIT.min(node.settings.bounds.max_key_age() / WAITS_PER_KEY_AGE);
    loop {
        let sent = clock::now();
        let is_reader = node.peers.borrow().is_reader(sent);
        let is_due = is_reader || is_partial || needs_declarations(&node, sent);
        if !is_due && after.is_some() {
            // Both a notification and the timeout lead to a new decision.
            let _ = tokio::time::timeout(CHECK_INTERVAL, node.declared.changed.notified()).await;
            continue;
        }
        let read_at = node.declared.own_read_at.get();
        if read_at.is_some_and(|read_at| sent.saturating_sub(read_at) > MAX_HISTORY_AGE) {
            after = None;
        }
        let is_waiting = is_reader && is_confirmed && !is_partial;
        let wait = if is_waiting { max_wait } else { Duration::ZERO };
        let poll = LongPoll { after, wait };
        match (node.platform.declarations)(poll).await {
            Ok(batch) => {
                log_connection(&mut is_connected, true, "declarations", "");
                node.peers.borrow_mut().set_reaches_store(true);
                retry_delay = MIN_RETRY_DELAY;
                observe_era(&node, batch.version.era);
                let has_advanced = after.replace(batch.version) != Some(batch.version);
                is_partial = batch.is_partial;
                if batch.is_complete {
                    end_missing_evacuations(&node, &batch.changes);
                }
                for declaration in batch.changes {
                    apply_declaration(&node, declaration);
                }
                node.declared.record(batch.newest_change, batch.version);
                if is_partial {
                    await_rest(&node, "declarations", has_advanced).await;
                    continue;
                }
                node.declared.own_read_at.set(Some(sent));
                is_confirmed = confirm_declarations(&node, Some(sent), clock::now());
                if !is_confirmed {
                    // Until an operator has written another version, there is nothing to confirm.
                    let is_unreadable = node.is_catalog_unreadable.get();
                    let delay = if is_unreadable { MAX_DECLARATION_WAIT } else { CHECK_INTERVAL };
                    tokio::time::sleep(delay).await;
                }
            }
            Err(failure) => {
                log_connection(&mut is_connected, false, "declarations", &failure.to_string());
                if is_history_gone(&failure) {
                    after = None;
                } else {
                    node.peers.borrow_mut().set_reaches_store(false);
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }
}

impl Declared {
    /// Records a read up to `read_version` whose newest change has the version `newest_change`.
    fn record(&self, newest_change: Version, read_version: Version) {
        let mut version = self.version.get().max(newest_change);
        // A whole table doesn't show removed rows, so their versions are only known from peers.
        if self.told.get() <= read_version {
            version = version.max(self.told.get());
        }
        self.version.set(version);
    }
}

/// Counts an answer that may hold only the first of the changes, and delays the next read if the platform doesn't
/// advance. Such an answer doesn't show all changes up to the time at which its call was sent, so it confirms nothing.
async fn await_rest(node: &Node, reads: &str, has_advanced: bool) {
    node.metrics.record_partial_answer(reads);
    if !has_advanced {
        log::warn!("follow: event=feed_stuck reads={reads}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns whether a node that relies on a peer has to read the declarations itself.
fn needs_declarations(node: &Node, now: Duration) -> bool {
    node.declared.told.get() > node.declared.version.get()
        || node.key_age(now).is_none_or(|age| age > MAX_PEER_READ_AGE)
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
            node.is_catalog_unreadable.set(false);
            node.unreadable.borrow_mut().clear(Kind::Catalog, CATALOG_ROW);
            apply_catalog(node, catalog);
        }
        Declaration::UnreadableCatalog { reason } => {
            node.is_catalog_unreadable.set(true);
            node.record_unreadable(Kind::Catalog, CATALOG_ROW, &reason);
        }
        Declaration::Rollout { service, version, time_limit, revision } => {
            log::info!(
                "follow: event=rollout service={service} to={version} within={time_limit:?} \
                 revision={revision}"
            );
            node.unreadable.borrow_mut().clear(Kind::Rollout, &service);
            let now = clock::now();
            let mut shifts = node.shifts.borrow_mut();
            if shifts.start(service.clone(), version, time_limit, revision, now) {
                shifts.await_record(&service);
                node.rollout_declared.notify_one();
            }
        }
        Declaration::UnreadableRollout { service, version, revision, reason } => {
            node.record_unreadable(Kind::Rollout, &service, &reason);
            let mut shifts = node.shifts.borrow_mut();
            if shifts.start_unreadable(service.clone(), version, revision, clock::now()) {
                shifts.await_record(&service);
                node.rollout_declared.notify_one();
            }
        }
        Declaration::RolloutRemoved { service } => {
            node.unreadable.borrow_mut().clear(Kind::Rollout, &service);
        }
        Declaration::Evacuation { domain } => begin_evacuation(node, domain),
        Declaration::EvacuationEnd { domain } => {
            let is_ended = node.roster.borrow_mut().evacuations.end(&domain);
            if is_ended {
                resume_domain(node, &domain, "order_removed");
            }
        }
    }
}

/// Puts a catalog into force unless this node has it or a newer one. A version of which parts can't be read may be
/// corrected under the same number.
fn apply_catalog(node: &Rc<Node>, catalog: Box<Catalog>) {
    let current = node.catalog();
    let is_known = current.as_ref().is_some_and(|current| {
        catalog.version < current.version
            || catalog.version == current.version && catalog.unreadable == current.unreadable
    });
    if is_known {
        return;
    }
    let (version, before) = (catalog.version, current.map(|current| current.version));
    let rules = catalog.services.values();
    let rules = rules.filter_map(|it| Some((it.name.clone(), it.cold?))).collect();
    let excess = node.settings.bounds.cold;
    node.roster.borrow_mut().stated.cold.configure(rules, excess, clock::now());
    let mut quotas = node.quotas.borrow_mut();
    match catalog.unreadable.tenants {
        true => quotas.configure_partly(&catalog.tenants, clock::now()),
        false => quotas.configure(&catalog.tenants, clock::now()),
    }
    drop(quotas);
    for Problem { entry, reason } in &catalog.unreadable.problems {
        log::error!(
            "follow: event=unreadable_entry version={version} entry=\"{entry}\" reason=\"{reason}\""
        );
    }
    let reason = catalog.blockade();
    if let Some(reason) = reason {
        log::error!("follow: event=nothing_served version={version} reason=\"{reason}\"");
    }
    let first_at = node.first_catalog_at.get().or(Some(clock::now()));
    node.first_catalog_at.set(first_at);
    *node.catalog.borrow_mut() = Some(Arc::from(catalog));
    node.wake_all();
    log::info!("follow: event=catalog version={version} before={before:?}");
}

/// Ends the evacuations that a complete read of the declarations doesn't hold.
fn end_missing_evacuations(node: &Rc<Node>, declarations: &[Declaration]) {
    let ordered = declarations.iter().filter_map(|declaration| match declaration {
        Declaration::Evacuation { domain } => Some(domain.clone()),
        _ => None,
    });
    let ordered: Vec<_> = ordered.collect();
    let ended = node.roster.borrow_mut().evacuations.retain_ordered(&ordered);
    for domain in ended {
        resume_domain(node, &domain, "complete_read");
    }
}

fn begin_evacuation(node: &Rc<Node>, domain: Arc<str>) {
    let mut roster = node.roster.borrow_mut();
    if !roster.evacuations.begin(domain.clone()) {
        return;
    }
    let listed = roster.listed_domains();
    let concerns = roster.evacuations.concerns(&domain, &listed);
    drop(roster);
    log::info!("evacuation: event=evacuation_begun domain={domain}");
    // Before the first list of endpoints, nothing is known of the domains.
    if node.endpoints_read_at.get().is_some() {
        for concern in concerns {
            log::warn!(
                "evacuation: event=evacuation_doubtful domain={domain} reason={}",
                concern.name()
            );
        }
    }
    // Queued requests that waited for the endpoints there are placed elsewhere or refused.
    node.wake_all();
}

fn resume_domain(node: &Rc<Node>, domain: &str, source: &str) {
    log::info!("evacuation: event=evacuation_ended domain={domain} source={source}");
    for id in node.roster.borrow_mut().resume_domain(domain, clock::now()) {
        cold::log_cold(&id, "evacuation");
    }
    node.wake_all();
}

/// Watches the list of endpoints until the process ends.
pub async fn watch_endpoints(node: Rc<Node>) {
    let mut after = None;
    let mut is_connected = true;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut is_partial = false;
    let drain = node.settings.bounds.drain;
    loop {
        let sent = clock::now();
        let age = node.endpoints_read_at.get().map(|read_at| sent.saturating_sub(read_at));
        let is_old = age.is_none_or(|age| age >= drain.mul_f64(MAX_PEER_READ_FRACTION));
        let is_due = node.peers.borrow().is_reader(sent) || is_partial || is_old;
        if !is_due {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let own_read_at = node.own_endpoints_read_at.get();
        if own_read_at.is_some_and(|read_at| sent.saturating_sub(read_at) > MAX_HISTORY_AGE) {
            after = None;
        }
        let poll = LongPoll { after, wait: Duration::ZERO };
        match (node.platform.endpoints)(poll).await {
            Ok(batch) => {
                log_connection(&mut is_connected, true, "endpoints", "");
                node.peers.borrow_mut().set_reaches_store(true);
                retry_delay = MIN_RETRY_DELAY;
                observe_era(&node, batch.version.era);
                let has_advanced = after.replace(batch.version) != Some(batch.version);
                is_partial = batch.is_partial;
                let is_complete = batch.is_complete;
                let mut changes = node.notices.borrow_mut().apply_batch(batch);
                if is_complete {
                    node.roster.borrow().drop_gone(&mut changes);
                    add_removals(&node, &mut changes);
                }
                keep_leaving(&node, &mut changes);
                record_readability(&node, &mut changes, is_complete);
                // What a node reads at its start is known to its peers.
                if own_read_at.is_some() {
                    publish_changes(&node, &changes);
                }
                let outage = node.roster.borrow().last_outage();
                apply_changes(&node, changes, is_complete, outage);
                if is_partial {
                    await_rest(&node, "endpoints", has_advanced).await;
                    continue;
                }
                node.endpoints_read_at.set(node.endpoints_read_at.get().max(Some(sent)));
                node.own_endpoints_read_at.set(Some(sent));
                if own_read_at.is_none() {
                    node.first_endpoints_read_at.set(Some(sent));
                }
                // The next read may be due sooner if this node's role changes.
                tokio::time::sleep(drain.mul_f64(READ_DELAY_FRACTION)).await;
            }
            Err(failure) => {
                log_connection(&mut is_connected, false, "endpoints", &failure.to_string());
                if is_history_gone(&failure) {
                    after = None;
                    continue;
                }
                node.peers.borrow_mut().set_reaches_store(false);
                node.roster.borrow_mut().record_store_outage(clock::now());
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Adds the removal of each known endpoint that is missing in a complete list, so that peers are told.
fn add_removals(node: &Node, changes: &mut Vec<Change>) {
    let listed: HashSet<Arc<str>> = changes.iter().map(|change| change.id().clone()).collect();
    let roster = node.roster.borrow();
    let known = roster.iter().map(|entry| &entry.endpoint.id);
    changes.extend(known.filter(|id| !listed.contains(*id)).cloned().map(Change::Removed));
}

/// Corrects the list by what is known of leaving endpoints, so that the peers are told it too.
fn keep_leaving(node: &Node, changes: &mut [Change]) {
    let roster = node.roster.borrow();
    for change in changes {
        if let Change::Updated(endpoint) = change {
            roster.keep_leaving(endpoint);
        }
    }
}

/// Records which rows can be read, and leaves out those that still can't: they change nothing that is known.
fn record_readability(node: &Node, changes: &mut Vec<Change>, is_complete: bool) {
    if is_complete {
        let listed: HashSet<&str> = changes.iter().map(|change| &**change.id()).collect();
        node.unreadable.borrow_mut().retain(Kind::Endpoint, |id| listed.contains(id));
    }
    let roster = node.roster.borrow();
    changes.retain(|change| match change {
        Change::Updated(_) | Change::Removed(_) => {
            node.unreadable.borrow_mut().clear(Kind::Endpoint, change.id());
            true
        }
        Change::Unreadable { id, reason } => {
            let is_news = node.record_unreadable(Kind::Endpoint, id, reason);
            is_news || roster.get(id).is_some()
        }
    });
}

/// Queues changes for the peers, except the regular reports of endpoints that change nothing.
fn publish_changes(node: &Node, changes: &[Change]) {
    let roster = node.roster.borrow();
    let is_relevant = |change: &Change| notice::is_relevant(change, roster.get(change.id()));
    node.notices.borrow_mut().publish(changes, is_relevant, clock::now());
}

/// Applies endpoint changes that a peer has read, unless this node knows them.
///
/// `outage` is the time of that peer's last failed read of the store.
pub fn apply_peer_changes(
    node: &Rc<Node>,
    peer: &str,
    notices: Vec<Notice>,
    outage: Option<Duration>,
) {
    let now = clock::now();
    let mut own = node.notices.borrow_mut();
    let changes: Vec<_> =
        notices.into_iter().filter_map(|notice| own.apply_notice(notice, now)).collect();
    drop(own);
    if !changes.is_empty() {
        log::debug!("follow: event=endpoints_told peer={peer} changes={}", changes.len());
        apply_changes(node, changes, false, outage);
    }
}

fn apply_changes(
    node: &Rc<Node>,
    changes: Vec<Change>,
    is_complete: bool,
    outage: Option<Duration>,
) {
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
                Change::Removed(id) | Change::Unreadable { id, .. } if roster.get(id).is_some() => {
                    log::info!("follow: event=endpoint_gone endpoint={id}");
                }
                Change::Removed(_) | Change::Unreadable { .. } => {}
            }
            if let Some(id) = roster.apply_read(change, outage, drain, now) {
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
        Some(before) if before.started_ms != endpoint.started_ms => {
            node.balancer.borrow_mut().clear_cache(&endpoint.id);
        }
        Some(before) if endpoint.draining && !before.draining => log::info!(
            "follow: event=endpoint_state endpoint={} draining=true reclaimable={}",
            endpoint.id,
            endpoint.reclaimable
        ),
        Some(_) => {}
    }
}
