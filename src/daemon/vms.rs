//! Follows the platform's list of VMs and its reclaim notices.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use crate::node::Node;
use crate::peer::{Reply, Request};
use crate::platform::{Notice, Vm};
use crate::routing;
use crate::timeline::Subject;

/// Relative price of a VM by kind; the platform's list carries no price.
const RECLAIMABLE_COST: u32 = 1;
const ON_DEMAND_COST: u32 = 3;
/// Time for which a VM that is gone counts as leaving, since the list lags behind.
const GONE_KEEP: Duration = Duration::from_secs(60);

/// Peers asked for their list, and the time that each has to answer.
const PEERS_ASKED: usize = 3;
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two readings of the list per entry VM. The list names every VM and is the largest
/// answer of the platform, so large clusters read it less often.
const LIST_PERIOD_PER_NODE: Duration = Duration::from_millis(15);
/// Longest time between two readings; work must leave a stopping VM within about 2 s.
const LONGEST_LIST_PERIOD: Duration = Duration::from_secs(2);

/// Polls the notices, and in large clusters less often the list, until the process ends.
pub async fn follow(node: Arc<Node>) {
    // A slow list must not delay a notice, which leaves only a few seconds.
    futures_util::future::join(follow_notices(&node), follow_list(&node)).await;
}

async fn follow_notices(node: &Arc<Node>) {
    loop {
        match node.client.notices().await {
            Ok(notices) => take_notices(node, &notices),
            Err(error) => log::debug!("vms: the notices could not be read: {error}"),
        }
        tokio::time::sleep(node.settings.timing.vm_poll).await;
    }
}

async fn follow_list(node: &Arc<Node>) {
    loop {
        match node.client.vms().await {
            Ok(vms) => {
                // The list can be ahead of the notices, but does not tell the time that is left.
                let news = vms.iter().any(|vm| vm.leaving && !node.is_leaving(&vm.id));
                if news && let Ok(notices) = node.client.notices().await {
                    take_notices(node, &notices);
                }
                take_vms(node, vms);
            }
            Err(error) => {
                log::debug!("vms: the VM list could not be read: {error}");
                if !node.vms_known.load(Ordering::Relaxed) {
                    ask_peers(node).await;
                }
            }
        }
        let period = list_period(node.settings.timing.vm_poll, node.members().len());
        tokio::time::sleep(period).await;
    }
}

/// Gives the time between two readings of the VM list in a cluster of some size.
fn list_period(poll: Duration, nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    LIST_PERIOD_PER_NODE.saturating_mul(nodes).min(LONGEST_LIST_PERIOD).max(poll)
}

/// Gives the list to a node that has none, if this node has one.
pub fn give(node: &Node) -> Reply {
    let known = node.vms_known.load(Ordering::Relaxed);
    let list = known.then(|| postcard::to_allocvec(&**node.vms.borrow()));
    match list {
        Some(Ok(bytes)) => Reply::Payload(bytes),
        _ => Reply::Refused("this node has no list of VMs".into()),
    }
}

/// Takes the list of a peer, so that a node which starts during an outage of the platform serves.
async fn ask_peers(node: &Arc<Node>) {
    let Some(network) = node.network.get() else { return };
    for member in network.sample(PEERS_ASKED) {
        let reply = network.request(member.address, Request::PullVms, PEER_TIMEOUT).await;
        let Ok(Reply::Payload(bytes)) = reply else { continue };
        if let Ok(vms) = postcard::from_bytes(&bytes) {
            log::info!("vms: the list of {} is in use until the platform answers", member.node);
            return take_vms(node, vms);
        }
    }
}

fn take_notices(node: &Arc<Node>, notices: &[Notice]) {
    for notice in notices {
        let left = Duration::from_millis(notice.left_ms);
        if notice.vm == node.settings.node {
            // A later notice can leave less time than the first one, or than a stop under way.
            if node.schedule_stop(left) {
                log::warn!("vms: this VM is reclaimed in {} ms", notice.left_ms);
            }
        } else {
            let mut gone_at = node.gone_at.lock().unwrap_or_else(PoisonError::into_inner);
            gone_at.insert(notice.vm.clone(), Instant::now() + left);
            drop(gone_at);
            leave(node, &notice.vm, "reclaim notice");
        }
    }
}

fn take_vms(node: &Arc<Node>, vms: Vec<Vm>) {
    for vm in vms.iter().filter(|vm| vm.leaving) {
        leave(node, &vm.id, "listed as leaving");
    }
    node.directory.retain(|address| vms.iter().any(|vm| vm.address == address));
    node.limits.retain(|id| vms.iter().any(|vm| *vm.id == *id));
    forget(node, &vms);
    let mut pools: HashMap<Arc<str>, Vec<routing::Endpoint>> = HashMap::new();
    for vm in vms.iter().filter(|vm| !vm.pool.is_empty() && !node.is_leaving(&vm.id)) {
        pools.entry(vm.pool.clone()).or_default().push(endpoint(vm));
    }
    let now = node.now();
    let known: Vec<Arc<str>> = node.tables().keys().cloned().collect();
    for pool in known {
        pools.entry(pool).or_default();
    }
    for (pool, endpoints) in pools {
        node.with_table(&pool, |table| table.update(now, endpoints));
    }
    node.vms_known.store(true, Ordering::Relaxed);
    node.vms.send_if_modified(|known| {
        let changed = **known != vms;
        if changed {
            *known = Arc::new(vms);
        }
        changed
    });
}

/// Forgets VMs that are gone, so that the lists of leaving VMs stay small.
fn forget(node: &Node, vms: &[Vm]) {
    let now = Instant::now();
    let mut gone_at = node.gone_at.lock().unwrap_or_else(PoisonError::into_inner);
    let is_kept = |id: &Arc<str>, end: Option<&Instant>| {
        end.is_some_and(|end| *end + GONE_KEEP > now) || vms.iter().any(|vm| vm.id == *id)
    };
    node.leaving.send_if_modified(|leaving| {
        let kept: Vec<_> =
            leaving.iter().filter(|id| is_kept(id, gone_at.get(*id))).cloned().collect();
        let changed = kept.len() != leaving.len();
        if changed {
            *leaving = Arc::new(kept);
        }
        changed
    });
    gone_at.retain(|id, end| is_kept(id, Some(end)));
}

/// Stops new work to an endpoint and makes its streams move away.
fn leave(node: &Arc<Node>, vm: &Arc<str>, reason: &str) {
    if node.is_leaving(vm) {
        return;
    }
    log::info!("vms: endpoint {vm} gets no more work: {reason}");
    let text = format!("endpoint {vm} gets no more work: {reason}");
    node.record("vms", Subject::default(), text);
    let now = node.now();
    for table in node.tables().values_mut() {
        table.remove(now, vm);
    }
    node.leaving.send_modify(|leaving| {
        let mut all = Vec::clone(leaving);
        all.push(vm.clone());
        *leaving = Arc::new(all);
    });
}

fn endpoint(vm: &Vm) -> routing::Endpoint {
    routing::Endpoint {
        id: vm.id.clone(),
        address: vm.address,
        failure_domain: vm.failure_domain.clone(),
        region: vm.region.clone(),
        pool: vm.pool.clone(),
        version: None,
        cost: if vm.reclaimable { RECLAIMABLE_COST } else { ON_DEMAND_COST },
    }
}
