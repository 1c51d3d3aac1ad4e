//! The HTTP interface for callers: completions, the model list and configured HTTP services.

pub(crate) mod abortable_body;
pub(crate) mod attempt;
pub(crate) mod auth;
pub(crate) mod caller_body;
pub(crate) mod completion;
pub(crate) mod connection;
pub(crate) mod error;
pub(crate) mod framing;
pub(crate) mod headers;
pub(crate) mod relay;
pub(crate) mod request_client;
pub(crate) mod retry;
pub(crate) mod running_call;
pub(crate) mod scope;
pub(crate) mod service_call;
pub(crate) mod sse;

#[cfg(test)]
mod tests;

use std::sync::Arc;

use poem::http::HeaderValue;
use poem::{Endpoint, Request, Response, Route, endpoint::make, get, post};

use crate::context::NodeContext;
use crate::ids::RequestId;
use crate::node::Node;
use error::{CallerError, ErrorCode, RunState};
use scope::{IdHistory, RequestScope};

pub(crate) fn routes(node: &Arc<Node>) -> impl Endpoint + 'static {
    let completions = {
        let node = Arc::clone(node);
        make(move |request| handle_request(Arc::clone(&node), request, RouteKind::Completion))
    };
    let models = {
        let node = Arc::clone(node);
        make(move |request| handle_request(Arc::clone(&node), request, RouteKind::Models))
    };
    let services = {
        let node = Arc::clone(node);
        make(move |request| handle_request(Arc::clone(&node), request, RouteKind::Service))
    };
    let completions = Arc::new(completions);
    Route::new()
        .at("/v1/completions", post(Arc::clone(&completions)))
        .at("/v1/chat/completions", post(completions))
        .at("/v1/models", get(models))
        .at("/*", services)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouteKind {
    Completion,
    Models,
    /// A path of a configured HTTP service.
    Service,
}

const REQUEST_ID_HEADER: &str = "x-request-id";

/// Counts a request that failed before any target ran it.
fn count_refusal(node: &Node, error: &CallerError, kind: RouteKind) {
    if error.run_state != RunState::No {
        return;
    }
    let NodeContext {
        config, metrics, ..
    } = &*node.context;
    let config = config.current();
    let is_zone_out_of_service = config.zones.iter().any(|(_, zone)| !zone.in_service);
    metrics.count_refusal(&error.code.to_string(), is_zone_out_of_service);
    let is_service_failure = matches!(
        error.code,
        ErrorCode::Unavailable | ErrorCode::TargetFailed | ErrorCode::DeadlinePassed
    );
    if is_service_failure && kind == RouteKind::Completion {
        metrics.wrongful_refusals.inc();
    }
}

/// Handles a request within its hard deadline. Takes its id from the caller, or generates one, and
/// returns it in the response.
async fn handle_request(
    node: Arc<Node>,
    request: Request,
    kind: RouteKind,
) -> poem::Result<Response> {
    let given_id = request
        .header(REQUEST_ID_HEADER)
        .and_then(|text| text.parse().ok());
    let (id, id_history) = match given_id {
        Some(id) => (id, IdHistory::MaybeSent),
        None => (RequestId::random(), IdHistory::Unsent),
    };
    let connection = node.context.caller_connections.of_request(&request);
    let scope = RequestScope::new(
        id.clone(),
        id_history,
        node.context.settings.request_timeout,
    )
    .with_connection(connection);
    let result = tokio::time::timeout_at(scope.deadline, async {
        match kind {
            RouteKind::Completion => completion::handle_completion(&node, request, &scope).await,
            RouteKind::Models => completion::list_models(&node, &request),
            RouteKind::Service => service_call::call_service(&node, request, &scope).await,
        }
    });
    let result = result.await;
    let result = result.unwrap_or_else(|_| Err(scope.deadline_passed()));
    if let Err(error) = &result {
        count_refusal(&node, error, kind);
    }
    let mut response = result.unwrap_or_else(|error| error.into_response(&id));
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}
