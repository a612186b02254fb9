//! Rounds of the lease holder: read, decide, record, then order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::demand::{self, Report};
use super::fleet::Fleet;
use super::{FOLLOW_PERIOD, LEDGER, Node, read_ledger};
use crate::capacity::offer::{self, Sheet, Unit};
use crate::capacity::planner::{Answer, Launch, Ledger};
use crate::capacity::{Action, Forecast, Machine, Planner};
use crate::claim;
use crate::lease::Keeper;
use crate::membership::Status;
use crate::platform::{Failure, Outcome, Query, Start, Transaction, Write};
use crate::resource::{Catalog, Spec};
use crate::timeline::Subject;

/// Key of the object that holds the forecasts, so that a new holder knows the daily rhythm.
const FORECAST: &str = "capacity/forecast";
/// Periods in which the offers are read and the forecasts are written.
const OFFERS_PERIOD: Duration = Duration::from_secs(60);
const FORECAST_PERIOD: Duration = Duration::from_secs(600);
/// Period of the cost report.
const COST_PERIOD: Duration = Duration::from_secs(600);

/// Holds the forecasts of a service in both units.
type Forecasts = BTreeMap<Arc<str>, [Forecast; 2]>;

/// Holds what one holder knows; a holder with another fencing number starts anew.
#[derive(Debug)]
pub struct State {
    fence: u64,
    sheet: Option<Sheet>,
    forecasts: Option<Forecasts>,
    planner: Option<Planner>,
    /// Ledger as last recorded, with the version of its row.
    recorded: Option<(Ledger, Option<u64>)>,
    reports: Vec<Report>,
    fleet: Fleet,
    observed: Option<Duration>,
    offers_at: Duration,
    forecast_at: Duration,
    cost_at: Duration,
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
            observed: None,
            offers_at: Duration::ZERO,
            forecast_at: Duration::ZERO,
            cost_at: Duration::ZERO,
        }
    }

    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Gives the ledger that all nodes may act on: the recorded one.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.recorded.as_ref().map(|(ledger, _)| ledger)
    }

    /// Takes one round; anything that can't be read or recorded is left for the next round.
    pub async fn round(&mut self, node: &Node, keeper: &Keeper) {
        if let Err(failure) = self.try_round(node, keeper).await {
            log::debug!("capacity: round ends early: {failure}");
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
        self.observe(node, now, &sheet, &catalog).await?;
        let listed = node.client.vms().await?;
        let (Some(planner), Some((ledger, version))) = (&mut self.planner, &self.recorded) else {
            return Ok(());
        };
        let complete = all_report(node, &self.reports);
        let reports = complete.then_some(self.reports.as_slice());
        let vms = self.fleet.inspect(node, &listed, planner.ledger(), reports, sheet.warm_up).await;
        let forecasts = self.forecasts.as_ref();
        let needs = sheet.requirements(&catalog, |service, unit| {
            let series = forecasts.and_then(|forecasts| forecasts.get(service));
            series.map_or(0.0, |series| series[index(unit)].planned_demand(now, sheet.quantile))
        });
        let mut settings = bounds(&sheet, &catalog);
        settings.may_drain = complete;
        planner.configure(settings);
        let actions = planner.decide(now, &vms, &needs);
        if now >= self.cost_at {
            self.cost_at = now + COST_PERIOD;
            report_cost(node, &sheet, &vms, &self.reports);
        }
        if planner.ledger() != ledger {
            // The lease may have run out while the VMs were inspected.
            if keeper.grant(node.settings.timing.platform_timeout).is_none() {
                return Ok(());
            }
            let next = planner.ledger().clone();
            match record(node, &next, *version).await {
                Outcome::Done(version) => self.recorded = Some((next, Some(version))),
                Outcome::NotRun => return Ok(()),
                Outcome::Rejected(_) | Outcome::Unknown => {
                    self.recorded = None;
                    return Ok(());
                }
            }
        }
        self.order(node, keeper, actions, &vms, now).await;
        Ok(())
    }

    async fn read_offers(&mut self, node: &Node, now: Duration) -> Result<(), Failure> {
        if now < self.offers_at {
            return Ok(());
        }
        let Some(bytes) = node.client.get_object(offer::OBJECT_KEY).await? else {
            log::debug!("capacity: there is no object {}", offer::OBJECT_KEY);
            return Ok(());
        };
        self.offers_at = now + OFFERS_PERIOD;
        match Sheet::parse(&String::from_utf8_lossy(&bytes)) {
            Ok(sheet) => self.sheet = Some(sheet),
            // The offers in use stay; a mistake must not stop the fleet.
            Err(mistakes) => {
                for mistake in mistakes {
                    log::warn!("capacity: {mistake}");
                }
            }
        }
        Ok(())
    }

    /// Reads the ledger at the start, and again after a write with an unknown outcome.
    async fn read_ledger(&mut self, node: &Node, sheet: &Sheet) -> Result<(), Failure> {
        if self.recorded.is_some() {
            return Ok(());
        }
        let row = node.client.read_row(LEDGER).await?;
        let version = row.as_ref().map(|row| row.version);
        let Some(ledger) = read_ledger(row.as_ref()) else {
            log::warn!("capacity: row {LEDGER} is not a ledger; nothing is started or stopped");
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
            let bytes = node.client.get_object(FORECAST).await?;
            let read = bytes.and_then(|bytes| {
                let read = serde_json::from_slice(&bytes);
                read.map_err(|error| log::warn!("capacity: forecasts can't be read: {error}")).ok()
            });
            self.forecasts = Some(read.unwrap_or_default());
        }
        Ok(())
    }

    /// Sums the reports of the nodes and feeds the forecasts.
    async fn observe(
        &mut self,
        node: &Node,
        now: Duration,
        sheet: &Sheet,
        catalog: &Catalog,
    ) -> Result<(), Failure> {
        let Some(forecasts) = &mut self.forecasts else { return Ok(()) };
        let drains = self.recorded.as_ref().is_some_and(|(ledger, _)| !ledger.drains.is_empty());
        let period = if drains { FOLLOW_PERIOD } else { demand::PERIOD };
        if self.observed.is_some_and(|last| now < last + period) {
            return Ok(());
        }
        let query = Query { keys: Vec::new(), prefixes: vec![demand::PREFIX.to_owned()] };
        let rows = node.client.read(&query).await?;
        let (reports, old) = demand::collect(&rows, now);
        let sums = demand::sum(&reports);
        let length = self.observed.map_or(demand::PERIOD, |last| now - last);
        forecasts.retain(|name, _| catalog.service(name).is_some());
        for (name, sum) in sums.iter().filter(|(name, _)| catalog.service(name).is_some()) {
            let series = forecasts
                .entry(name.clone())
                .or_insert_with(|| [Forecast::new(sheet.lead), Forecast::new(sheet.lead)]);
            series[0].observe(now, length, sum.requests);
            series[1].observe(now, length, sum.tokens);
        }
        self.observed = Some(now);
        self.reports = reports;
        if !old.is_empty() {
            let writes = old.into_iter().map(|key| Write { key, value: None }).collect();
            node.client.transact(&Transaction { conditions: Vec::new(), writes }).await;
        }
        if now >= self.forecast_at {
            self.forecast_at = now + FORECAST_PERIOD;
            if let Ok(bytes) = serde_json::to_vec(forecasts) {
                node.client.put_object(FORECAST, bytes.into()).await?;
            }
        }
        Ok(())
    }

    async fn order(
        &mut self,
        node: &Node,
        keeper: &Keeper,
        actions: Vec<Action>,
        vms: &[Machine],
        now: Duration,
    ) {
        for action in actions {
            // The lease is asked right before each order, since every order takes time.
            if keeper.grant(node.settings.timing.platform_timeout).is_none() {
                return;
            }
            match action {
                Action::Start(launch) => self.start(node, &launch, now).await,
                Action::Stop(vm) => stop(node, &vm).await,
                Action::Drain(vm) => {
                    log::debug!("capacity: VM {vm} is drained, {} VMs are listed", vms.len());
                }
            }
        }
    }

    async fn start(&mut self, node: &Node, launch: &Launch, now: Duration) {
        let place = &launch.placement;
        let start = Start {
            operation: launch.operation.clone(),
            failure_domain: place.failure_domain.clone(),
            pool: place.pool.clone(),
            class: place.class.clone(),
            reclaimable: place.reclaimable,
        };
        let kind = if place.reclaimable { "reclaimable" } else { "on-demand" };
        let what = format!("start {} of a {kind} VM in {}", launch.operation, place.failure_domain);
        let answer = match node.client.start(&start).await {
            Ok(Some(vm)) => {
                node.record("capacity", Subject::default(), format!("{what}: VM {vm}"));
                Answer::Started(vm)
            }
            Ok(None) => {
                node.record("capacity", Subject::default(), format!("{what}: refused"));
                Answer::Refused
            }
            Err(failure) => {
                log::info!("capacity: {what}: {failure}; it is repeated with the same id");
                Answer::Unknown
            }
        };
        if let Some(planner) = &mut self.planner {
            planner.record_answer(now, &launch.operation, answer);
        }
    }
}

/// Puts the present cost on the time line.
fn report_cost(node: &Node, sheet: &Sheet, vms: &[Machine], reports: &[Report]) {
    let cost = sheet.cost_per_hour(vms);
    let requests: f64 = demand::sum(reports).values().map(|demand| demand.requests).sum();
    let count = vms.len();
    let mut text = format!("{count} endpoint VMs cost {cost:.4} per hour");
    if requests > 0.0 {
        text.push_str(&format!(", {:.6} per 1,000 requests", cost / requests / 3.6));
    }
    node.record("capacity", Subject::default(), text);
}

async fn stop(node: &Node, vm: &Arc<str>) {
    match node.client.stop(vm).await {
        Ok(()) => node.record("capacity", Subject::default(), format!("VM {vm} stopped")),
        Err(failure) => log::info!("capacity: stop of VM {vm}: {failure}; it is repeated"),
    }
}

async fn record(node: &Node, ledger: &Ledger, version: Option<u64>) -> Outcome {
    let Ok(value) = serde_json::to_value(ledger) else { return Outcome::NotRun };
    let mut transaction = Transaction::default();
    transaction.put(LEDGER, version, value);
    node.client.transact(&transaction).await
}

/// Makes the drain limit longer than the longest request.
fn bounds(sheet: &Sheet, catalog: &Catalog) -> crate::capacity::planner::Settings {
    let deadlines = catalog.resources.values().filter_map(|resource| match &resource.spec {
        Spec::Service(service) => Some(Duration::from_millis(service.deadline_ms)),
        _ => None,
    });
    let mut settings = sheet.planner_settings.clone();
    let longest = deadlines.max().unwrap_or_default() + settings.drain_settle;
    settings.drain_limit = settings.drain_limit.max(longest);
    settings
}

/// Tells whether no member's demand is missing; one that reports none would look like no demand.
fn all_report(node: &Node, reports: &[Report]) -> bool {
    let alive = node.members().into_iter().filter(|member| member.status == Status::Alive).count();
    reports.len() >= alive.max(1)
}

fn index(unit: Unit) -> usize {
    match unit {
        Unit::Requests => 0,
        Unit::Tokens => 1,
    }
}
