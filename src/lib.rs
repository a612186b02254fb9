//! Serving system for language-model assistants and plain services on reclaimable VMs.
//!
//! Each module is one duty with its own state, messages and decisions; see `docs/design.md`.

pub mod config;
pub mod document;
pub mod error;
pub mod lease;
pub mod order;
pub mod platform;
pub mod resource;
pub mod revision;
pub mod rollout;
