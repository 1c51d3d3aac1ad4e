//! Calls to the platform's control service, which one VM at a time makes for all.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::entry::http_call::HttpRequest;
use crate::ids::{AccountName, FencingToken, NodeName, ServiceName, ZoneName};

/// The service's answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DutyAnswer {
    Done,
    /// The service has seen a higher fencing token.
    Fenced,
    /// All VMs together have made more calls than the service accepts.
    Limited,
    /// The call failed. It may still be executed, seconds later.
    Failed,
}

/// Decodes the status of an answer.
pub(crate) fn decode_duty_answer(status: u16) -> DutyAnswer {
    match status {
        200 => DutyAnswer::Done,
        409 => DutyAnswer::Fenced,
        429 => DutyAnswer::Limited,
        _ => DutyAnswer::Failed,
    }
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct UsageBody<'a> {
    window_id: u64,
    counts: &'a BTreeMap<AccountName, u64>,
}

/// Builds the call that reports how many requests of each account began in a window.
pub(crate) fn usage_request(
    window: u64,
    counts: &BTreeMap<AccountName, u64>,
    holder: &NodeName,
    token: FencingToken,
) -> HttpRequest {
    let body = UsageBody {
        window_id: window,
        counts,
    };
    with_holder(HttpRequest::post_json("/usage", &body), holder, token)
}

#[derive(Debug, Serialize)]
struct ScaleBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
}

/// Builds the call that sets the number of a service's targets in a zone.
pub(crate) fn scale_request(
    service: &ServiceName,
    zone: &ZoneName,
    desired: u32,
    holder: &NodeName,
    token: FencingToken,
) -> HttpRequest {
    let body = ScaleBody {
        service: service.as_str(),
        zone: zone.as_str(),
        desired,
    };
    with_holder(HttpRequest::post_json("/scale", &body), holder, token)
}

fn with_holder(request: HttpRequest, holder: &NodeName, token: FencingToken) -> HttpRequest {
    request
        .with_header("X-Duty-Holder", holder.as_str())
        .with_header("X-Fence-Token", &token.to_string())
}
