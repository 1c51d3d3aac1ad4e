//! The admin API, the HTTP interface for operators: configuration, health, metrics and the state
//! dump.

pub(crate) mod error;

use std::sync::Arc;
use std::time::Duration;

use poem::error::ReadBodyError;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{
    Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler, post,
};
use serde::Deserialize;
use subtle::ConstantTimeEq;

use self::error::{AdminError, ErrorResponse, publish_error_response};
use crate::config::document::ConfigView;
use crate::config::model::SectionName;
use crate::config::state::{ConfigEdit, SectionRevisions};
use crate::node::Node;

/// The size limit of a change. A change becomes one log record, which every node reads.
const MAX_CHANGE_BYTES: usize = 1024 * 1024;
/// The time limit for receiving the body of a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The response header with the revision of an accepted change.
pub(crate) const REVISION_HEADER: &str = "x-config-revision";

pub(crate) fn routes(node: &Arc<Node>) -> impl Endpoint + 'static {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .at("/admin/config", get(show_config))
        .at("/admin/config/changes", post(publish_change))
        .at("/admin/dump", get(dump_state))
        .catch_all_error(format_error)
        .data(Arc::clone(node))
}

/// Gives errors of the router, such as an unknown path, the same JSON body as other errors.
async fn format_error(error: poem::Error) -> Response {
    if error.is_from_response() {
        return error.into_response();
    }
    let text = match error.status() {
        StatusCode::NOT_FOUND => "there is no such path",
        StatusCode::METHOD_NOT_ALLOWED => "the path does not take this method",
        _ => "the request could not be answered",
    };
    AdminError::new(text)
        .with_status(error.status())
        .into_response()
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

/// Requires no credential, since scrapers have none. The metrics name no key and no account.
#[handler]
fn metrics(Data(node): Data<&Arc<Node>>) -> Response {
    Response::builder()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(node.metrics_text())
}

/// Checks the operators' credential in constant time. Rejects requests with several
/// `Authorization` headers.
fn check_admin_token(node: &Node, request: &Request) -> Result<(), ErrorResponse> {
    let mut headers = request.headers().get_all("authorization").iter();
    let header = headers.next().and_then(|value| value.to_str().ok());
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    let expected = node.context.settings.admin_token.as_bytes();
    let is_valid = token.is_some_and(|token| token.as_bytes().ct_eq(expected).into());
    if is_valid && headers.next().is_none() {
        return Ok(());
    }
    let body = AdminError::new("the credential is not known");
    Err(body.with_status(StatusCode::UNAUTHORIZED))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishBody {
    /// The revisions that the edits are based on. Defaults to those of this node.
    #[serde(default)]
    base: Option<SectionRevisions>,
    edits: Vec<ConfigEdit>,
}

async fn read_change(body: Body) -> Result<PublishBody, ErrorResponse> {
    let reject = |status, text: String| Err(AdminError::new(text).with_status(status));
    let bytes = tokio::time::timeout(CHANGE_TIMEOUT, body.into_bytes_limit(MAX_CHANGE_BYTES));
    let bytes = match bytes.await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ReadBodyError::PayloadTooLarge)) => {
            let text = format!(
                "the change is larger than {MAX_CHANGE_BYTES} bytes; publish it in several steps"
            );
            return reject(StatusCode::PAYLOAD_TOO_LARGE, text);
        }
        Ok(Err(_)) => return reject(StatusCode::BAD_REQUEST, "the body broke off".to_owned()),
        Err(_) => {
            let text = "the body took too long".to_owned();
            return reject(StatusCode::REQUEST_TIMEOUT, text);
        }
    };
    match serde_json::from_slice::<PublishBody>(&bytes) {
        Ok(change) if change.edits.is_empty() => {
            let text = "the change has no edits".to_owned();
            reject(StatusCode::BAD_REQUEST, text)
        }
        Ok(change) => Ok(change),
        Err(error) => {
            let text = format!("the body is not a change: {error}");
            reject(StatusCode::BAD_REQUEST, text)
        }
    }
}

#[handler]
async fn publish_change(
    request: &Request,
    body: Body,
    Data(node): Data<&Arc<Node>>,
) -> Result<Response, ErrorResponse> {
    check_admin_token(node, request)?;
    let change = read_change(body).await?;
    let published = node.context.config.publish(change.base, change.edits);
    let accepted = published
        .await
        .map_err(|error| publish_error_response(&error))?;
    Ok(StatusCode::NO_CONTENT
        .with_header(REVISION_HEADER, accepted.revision.to_string())
        .into_response())
}

/// The sections that are listed in the query, or all if there is no list.
fn requested_sections(request: &Request) -> Result<Vec<SectionName>, ErrorResponse> {
    let pairs = request.uri().query().unwrap_or("").split('&');
    let mut names = pairs.filter_map(|pair| pair.strip_prefix("sections="));
    let Some(names) = names.next() else {
        return Ok(SectionName::ALL.to_vec());
    };
    let names = names.split(',').filter(|name| !name.is_empty());
    let sections: Result<Vec<SectionName>, _> = names.map(str::parse).collect();
    sections.map_err(|error| AdminError::new(error).with_status(StatusCode::BAD_REQUEST))
}

#[handler]
fn show_config(request: &Request, Data(node): Data<&Arc<Node>>) -> Result<Response, ErrorResponse> {
    check_admin_token(node, request)?;
    let sections = requested_sections(request)?;
    let view = ConfigView::from_state(&node.context.config.current(), &sections);
    Ok(Json(view).into_response())
}

#[handler]
fn dump_state(request: &Request, Data(node): Data<&Arc<Node>>) -> Result<Response, ErrorResponse> {
    check_admin_token(node, request)?;
    Ok(Json(node.dump()).into_response())
}
