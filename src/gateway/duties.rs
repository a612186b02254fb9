//! Duties of which one node at a time takes care: usage reports, orders for endpoints, roll-outs.
//!
//! The holder is found by a lease in the platform's store. The cloud interface may not check the
//! fencing number, so the holder looks at the time left right before each call, on a clock that
//! counts suspensions. What was reported for a window is recorded in the store before it is sent, so
//! that another holder repeats it exactly.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::clock;
use crate::gateway::fleet;
use crate::gateway::node::Node;
use crate::gateway::platform::{Acceptance, Order, Phase, Progress, Signature, Usage};
use crate::gateway::recall;
use crate::lease::{Action, Event, Holder, State};
use crate::platform::{Outcome, Transaction};

/// Key of the lease row.
const LEASE_KEY: &str = "lease/duties";
/// Time by which the term of the lease exceeds the least time between two holders.
const TERM_MARGIN: Duration = Duration::from_millis(1_500);
/// Time that must be left on the lease when a call is sent; calls take at most a second.
const CALL_MARGIN: Duration = Duration::from_millis(1_100);
/// Time between two looks for the holder among the peers.
const LISTEN_PERIOD: Duration = Duration::from_millis(200);
/// Period of the holder's work.
const PERIOD: Duration = Duration::from_millis(250);
/// Time after the end of a window by which the peers have told their counts.
const SETTLE_MS: u64 = 1_200;
/// Time after which a window is no longer worth a report.
const OVERDUE_MS: u64 = 15_000;
/// Starts the keys of the rows that record usage reports.
const USAGE_PREFIX: &str = "usage/";
/// Windows whose records are kept in the store.
const RECORDS: u64 = 12;
/// Time between two decisions on the number of endpoints.
const FLEET_PERIOD: Duration = Duration::from_millis(1_000);

type Counts = Vec<(Arc<str>, u64)>;

#[derive(Debug)]
struct Office {
    node: Rc<Node>,
    lease: RefCell<State>,
}

impl Office {
    /// Gives the right to send a call now, if this node holds the lease for long enough.
    fn holder(&self) -> Option<Holder> {
        let now = clock::now();
        let holder = self.lease.borrow().holder()?;
        let may_act = holder.check(now, CALL_MARGIN) && now >= holder.predecessor_end;
        may_act.then_some(holder)
    }

    fn signature(&self) -> Option<Signature> {
        let fence = self.holder()?.fence;
        Some(Signature { holder: self.node.settings.node.clone(), fence })
    }
}

/// Takes part in the duties until the process ends.
pub async fn run(node: Rc<Node>) {
    let term = node.settings.bounds.lease + TERM_MARGIN;
    let process: Arc<str> = format!("{}/{}", node.settings.node, node.start).into();
    let state = State::new(LEASE_KEY.to_owned(), process, term);
    let office = Rc::new(Office { node, lease: RefCell::new(state) });
    tokio::join!(
        keep_lease(office.clone()),
        work(office.clone()),
        record_counts(office.clone()),
        order_endpoints(office),
    );
}

/// Acquires and renews the lease. It is left to lapse when the process stops: a holder that returned
/// at once would act again within the least time between holders.
async fn keep_lease(office: Rc<Office>) {
    let node = office.node.clone();
    let mut fence = None;
    loop {
        let action = office.lease.borrow_mut().next(clock::now());
        // A lease that has run out must not keep the peers from looking for a holder.
        node.holds_duties.set(office.lease.borrow().holder().is_some());
        let event = match action {
            // While the holder is heard, there is no need to ask the store.
            Action::Read if node.peers.borrow().hears_holder(clock::now()) => {
                tokio::time::sleep(LISTEN_PERIOD).await;
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
        office.lease.borrow_mut().handle(event, clock::now());
        let held = office.lease.borrow().holder().map(|holder| holder.fence);
        node.holds_duties.set(held.is_some());
        if held != fence {
            log::info!("duties: event=lease held={held:?} before={fence:?}");
            fence = held;
        }
    }
}

async fn work(office: Rc<Office>) {
    let mut reports = Reports::default();
    let mut told: HashMap<(Arc<str>, u64), Phase> = HashMap::new();
    loop {
        tokio::time::sleep(PERIOD).await;
        office.node.shifts.borrow_mut().step(clock::now());
        if office.node.settings.duties.usage {
            reports.step(&office).await;
        }
        tell_phases(&office, &mut told).await;
    }
}

/// Keeps in the store what the nodes count, for a start after all of them were lost.
async fn record_counts(office: Rc<Office>) {
    let mut writer = recall::Writer::default();
    loop {
        tokio::time::sleep(recall::PERIOD).await;
        if office.holder().is_some() {
            writer.write(&office.node).await;
        } else {
            writer = recall::Writer::default();
        }
    }
}

/// Writes the phases of the roll-outs for the operators.
async fn tell_phases(office: &Rc<Office>, told: &mut HashMap<(Arc<str>, u64), Phase>) {
    let node = &office.node;
    let phases = node.shifts.borrow().phases(clock::now());
    for (service, version, revision, phase) in phases {
        let key = (service.clone(), revision);
        if told.get(&key) == Some(&phase) || office.holder().is_none() {
            continue;
        }
        let progress = Progress { service: service.clone(), version, phase };
        match (node.platform.progress)(progress).await {
            Ok(()) => {
                log::info!("duties: event=phase service={service} phase={phase:?}");
                node.shifts.borrow_mut().settle(&service, revision, phase);
                told.insert(key, phase);
            }
            Err(failure) => log::warn!("duties: event=phase_untold reason=\"{failure}\""),
        }
    }
}

/// Remembers what was recorded and sent for each window.
#[derive(Debug, Default)]
struct Reports {
    fence: Option<u64>,
    recorded: BTreeMap<u64, Counts>,
    sent: BTreeSet<u64>,
}

impl Reports {
    async fn step(&mut self, office: &Rc<Office>) {
        let Some(holder) = office.holder() else { return };
        if self.fence != Some(holder.fence) && !self.load(office, holder.fence).await {
            return;
        }
        let node = &office.node;
        let length = node.settings.bounds.report_window_ms();
        let now = node.true_ms();
        let newest = now.saturating_sub(SETTLE_MS) / length;
        let oldest = now.saturating_sub(OVERDUE_MS) / length;
        for window in oldest..newest {
            if self.sent.contains(&window) {
                continue;
            }
            if !self.recorded.contains_key(&window) && !self.record(office, window).await {
                return;
            }
            self.send(office, window).await;
        }
    }

    /// Reads what earlier holders have recorded.
    async fn load(&mut self, office: &Rc<Office>, fence: u64) -> bool {
        match (office.node.platform.rows)(USAGE_PREFIX.to_owned()).await {
            Ok(rows) => {
                self.recorded.clear();
                for row in rows.rows {
                    let window = row.key.strip_prefix(USAGE_PREFIX).and_then(|it| it.parse().ok());
                    let counts = read_counts(&row.value);
                    if let (Some(window), Some(counts)) = (window, counts) {
                        self.recorded.insert(window, counts);
                    }
                }
                self.fence = Some(fence);
                true
            }
            Err(failure) => {
                log::debug!("duties: event=records_unread reason=\"{failure}\"");
                false
            }
        }
    }

    /// Records the counts of a window, unless another holder has done so.
    async fn record(&mut self, office: &Rc<Office>, window: u64) -> bool {
        let counts = office.node.usage.borrow().total(window);
        let mut transaction = Transaction::default();
        let value = serde_json::Value::Object(
            counts.iter().map(|(name, count)| (name.to_string(), (*count).into())).collect(),
        );
        transaction.put(&format!("{USAGE_PREFIX}{window}"), None, value);
        let old = window.saturating_sub(RECORDS);
        if self.recorded.remove(&old).is_some() {
            let key = format!("{USAGE_PREFIX}{old}");
            transaction.writes.push(crate::platform::Write { key, value: None });
        }
        match (office.node.platform.transact)(transaction).await {
            Ok(Outcome::Done(_)) => {
                self.recorded.insert(window, counts);
                true
            }
            // Whoever wrote the row, its counts are the ones to report.
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

    async fn send(&mut self, office: &Rc<Office>, window: u64) {
        let Some(signature) = office.signature() else { return };
        let Some(counts) = self.recorded.get(&window).cloned() else { return };
        let usage = Usage { signature, window, counts };
        match (office.node.platform.usage)(usage).await {
            Ok(_) => {
                self.sent.insert(window);
                while self.sent.len() > RECORDS as usize {
                    self.sent.pop_first();
                }
            }
            Err(failure) => {
                log::info!("duties: event=usage_unsent window={window} reason=\"{failure}\"");
            }
        }
    }
}

fn read_counts(value: &serde_json::Value) -> Option<Counts> {
    let counts = value.as_object()?;
    counts.iter().map(|(name, count)| Some((name.as_str().into(), count.as_u64()?))).collect()
}

/// Orders endpoints as the demand asks for.
async fn order_endpoints(office: Rc<Office>) {
    let mut planner = fleet::Planner::default();
    loop {
        tokio::time::sleep(FLEET_PERIOD).await;
        let node = &office.node;
        if !node.settings.duties.capacity {
            return;
        }
        observe(node, &mut planner);
        let Some(fence) = office.holder().map(|holder| holder.fence) else {
            planner.forget_orders();
            continue;
        };
        let orders = planner.orders(clock::now());
        for order in orders {
            let Some(signature) = office.signature().filter(|it| it.fence == fence) else { break };
            send_order(node, &mut planner, order, signature).await;
        }
    }
}

async fn send_order(
    node: &Rc<Node>,
    planner: &mut fleet::Planner,
    order: fleet::Target,
    signature: Signature,
) {
    let call = Order {
        signature,
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
        Ok(Acceptance::Taken) => planner.record(order, true, clock::now()),
        Ok(Acceptance::Unavailable) => planner.record(order, false, clock::now()),
        Err(_) => {}
    }
}

/// Tells the planner what is under way and which endpoints there are.
fn observe(node: &Rc<Node>, planner: &mut fleet::Planner) {
    let Some(catalog) = node.catalog() else { return };
    let now = clock::now();
    let roster = node.roster.borrow();
    let board = node.board.borrow();
    for service in catalog.services.values() {
        let Some(scaling) = &service.scaling else { continue };
        let mut view = fleet::View {
            asked_tokens: node.demand.borrow().total(&service.name),
            slots: service.engine.map_or(1, |engine| engine.slots),
            ..fleet::View::default()
        };
        let shifts = node.shifts.borrow();
        let rollout = shifts.phase(&service.name);
        let mut others = BTreeMap::new();
        for entry in roster.of(&service.name).filter(|entry| entry.is_listed()) {
            let endpoint = &entry.endpoint;
            let load = board.total(&endpoint.id);
            view.requests += load.requests;
            let is_other = rollout.is_some_and(|(version, phase)| {
                (endpoint.version == *version) != (phase == Phase::Completed)
            });
            if is_other {
                let kind = (endpoint.domain.clone(), endpoint.reclaimable);
                *others.entry(kind).or_default() += 1;
            } else {
                view.count(endpoint.domain.clone(), endpoint.reclaimable);
            }
        }
        let is_open = rollout.is_some_and(|(_, phase)| phase == Phase::InProgress);
        view.other_version = (is_open || !others.is_empty()).then_some(others);
        planner.observe(&service.name, scaling, view, now);
    }
}
