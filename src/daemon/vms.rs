//! Polls the platform's list of VMs and its reclaim notices.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use crate::node::Node;
use crate::peer::{Reply, Request};
use crate::platform::{Notice, Vm};
use crate::routing;
use crate::timeline::Subject;

/// Relative cost of a VM by kind, as the platform's list carries no prices.
const RECLAIMABLE_COST: u32 = 1;
const ON_DEMAND_COST: u32 = 3;
/// Time for which a reclaimed VM still counts as leaving after it is gone, as the VM list lags.
const GONE_VM_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of peers that are queried for their VM list.
const MAX_PEERS_QUERIED: usize = 3;
/// Timeout for the reply of each peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between reads of the VM list, per node of the cluster. The list names every VM and is
/// the largest response of the platform, so nodes of large clusters read it less often.
const LIST_PERIOD_PER_NODE: Duration = Duration::from_millis(15);
/// Longest interval between reads of the list; requests must leave a stopping VM within about 2 s.
const MAX_LIST_PERIOD: Duration = Duration::from_secs(2);

/// Polls the notices and the VM list until the process ends; in large clusters the list less often.
pub async fn poll(node: Arc<Node>) {
    // A slow read of the list must not delay a notice, whose VM is gone within a few seconds.
    futures_util::future::join(poll_notices(&node), poll_list(&node)).await;
}

async fn poll_notices(node: &Arc<Node>) {
    loop {
        match node.client.notices().await {
            Ok(notices) => apply_notices(node, &notices),
            Err(error) => log::debug!("vms: cannot read the reclaim notices: {error}"),
        }
        tokio::time::sleep(node.settings.timing.vm_poll).await;
    }
}

async fn poll_list(node: &Arc<Node>) {
    loop {
        match node.client.vms().await {
            Ok(vms) => {
                // The list can be ahead of the notices but doesn't say when the VM will be gone.
                let is_new = vms.iter().any(|vm| vm.leaving && !node.is_leaving(&vm.id));
                if is_new && let Ok(notices) = node.client.notices().await {
                    apply_notices(node, &notices);
                }
                apply_vms(node, vms);
            }
            Err(error) => {
                log::debug!("vms: cannot read the VM list: {error}");
                if !node.has_vm_list.load(Ordering::Relaxed) {
                    fetch_from_peers(node).await;
                }
            }
        }
        let period = list_period(node.settings.timing.vm_poll, node.members().len());
        tokio::time::sleep(period).await;
    }
}

/// Returns the interval between reads of the VM list in a cluster of `nodes` nodes.
fn list_period(poll: Duration, nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    LIST_PERIOD_PER_NODE.saturating_mul(nodes).min(MAX_LIST_PERIOD).max(poll)
}

/// Returns the VM list as a reply to a peer that has none; refuses if this node has none either.
pub fn list_reply(node: &Node) -> Reply {
    let is_known = node.has_vm_list.load(Ordering::Relaxed);
    let list = is_known.then(|| postcard::to_allocvec(&**node.vms.borrow()));
    match list {
        Some(Ok(bytes)) => Reply::Payload(bytes),
        _ => Reply::Refused("this node has no VM list".into()),
    }
}

/// Fetches the VM list from a peer, so that a node that starts during a platform outage can serve.
async fn fetch_from_peers(node: &Arc<Node>) {
    let Some(network) = node.network.get() else { return };
    for member in network.sample(MAX_PEERS_QUERIED) {
        let reply = network.request(member.address, Request::PullVms, PEER_TIMEOUT).await;
        let Ok(Reply::Payload(bytes)) = reply else { continue };
        if let Ok(vms) = postcard::from_bytes(&bytes) {
            log::info!(
                "vms: using the VM list of peer {} until the platform responds",
                member.node
            );
            return apply_vms(node, vms);
        }
    }
}

fn apply_notices(node: &Arc<Node>, notices: &[Notice]) {
    for notice in notices {
        let remaining = Duration::from_millis(notice.left_ms);
        if notice.vm == node.settings.node {
            // A later notice can have an earlier deadline than a stop that is in progress.
            if node.schedule_stop(remaining) {
                log::warn!("vms: this VM will be reclaimed in {} ms", notice.left_ms);
            }
        } else {
            let mut gone_at = node.gone_at.lock().unwrap_or_else(PoisonError::into_inner);
            gone_at.insert(notice.vm.clone(), Instant::now() + remaining);
            drop(gone_at);
            mark_leaving(node, &notice.vm, "reclaim notice");
        }
    }
}

fn apply_vms(node: &Arc<Node>, vms: Vec<Vm>) {
    for vm in vms.iter().filter(|vm| vm.leaving) {
        mark_leaving(node, &vm.id, "listed as leaving");
    }
    node.directory.retain(|address| vms.iter().any(|vm| vm.address == address));
    node.limits.retain(|id| vms.iter().any(|vm| *vm.id == *id));
    remove_gone(node, &vms);
    let mut pools: HashMap<Arc<str>, Vec<routing::Endpoint>> = HashMap::new();
    for vm in vms.iter().filter(|vm| !vm.pool.is_empty() && !node.is_leaving(&vm.id)) {
        pools.entry(vm.pool.clone()).or_default().push(endpoint(vm));
    }
    let now = node.now();
    let known_pools: Vec<Arc<str>> = node.tables().keys().cloned().collect();
    for pool in known_pools {
        pools.entry(pool).or_default();
    }
    for (pool, endpoints) in pools {
        node.with_table(&pool, |table| table.update(now, endpoints));
    }
    node.has_vm_list.store(true, Ordering::Relaxed);
    node.vms.send_if_modified(|known| {
        let is_changed = **known != vms;
        if is_changed {
            *known = Arc::new(vms);
        }
        is_changed
    });
}

/// Removes VMs that are gone from the lists of leaving VMs, so that these stay small.
fn remove_gone(node: &Node, vms: &[Vm]) {
    let now = Instant::now();
    let mut gone_at = node.gone_at.lock().unwrap_or_else(PoisonError::into_inner);
    let is_kept = |id: &Arc<str>, gone_at: Option<&Instant>| {
        gone_at.is_some_and(|gone_at| *gone_at + GONE_VM_RETENTION > now)
            || vms.iter().any(|vm| vm.id == *id)
    };
    node.leaving.send_if_modified(|leaving| {
        let kept: Vec<_> =
            leaving.iter().filter(|id| is_kept(id, gone_at.get(*id))).cloned().collect();
        let is_changed = kept.len() != leaving.len();
        if is_changed {
            *leaving = Arc::new(kept);
        }
        is_changed
    });
    gone_at.retain(|id, gone_at| is_kept(id, Some(gone_at)));
}

/// Removes an endpoint VM from the routing tables and makes its streams move to other endpoints.
fn mark_leaving(node: &Arc<Node>, vm: &Arc<str>, reason: &str) {
    if node.is_leaving(vm) {
        return;
    }
    log::info!("vms: endpoint {vm} receives no new requests: {reason}");
    let text = format!("endpoint {vm} receives no new requests: {reason}");
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
