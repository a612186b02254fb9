//! Capacity duty: every node reports its demand, the lease holder starts and stops endpoint VMs.
//!
//! The holder writes the ledger row before it sends any start or stop that the row lists. The write
//! is conditional on the version of the row, so it fails if another holder has written it since.
//! See `docs/cost.md`.

mod demand;
mod duty;
mod fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::capacity::planner::Ledger;
use crate::claim;
use crate::lease::{Duty, Keeper};
use crate::node::Node;
use crate::platform::Row;

/// Name of the duty. One node holds it for all failure domains, as the planner compares them.
const DUTY_NAME: &str = "capacity";
const LEASE_DOMAIN: &str = "all";
/// Key of the table row that lists the starts and drains in progress.
const LEDGER_KEY: &str = "capacity/ledger";
/// Interval between decisions of the lease holder.
const DECISION_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which nodes without the lease read the ledger to learn which VMs are drained, and at
/// which the holder reads the reports while a drain is in progress.
const LEDGER_POLL_PERIOD: Duration = Duration::from_secs(6);

/// Campaigns for the lease, performs the duty while this node holds it, and reports demand until
/// the node stops.
pub async fn run(node: Arc<Node>) {
    let started = Instant::now();
    let process = format!("{}/{:x}", node.settings.node, node.incarnation);
    let keeper = Arc::new(Keeper::new(
        node.client.clone(),
        Duty::new(DUTY_NAME, LEASE_DOMAIN),
        process.into(),
        node.settings.timing.lease_term,
        Arc::new(move || started.elapsed()),
    ));
    let running = keeper.clone();
    let lease_task = tokio::spawn(async move { running.run().await });
    let mut meter = demand::Meter::default();
    let mut duty: Option<duty::State> = None;
    let mut drained = BTreeSet::new();
    let mut report = demand::Report::default();
    let (mut next_report, mut next_ledger_poll) = (Duration::ZERO, Duration::ZERO);
    let mut stopping = node.stopping.subscribe();
    loop {
        let stopped = tokio::time::timeout(DECISION_PERIOD, stopping.wait_for(|stop| *stop));
        if stopped.await.is_ok() {
            break;
        }
        let now = node.now();
        match keeper.grant(node.settings.timing.platform_timeout) {
            Some(holder) => {
                let state = duty.take().filter(|state| state.fence() == holder.fence);
                let state = duty.insert(state.unwrap_or_else(|| duty::State::new(holder.fence)));
                state.run_round(&node, &keeper).await;
                if let Some(ledger) = state.ledger() {
                    exclude_drained(&node, ledger, &mut drained);
                }
            }
            None => {
                duty = None;
                if now >= next_ledger_poll {
                    next_ledger_poll = now + LEDGER_POLL_PERIOD;
                    poll_ledger(&node, &mut drained).await;
                }
            }
        }
        let is_report_due = now >= next_report;
        if is_report_due {
            next_report = now + demand::REPORT_PERIOD;
            report.services = meter.measure(&node, &node.revision.current());
        }
        // The holder waits until all nodes have reported a drain, so it is reported at once.
        if is_report_due || report.drained != drained {
            report.drained.clone_from(&drained);
            report.at_ms = claim::attempt::unix_ms();
            demand::write_report(&node, &report).await;
        }
    }
    keeper.release();
    let _ = lease_task.await;
}

async fn poll_ledger(node: &Node, drained: &mut BTreeSet<Arc<str>>) {
    match node.client.read_row(LEDGER_KEY).await {
        Ok(row) => match read_ledger(row.as_ref()) {
            Some(ledger) => exclude_drained(node, &ledger, drained),
            None => log::warn!("capacity: row {LEDGER_KEY} can't be decoded as a ledger"),
        },
        Err(failure) => log::debug!("capacity: cannot read the ledger: {failure}"),
    }
}

/// Decodes the ledger row; a missing row yields an empty ledger, and an invalid one `None`.
fn read_ledger(row: Option<&Row>) -> Option<Ledger> {
    row.map_or(Some(Ledger::default()), |row| Ledger::deserialize(&row.value).ok())
}

/// Removes drained VMs from the routing tables; requests in flight on them finish there.
fn exclude_drained(node: &Node, ledger: &Ledger, drained: &mut BTreeSet<Arc<str>>) {
    let now = node.now();
    for drain in &ledger.drains {
        if !drained.contains(&drain.vm) {
            log::info!("capacity: VM {} is draining and receives no new requests", drain.vm);
        }
        for table in node.tables().values_mut() {
            table.remove(now, &drain.vm);
        }
    }
    *drained = ledger.drains.iter().map(|drain| drain.vm.clone()).collect();
}
