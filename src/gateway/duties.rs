//! Duties that one node at a time performs: usage reports, orders for endpoints, roll-out progress.
//!
//! A lease in the platform's store selects the node. The cloud interface may not check the fencing
//! number, so the holder checks the remaining lease time right before each call, on a clock that
//! includes suspensions. The counts of a usage window are stored before they are sent, so that a
//! later holder sends exactly the same counts again.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog::{Catalog, Route};
use crate::gateway::clock;
use crate::gateway::demand::Demand;
use crate::gateway::fleet;
use crate::gateway::node::Node;
use crate::gateway::platform::{Acceptance, Fence, Order, Phase, Usage};
use crate::gateway::recall;
use crate::gateway::rollout;
use crate::lease::{Action, Event, Grant, State};
use crate::platform::{Outcome, Transaction};

const LEASE_KEY: &str = "lease/duties";
/// Added to the minimum time between the calls of two holders to get the lease term.
const LEASE_TERM_MARGIN: Duration = Duration::from_millis(1_500);
/// Lease time that must remain when a call is sent; a call takes at most one second.
const CALL_MARGIN: Duration = Duration::from_millis(1_100);
/// Interval at which a node checks whether a peer still reports that it holds the lease.
const HOLDER_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Interval at which traffic shares are updated and reports are sent.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Time after the end of a usage window by which the counts of all nodes have arrived: they are sent with
/// each fifth heartbeat and each fifth digest.
const REPORT_DELAY_MS: u64 = 2_600;
/// Age beyond which a usage window is no longer reported.
const MAX_REPORT_AGE_MS: u64 = 15_000;
/// Key prefix of the rows that record usage reports.
const USAGE_KEY_PREFIX: &str = "usage/";
/// Number of usage windows whose rows are kept in the store.
const KEPT_WINDOWS: u64 = 12;
/// Longest interval between two decisions on the number of endpoints.
const ORDER_PERIOD: Duration = Duration::from_millis(900);
/// Delay of a decision after an endpoint has announced that it leaves; the others of its failure domain
/// follow within this time.
const DEPARTURE_DELAY: Duration = Duration::from_millis(100);

type Counts = Vec<(Arc<str>, u64)>;

#[derive(Debug)]
struct DutyContext {
    node: Rc<Node>,
    lease: RefCell<State>,
}

impl DutyContext {
    /// Returns the grant of the lease if enough lease time remains to send a call now.
    fn valid_grant(&self) -> Option<Grant> {
        let now = clock::now();
        let grant = self.lease.borrow().grant()?;
        // A higher number shows a later holder, also when the store has lost its row.
        let is_newest = grant.fence >= self.node.known_fence.get();
        let is_valid =
            is_newest && grant.is_valid_for(now, CALL_MARGIN) && now >= grant.predecessor_end;
        is_valid.then_some(grant)
    }

    fn current_fence(&self) -> Option<Fence> {
        let fence = self.valid_grant()?.fence;
        Some(Fence { holder: self.node.settings.node.clone(), token: fence })
    }
}

/// Competes for the lease and performs the duties while holding it, until the process ends.
pub async fn run(node: Rc<Node>) {
    let term = node.settings.bounds.min_holder_gap + LEASE_TERM_MARGIN;
    let process: Arc<str> = format!("{}/{}", node.settings.node, node.incarnation).into();
    let state = State::new(LEASE_KEY.to_owned(), process, term);
    let context = Rc::new(DutyContext { node, lease: RefCell::new(state) });
    tokio::join!(
        maintain_lease(context.clone()),
        update_and_report(context.clone()),
        store_counts(context.clone()),
        order_endpoints(context),
    );
}

/// Acquires and renews the lease.
///
/// The lease is not released when the process stops: a process that acquired it again at once would
/// act before the minimum time between two holders has passed.
async fn maintain_lease(context: Rc<DutyContext>) {
    let node = context.node.clone();
    let mut fence = None;
    loop {
        context.lease.borrow_mut().raise_fence(node.known_fence.get());
        context.lease.borrow_mut().set_least_fence(node.unix_ms());
        let action = context.lease.borrow_mut().next_action(clock::now());
        // Peers read the lease row only while no node reports the lease, so an expired lease must
        // no longer be reported.
        node.holds_duties.set(context.lease.borrow().grant().is_some());
        let event = match action {
            Action::Read if !contends(&context) => {
                tokio::time::sleep(HOLDER_CHECK_PERIOD).await;
                continue;
            }
            Action::Read => {
                let rows = (node.platform.rows)(LEASE_KEY.to_owned()).await;
                let row = rows.map(|rows| rows.rows.into_iter().find(|row| row.key == LEASE_KEY));
                Some(Event::Read(row.map_err(|failure| {
                    log::debug!("duties: event=lease_unread reason=\"{failure}\"");
                })))
            }
            Action::Write(_) if node.stopping.get() => None,
            Action::Write(transaction) => {
                let outcome = (node.platform.transact)(transaction).await;
                Some(Event::Written(outcome.unwrap_or(Outcome::Unknown)))
            }
            Action::Wait(until) => {
                tokio::time::sleep(until.saturating_sub(clock::now())).await;
                continue;
            }
        };
        let Some(event) = event else { return };
        context.lease.borrow_mut().handle(event, clock::now());
        let held = context.lease.borrow().grant().map(|grant| grant.fence);
        let seen = context.lease.borrow().last_seen().map_or(0, |lease| lease.fence);
        node.known_fence.set(node.known_fence.get().max(seen));
        node.holds_duties.set(held.is_some());
        if held != fence {
            log::info!("duties: event=lease held={held:?} before={fence:?}");
            fence = held;
        }
    }
}

/// Returns whether this node has to read the lease row: it holds the lease, or no live node does and this
/// one reads the store for its direct peers. So the calls don't grow with the fleet.
fn contends(context: &DutyContext) -> bool {
    let now = clock::now();
    let peers = context.node.peers.borrow();
    let is_holder = context.lease.borrow().grant().is_some();
    is_holder || peers.is_reader(now) && !peers.has_live_holder(now)
}

async fn update_and_report(context: Rc<DutyContext>) {
    let mut usage_reporter = UsageReporter::default();
    let mut rollout_reporter = rollout::Reporter::default();
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        context.node.shifts.borrow_mut().update_stages(clock::now());
        for judgment in context.node.shifts.borrow_mut().take_judgments() {
            context.node.metrics.record_judgment(judgment.reason);
        }
        if context.node.settings.duties.usage {
            usage_reporter.step(&context).await;
        }
        let fence = || context.valid_grant().map(|grant| grant.fence);
        rollout_reporter.step(&context.node, fence).await;
    }
}

/// Stores the counts of all nodes regularly, so that they survive a loss of all nodes at once.
async fn store_counts(context: Rc<DutyContext>) {
    let mut writer = recall::Writer::default();
    let mut was_writer = false;
    loop {
        tokio::time::sleep(recall::WRITE_INTERVAL).await;
        let holds_lease = context.lease.borrow().grant().is_some();
        let is_writer = recall::is_writer(&context.node, holds_lease, clock::now());
        if is_writer != was_writer {
            log::info!(
                "duties: event=snapshot_writer writes={is_writer} holds_lease={holds_lease}"
            );
            was_writer = is_writer;
        }
        if is_writer {
            writer.write(&context.node).await;
        } else {
            writer = recall::Writer::default();
        }
    }
}

/// Usage windows whose counts were stored, and those that were sent.
#[derive(Debug, Default)]
struct UsageReporter {
    fence: Option<u64>,
    /// Era of the store in which the records were read.
    era: Option<u64>,
    stored: BTreeMap<u64, Counts>,
    sent: BTreeSet<u64>,
    /// Windows that another node has recorded and the store didn't show.
    doubted: BTreeSet<u64>,
}

impl UsageReporter {
    async fn step(&mut self, context: &Rc<DutyContext>) {
        let Some(grant) = context.valid_grant() else { return };
        let node = &context.node;
        let is_loaded = self.fence == Some(grant.fence) && self.era == node.store_era.get();
        if !is_loaded && !self.load(context, grant.fence).await {
            return;
        }
        let length = node.settings.bounds.report_window_ms();
        let now = node.unix_ms();
        let newest = now.saturating_sub(REPORT_DELAY_MS) / length;
        let oldest = now.saturating_sub(MAX_REPORT_AGE_MS) / length;
        for window in oldest..newest {
            if self.sent.contains(&window) {
                continue;
            }
            if !self.stored.contains_key(&window) {
                // The record is lost, and the report may have been sent with other counts.
                if window <= node.recorded_window.get() {
                    if self.doubted.insert(window) {
                        // A record that was written late is found by one more read.
                        self.fence = None;
                        return;
                    }
                    log::warn!("duties: event=usage_lost window={window}");
                    self.sent.insert(window);
                    continue;
                }
                if !self.store(context, window).await {
                    return;
                }
            }
            self.send(context, window).await;
        }
    }

    /// Reads the counts that earlier holders stored; returns whether the read succeeded.
    async fn load(&mut self, context: &Rc<DutyContext>, fence: u64) -> bool {
        match (context.node.platform.rows)(USAGE_KEY_PREFIX.to_owned()).await {
            Ok(rows) => {
                let era = context.node.store_era.get();
                let mut lost = std::mem::take(&mut self.stored);
                for row in rows.rows {
                    let window =
                        row.key.strip_prefix(USAGE_KEY_PREFIX).and_then(|it| it.parse().ok());
                    let Some(window) = window else { continue };
                    let counts = context.node.decode_own(&row).map(own_counts);
                    // What this node has recorded itself may have been sent.
                    match lost.remove(&window).or(counts) {
                        Some(counts) => {
                            self.stored.insert(window, counts);
                        }
                        // Its counts may have been sent, and other ones must not follow.
                        None => {
                            self.sent.insert(window);
                        }
                    }
                }
                if !self.store_again(context, lost).await {
                    return false;
                }
                if let Some((newest, _)) = self.stored.last_key_value() {
                    let node = &context.node;
                    node.recorded_window.set(node.recorded_window.get().max(*newest));
                }
                (self.fence, self.era) = (Some(fence), era);
                true
            }
            Err(failure) => {
                log::debug!("duties: event=records_unread reason=\"{failure}\"");
                false
            }
        }
    }

    /// Records counts again that a restored store has lost; returns whether it did.
    async fn store_again(
        &mut self,
        context: &Rc<DutyContext>,
        mut lost: BTreeMap<u64, Counts>,
    ) -> bool {
        let window = context.node.report_window();
        lost.retain(|lost, _| *lost + KEPT_WINDOWS > window);
        if lost.is_empty() {
            return true;
        }
        let mut transaction = Transaction::default();
        for (window, counts) in &lost {
            transaction.put(&format!("{USAGE_KEY_PREFIX}{window}"), None, counts_value(counts));
        }
        let outcome = (context.node.platform.transact)(transaction).await;
        log::info!("duties: event=usage_recorded_again windows={} result={outcome:?}", lost.len());
        let is_done = matches!(outcome, Ok(Outcome::Done(_)));
        // They stay known either way: the next step tries again.
        self.stored.append(&mut lost);
        is_done
    }

    /// Stores the counts of a window unless another holder has stored them; returns whether it did.
    async fn store(&mut self, context: &Rc<DutyContext>, window: u64) -> bool {
        let counts = context.node.usage.borrow().total(window);
        let mut transaction = Transaction::default();
        let key = format!("{USAGE_KEY_PREFIX}{window}");
        transaction.put(&key, None, counts_value(&counts));
        let old = window.saturating_sub(KEPT_WINDOWS);
        if self.stored.remove(&old).is_some() {
            let key = format!("{USAGE_KEY_PREFIX}{old}");
            transaction.writes.push(crate::platform::Write { key, value: None });
        }
        match (context.node.platform.transact)(transaction).await {
            Ok(Outcome::Done(_)) => {
                self.stored.insert(window, counts);
                let node = &context.node;
                node.recorded_window.set(node.recorded_window.get().max(window));
                true
            }
            // The row may exist now: the next step loads it, since its counts must be sent.
            Ok(Outcome::Rejected(_) | Outcome::Unknown) => {
                self.fence = None;
                false
            }
            Ok(Outcome::NotRun) => false,
            Err(failure) => {
                log::debug!("duties: event=usage_unrecorded window={window} reason=\"{failure}\"");
                self.fence = None;
                false
            }
        }
    }

    async fn send(&mut self, context: &Rc<DutyContext>, window: u64) {
        let Some(fence) = context.current_fence() else { return };
        let Some(counts) = self.stored.get(&window).cloned() else { return };
        let usage = Usage { fence, window, counts };
        match (context.node.platform.usage)(usage).await {
            Ok(_) => {
                self.sent.insert(window);
                for windows in [&mut self.sent, &mut self.doubted] {
                    while windows.len() > KEPT_WINDOWS as usize {
                        windows.pop_first();
                    }
                }
            }
            Err(failure) => {
                log::info!("duties: event=usage_unsent window={window} reason=\"{failure}\"");
            }
        }
    }
}

fn counts_value(counts: &Counts) -> serde_json::Value {
    let entries = counts.iter().map(|(name, count)| (name.to_string(), (*count).into()));
    serde_json::Value::Object(entries.collect())
}

fn own_counts(counts: BTreeMap<Arc<str>, u64>) -> Counts {
    counts.into_iter().collect()
}

/// Orders endpoints to match the demand.
async fn order_endpoints(context: Rc<DutyContext>) {
    let mut planner = fleet::Planner::default();
    let mut departures = context.node.departures.subscribe();
    loop {
        // A reclaim leaves less time than a replacement takes to start, so it isn't ordered later than
        // necessary. Either way the endpoints are counted anew.
        let _ = tokio::time::timeout(ORDER_PERIOD, departures.changed()).await;
        tokio::time::sleep(DEPARTURE_DELAY).await;
        let node = &context.node;
        if !node.settings.duties.capacity {
            return;
        }
        observe_services(node, &mut planner);
        for (service, change) in planner.take_changes() {
            log::info!(
                "duties: event=late_answers service={service} factor={:.2} late_share={:.3}",
                change.factor,
                change.late_share
            );
        }
        planner.factors().for_each(|(it, factor)| node.metrics.set_capacity_factor(it, factor));
        // The refusals while the configuration can't be read show no fall in demand.
        let grant = context.valid_grant().filter(|_| !node.is_catalog_unreadable.get());
        let Some(token) = grant.map(|grant| grant.fence) else {
            planner.clear_orders();
            continue;
        };
        let orders = planner.orders(clock::now());
        for order in orders {
            let Some(fence) = context.current_fence().filter(|it| it.token == token) else { break };
            // An evacuation may have begun while the orders before were sent.
            if node.roster.borrow().evacuations.is_evacuated(&order.domain) {
                continue;
            }
            send_order(node, &mut planner, order, fence).await;
        }
    }
}

async fn send_order(
    node: &Rc<Node>,
    planner: &mut fleet::Planner,
    order: fleet::Target,
    fence: Fence,
) {
    let call = Order {
        fence,
        service: order.service.clone(),
        domain: order.domain.clone(),
        reclaimable: order.reclaimable,
        count: order.count,
    };
    let result = (node.platform.order)(call).await;
    log::info!(
        "duties: event=order service={} domain={} reclaimable={} count={} result={result:?}",
        order.service,
        order.domain,
        order.reclaimable,
        order.count
    );
    match result {
        Ok(Acceptance::Taken) => planner.record_response(order, true, clock::now()),
        Ok(Acceptance::Unavailable) => planner.record_response(order, false, clock::now()),
        Err(_) => {}
    }
}

/// Reports whether a route of a service declares a target for the gaps of its streams.
fn has_gap_target(catalog: &Catalog, service: &str) -> bool {
    let serves = |route: &Route| route.services.iter().any(|(name, _)| **name == *service);
    catalog.routes().any(|route| route.gap_target.is_some() && serves(route))
}

/// Passes the demand, load and endpoints of each service with scaling rules to the planner.
fn observe_services(node: &Rc<Node>, planner: &mut fleet::Planner) {
    let Some(catalog) = node.catalog() else { return };
    let now = clock::now();
    let roster = node.roster.borrow();
    let balancer = node.balancer.borrow();
    for service in catalog.services.values() {
        let Some(scaling) = &service.scaling else { continue };
        let mut snapshot = fleet::Snapshot {
            requested_tokens: node.demand.borrow().total(&service.name),
            prefill_tokens_per_s: balancer.prefill_tokens_per_ms(&service.name) * 1_000.0,
            lateness: has_gap_target(&catalog, &service.name).then(|| {
                let lateness = node.lateness.borrow();
                let total = |counter: &Demand| counter.total(&service.name);
                (total(&lateness.answers), total(&lateness.late))
            }),
            slots: service.engine.map_or(1, |engine| engine.slots),
            evacuated: roster.evacuations.domains().cloned().collect(),
            ..fleet::Snapshot::default()
        };
        let shifts = node.shifts.borrow();
        let rollout = shifts.phase(&service.name);
        let mut other_counts = BTreeMap::new();
        for entry in roster.for_service(&service.name).filter(|entry| entry.is_listed()) {
            let endpoint = &entry.endpoint;
            let load = balancer.total_load(&endpoint.id);
            snapshot.requests += load.requests;
            if !shifts.is_serving(&service.name, &endpoint.version) {
                let kind = (endpoint.domain.clone(), endpoint.reclaimable);
                *other_counts.entry(kind).or_default() += 1;
            } else {
                snapshot.add_endpoint(endpoint.domain.clone(), endpoint.reclaimable);
                let is_paused = roster.stated.pauses.is_paused(&endpoint.id, now);
                let rate = roster.stated.limits.rate(&endpoint.id);
                // The limit of an endpoint that isn't used takes nothing away from the others.
                if roster.is_evacuated(endpoint) {
                    continue;
                }
                if let Some(rate) = if is_paused { Some(0.0) } else { rate } {
                    snapshot.add_limit(rate, node.demand.borrow().mean_tokens(&service.name));
                }
            }
        }
        let is_in_progress = rollout.is_some_and(|(_, phase)| phase == Phase::InProgress);
        snapshot.other_version =
            (is_in_progress || !other_counts.is_empty()).then_some(other_counts);
        planner.observe(&service.name, scaling, snapshot, now);
    }
}
