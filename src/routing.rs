//! Choice of endpoint: prefix affinity with bounded load.
//!
//! A [`Table`] covers endpoints that can replace each other, normally one version of one service.
//! The preferred endpoints of a prompt follow from a rendezvous hash, so that nodes agree without
//! exchanging messages. See `docs/design.md`, section 9.4.

mod health;
mod hint;
mod prefix;
mod subset;
mod table;

use std::net::SocketAddr;
use std::sync::Arc;

pub use prefix::{BLOCK_BYTES, Blocks, MAX_BLOCKS, blocks};
pub use subset::{MAX_ENDPOINTS, subset};
pub use table::Table;

/// Describes an endpoint that requests may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub failure_domain: Arc<str>,
    pub region: Arc<str>,
    pub pool: Arc<str>,
    pub version: Option<Arc<str>>,
    /// Price of the VM per hour, in thousandths of the currency unit.
    pub cost: u32,
}

/// Names the node that makes the choice, since its location is a term in the choice.
#[derive(Debug, Clone)]
pub struct Place {
    pub node: Arc<str>,
    pub failure_domain: Arc<str>,
    pub region: Arc<str>,
}

/// Holds what the choice depends on for one request.
#[derive(Debug, Clone, Copy)]
pub struct Key<'a> {
    /// Hash chain of the prompt from [`blocks`]; empty for a plain request.
    pub blocks: &'a [u64],
    /// Random number of the request; it breaks ties between equally loaded endpoints.
    pub seed: u64,
}

/// Names the endpoint chosen for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub id: Arc<str>,
    pub address: SocketAddr,
    /// Tells that the endpoint was left out after failures and that this request tries it again.
    pub trial: bool,
}

/// Mixes two words into a well distributed one (the finaliser of SplitMix64).
fn mix(left: u64, right: u64) -> u64 {
    let mut word = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Maps a word to the open interval from 0 to 1.
fn unit(word: u64) -> f64 {
    ((word >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
