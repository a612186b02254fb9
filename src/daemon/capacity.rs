//! Carries out the capacity duty: every node reports demand, the lease holder starts and stops VMs.
//!
//! The ledger row is written before any start or stop that it lists, on condition that no other
//! holder has written it since. See `docs/cost.md`.

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

/// Names the duty; failure domains are weighed against each other, so there is one holder.
const DUTY: &str = "capacity";
const DOMAIN: &str = "all";
/// Key of the row with the starts and drains in progress.
const LEDGER: &str = "capacity/ledger";
/// Period of decisions.
const PERIOD: Duration = Duration::from_secs(2);
/// Period in which the other nodes read which VMs are drained.
const FOLLOW_PERIOD: Duration = Duration::from_secs(6);

/// Keeps the lease and carries out the duty while this node holds it.
pub async fn run(node: Arc<Node>) {
    let started = Instant::now();
    let process = format!("{}/{:x}", node.settings.node, node.incarnation);
    let keeper = Arc::new(Keeper::new(
        node.client.clone(),
        Duty::new(DUTY, DOMAIN),
        process.into(),
        node.settings.timing.lease_term,
        Arc::new(move || started.elapsed()),
    ));
    let running = keeper.clone();
    let kept = tokio::spawn(async move { running.run().await });
    let mut meter = demand::Meter::default();
    let mut duty: Option<duty::State> = None;
    let mut drained = BTreeSet::new();
    let mut report = demand::Report::default();
    let (mut report_at, mut follow_at) = (Duration::ZERO, Duration::ZERO);
    let mut stopping = node.stopping.subscribe();
    loop {
        let stopped = tokio::time::timeout(PERIOD, stopping.wait_for(|stop| *stop));
        if stopped.await.is_ok() {
            break;
        }
        let now = node.now();
        match keeper.grant(node.settings.timing.platform_timeout) {
            Some(holder) => {
                let state = duty.take().filter(|state| state.fence() == holder.fence);
                let state = duty.insert(state.unwrap_or_else(|| duty::State::new(holder.fence)));
                state.round(&node, &keeper).await;
                if let Some(ledger) = state.ledger() {
                    exclude(&node, ledger, &mut drained);
                }
            }
            None => {
                duty = None;
                if now >= follow_at {
                    follow_at = now + FOLLOW_PERIOD;
                    follow(&node, &mut drained).await;
                }
            }
        }
        let due = now >= report_at;
        if due {
            report_at = now + demand::PERIOD;
            report.services = meter.read(&node, &node.revision.current());
        }
        // The holder waits for all nodes to have seen a drain.
        if due || report.drained != drained {
            report.drained.clone_from(&drained);
            report.at_ms = claim::attempt::unix_ms();
            demand::write(&node, &report).await;
        }
    }
    keeper.release();
    let _ = kept.await;
}

async fn follow(node: &Node, drained: &mut BTreeSet<Arc<str>>) {
    match node.client.read_row(LEDGER).await {
        Ok(row) => match read_ledger(row.as_ref()) {
            Some(ledger) => exclude(node, &ledger, drained),
            None => log::warn!("capacity: row {LEDGER} is not a ledger"),
        },
        Err(failure) => log::debug!("capacity: the ledger could not be read: {failure}"),
    }
}

/// Reads the ledger; a missing row is an empty one, and `None` is a row that can't be read.
fn read_ledger(row: Option<&Row>) -> Option<Ledger> {
    row.map_or(Some(Ledger::default()), |row| Ledger::deserialize(&row.value).ok())
}

/// Stops new work to drained VMs; requests in flight on them finish there.
fn exclude(node: &Node, ledger: &Ledger, drained: &mut BTreeSet<Arc<str>>) {
    let now = node.now();
    for drain in &ledger.drains {
        if !drained.contains(&drain.vm) {
            log::info!("capacity: VM {} is drained and gets no more work", drain.vm);
        }
        for table in node.tables().values_mut() {
            table.remove(now, &drain.vm);
        }
    }
    *drained = ledger.drains.iter().map(|drain| drain.vm.clone()).collect();
}
