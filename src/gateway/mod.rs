//! The callers' HTTP interface.

pub(crate) mod attempt;
pub(crate) mod auth;
pub(crate) mod completion;
pub(crate) mod connection;
pub(crate) mod error;
pub(crate) mod framing;
pub(crate) mod headers;
pub(crate) mod plain;
pub(crate) mod relay;
pub(crate) mod retry;
pub(crate) mod running;
pub(crate) mod scope;
pub(crate) mod sse;
pub(crate) mod watched;

#[cfg(test)]
mod tests;

use std::sync::Arc;

use poem::http::HeaderValue;
use poem::{Endpoint, Request, Response, Route, endpoint::make, get, post};

use crate::context::NodeContext;
use crate::ids::RequestId;
use crate::node::Node;
use error::{CallerError, ErrorCode, RunState};
use scope::RequestScope;

/// The routes for callers.
pub(crate) fn routes(node: &Arc<Node>) -> impl Endpoint + 'static {
    let complete = {
        let node = Arc::clone(node);
        make(move |request| answer(Arc::clone(&node), request, CallKind::Completion))
    };
    let models = {
        let node = Arc::clone(node);
        make(move |request| answer(Arc::clone(&node), request, CallKind::Models))
    };
    let other = {
        let node = Arc::clone(node);
        make(move |request| answer(Arc::clone(&node), request, CallKind::Other))
    };
    let complete = Arc::new(complete);
    Route::new()
        .at("/v1/completions", post(Arc::clone(&complete)))
        .at("/v1/chat/completions", post(complete))
        .at("/v1/models", get(models))
        .at("/*", other)
}

/// What a route does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Completion,
    Models,
    Other,
}

/// The header with the id of a request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Counts a request that ended without being run.
fn count_refusal(node: &Node, error: &CallerError, kind: CallKind) {
    if error.run != RunState::No {
        return;
    }
    let NodeContext {
        config, metrics, ..
    } = &*node.context;
    let config = config.current();
    let zone_out = config.zones.iter().any(|(_, zone)| !zone.in_service);
    metrics.count_refusal(&error.code.to_string(), zone_out);
    let for_want_of_service = matches!(
        error.code,
        ErrorCode::Unavailable | ErrorCode::TargetFailed | ErrorCode::DeadlinePassed
    );
    if for_want_of_service && kind == CallKind::Completion {
        metrics.wrongful_refusals.inc();
    }
}

/// Answers a caller's request under its id, before its hard deadline.
async fn answer(node: Arc<Node>, request: Request, kind: CallKind) -> poem::Result<Response> {
    let asked = request
        .header(REQUEST_ID_HEADER)
        .and_then(|text| text.parse().ok());
    let id = asked.unwrap_or_else(RequestId::random);
    let scope = RequestScope::new(id.clone(), node.context.settings.request_timeout);
    let answered = tokio::time::timeout_at(scope.deadline, async {
        match kind {
            CallKind::Completion => completion::complete(&node, request, &scope).await,
            CallKind::Models => completion::list_models(&node, &request),
            CallKind::Other => plain::call_service(&node, request, &scope).await,
        }
    });
    let answered = answered.await;
    let answered = answered.unwrap_or_else(|_| Err(scope.deadline_passed()));
    if let Err(error) = &answered {
        count_refusal(&node, error, kind);
    }
    let mut response = answered.unwrap_or_else(|error| error.into_response(&id));
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}
