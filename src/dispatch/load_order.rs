//! Orders to a target, the target's answers and its holdings report.

use std::time::Duration;

use crate::ids::{BaseModel, ModelAdapter};

/// The operation that an order requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderKind {
    LoadModel { model: BaseModel },
    LoadAdapter { adapter: ModelAdapter, version: u64 },
    UnloadAdapter { adapter: ModelAdapter },
}

impl OrderKind {
    /// The base model that the order is about.
    pub(crate) fn model(&self) -> &str {
        match self {
            Self::LoadModel { model } => model.as_str(),
            Self::LoadAdapter { adapter, .. } | Self::UnloadAdapter { adapter } => adapter.model(),
        }
    }

    /// The operation, for logging.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::LoadModel { .. } => "load_model",
            Self::LoadAdapter { .. } => "load",
            Self::UnloadAdapter { .. } => "unload",
        }
    }

    /// The adapter that the order is about, for logging; empty for a base model.
    pub(crate) fn adapter_name(&self) -> &str {
        match self {
            Self::LoadModel { .. } => "",
            Self::LoadAdapter { adapter, .. } | Self::UnloadAdapter { adapter } => adapter.as_str(),
        }
    }

    /// The version to load, if the order states one.
    pub(crate) fn version(&self) -> Option<u64> {
        match self {
            Self::LoadAdapter { version, .. } => Some(*version),
            Self::LoadModel { .. } | Self::UnloadAdapter { .. } => None,
        }
    }
}

/// An order to a target, with the sequence number that makes repeats safe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlannedOrder {
    pub(crate) kind: OrderKind,
    /// The number of orders that the target must have accepted before this one. It answers with a
    /// conflict otherwise.
    pub(crate) expected_sequence: u64,
}

/// What the owner of a target does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LoadStep {
    /// Fetch the target's holdings report.
    FetchReport,
    Order(PlannedOrder),
    /// Wait for a load request or an answer, at most for this time.
    Idle(Duration),
}

/// The target's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderAnswer {
    /// The order is in progress.
    Accepted,
    /// The requested state already holds.
    Done,
    /// Another order is in progress, or the sequence number does not match.
    Conflict,
    /// Another owner has sent orders with a higher fencing token, or a different target answered.
    Rejected,
    /// No answer in time. The order may still be carried out, at once or seconds later, though not
    /// after another order with the same sequence number.
    TimedOut,
    /// The connection failed.
    Lost,
}

/// What the target reports that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HoldingsReport {
    /// The number of orders that the target has accepted since its process started.
    pub(crate) sequence: u64,
    pub(crate) models: Vec<BaseModel>,
    pub(crate) adapters: Vec<(ModelAdapter, u64)>,
    /// Adapters that are being loaded.
    pub(crate) pending: Vec<ModelAdapter>,
}

/// The owner's answer to a request for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadAnswer {
    Resident,
    /// The adapter is loading, or will be next.
    Queued,
    /// All slots are in use. Another target may have a free one.
    Full,
    /// This VM has just become the owner and doesn't know yet what the target holds. The requesting
    /// VM asks again.
    Unknown,
}
