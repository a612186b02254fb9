//! Small helpers that several modules share.

pub mod serve;
