//! The fault matrix: every fault, and every pair of faults, at every step of a request and of the
//! control plane, with the invariants checked after each event.
//!
//! Three nodes with the real state machines work together behind fakes of the log, the network
//! and the targets. The fakes have no model of load or of a topology.

mod calls;
mod checks;
mod completions;
mod coverage;
mod engine;
mod faults;
mod injection;
mod log;
mod network;
mod node;
mod owners;
mod sessions;
mod steps;
mod tests;
mod world;
