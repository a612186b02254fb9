//! What the holder knows about the VMs: which are warm, and which drained ones are idle.

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

/// Longest wait for a connection to a VM that may not be up yet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// VMs asked at once.
const ASKED: usize = 64;

/// Remembers VMs between rounds.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Times at which VMs first accepted a connection.
    answered: BTreeMap<Arc<str>, Duration>,
    sender: order::Sender,
}

impl Fleet {
    /// Describes the endpoint VMs of the list.
    ///
    /// `reports` is `None` while a member's report is missing: it may still send work anywhere.
    pub async fn inspect(
        &mut self,
        node: &Node,
        vms: &[Vm],
        ledger: &Ledger,
        reports: Option<&[Report]>,
        warm: Duration,
    ) -> Vec<Machine> {
        let vms: Vec<&Vm> = vms.iter().filter(|vm| !vm.pool.is_empty()).collect();
        let now = node.now();
        self.answered.retain(|id, _| vms.iter().any(|vm| vm.id == *id));
        let silent = vms.iter().filter(|vm| !vm.leaving && !self.answered.contains_key(&vm.id));
        let asked =
            silent.take(ASKED).map(|vm| async { answers(vm.address).await.then(|| vm.id.clone()) });
        let answering = futures_util::future::join_all(asked).await;
        self.answered.extend(answering.into_iter().flatten().map(|id| (id, now)));
        let idle = match reports {
            Some(reports) => self.idle(&vms, ledger, reports).await,
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
            is_warm: self.answered.get(&vm.id).is_some_and(|since| now >= *since + warm),
            is_idle: idle.contains(&vm.id),
        });
        machines.collect()
    }

    /// Finds the drained VMs that no node sends work to and that report no request in flight.
    ///
    /// A VM without a load report never counts as idle; it is stopped at the drain limit.
    async fn idle(&self, vms: &[&Vm], ledger: &Ledger, reports: &[Report]) -> BTreeSet<Arc<str>> {
        let known = |vm: &Arc<str>| reports.iter().all(|report| report.drained.contains(vm));
        let drained = vms.iter().filter(|vm| ledger.is_draining(&vm.id) && known(&vm.id));
        let asked = drained.take(ASKED).map(|vm| async {
            let state = self.sender.read_state(vm.address).await?;
            (state.running + state.queued == 0).then(|| vm.id.clone())
        });
        futures_util::future::join_all(asked).await.into_iter().flatten().collect()
    }
}

async fn answers(address: SocketAddr) -> bool {
    matches!(tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}
