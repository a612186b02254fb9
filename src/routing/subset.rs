use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use super::{Endpoint, Place, mix};

/// Endpoints that one node uses at most, which bounds its connections and the cost of a choice.
pub const MAX_ENDPOINTS: usize = 64;

/// Places of a full subset that go to other regions, so that a node whose region has no endpoints
/// left can continue to serve.
const REMOTE: usize = 16;

/// Picks the endpoints that a node uses.
///
/// The pick depends on the names only. Each failure domain of a region gets a number of places in
/// proportion to its endpoints, so that over many nodes every endpoint is picked equally often.
pub fn subset(place: &Place, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
    if endpoints.len() <= MAX_ENDPOINTS {
        return endpoints;
    }
    let node = xxh3::xxh3_64(place.node.as_bytes());
    let (near, far): (Vec<_>, Vec<_>) =
        endpoints.into_iter().partition(|endpoint| endpoint.region == place.region);
    let reserved = far.len().min(REMOTE);
    let near_places = near.len().min(MAX_ENDPOINTS - reserved);
    let mut picked = spread(node, near, near_places);
    picked.extend(spread(node, far, MAX_ENDPOINTS - near_places));
    picked
}

/// Picks `places` endpoints, in proportion over the failure domains and by rendezvous within each.
fn spread(node: u64, endpoints: Vec<Endpoint>, places: usize) -> Vec<Endpoint> {
    let total = endpoints.len();
    let mut domains: BTreeMap<_, Vec<(u64, Endpoint)>> = BTreeMap::new();
    for endpoint in endpoints {
        let rank = mix(node, xxh3::xxh3_64(endpoint.id.as_bytes()));
        let domain = domains.entry(endpoint.failure_domain.clone()).or_default();
        domain.push((rank, endpoint));
    }
    // Every domain is cut at its own proportion; the fractions are filled by rank.
    let mut picked = Vec::with_capacity(places);
    let mut rest = Vec::new();
    for (_, mut domain) in domains {
        domain.sort_by_key(|(rank, _)| *rank);
        let share = domain.len() * places / total.max(1);
        rest.extend(domain.split_off(share.min(domain.len())).into_iter().take(1));
        picked.extend(domain.into_iter().map(|(_, endpoint)| endpoint));
    }
    rest.sort_by_key(|(rank, _)| *rank);
    let missing = places.saturating_sub(picked.len());
    picked.extend(rest.into_iter().take(missing).map(|(_, endpoint)| endpoint));
    picked
}
