//! Chooses the endpoint for one attempt.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::daemon::Node;
use crate::error::{Error, Kind, Result};
use crate::resource::Catalog;

/// Names the endpoint of one attempt.
#[derive(Debug, Clone)]
pub struct Target {
    pub version: Arc<str>,
    pub vm: Arc<str>,
    pub address: SocketAddr,
}

/// Endpoints that an attempt must not use, since they just failed the same request.
pub type Exclude = SmallVec<[Arc<str>; 4]>;

/// Chooses an endpoint of the serving version.
///
/// # Errors
///
/// Fails with `NoEndpoint` when every endpoint is leaving or excluded; nothing was sent.
pub fn choose(node: &Node, catalog: &Catalog, service: &str, exclude: &Exclude) -> Result<Target> {
    let missing = || Error::new(Kind::NoEndpoint, format!("service {service} has no endpoint"));
    let version = catalog.serving(service).ok_or_else(missing)?;
    let pool = catalog.version(&version).map(|version| version.pool.clone()).ok_or_else(missing)?;
    let vms = node.vms.borrow().clone();
    let usable: Vec<_> = vms
        .iter()
        .filter(|vm| vm.pool == pool && !vm.leaving && !exclude.contains(&vm.id))
        .collect();
    let index = usize::try_from(node.tick()).unwrap_or(0) % usable.len().max(1);
    let vm = usable.get(index).ok_or_else(missing)?;
    Ok(Target { version, vm: vm.id.clone(), address: vm.address })
}
