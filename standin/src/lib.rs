//! Stand-ins for the engines, services and platform that pomelolink talks to.

pub mod client;
pub mod fleet;
