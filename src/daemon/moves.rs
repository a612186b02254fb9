//! Moves in progress: every node reports evidence, the lease holder advances or reverts the moves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::claim;
use crate::lease::{Duty, Keeper};
use crate::node::Node;
use crate::peer::Request;
use crate::resource::{Phase, Progress, Spec};
use crate::revision::commit;
use crate::rollout::{self, Decision, Step};
use crate::timeline::Subject;

/// Name of the duty. One node holds it for all failure domains, as a move spans all of them.
const DUTY_NAME: &str = "moves";
const LEASE_DOMAIN: &str = "all";
/// Interval between reports and between decisions.
const PERIOD: Duration = Duration::from_secs(1);
/// Divisor of the lease term; the lease must stay valid for longer than the result to write a step.
///
/// The lease is renewed after each third of the term, so a healthy holder has more than half of the
/// term remaining. A fixed margin of 2 s at a term of 3 s blocked all steps whenever decisions and
/// renewals ran in phase.
const LEASE_MARGIN_DIVISOR: u32 = 3;
/// Timeout for sending a report to the lease holder; shorter than `PERIOD`.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Creates the lease keeper of the duty.
pub fn new_keeper(node: &Node) -> Arc<Keeper> {
    let started = Instant::now();
    let process = format!("{}/{:x}", node.settings.node, node.incarnation);
    Arc::new(Keeper::new(
        node.client.clone(),
        Duty::new(DUTY_NAME, LEASE_DOMAIN),
        process.into(),
        node.settings.timing.lease_term,
        Arc::new(move || started.elapsed()),
    ))
}

/// Returns the lease as this node last saw it, as JSON; only the holder knows the remaining time.
pub fn lease_json(keeper: &Keeper) -> serde_json::Value {
    let Some(lease) = keeper.last_seen() else { return json!([]) };
    let duty = keeper.duty();
    json!([{
        "duty": duty.name,
        "failure_domain": duty.domain,
        "holder": node_name(&lease.holder),
        "fence": lease.fence,
        "left_ms": keeper.remaining().map(|remaining| remaining.as_millis() as u64),
    }])
}

/// Returns the node name of a lease holder's process name; empty after a release.
fn node_name(process: &str) -> &str {
    process.split('/').next().unwrap_or_default()
}

/// Campaigns for the lease, reports evidence, and decides on steps while this node holds the lease,
/// until the node stops.
pub async fn run(node: Arc<Node>, keeper: Arc<Keeper>) {
    let running = keeper.clone();
    let lease_task = tokio::spawn(async move { running.run().await });
    let margin = node.settings.timing.lease_term / LEASE_MARGIN_DIVISOR;
    let mut sequence = node.incarnation;
    let mut stopping = node.stopping.subscribe();
    loop {
        let stopped = tokio::time::timeout(PERIOD, stopping.wait_for(|stop| *stop));
        if stopped.await.is_ok() {
            break;
        }
        sequence += 1;
        let catalog = node.revision.current();
        node.rollout_observer().sync(&catalog);
        report_evidence(&node, &keeper, sequence).await;
        if keeper.grant(margin).is_some() {
            take_steps(&node, &keeper, margin).await;
        }
    }
    keeper.release();
    let _ = lease_task.await;
}

/// Sends the evidence of this node to the lease holder.
async fn report_evidence(node: &Arc<Node>, keeper: &Keeper, sequence: u64) {
    let reports = node.rollout_observer().reports(&node.settings.node, sequence);
    if reports.is_empty() {
        return;
    }
    if keeper.grant(Duration::ZERO).is_some() {
        accept_reports(node, reports);
        return;
    }
    // The keeper reads the lease row several times per term. Reading it here as well would delay
    // evidence while the platform is down or slow.
    let Some(lease) = keeper.last_seen() else { return };
    let holder = node_name(&lease.holder);
    let member = node.members().into_iter().find(|member| *member.node == *holder);
    let (Some(member), Some(network)) = (member, node.network.get()) else { return };
    let Ok(bytes) = postcard::to_allocvec(&reports) else { return };
    let request = Request::ReportEvidence(bytes);
    if let Err(error) = network.request(member.address, request, REPORT_TIMEOUT).await {
        log::debug!("rollout: cannot send evidence to {holder}: {error}");
    }
}

/// Passes reports to the rollout controller; nodes send them only to the lease holder.
pub fn accept_reports(node: &Node, reports: Vec<rollout::Report>) {
    let now_ms = claim::attempt::unix_ms();
    let mut controller = node.rollout_controller();
    for report in reports {
        controller.accept_report(report, now_ms);
    }
}

/// Decides on all moves in progress and records the steps, each under the fence of the lease.
async fn take_steps(node: &Arc<Node>, keeper: &Keeper, margin: Duration) {
    let catalog = node.revision.current();
    let now_ms = claim::attempt::unix_ms();
    let decisions = {
        let bad_versions = node.bad_versions();
        node.rollout_controller().decide(&catalog, &bad_versions, now_ms)
    };
    for decision in decisions {
        if let Some(mark) = decision.bad_version.clone() {
            node.add_marks(vec![mark], "the evidence of all nodes");
        }
        let resource = catalog.resources.get(&decision.id);
        let Some(resource) = resource else { continue };
        let (Spec::Move(spec), Some(progress)) = (&resource.spec, &resource.status.progress) else {
            continue;
        };
        let Some((next, serving)) = next_progress(&decision, progress, &spec.to, now_ms) else {
            continue;
        };
        // The lease may have expired since the evidence was read.
        let Some(holder) = keeper.grant(margin) else { return };
        let (key, process) = (keeper.duty().key(), keeper.process());
        let held_lease = commit::HeldLease { key, process, fence: holder.fence };
        let recorded = commit::record_progress(
            &node.client,
            Some(&held_lease),
            &decision.id,
            progress,
            &next,
            serving.as_ref(),
        );
        match recorded.await {
            Ok(committed) => {
                node.revision.request_revision(committed.revision);
                record_step(node, &decision, &next, holder.fence);
            }
            Err(failure) => log::warn!("rollout: step of {} not recorded: {failure}", decision.id),
        }
    }
}

/// Returns the progress after the decided step, and the new version of the service if the move is
/// complete; `None` if nothing changes.
fn next_progress(
    decision: &Decision,
    progress: &Progress,
    to: &Arc<str>,
    now_ms: u64,
) -> Option<(Progress, Option<Arc<str>>)> {
    let mut next = Progress { changed_ms: now_ms, ..progress.clone() };
    match &decision.step {
        Step::Hold => return None,
        Step::Raise { share_permille } => {
            next.share_permille = *share_permille;
            next.reason = "the evidence of the previous step is good".into();
        }
        Step::Complete => {
            next.share_permille = 1_000;
            next.phase = Phase::Done;
            next.reason = "all steps are done".into();
            return Some((next, Some(to.clone())));
        }
        Step::Revert { reason } => {
            next.share_permille = 0;
            next.phase = Phase::Reverted;
            next.reason = reason.clone();
        }
    }
    Some((next, None))
}

/// Logs a step and records it on the time line.
fn record_step(node: &Node, decision: &Decision, next: &Progress, fence: u64) {
    let subject = Subject {
        move_name: Some(decision.id.name.clone()),
        service: Some(decision.key.service.clone()),
        ..Subject::default()
    };
    let share = f64::from(next.share_permille) / 10.0;
    let state = match next.phase {
        Phase::InProgress => "in progress",
        Phase::Done => "done",
        Phase::Reverted => "reverted",
    };
    let text = format!("move is {state} at {share}% (lease fence {fence}): {}", next.reason);
    log::info!("rollout: {}: {text}", decision.id);
    node.record("rollout", subject, text);
}
