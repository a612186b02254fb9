//! Chooses endpoints by prompt prefix affinity with bounded load.
//!
//! A [`Table`] holds interchangeable endpoints, normally those of one version of one service. It
//! orders them by a rendezvous hash of the prompt prefix, so that nodes prefer the same endpoints
//! without exchanging messages. See `docs/design.md`, section 9.4.

mod health;
mod hint;
mod prefix;
mod subset;
mod table;

use std::net::SocketAddr;
use std::sync::Arc;

pub use prefix::{BLOCK_BYTES, BlockHashes, MAX_BLOCKS, hash_blocks};
pub use subset::{MAX_ENDPOINTS, subset};
pub use table::Table;

/// Describes an endpoint that can receive requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub failure_domain: Arc<str>,
    pub region: Arc<str>,
    pub pool: Arc<str>,
    pub version: Option<Arc<str>>,
    /// Hourly price of the VM, in thousandths of the currency unit.
    pub cost: u32,
}

/// Identifies the choosing node and its location; nearby endpoints are preferred.
#[derive(Debug, Clone)]
pub struct Locality {
    pub node: Arc<str>,
    pub failure_domain: Arc<str>,
    pub region: Arc<str>,
}

/// Holds the properties of one request that determine its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Key<'a> {
    /// Hash chain of the prompt from [`hash_blocks`]; empty for a request to a plain service.
    pub blocks: &'a [u64],
    /// Random number that breaks ties between equally loaded endpoints.
    pub seed: u64,
}

/// Identifies the endpoint chosen for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    pub id: Arc<str>,
    pub address: SocketAddr,
    /// Whether the endpoint was ejected after failures and this request probes it.
    pub is_probe: bool,
}

/// Hashes two words into one with the finalizer of SplitMix64.
fn mix(left: u64, right: u64) -> u64 {
    let mut word = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Maps a hash uniformly to the open interval from 0 to 1.
fn unit_interval(word: u64) -> f64 {
    ((word >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
