//! Stand-ins for the engines, services and platform that pomelolink talks to.
//!
//! Each stand-in is a small model that speaks the published protocol of `docs/design.md` section 7
//! and adds `/control/...` endpoints with which a test sets faults and reads counters. A test starts
//! one with `run(listener, options)`, a program that re-executes itself with [`command::execute`].

pub mod client;
pub mod command;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod platform;
pub mod proxy;
pub mod serve;
pub mod service;
