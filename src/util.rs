//! Helpers shared by several modules.

pub mod number;
pub mod serve;
