//! The operators' HTTP interface: configuration, health and the state dump.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::config::service::PublishError;
use crate::config::state::{ConfigEdit, SectionRevisions};
use crate::node::Node;
use crate::quarantine::RequestVerdict;

/// The routes for operators.
pub(crate) fn routes(node: &Arc<Node>) -> impl Endpoint + 'static {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/admin/config/changes", post(publish))
        .at("/admin/dump", get(dump))
        .data(Arc::clone(node))
}

#[handler]
fn healthz() -> &'static str {
    "ok"
}

#[handler]
fn readyz(Data(node): Data<&Arc<Node>>) -> Response {
    if node.is_ready() {
        return "ready".into_response();
    }
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

/// Checks the operators' credential in constant time.
fn is_operator(node: &Node, request: &Request) -> bool {
    let header = request.header("authorization").unwrap_or("");
    let token = header.strip_prefix("Bearer ").unwrap_or("");
    token
        .as_bytes()
        .ct_eq(node.context.settings.admin_token.as_bytes())
        .into()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishBody {
    #[serde(default)]
    base: Option<SectionRevisions>,
    edits: Vec<ConfigEdit>,
}

#[derive(Debug, Serialize)]
struct AdminError {
    error: String,
}

fn refusal(status: StatusCode, error: impl ToString) -> Response {
    Json(AdminError {
        error: error.to_string(),
    })
    .with_status(status)
    .into_response()
}

#[handler]
async fn publish(
    request: &Request,
    Json(body): Json<PublishBody>,
    Data(node): Data<&Arc<Node>>,
) -> Response {
    if !is_operator(node, request) {
        return refusal(StatusCode::UNAUTHORIZED, "the credential is not known");
    }
    match node.context.config.publish(body.base, body.edits).await {
        Ok(_) => StatusCode::NO_CONTENT.into_response(),
        Err(error @ PublishError::Rejected(_)) => refusal(StatusCode::UNPROCESSABLE_ENTITY, error),
        Err(error @ PublishError::Log(_)) => refusal(StatusCode::SERVICE_UNAVAILABLE, error),
        Err(error @ PublishError::Unknown) => refusal(StatusCode::GATEWAY_TIMEOUT, error),
    }
}

#[handler]
fn dump(request: &Request, Data(node): Data<&Arc<Node>>) -> Response {
    if !is_operator(node, request) {
        return refusal(StatusCode::UNAUTHORIZED, "the credential is not known");
    }
    let config = node.context.config.current();
    Json(serde_json::json!({
        "node": node.context.settings.node,
        "boot": node.context.boot,
        "zone": node.context.settings.zone,
        "config": {
            "next_offset": config.next_offset(),
            "adapters": config.adapters.len(),
            "accounts": config.accounts.len(),
            "keys": config.keys.len(),
            "targets": config.targets.len(),
        },
        "leases": node.context.leases.dump(),
        "membership": node.context.membership.table().dump(node.context.clock.now()),
        "claims": {"keys_in_window": node.claims.len()},
        "quarantine": {
            "suspect": node.quarantine.count(RequestVerdict::Suspect),
            "held": node.quarantine.count(RequestVerdict::Held),
        },
    }))
    .into_response()
}
