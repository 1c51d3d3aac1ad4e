//! Requests to model targets: orders to load and unload, and reports of what a target holds.

use serde::Serialize;

use crate::dispatch::load_order::{OrderAnswer, OrderKind, PlannedOrder};
use crate::entry::http_call::HttpRequest;
use crate::ids::{FencingToken, NodeName, TargetName};

/// The body of an order. `holder` is the name of the VM that sends it and `fence` is the VM's
/// fencing token.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    operation: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    /// The number of orders that the server must have accepted so far for this one to be accepted.
    expected: u64,
    holder: &'a str,
    fence: u64,
}

/// Builds the request that sends an order to a target.
pub(crate) fn order_request(
    order: &PlannedOrder,
    target: &TargetName,
    holder: &NodeName,
    token: FencingToken,
) -> HttpRequest {
    let (operation, adapter, version) = match &order.kind {
        OrderKind::LoadModel { .. } => ("loading", None, None),
        OrderKind::LoadAdapter { adapter, version } => (
            "loading",
            Some(adapter.adapter()),
            Some(*version).filter(|version| *version > 0),
        ),
        OrderKind::UnloadAdapter { adapter } => ("unloading", Some(adapter.adapter()), None),
    };
    let body = OrderBody {
        operation,
        model: order.kind.model(),
        adapter,
        version,
        expected: order.expected_sequence,
        holder: holder.as_str(),
        fence: token.into(),
    };
    HttpRequest::post_json("/api/order", &body).with_header("X-Expect-Instance", target.as_str())
}

/// Decodes the status of the answer to an order.
pub(crate) fn decode_order_answer(status: u16) -> OrderAnswer {
    match status {
        202 => OrderAnswer::Accepted,
        200 => OrderAnswer::Done,
        409 => OrderAnswer::Conflict,
        _ => OrderAnswer::Rejected,
    }
}

/// Builds the request for a target's report of what it holds.
pub(crate) fn report_request(target: &TargetName) -> HttpRequest {
    HttpRequest::get("/api/report").with_header("X-Expect-Instance", target.as_str())
}
