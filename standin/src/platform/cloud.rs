//! VMs, reclaim notices and the list that lags behind them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelolink::platform::{Notice, Start, Vm};

/// Address of a started VM for which no spare address was set; nothing answers there.
const NOBODY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

#[derive(Debug)]
struct Machine {
    vm: Vm,
    live_at: Instant,
    leaving_at: Option<Instant>,
    gone_at: Option<Instant>,
    /// Set for a reclaim, which has a notice; unset for a stop.
    reclaimed: bool,
}

#[derive(Debug, Default)]
pub(super) struct Cloud {
    machines: Vec<Machine>,
    /// Answers by operation, which make starts idempotent.
    started: HashMap<Arc<str>, Arc<str>>,
    /// Addresses for VMs to be started; once set, a start without a spare is refused.
    spares: Option<VecDeque<SocketAddr>>,
}

impl Cloud {
    /// Replaces all VMs; the list shows them without lag.
    pub(super) fn set(&mut self, vms: Vec<Vm>, now: Instant) {
        self.machines = vms.into_iter().map(|vm| Machine::new(vm, now)).collect();
        for machine in &mut self.machines {
            // Far enough back that no list lag hides a VM that a test has just set.
            machine.live_at = now.checked_sub(Duration::from_secs(3_600)).unwrap_or(now);
        }
    }

    pub(super) fn set_spares(&mut self, spares: Vec<SocketAddr>) {
        self.spares = Some(spares.into());
    }

    /// Gives the VMs as they were `lag` ago.
    pub(super) fn list(&self, now: Instant, lag: Duration) -> Vec<Vm> {
        let seen = |at: Instant| at + lag <= now;
        let shown = self
            .machines
            .iter()
            .filter(|machine| seen(machine.live_at) && !machine.gone_at.is_some_and(seen));
        shown
            .map(|machine| {
                let leaving = machine.vm.leaving || machine.leaving_at.is_some_and(seen);
                Vm { leaving, ..machine.vm.clone() }
            })
            .collect()
    }

    /// Gives the notices of VMs that still have time left.
    pub(super) fn notices(&self, now: Instant) -> Vec<Notice> {
        let pending = self.machines.iter().filter(|machine| machine.reclaimed);
        pending
            .filter_map(|machine| {
                let left = machine.gone_at?.checked_duration_since(now)?;
                Some(Notice { vm: machine.vm.id.clone(), left_ms: left.as_millis() as u64 })
            })
            .collect()
    }

    /// Starts a VM, or gives the VM that the same operation has started before.
    pub(super) fn start(
        &mut self,
        start: &Start,
        refused: bool,
        now: Instant,
        boot: Duration,
    ) -> Option<Arc<str>> {
        if let Some(id) = self.started.get(&start.operation) {
            return Some(id.clone());
        }
        if refused {
            return None;
        }
        let address = match &mut self.spares {
            Some(spares) => spares.pop_front()?,
            None => NOBODY,
        };
        let id: Arc<str> = format!("started-{}", self.started.len() + 1).into();
        let neighbour =
            self.machines.iter().find(|machine| machine.vm.failure_domain == start.failure_domain);
        let vm = Vm {
            id: id.clone(),
            address,
            region: neighbour.map_or_else(|| "".into(), |machine| machine.vm.region.clone()),
            failure_domain: start.failure_domain.clone(),
            pool: start.pool.clone(),
            class: start.class.clone(),
            reclaimable: start.reclaimable,
            leaving: false,
        };
        self.machines.push(Machine::new(vm, now + boot));
        self.started.insert(start.operation.clone(), id.clone());
        Some(id)
    }

    /// Stops a VM at once; gives false when there is no such VM.
    pub(super) fn stop(&mut self, vm: &str, now: Instant) -> bool {
        let Some(machine) = self.find(vm) else { return false };
        machine.leaving_at = Some(now);
        machine.gone_at = Some(now);
        machine.reclaimed = false;
        true
    }

    /// Sets a reclaim notice; gives false when there is no such VM.
    pub(super) fn reclaim(&mut self, vm: &str, left: Duration, now: Instant) -> bool {
        let Some(machine) = self.find(vm) else { return false };
        machine.leaving_at = Some(now);
        machine.gone_at = Some(now + left);
        machine.reclaimed = true;
        true
    }

    fn find(&mut self, vm: &str) -> Option<&mut Machine> {
        self.machines.iter_mut().find(|machine| &*machine.vm.id == vm)
    }
}

impl Machine {
    fn new(vm: Vm, live_at: Instant) -> Machine {
        Machine { vm, live_at, leaving_at: None, gone_at: None, reclaimed: false }
    }
}
