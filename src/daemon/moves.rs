//! Runs open moves: every node reports evidence, the lease holder takes the steps.

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

/// Names the duty; moves concern all failure domains, so there is one holder.
const DUTY: &str = "moves";
const DOMAIN: &str = "all";
/// Period of reports and decisions.
const PERIOD: Duration = Duration::from_secs(1);
/// Part of the term that must be left on the lease when a step is written.
///
/// The lease is renewed each third of the term, so a healthy holder has more than half left. A
/// fixed margin of 2 s stopped all steps at a term of 3 s whenever decisions and renewals fell into
/// the same rhythm.
const MARGIN_PARTS: u32 = 3;
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Prepares to take part in the duty.
pub fn keeper(node: &Node) -> Arc<Keeper> {
    let started = Instant::now();
    let process = format!("{}/{:x}", node.settings.node, node.incarnation);
    Arc::new(Keeper::new(
        node.client.clone(),
        Duty::new(DUTY, DOMAIN),
        process.into(),
        node.settings.timing.lease_term,
        Arc::new(move || started.elapsed()),
    ))
}

/// Shows the lease as this node last saw it; only its holder knows the time left.
pub fn show_lease(keeper: &Keeper) -> serde_json::Value {
    let Some(lease) = keeper.last_seen() else { return json!([]) };
    let duty = keeper.duty();
    json!([{
        "duty": duty.name,
        "failure_domain": duty.domain,
        "holder": node_name(&lease.holder),
        "fence": lease.fence,
        "left_ms": keeper.remaining().map(|left| left.as_millis() as u64),
    }])
}

/// Gives the node of a process that holds a lease; empty after a release.
fn node_name(process: &str) -> &str {
    process.split('/').next().unwrap_or_default()
}

/// Keeps the lease and carries out the duty while this node holds it.
pub async fn run(node: Arc<Node>, keeper: Arc<Keeper>) {
    let running = keeper.clone();
    let kept = tokio::spawn(async move { running.run().await });
    let margin = node.settings.timing.lease_term / MARGIN_PARTS;
    let mut sequence = node.incarnation;
    let mut stopping = node.stopping.subscribe();
    loop {
        let stopped = tokio::time::timeout(PERIOD, stopping.wait_for(|stop| *stop));
        if stopped.await.is_ok() {
            break;
        }
        sequence += 1;
        let catalog = node.revision.current();
        node.observer().sync(&catalog);
        report(&node, &keeper, sequence).await;
        if keeper.grant(margin).is_some() {
            decide(&node, &keeper, margin).await;
        }
    }
    keeper.release();
    let _ = kept.await;
}

/// Sends the evidence of this node to the lease holder.
async fn report(node: &Arc<Node>, keeper: &Keeper, sequence: u64) {
    let reports = node.observer().reports(&node.settings.node, sequence);
    if reports.is_empty() {
        return;
    }
    if keeper.grant(Duration::ZERO).is_some() {
        take_reports(node, reports);
        return;
    }
    // The keeper looks at the row several times per term. Reading it here as well would hold back
    // evidence while the platform is down or slow.
    let Some(lease) = keeper.last_seen() else { return };
    let holder = node_name(&lease.holder);
    let member = node.members().into_iter().find(|member| *member.node == *holder);
    let (Some(member), Some(network)) = (member, node.network.get()) else { return };
    let Ok(bytes) = postcard::to_allocvec(&reports) else { return };
    let request = Request::ReportEvidence(bytes);
    if let Err(error) = network.request(member.address, request, REPORT_TIMEOUT).await {
        log::debug!("rollout: evidence did not reach {holder}: {error}");
    }
}

/// Gives reports to the controller; nodes send them only to the lease holder.
pub fn take_reports(node: &Node, reports: Vec<rollout::Report>) {
    let now_ms = claim::attempt::unix_ms();
    let mut controller = node.controller();
    for report in reports {
        controller.accept_report(report, now_ms);
    }
}

async fn decide(node: &Arc<Node>, keeper: &Keeper, margin: Duration) {
    let catalog = node.revision.current();
    let now_ms = claim::attempt::unix_ms();
    let decisions = {
        let marks = node.marks();
        node.controller().decide(&catalog, &marks, now_ms)
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
        // The lease may have run out since the evidence was read.
        let Some(holder) = keeper.grant(margin) else { return };
        let (key, process) = (keeper.duty().key(), keeper.process());
        let guard = commit::HeldLease { key, process, fence: holder.fence };
        let recorded = commit::record_progress(
            &node.client,
            Some(&guard),
            &decision.id,
            progress,
            &next,
            serving.as_ref(),
        );
        match recorded.await {
            Ok(committed) => {
                node.revision.request_revision(committed.revision);
                announce(node, &decision, &next, holder.fence);
            }
            Err(failure) => log::warn!("rollout: step of {} not recorded: {failure}", decision.id),
        }
    }
}

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
            next.reason = "evidence of the step before is good".into();
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

fn announce(node: &Node, decision: &Decision, next: &Progress, fence: u64) {
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
