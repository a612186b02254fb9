use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use super::{Endpoint, Locality, mix};

/// Maximum number of endpoints per node, which bounds its connections and the cost of a choice.
pub const MAX_ENDPOINTS: usize = 64;

/// Number of endpoints in a full subset reserved for other regions, so that a node can still serve
/// when its own region loses all endpoints.
const RESERVED_REMOTE: usize = 16;

/// Selects the endpoints that a node uses.
///
/// The selection depends only on the node, its region, and the endpoints. Each failure domain is
/// represented in proportion to its number of endpoints, so that across many nodes every endpoint
/// is selected about equally often.
pub fn subset(locality: &Locality, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
    if endpoints.len() <= MAX_ENDPOINTS {
        return endpoints;
    }
    let node = xxh3::xxh3_64(locality.node.as_bytes());
    let (local, remote): (Vec<_>, Vec<_>) =
        endpoints.into_iter().partition(|endpoint| endpoint.region == locality.region);
    let reserved = remote.len().min(RESERVED_REMOTE);
    let local_count = local.len().min(MAX_ENDPOINTS - reserved);
    let mut selected = select_by_domain(node, local, local_count);
    selected.extend(select_by_domain(node, remote, MAX_ENDPOINTS - local_count));
    selected
}

/// Selects `count` endpoints, in proportion to the size of each failure domain and by rendezvous
/// hash within it.
fn select_by_domain(node: u64, endpoints: Vec<Endpoint>, count: usize) -> Vec<Endpoint> {
    let total = endpoints.len();
    let mut domains: BTreeMap<_, Vec<(u64, Endpoint)>> = BTreeMap::new();
    for endpoint in endpoints {
        let rank = mix(node, xxh3::xxh3_64(endpoint.id.as_bytes()));
        let domain = domains.entry(endpoint.failure_domain.clone()).or_default();
        domain.push((rank, endpoint));
    }
    // Proportions are rounded down; the next endpoint of each domain competes by rank for the rest.
    let mut selected = Vec::with_capacity(count);
    let mut runners_up = Vec::new();
    for (_, mut domain) in domains {
        domain.sort_by_key(|(rank, _)| *rank);
        let share = domain.len() * count / total.max(1);
        runners_up.extend(domain.split_off(share.min(domain.len())).into_iter().take(1));
        selected.extend(domain.into_iter().map(|(_, endpoint)| endpoint));
    }
    runners_up.sort_by_key(|(rank, _)| *rank);
    let missing = count.saturating_sub(selected.len());
    selected.extend(runners_up.into_iter().take(missing).map(|(_, endpoint)| endpoint));
    selected
}
