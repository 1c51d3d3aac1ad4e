//! The calls to model targets: orders and reports.

use serde::Serialize;

use crate::dispatch::load_order::{OrderAnswer, OrderKind, PlannedOrder};
use crate::entry::http_call::HttpAsk;
use crate::ids::{FencingToken, NodeName, TargetName};

/// The body of an order. `holder` names the VM that gives it and `fence` is its fencing token.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    operation: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    /// The number of orders that the server must have accepted before, despite its name.
    expected: u64,
    holder: &'a str,
    fence: u64,
}

/// The request for an order.
pub(crate) fn order_ask(
    order: &PlannedOrder,
    target: &TargetName,
    holder: &NodeName,
    token: FencingToken,
) -> HttpAsk {
    let (operation, adapter, version) = match &order.kind {
        OrderKind::LoadModel => ("loading", None, None),
        OrderKind::LoadAdapter { adapter, version } => (
            "loading",
            Some(adapter.as_str()),
            Some(*version).filter(|version| *version > 0),
        ),
        OrderKind::UnloadAdapter { adapter } => ("unloading", Some(adapter.as_str()), None),
    };
    let body = OrderBody {
        operation,
        model: order.model.as_str(),
        adapter,
        version,
        expected: order.expected,
        holder: holder.as_str(),
        fence: token.into(),
    };
    HttpAsk::post_json("/api/order", &body).with_header("X-Expect-Instance", target.as_str())
}

/// What the status of an order's answer means.
pub(crate) fn order_answer(status: u16) -> OrderAnswer {
    match status {
        202 => OrderAnswer::Accepted,
        200 => OrderAnswer::Done,
        409 => OrderAnswer::Conflict,
        _ => OrderAnswer::Rejected,
    }
}

/// The request for a target's report.
pub(crate) fn report_ask(target: &TargetName) -> HttpAsk {
    HttpAsk::get("/api/report").with_header("X-Expect-Instance", target.as_str())
}
