//! The orders to a target, its answers and its report.

use std::time::Duration;

use crate::ids::{AdapterName, BaseModel};

/// What a planned order does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderKind {
    LoadModel,
    LoadAdapter { adapter: AdapterName, version: u64 },
    UnloadAdapter { adapter: AdapterName },
}

/// An order to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlannedOrder {
    pub(crate) kind: OrderKind,
    pub(crate) model: BaseModel,
    /// The number of orders that the target has accepted, if this is the next one.
    pub(crate) expected: u64,
}

/// The next step of a target's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LoadStep {
    /// Ask the target what it holds.
    Report,
    Order(PlannedOrder),
    /// Nothing to do until a wish, an answer or this time.
    Idle(Duration),
}

/// The target's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    Done,
    /// Another order is in progress, or the expected number differs.
    Conflict,
    /// Another owner has given orders with a higher fencing token, or another target answered.
    Rejected,
    /// No answer in time: it may be carried out, at once or seconds later, though not after another
    /// order with the same number.
    TimedOut,
    /// The connection failed.
    Lost,
}

/// What the target says it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HoldingsReport {
    pub(crate) sequence: u64,
    pub(crate) has_model: bool,
    pub(crate) adapters: Vec<(AdapterName, u64)>,
    pub(crate) pending: Vec<AdapterName>,
}
