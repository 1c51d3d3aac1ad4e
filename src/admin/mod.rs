//! The operators' HTTP interface: configuration, health, metrics and the state dump.

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

use self::error::{AdminError, AdminRefusal, change_refusal};
use crate::config::document::ConfigView;
use crate::config::model::SectionName;
use crate::config::state::{ConfigEdit, SectionRevisions};
use crate::node::Node;

/// The largest change. It becomes one log record, which every node reads.
const CHANGE_LIMIT_BYTES: usize = 1024 * 1024;
/// How long an operator may take to send a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The header that tells the revision of an accepted change.
pub(crate) const REVISION_HEADER: &str = "x-config-revision";

/// The routes for operators.
pub(crate) fn routes(node: &Arc<Node>) -> impl Endpoint + 'static {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .at("/admin/config", get(show))
        .at("/admin/config/changes", post(publish))
        .at("/admin/dump", get(dump))
        .catch_all_error(refuse_request)
        .data(Arc::clone(node))
}

/// Refusals that come from the routes themselves.
async fn refuse_request(error: poem::Error) -> Response {
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

/// Metrics need no credential, since scrapers have none; they name no key and no account.
#[handler]
fn metrics(Data(node): Data<&Arc<Node>>) -> Response {
    Response::builder()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(node.metrics_text())
}

/// Checks the operators' credential in constant time.
fn check_operator(node: &Node, request: &Request) -> Result<(), AdminRefusal> {
    let mut headers = request.headers().get_all("authorization").iter();
    let header = headers.next().and_then(|value| value.to_str().ok());
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    let expected = node.context.settings.admin_token.as_bytes();
    let known = token.is_some_and(|token| token.as_bytes().ct_eq(expected).into());
    if known && headers.next().is_none() {
        return Ok(());
    }
    let refused = AdminError::new("the credential is not known");
    Err(refused.with_status(StatusCode::UNAUTHORIZED))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishBody {
    /// The revisions that the change is based on; those of this node when not given.
    #[serde(default)]
    base: Option<SectionRevisions>,
    edits: Vec<ConfigEdit>,
}

async fn read_change(body: Body) -> Result<PublishBody, AdminRefusal> {
    let refuse = |status, text: String| Err(AdminError::new(text).with_status(status));
    let bytes = tokio::time::timeout(CHANGE_TIMEOUT, body.into_bytes_limit(CHANGE_LIMIT_BYTES));
    let bytes = match bytes.await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ReadBodyError::PayloadTooLarge)) => {
            let text = format!(
                "the change is larger than {CHANGE_LIMIT_BYTES} bytes; publish it in several steps"
            );
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, text);
        }
        Ok(Err(_)) => return refuse(StatusCode::BAD_REQUEST, "the body broke off".to_owned()),
        Err(_) => {
            let text = "the body took too long".to_owned();
            return refuse(StatusCode::REQUEST_TIMEOUT, text);
        }
    };
    match serde_json::from_slice::<PublishBody>(&bytes) {
        Ok(change) if change.edits.is_empty() => {
            let text = "the change has no edits".to_owned();
            refuse(StatusCode::BAD_REQUEST, text)
        }
        Ok(change) => Ok(change),
        Err(error) => {
            let text = format!("the body is not a change: {error}");
            refuse(StatusCode::BAD_REQUEST, text)
        }
    }
}

#[handler]
async fn publish(
    request: &Request,
    body: Body,
    Data(node): Data<&Arc<Node>>,
) -> Result<Response, AdminRefusal> {
    check_operator(node, request)?;
    let change = read_change(body).await?;
    let published = node.context.config.publish(change.base, change.edits);
    let accepted = published.await.map_err(|error| change_refusal(&error))?;
    Ok(StatusCode::NO_CONTENT
        .with_header(REVISION_HEADER, accepted.revision.to_string())
        .into_response())
}

/// The sections that the query asks for, or all.
fn asked_sections(request: &Request) -> Result<Vec<SectionName>, AdminRefusal> {
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
fn show(request: &Request, Data(node): Data<&Arc<Node>>) -> Result<Response, AdminRefusal> {
    check_operator(node, request)?;
    let sections = asked_sections(request)?;
    let view = ConfigView::of(&node.context.config.current(), &sections);
    Ok(Json(view).into_response())
}

#[handler]
fn dump(request: &Request, Data(node): Data<&Arc<Node>>) -> Result<Response, AdminRefusal> {
    check_operator(node, request)?;
    Ok(Json(node.dump()).into_response())
}
