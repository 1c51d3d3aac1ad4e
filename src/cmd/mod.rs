//! The commands of the binary, one module each.

pub mod serve;
