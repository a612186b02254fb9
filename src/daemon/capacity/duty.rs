//! Rounds of the lease holder: read the state, decide, write the ledger, then call the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::demand::{self, Report};
use super::fleet::Fleet;
use super::{LEDGER_KEY, LEDGER_POLL_PERIOD, Node, read_ledger};
use crate::capacity::offer::{self, Sheet, Unit};
use crate::capacity::planner::{Answer, Launch, Ledger};
use crate::capacity::{Action, Forecast, Machine, Planner};
use crate::claim;
use crate::lease::Keeper;
use crate::membership::Status;
use crate::platform::{Failure, Outcome, Query, Start, Transaction, Write};
use crate::resource::{Catalog, Spec};
use crate::timeline::Subject;

/// Key of the object with the forecasts, from which a new lease holder learns the daily pattern.
const FORECAST_KEY: &str = "capacity/forecast";
/// Interval between reads of the offer sheet.
const OFFERS_READ_PERIOD: Duration = Duration::from_secs(60);
/// Interval between writes of the forecasts.
const FORECAST_WRITE_PERIOD: Duration = Duration::from_secs(600);
/// Interval between cost reports on the time line.
const COST_REPORT_PERIOD: Duration = Duration::from_secs(600);

/// Forecasts by service: of its requests and of its tokens.
type Forecasts = BTreeMap<Arc<str>, [Forecast; 2]>;

/// State of one lease holder, discarded when the fencing number changes.
#[derive(Debug)]
pub struct State {
    fence: u64,
    sheet: Option<Sheet>,
    forecasts: Option<Forecasts>,
    planner: Option<Planner>,
    /// Ledger as last read or written, with the version of its row.
    recorded: Option<(Ledger, Option<u64>)>,
    reports: Vec<Report>,
    fleet: Fleet,
    observed_at: Option<Duration>,
    next_offers_read: Duration,
    next_forecast_write: Duration,
    next_cost_report: Duration,
}

impl State {
    pub fn new(fence: u64) -> State {
        State {
            fence,
            sheet: None,
            forecasts: None,
            planner: None,
            recorded: None,
            reports: Vec::new(),
            fleet: Fleet::default(),
            observed_at: None,
            next_offers_read: Duration::ZERO,
            next_forecast_write: Duration::ZERO,
            next_cost_report: Duration::ZERO,
        }
    }

    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the ledger as stored in the table, on which all nodes may act.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.recorded.as_ref().map(|(ledger, _)| ledger)
    }

    /// Runs one round; after a failed read or write, the next round tries again.
    pub async fn run_round(&mut self, node: &Node, keeper: &Keeper) {
        if let Err(failure) = self.try_round(node, keeper).await {
            log::debug!("capacity: round ended early: {failure}");
        }
    }

    async fn try_round(&mut self, node: &Node, keeper: &Keeper) -> Result<(), Failure> {
        let now = Duration::from_millis(claim::attempt::unix_ms());
        self.read_offers(node, now).await?;
        let Some(sheet) = self.sheet.clone() else { return Ok(()) };
        self.read_ledger(node, &sheet).await?;
        self.read_forecasts(node).await?;
        let catalog = node.revision.current();
        if !node.revision.is_ready() {
            return Ok(());
        }
        self.update_forecasts(node, now, &sheet, &catalog).await?;
        let listed = node.client.vms().await?;
        let (Some(planner), Some((ledger, version))) = (&mut self.planner, &self.recorded) else {
            return Ok(());
        };
        let is_complete = has_all_reports(node, &self.reports);
        let reports = is_complete.then_some(self.reports.as_slice());
        let vms = self.fleet.inspect(node, &listed, planner.ledger(), reports, sheet.warm_up).await;
        let forecasts = self.forecasts.as_ref();
        let requirements = sheet.requirements(&catalog, |service, unit| {
            let pair = forecasts.and_then(|forecasts| forecasts.get(service));
            pair.map_or(0.0, |pair| pair[unit_index(unit)].planned_demand(now, sheet.quantile))
        });
        let mut settings = planner_settings(&sheet, &catalog);
        settings.may_drain = is_complete;
        planner.configure(settings);
        let actions = planner.decide(now, &vms, &requirements);
        if now >= self.next_cost_report {
            self.next_cost_report = now + COST_REPORT_PERIOD;
            report_cost(node, &sheet, &vms, &self.reports);
        }
        if planner.ledger() != ledger {
            // The lease may have expired while the VMs were inspected.
            if keeper.grant(node.settings.timing.platform_timeout).is_none() {
                return Ok(());
            }
            let next = planner.ledger().clone();
            match write_ledger(node, &next, *version).await {
                Outcome::Done(version) => self.recorded = Some((next, Some(version))),
                Outcome::NotRun => return Ok(()),
                Outcome::Rejected(_) | Outcome::Unknown => {
                    self.recorded = None;
                    return Ok(());
                }
            }
        }
        self.execute_actions(node, keeper, actions, &vms, now).await;
        Ok(())
    }

    async fn read_offers(&mut self, node: &Node, now: Duration) -> Result<(), Failure> {
        if now < self.next_offers_read {
            return Ok(());
        }
        let Some(bytes) = node.client.get_object(offer::OBJECT_KEY).await? else {
            log::debug!("capacity: object {} doesn't exist", offer::OBJECT_KEY);
            return Ok(());
        };
        self.next_offers_read = now + OFFERS_READ_PERIOD;
        match Sheet::parse(&String::from_utf8_lossy(&bytes)) {
            Ok(sheet) => self.sheet = Some(sheet),
            // The last valid sheet stays in use, so that a mistake doesn't interrupt the duty.
            Err(mistakes) => {
                for mistake in mistakes {
                    log::warn!("capacity: {mistake}");
                }
            }
        }
        Ok(())
    }

    /// Reads the ledger at first, and again after a rejected write or one with an unknown outcome.
    async fn read_ledger(&mut self, node: &Node, sheet: &Sheet) -> Result<(), Failure> {
        if self.recorded.is_some() {
            return Ok(());
        }
        let row = node.client.read_row(LEDGER_KEY).await?;
        let version = row.as_ref().map(|row| row.version);
        let Some(ledger) = read_ledger(row.as_ref()) else {
            log::warn!(
                "capacity: row {LEDGER_KEY} can't be decoded as a ledger; no VM is started or stopped"
            );
            return Ok(());
        };
        if self.planner.as_ref().is_none_or(|planner| *planner.ledger() != ledger) {
            let prefix = format!("capacity-{}", self.fence).into();
            self.planner =
                Some(Planner::new(sheet.planner_settings.clone(), prefix, ledger.clone()));
        }
        self.recorded = Some((ledger, version));
        Ok(())
    }

    async fn read_forecasts(&mut self, node: &Node) -> Result<(), Failure> {
        if self.forecasts.is_none() {
            let bytes = node.client.get_object(FORECAST_KEY).await?;
            let read = bytes.and_then(|bytes| {
                let read = serde_json::from_slice(&bytes);
                read.map_err(|error| log::warn!("capacity: cannot decode the forecasts: {error}"))
                    .ok()
            });
            self.forecasts = Some(read.unwrap_or_default());
        }
        Ok(())
    }

    /// Reads the demand reports of all nodes and updates the forecasts with their sums.
    async fn update_forecasts(
        &mut self,
        node: &Node,
        now: Duration,
        sheet: &Sheet,
        catalog: &Catalog,
    ) -> Result<(), Failure> {
        let Some(forecasts) = &mut self.forecasts else { return Ok(()) };
        let is_draining =
            self.recorded.as_ref().is_some_and(|(ledger, _)| !ledger.drains.is_empty());
        let period = if is_draining { LEDGER_POLL_PERIOD } else { demand::REPORT_PERIOD };
        if self.observed_at.is_some_and(|last| now < last + period) {
            return Ok(());
        }
        let query = Query { keys: Vec::new(), prefixes: vec![demand::KEY_PREFIX.to_owned()] };
        let rows = node.client.read(&query).await?;
        let (reports, expired) = demand::current_reports(&rows, now);
        let sums = demand::sum_by_service(&reports);
        let length = self.observed_at.map_or(demand::REPORT_PERIOD, |last| now - last);
        forecasts.retain(|name, _| catalog.service(name).is_some());
        for (name, sum) in sums.iter().filter(|(name, _)| catalog.service(name).is_some()) {
            let pair = forecasts
                .entry(name.clone())
                .or_insert_with(|| [Forecast::new(sheet.lead), Forecast::new(sheet.lead)]);
            pair[0].observe(now, length, sum.requests);
            pair[1].observe(now, length, sum.tokens);
        }
        self.observed_at = Some(now);
        self.reports = reports;
        if !expired.is_empty() {
            let writes = expired.into_iter().map(|key| Write { key, value: None }).collect();
            node.client.transact(&Transaction { conditions: Vec::new(), writes }).await;
        }
        if now >= self.next_forecast_write {
            self.next_forecast_write = now + FORECAST_WRITE_PERIOD;
            if let Ok(bytes) = serde_json::to_vec(forecasts) {
                node.client.put_object(FORECAST_KEY, bytes.into()).await?;
            }
        }
        Ok(())
    }

    async fn execute_actions(
        &mut self,
        node: &Node,
        keeper: &Keeper,
        actions: Vec<Action>,
        vms: &[Machine],
        now: Duration,
    ) {
        for action in actions {
            // The lease is checked before each call, as it may expire during the previous one.
            if keeper.grant(node.settings.timing.platform_timeout).is_none() {
                return;
            }
            match action {
                Action::Start(launch) => self.start_vm(node, &launch, now).await,
                Action::Stop(vm) => stop_vm(node, &vm).await,
                Action::Drain(vm) => {
                    log::debug!("capacity: VM {vm} is draining, {} VMs are listed", vms.len());
                }
            }
        }
    }

    async fn start_vm(&mut self, node: &Node, launch: &Launch, now: Duration) {
        let placement = &launch.placement;
        let start = Start {
            operation: launch.operation.clone(),
            failure_domain: placement.failure_domain.clone(),
            pool: placement.pool.clone(),
            class: placement.class.clone(),
            reclaimable: placement.reclaimable,
        };
        let kind = if placement.reclaimable { "reclaimable" } else { "on-demand" };
        let description =
            format!("start {} of a {kind} VM in {}", launch.operation, placement.failure_domain);
        let answer = match node.client.start(&start).await {
            Ok(Some(vm)) => {
                node.record("capacity", Subject::default(), format!("{description}: VM {vm}"));
                Answer::Started(vm)
            }
            Ok(None) => {
                node.record("capacity", Subject::default(), format!("{description}: refused"));
                Answer::Refused
            }
            Err(failure) => {
                log::info!(
                    "capacity: {description}: {failure}; retrying with the same operation id"
                );
                Answer::Unknown
            }
        };
        if let Some(planner) = &mut self.planner {
            planner.record_answer(now, &launch.operation, answer);
        }
    }
}

/// Records the current cost of the endpoint VMs on the time line.
fn report_cost(node: &Node, sheet: &Sheet, vms: &[Machine], reports: &[Report]) {
    let cost = sheet.cost_per_hour(vms);
    let requests: f64 =
        demand::sum_by_service(reports).values().map(|demand| demand.requests).sum();
    let count = vms.len();
    let mut text = format!("{count} endpoint VMs cost {cost:.4} per hour");
    if requests > 0.0 {
        text.push_str(&format!(", {:.6} per 1,000 requests", cost / requests / 3.6));
    }
    node.record("capacity", Subject::default(), text);
}

async fn stop_vm(node: &Node, vm: &Arc<str>) {
    match node.client.stop(vm).await {
        Ok(()) => node.record("capacity", Subject::default(), format!("VM {vm} stopped")),
        Err(failure) => log::info!("capacity: stop of VM {vm}: {failure}; retrying"),
    }
}

async fn write_ledger(node: &Node, ledger: &Ledger, version: Option<u64>) -> Outcome {
    let Ok(value) = serde_json::to_value(ledger) else { return Outcome::NotRun };
    let mut transaction = Transaction::default();
    transaction.put(LEDGER_KEY, version, value);
    node.client.transact(&transaction).await
}

/// Returns the planner's settings with a drain limit longer than the longest request deadline.
fn planner_settings(sheet: &Sheet, catalog: &Catalog) -> crate::capacity::planner::Settings {
    let deadlines = catalog.resources.values().filter_map(|resource| match &resource.spec {
        Spec::Service(service) => Some(Duration::from_millis(service.deadline_ms)),
        _ => None,
    });
    let mut settings = sheet.planner_settings.clone();
    let longest = deadlines.max().unwrap_or_default() + settings.drain_settle;
    settings.drain_limit = settings.drain_limit.max(longest);
    settings
}

/// Returns whether every live member has reported, as a missing report would count as no demand.
fn has_all_reports(node: &Node, reports: &[Report]) -> bool {
    let alive = node.members().into_iter().filter(|member| member.status == Status::Alive).count();
    reports.len() >= alive.max(1)
}

fn unit_index(unit: Unit) -> usize {
    match unit {
        Unit::Requests => 0,
        Unit::Tokens => 1,
    }
}
