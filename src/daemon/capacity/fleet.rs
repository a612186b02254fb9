//! State of the endpoint VMs as the lease holder sees it: which are warm, and which are idle.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::demand::Report;
use crate::capacity::planner::Ledger;
use crate::capacity::{Machine, Placement};
use crate::node::Node;
use crate::order;
use crate::platform::Vm;

/// Timeout for connecting to a VM, which may still be booting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Most VMs that are connected to, or queried for their load, at once.
const MAX_CONCURRENT_CHECKS: usize = 64;

/// Tracks the endpoint VMs between rounds.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Time by VM id at which the VM first accepted a connection.
    connected_at: BTreeMap<Arc<str>, Duration>,
    sender: order::Sender,
}

impl Fleet {
    /// Returns the state of the endpoint VMs in the list.
    ///
    /// `reports` is `None` while a member's report is missing, as that member may still send
    /// requests to any VM; then no VM counts as idle. A VM is warm once `warm_up` has passed since it
    /// first accepted a connection.
    pub async fn inspect(
        &mut self,
        node: &Node,
        vms: &[Vm],
        ledger: &Ledger,
        reports: Option<&[Report]>,
        warm_up: Duration,
    ) -> Vec<Machine> {
        let vms: Vec<&Vm> = vms.iter().filter(|vm| !vm.pool.is_empty()).collect();
        let now = node.now();
        self.connected_at.retain(|id, _| vms.iter().any(|vm| vm.id == *id));
        let unconnected =
            vms.iter().filter(|vm| !vm.leaving && !self.connected_at.contains_key(&vm.id));
        let checks = unconnected
            .take(MAX_CONCURRENT_CHECKS)
            .map(|vm| async { accepts_connection(vm.address).await.then(|| vm.id.clone()) });
        let connected = futures_util::future::join_all(checks).await;
        self.connected_at.extend(connected.into_iter().flatten().map(|id| (id, now)));
        let idle = match reports {
            Some(reports) => self.idle_vms(&vms, ledger, reports).await,
            None => BTreeSet::new(),
        };
        let machines = vms.into_iter().map(|vm| Machine {
            id: vm.id.clone(),
            placement: Placement {
                pool: vm.pool.clone(),
                failure_domain: vm.failure_domain.clone(),
                class: vm.class.clone(),
                reclaimable: vm.reclaimable,
            },
            is_leaving: vm.leaving || node.is_leaving(&vm.id),
            is_warm: self
                .connected_at
                .get(&vm.id)
                .is_some_and(|connected_at| now >= *connected_at + warm_up),
            is_idle: idle.contains(&vm.id),
        });
        machines.collect()
    }

    /// Returns the draining VMs that every node has stopped sending requests to and that report no
    /// request in flight.
    ///
    /// A VM that doesn't report its load never counts as idle; it is stopped at the drain limit.
    async fn idle_vms(
        &self,
        vms: &[&Vm],
        ledger: &Ledger,
        reports: &[Report],
    ) -> BTreeSet<Arc<str>> {
        let is_drain_reported =
            |vm: &Arc<str>| reports.iter().all(|report| report.drained.contains(vm));
        let drained =
            vms.iter().filter(|vm| ledger.is_draining(&vm.id) && is_drain_reported(&vm.id));
        let checks = drained.take(MAX_CONCURRENT_CHECKS).map(|vm| async {
            let state = self.sender.read_state(vm.address).await?;
            (state.running + state.queued == 0).then(|| vm.id.clone())
        });
        futures_util::future::join_all(checks).await.into_iter().flatten().collect()
    }
}

async fn accepts_connection(address: SocketAddr) -> bool {
    matches!(tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}
