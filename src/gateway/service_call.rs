//! Calls of the configured HTTP services. Repeatable calls are forwarded with retries, all others
//! run at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use poem::http::{HeaderMap, Method, StatusCode};
use poem::{Request, Response};

use super::abortable_body::{ResponseWatch, abortable_body};
use super::attempt::check_quarantine;
use super::auth::{
    CallerIdentity, authenticate, check_body_without_key, check_key_placement, presented_key,
};
use super::caller_body::read_body;
use super::error::{CallerError, ErrorCode, RunState};
use super::headers::{contains_bytes, forwardable_headers};
use super::request_client::{ConnectionUse, SendError};
use super::retry::MAX_RETRIES_PER_REQUEST;
use super::scope::RequestScope;
use crate::claims::{CallDigest, ClaimError, ClaimKey, ClaimsService, SendPermit, StoredAnswer};
use crate::config::model::ServiceEntry;
use crate::config::state::ConfigState;
use crate::ids::{ServiceName, TargetName};
use crate::node::Node;
use crate::quarantine::RequestFingerprint;
use crate::response_body::{ResponseBody, read_response};

/// The header that marks a stored response to an earlier call with the same key.
const REPLAY_HEADER: &str = "x-idempotent-replay";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// The largest response to a call that runs at most once, which is read completely to be stored.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// How many servers are tried until one accepts a connection.
const CONNECT_ATTEMPTS: usize = 3;

#[derive(Debug, Clone)]
struct ServiceCall {
    service: ServiceName,
    /// `None` on routes that need no key.
    identity: Option<CallerIdentity>,
    method: Method,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
    fingerprint: RequestFingerprint,
}

pub(crate) async fn call_service(
    node: &Arc<Node>,
    mut request: Request,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    check_key_placement(&request)?;
    check_path(&request)?;
    let (service, entry) = find_service(&node.context.config.current(), request.uri().path())?;
    let identity = authorize(node, &request, &entry)?;
    let key = presented_key(&request).map(str::to_owned);
    let path_and_query = request.uri().path_and_query().map(ToString::to_string);
    let path_and_query = path_and_query.unwrap_or_default();
    if key.is_some_and(|key| contains_bytes(path_and_query.as_bytes(), key.as_bytes())) {
        return Err(bad_request("the key must not be part of the path or query"));
    }
    let is_repeatable = |method: &String| method.eq_ignore_ascii_case(request.method().as_str());
    let claim_key = match entry.repeatable_methods.iter().any(is_repeatable) {
        true => None,
        false => Some(idempotency_key(&request)?),
    };
    let headers = forwardable_headers(request.headers(), presented_key(&request));
    let (body, _reservation) = read_body(node, &mut request).await?;
    let body = Bytes::from(body);
    check_body_without_key(&body, presented_key(&request))?;
    let method = request.method().clone();
    let account = identity.as_ref().map(|identity| identity.account.as_str());
    let route = format!("{method} {path_and_query}");
    let fingerprint = RequestFingerprint::of_request(account.unwrap_or_default(), &route, &body);
    check_quarantine(node, &fingerprint)?;
    let call = ServiceCall {
        service,
        identity,
        method,
        path_and_query,
        headers,
        body,
        fingerprint,
    };
    match claim_key {
        None => forward_with_retries(node, &call, scope).await,
        Some(key) => run_claimed_call(node, call, &key, scope).await,
    }
}

fn bad_request(message: &str) -> CallerError {
    CallerError::not_run(ErrorCode::BadRequest, message)
}

/// Rejects paths that a server may resolve to the prefix of another service.
fn check_path(request: &Request) -> Result<(), CallerError> {
    let path = request.uri().path().to_ascii_lowercase();
    let path = path.replace("%2e", ".");
    let is_dots = |segment: &str| segment == "." || segment == "..";
    if path.contains("%2f") || path.contains("%5c") || path.split('/').any(is_dots) {
        return Err(bad_request(
            "the path has a dot segment or an encoded slash",
        ));
    }
    Ok(())
}

/// The service with the longest prefix that matches whole segments of `path`.
fn find_service(
    config: &ConfigState,
    path: &str,
) -> Result<(ServiceName, ServiceEntry), CallerError> {
    let is_prefix = |entry: &ServiceEntry| {
        let prefix = entry.prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let services = config.services.iter();
    let found = services
        .filter(|(_, entry)| is_prefix(entry))
        .max_by_key(|(name, entry)| (entry.prefix.trim_end_matches('/').len(), (*name).clone()));
    found
        .map(|(name, entry)| (name.clone(), entry.clone()))
        .ok_or_else(|| CallerError::not_run(ErrorCode::NotFound, "no such route"))
}

fn authorize(
    node: &Node,
    request: &Request,
    entry: &ServiceEntry,
) -> Result<Option<CallerIdentity>, CallerError> {
    if entry.open_to_all {
        return Ok(None);
    }
    let identity = authenticate(node, request)?;
    if !entry.accounts.is_empty() && !entry.accounts.contains(&identity.account) {
        let message = "the account may not use this route";
        return Err(CallerError::not_run(ErrorCode::Forbidden, message));
    }
    Ok(Some(identity))
}

fn idempotency_key(request: &Request) -> Result<String, CallerError> {
    let mut values = request.headers().get_all("idempotency-key").iter();
    let (first, second) = (values.next(), values.next());
    let text = first.and_then(|value| value.to_str().ok()).unwrap_or("");
    if second.is_some() || text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(bad_request(
            "this route needs one Idempotency-Key header of 1 to 255 visible characters",
        ));
    }
    Ok(text.to_owned())
}

fn unavailable(message: &str) -> CallerError {
    let retry_after = std::time::Duration::from_secs(1);
    CallerError::not_run(ErrorCode::Unavailable, message).with_retry_after(retry_after)
}

fn service_failed(message: &str, run_state: RunState) -> CallerError {
    let retry_after = std::time::Duration::from_secs(1);
    let error = CallerError::not_run(ErrorCode::TargetFailed, message);
    error
        .with_retry_after(retry_after)
        .with_run_state(run_state)
}

/// The service's servers that accept new calls, in round-robin order.
fn available_servers(node: &Node, service: &ServiceName) -> Vec<(TargetName, SocketAddr)> {
    static NEXT_SERVER: AtomicUsize = AtomicUsize::new(0);
    let config = node.context.config.current();
    let serving = config.targets.iter().filter(|(_, target)| {
        let zone = config.zones.get(&target.zone);
        let in_service = zone.is_some_and(|zone| zone.in_service);
        target.service.as_ref() == Some(service) && in_service && !target.leaving
    });
    let mut serving: Vec<_> = serving.collect();
    serving.sort_by_key(|(name, _)| *name);
    let servers = serving.iter();
    let mut servers: Vec<_> = servers
        .map(|(name, target)| ((*name).clone(), target.address))
        .collect();
    if !servers.is_empty() {
        let start = NEXT_SERVER.fetch_add(1, Ordering::Relaxed) % servers.len();
        servers.rotate_left(start);
    }
    servers
}

impl ServiceCall {
    fn to_request(
        &self,
        client: &reqwest::Client,
        address: SocketAddr,
        scope: &RequestScope,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{address}{}", self.path_and_query);
        client
            .request(self.method.clone(), url)
            .headers(self.headers.clone())
            .timeout(scope.time_left())
            .body(self.body.clone())
    }

    /// Whether the caller's key is still valid, or the route needs none.
    fn is_authorized(&self, node: &Node) -> bool {
        let config = node.context.config.current();
        let identity = self.identity.as_ref();
        identity.is_none_or(|identity| identity.is_valid(&config))
    }
}

fn key_revoked() -> CallerError {
    CallerError::not_run(ErrorCode::KeyRevoked, "the key was revoked")
}

/// Forwards a call, and retries it on the next server if one fails before its response begins and
/// the retry budget allows it.
async fn forward_with_retries(
    node: &Arc<Node>,
    call: &ServiceCall,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let servers = available_servers(node, &call.service);
    let mut last_error = unavailable("the service has no server in service");
    node.retry_budget.record_first_attempt();
    // A single server is retried too, since its pooled connection may have broken while it was
    // idle.
    let attempts = servers.iter().cycle().take(match servers.len() {
        0 => 0,
        _ => MAX_RETRIES_PER_REQUEST + 1,
    });
    for (attempt, (target, address)) in attempts.enumerate() {
        if attempt > 0 && !node.retry_budget.try_take_retry() {
            break;
        }
        if !call.is_authorized(node) {
            return Err(scope.with_overall_run_state(key_revoked()));
        }
        let Ok(id_history) = scope.begin_send() else {
            return Err(scope.deadline_passed());
        };
        let requests = &node.context.request_client;
        let connection = requests.connection_use(*address, id_history);
        let request = |client: &reqwest::Client| call.to_request(client, *address, scope);
        match requests
            .send(*address, &scope.id, connection, request)
            .await
        {
            Ok(reply) => {
                scope.end_send(RunState::Yes);
                return Ok(streamed_response(node, call, reply, scope));
            }
            Err(error) => {
                let run_state = error.run_state();
                scope.end_send(run_state);
                if run_state != RunState::No {
                    strike_if_crashed(node, call, target, *address);
                }
                last_error = service_failed("the service's server did not answer", run_state);
            }
        }
    }
    Err(scope.with_overall_run_state(last_error))
}

/// Starts a background check for a crash of the server, which adds a strike to the call's
/// quarantine record.
fn strike_if_crashed(
    node: &Arc<Node>,
    call: &ServiceCall,
    target: &TargetName,
    address: SocketAddr,
) {
    let (node, target, fingerprint) = (Arc::clone(node), target.clone(), call.fingerprint);
    tokio::spawn(async move {
        let quarantine = &node.quarantine;
        let boot = quarantine.last_observed_boot(&target);
        quarantine
            .strike_if_crashed(fingerprint, &target, address, boot)
            .await;
    });
}

/// Streams a response to the caller. At its end, clears the call's strikes in the quarantine. The
/// response is aborted at the deadline or when the key is revoked, even if the caller reads slowly.
fn streamed_response(
    node: &Arc<Node>,
    call: &ServiceCall,
    reply: reqwest::Response,
    scope: &RequestScope,
) -> Response {
    let mut watch = ResponseWatch::new(node, call.identity.clone(), scope);
    let aborted = async move {
        Err(std::io::Error::other(
            watch.abort_reason().await.to_string(),
        ))
    };
    let mut response = Response::builder().status(reply.status()).finish();
    *response.headers_mut() = forwardable_headers(reply.headers(), None);
    let bytes = reply.bytes_stream().map_err(std::io::Error::other);
    let (node, fingerprint) = (Arc::clone(node), call.fingerprint);
    let end = stream::once(async move {
        node.quarantine.clear(&fingerprint);
        Ok(Bytes::new())
    });
    let connection = scope.connection.clone();
    response.set_body(abortable_body(bytes.chain(end), aborted, connection));
    response
}

/// Claims the idempotency key of a call and sends the call at most once. Continues if the caller
/// disconnects, so that the outcome is stored.
async fn run_claimed_call(
    node: &Arc<Node>,
    call: ServiceCall,
    key: &str,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let account = call
        .identity
        .as_ref()
        .map(|identity| identity.account.as_str());
    let key = ClaimKey::from_parts(account.unwrap_or(""), call.service.as_str(), key);
    let (task_node, scope) = (Arc::clone(node), scope.clone());
    let result = node.claims.run_call(async move {
        let request = CallDigest::from_call(call.method.as_str(), &call.path_and_query, &call.body);
        match task_node.claims.claim(key, request).await {
            Ok(permit) => send_once(&task_node, &call, permit, &scope).await,
            Err(error) => response_without_claim(error),
        }
    });
    let unexpected_end = || service_failed("the call ended unexpectedly", RunState::Unknown);
    result.await.unwrap_or_else(|| Err(unexpected_end()))
}

fn response_without_claim(claim_error: ClaimError) -> Result<Response, CallerError> {
    let message = claim_error.to_string();
    let error = |code| CallerError::not_run(code, message.clone());
    Err(match claim_error {
        ClaimError::Replay(answer) => return replay_response(&answer),
        ClaimError::InProgress => {
            error(ErrorCode::ClaimInProgress).with_run_state(RunState::Unknown)
        }
        ClaimError::KeyReused => error(ErrorCode::IdempotencyKeyReused),
        ClaimError::NotClaimed => unavailable(&message),
        ClaimError::AnswerUnreadable => unavailable(&message).with_run_state(RunState::Yes),
    })
}

fn replay_response(answer: &StoredAnswer) -> Result<Response, CallerError> {
    let Some(body) = answer.body_bytes() else {
        let message = "the call was answered before, but its answer was too large to be stored";
        let error = CallerError::not_run(ErrorCode::AnswerNotStored, message);
        return Err(error.with_run_state(RunState::Yes));
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut builder = Response::builder().status(status);
    if let Some(content_type) = &answer.content_type {
        builder = builder.content_type(content_type);
    }
    Ok(builder.header(REPLAY_HEADER, "true").body(body))
}

/// Sends the call to the first server that accepts a connection, and never to a second one.
async fn send_once(
    node: &Arc<Node>,
    call: &ServiceCall,
    permit: SendPermit,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let claims: &ClaimsService = &node.claims;
    for (target, address) in available_servers(node, &call.service)
        .into_iter()
        .take(CONNECT_ATTEMPTS)
    {
        if !call.is_authorized(node) {
            claims.void_claim(permit);
            return Err(key_revoked());
        }
        if !claims.may_send(&permit) || scope.begin_send().is_err() {
            claims.void_claim(permit);
            return Err(unavailable(
                "the claim is too old, so the call was not sent",
            ));
        }
        // On a kept connection the client cannot tell whether a failed call reached the server.
        let connection = ConnectionUse::New;
        let request = |client: &reqwest::Client| call.to_request(client, address, scope);
        let requests = &node.context.request_client;
        match requests.send(address, &scope.id, connection, request).await {
            Err(SendError::NotConnected) => scope.end_send(RunState::No),
            Err(SendError::NoAnswer) => {
                scope.end_send(RunState::Unknown);
                let _ = permit.send();
                strike_if_crashed(node, call, &target, address);
                return Err(service_failed(
                    "the service's server did not answer",
                    RunState::Unknown,
                ));
            }
            Ok(reply) => {
                scope.end_send(RunState::Yes);
                let response = store_response(node, permit, reply).await?;
                node.quarantine.clear(&call.fingerprint);
                return Ok(response);
            }
        }
    }
    claims.void_claim(permit);
    Err(unavailable("no server of the service can be reached now"))
}

/// Reads the complete response, stores it under the claim and returns it.
async fn store_response(
    node: &Node,
    permit: SendPermit,
    reply: reqwest::Response,
) -> Result<Response, CallerError> {
    let sent = permit.send();
    let status = reply.status();
    let headers = forwardable_headers(reply.headers(), None);
    let memory = &node.context.target_memory;
    let body = read_response(reply, MAX_RESPONSE_BYTES, memory).await;
    let ResponseBody { bytes: body, .. } = body.map_err(|error| {
        tracing::warn!("gateway: a service's answer was not read: {error}");
        service_failed("the service's answer broke off", RunState::Yes)
    })?;
    let content_type = headers.get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    node.claims.store_outcome(
        sent,
        StoredAnswer::new(status.as_u16(), content_type, &body),
    );
    let mut response = Response::builder().status(status).finish();
    *response.headers_mut() = headers;
    response.set_body(body);
    Ok(response)
}
