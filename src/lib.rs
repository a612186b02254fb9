//! Serving system for language-model assistants and plain services on reclaimable VMs.
//!
//! Each module has one responsibility and keeps its own state; see `docs/design.md`.

pub mod admission;
pub mod caller;
pub mod capacity;
pub mod claim;
pub mod config;
pub mod daemon;
pub mod document;
pub mod endpoint;
pub mod error;
pub mod explain;
pub mod gateway;
pub mod intake;
pub mod lease;
pub mod logging;
pub mod membership;
pub mod metric;
pub mod node;
pub mod operator;
pub mod order;
pub mod peer;
pub mod platform;
pub mod resource;
pub mod retry;
pub mod revision;
pub mod rollout;
pub mod routing;
pub mod stream;
pub mod timeline;
pub mod trace;
pub mod util;
pub mod wire;
