//! Fault injection tests: every fault, and every pair of faults, at every step of a request and of
//! the control plane. A step with one or two faults is a cell of the matrix. The invariants are
//! checked after each event.
//!
//! Three nodes run the real state machines against fakes of the log, the network and the targets.
//! The fakes model neither load nor topology.

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
