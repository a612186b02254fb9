//! Fleets whose connections to endpoints and to the platform pass through fault proxies.

use std::net::SocketAddr;

use serde_json::Value;
use standin::fleet::{self, Fleet};
use standin::proxy;
use tokio::net::TcpListener;

use super::Result;
use crate::common;

/// Holds a fleet with the control addresses of its proxies.
pub struct Proxied {
    pub fleet: Fleet,
    controls: Vec<SocketAddr>,
    platforms: Vec<SocketAddr>,
    direct: Vec<SocketAddr>,
}

/// Starts a proxy in this process; gives its address and its control address.
async fn proxy(to: SocketAddr) -> Result<(SocketAddr, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let control = TcpListener::bind("127.0.0.1:0").await?;
    let addresses = (listener.local_addr()?, control.local_addr()?);
    tokio::spawn(proxy::run(listener, control, proxy::Options::to(to)));
    Ok(addresses)
}

/// Starts entry VMs and booking services with a proxy before each service, and one between each
/// entry VM and the platform.
pub async fn start(dir: &tempfile::TempDir, entries: usize, services: usize) -> Result<Proxied> {
    let mut fleet = super::fleet(dir, 0, services).await?;
    let (mut controls, mut direct, mut platforms) = (Vec::new(), Vec::new(), Vec::new());
    for endpoint in &mut fleet.endpoints {
        let (address, control) = proxy(endpoint.vm.address).await?;
        direct.push(std::mem::replace(&mut endpoint.vm.address, address));
        controls.push(control);
    }
    fleet.register().await?;
    for index in 0..entries {
        let (platform, control) = proxy(fleet.platform).await?;
        fleet.entry_with(common::DOMAINS[index], platform)?;
        platforms.push(control);
    }
    fleet.all_ready().await?;
    Ok(Proxied { fleet, controls, platforms, direct })
}

impl Proxied {
    /// Sets faults of the connections to all endpoints.
    pub async fn endpoints(&self, faults: &Value) -> Result {
        for &control in &self.controls {
            fleet::control(control, "POST", "/faults", faults).await?;
        }
        Ok(())
    }

    /// Sets faults of the connections to one endpoint.
    pub async fn endpoint(&self, index: usize, faults: &Value) -> Result {
        Ok(fleet::control(self.controls[index], "POST", "/faults", faults).await?)
    }

    /// Sets faults of the connections between one entry VM and the platform.
    pub async fn platform(&self, entry: usize, faults: &Value) -> Result {
        Ok(fleet::control(self.platforms[entry], "POST", "/faults", faults).await?)
    }

    /// Lets the helper read the counters of the services without the proxies.
    pub fn reach_directly(&mut self) {
        for (endpoint, address) in self.fleet.endpoints.iter_mut().zip(&self.direct) {
            endpoint.vm.address = *address;
        }
    }
}
