//! Helpers shared by several modules.

pub mod serve;
