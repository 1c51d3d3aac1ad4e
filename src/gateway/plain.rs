//! Calls of plain services: repeatable ones are passed on, all others run at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use poem::http::{HeaderMap, Method, StatusCode};
use poem::{Request, Response};

use super::attempt::check_quarantine;
use super::auth::{CallerIdentity, authenticate, check_body, check_headers, presented_key};
use super::completion::read_body;
use super::error::{CallerError, ErrorCode, RunState};
use super::headers::{contains, forwarded};
use super::retry::RETRIES_PER_REQUEST;
use super::scope::RequestScope;
use super::watched::{AnswerWatch, watched_body};
use crate::claims::{CallDigest, ClaimKey, ClaimsService, RefusedClaim, SendPermit, StoredAnswer};
use crate::config::model::ServiceEntry;
use crate::config::state::ConfigState;
use crate::ids::{ServiceName, TargetName};
use crate::node::Node;
use crate::quarantine::RequestFingerprint;

/// The header that marks an answer from an earlier run of the call.
const REPLAY_HEADER: &str = "x-idempotent-replay";
/// The longest `Idempotency-Key` in bytes.
const IDEMPOTENCY_KEY_LIMIT_BYTES: usize = 255;
/// The servers that a call is offered to while none of them can be connected.
const CONNECT_ATTEMPTS: usize = 3;

/// A call that is understood, but not sent.
#[derive(Debug, Clone)]
struct ServiceCall {
    service: ServiceName,
    /// Not set on routes that are open to all.
    identity: Option<CallerIdentity>,
    method: Method,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
    fingerprint: RequestFingerprint,
}

/// Answers a call of a plain service.
pub(crate) async fn call_service(
    node: &Arc<Node>,
    mut request: Request,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    check_headers(&request)?;
    check_path(&request)?;
    let (service, entry) = find_service(&node.context.config.current(), request.uri().path())?;
    let identity = admit(node, &request, &entry)?;
    let key = presented_key(&request).map(str::to_owned);
    let path_and_query = request.uri().path_and_query().map(ToString::to_string);
    let path_and_query = path_and_query.unwrap_or_default();
    if key.is_some_and(|key| contains(path_and_query.as_bytes(), key.as_bytes())) {
        return Err(bad_request("the key must not be part of the path or query"));
    }
    let is_repeatable = |method: &String| method.eq_ignore_ascii_case(request.method().as_str());
    let claim_key = match entry.repeatable_methods.iter().any(is_repeatable) {
        true => None,
        false => Some(idempotency_key(&request)?),
    };
    let headers = forwarded(request.headers(), presented_key(&request));
    let body = Bytes::from(read_body(node, &mut request).await?);
    check_body(&body, presented_key(&request))?;
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
        None => repeatable_call(node, &call, scope).await,
        Some(key) => claimed_call(node, call, &key, scope).await,
    }
}

fn bad_request(message: &str) -> CallerError {
    CallerError::not_run(ErrorCode::BadRequest, message)
}

/// Refuses paths that a server may resolve to another service's prefix.
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

/// The service with the longest prefix of `path` that ends at a slash.
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

/// Checks that the caller may use the service.
fn admit(
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
    if second.is_some() || text.is_empty() || text.len() > IDEMPOTENCY_KEY_LIMIT_BYTES {
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

fn failed(message: &str, run: RunState) -> CallerError {
    let retry_after = std::time::Duration::from_secs(1);
    let error = CallerError::not_run(ErrorCode::TargetFailed, message);
    error.with_retry_after(retry_after).with_run(run)
}

/// The service's servers that may get new work, each call beginning with another one.
fn servers(node: &Node, service: &ServiceName) -> Vec<(TargetName, SocketAddr)> {
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
    /// The call as a server gets it.
    fn to_server(
        &self,
        client: &reqwest::Client,
        address: SocketAddr,
        scope: &RequestScope,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{address}{}", self.path_and_query);
        client
            .request(self.method.clone(), url)
            .headers(self.headers.clone())
            .header("x-request-id", scope.id.as_str())
            .timeout(scope.time_left())
            .body(self.body.clone())
    }

    /// Whether the caller's key is still in force.
    fn is_admitted(&self, node: &Node) -> bool {
        let config = node.context.config.current();
        let identity = self.identity.as_ref();
        identity.is_none_or(|identity| identity.is_valid(&config))
    }
}

fn key_revoked() -> CallerError {
    CallerError::not_run(ErrorCode::KeyRevoked, "the key was revoked")
}

/// Passes a call on; a server that fails before its answer begins is replaced by the next one,
/// within the budget for retries.
async fn repeatable_call(
    node: &Arc<Node>,
    call: &ServiceCall,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let servers = servers(node, &call.service);
    let mut last = unavailable("the service has no server in service");
    node.retries.note_first_try();
    // One server is tried again too: its connection may have broken while it was kept.
    let tries = servers.iter().cycle().take(match servers.len() {
        0 => 0,
        _ => RETRIES_PER_REQUEST + 1,
    });
    for (number, (target, address)) in tries.enumerate() {
        if number > 0 && !node.retries.take_retry() {
            break;
        }
        if !call.is_admitted(node) {
            return Err(scope.truthful(key_revoked()));
        }
        if scope.begin_send().is_err() {
            return Err(scope.deadline_passed());
        }
        let request = call.to_server(&node.context.targets, *address, scope);
        match request.send().await {
            Ok(reply) => {
                scope.end_send(RunState::Yes);
                return Ok(streamed_response(node, call, reply, scope));
            }
            Err(error) => {
                let run = run_of_error(&error);
                scope.end_send(run);
                if run != RunState::No {
                    report_break(node, call, target, *address);
                }
                last = failed("the service's server did not answer", run);
            }
        }
    }
    Err(scope.truthful(last))
}

/// Finds out in the background whether the server crashed under the call.
fn report_break(node: &Arc<Node>, call: &ServiceCall, target: &TargetName, address: SocketAddr) {
    let (node, target, fingerprint) = (Arc::clone(node), target.clone(), call.fingerprint);
    tokio::spawn(async move {
        let quarantine = &node.quarantine;
        let before = quarantine.seen_boot(&target);
        quarantine
            .report_break(fingerprint, &target, address, before)
            .await;
    });
}

fn run_of_error(error: &reqwest::Error) -> RunState {
    if error.is_connect() {
        RunState::No
    } else {
        RunState::Unknown
    }
}

/// Passes an answer on; its complete end clears the call's strikes. At the deadline or without a
/// valid key it breaks off, also for a caller who reads slowly.
fn streamed_response(
    node: &Arc<Node>,
    call: &ServiceCall,
    reply: reqwest::Response,
    scope: &RequestScope,
) -> Response {
    let mut watch = AnswerWatch::new(node, call.identity.clone(), scope);
    let ended = async move { Err(std::io::Error::other(watch.ended().await.to_string())) };
    let mut response = Response::builder().status(reply.status()).finish();
    *response.headers_mut() = forwarded(reply.headers(), None);
    let bytes = reply.bytes_stream().map_err(std::io::Error::other);
    let (node, fingerprint) = (Arc::clone(node), call.fingerprint);
    let end = stream::once(async move {
        node.quarantine.clear(&fingerprint);
        Ok(Bytes::new())
    });
    response.set_body(watched_body(bytes.chain(end), ended));
    response
}

/// Runs a call under a claim. It goes on when the caller leaves, so that its outcome is stored.
async fn claimed_call(
    node: &Arc<Node>,
    call: ServiceCall,
    key: &str,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let account = call
        .identity
        .as_ref()
        .map(|identity| identity.account.as_str());
    let key = ClaimKey::of_parts(account.unwrap_or(""), call.service.as_str(), key);
    let (owner, scope) = (Arc::clone(node), scope.clone());
    let ended = node.claims.run_call(async move {
        let request = CallDigest::of_call(call.method.as_str(), &call.path_and_query, &call.body);
        match owner.claims.claim(key, request).await {
            Ok(permit) => send_once(&owner, &call, permit, &scope).await,
            Err(refused) => refused_response(refused),
        }
    });
    let broken = || failed("the call ended unexpectedly", RunState::Unknown);
    ended.await.unwrap_or_else(|| Err(broken()))
}

fn refused_response(refused: RefusedClaim) -> Result<Response, CallerError> {
    let message = refused.to_string();
    let error = |code| CallerError::not_run(code, message.clone());
    Err(match refused {
        RefusedClaim::Replay(answer) => return replayed(&answer),
        RefusedClaim::InProgress => error(ErrorCode::ClaimInProgress).with_run(RunState::Unknown),
        RefusedClaim::KeyReused => error(ErrorCode::IdempotencyKeyReused),
        RefusedClaim::NotClaimed => unavailable(&message),
        RefusedClaim::AnswerUnreadable => unavailable(&message).with_run(RunState::Yes),
    })
}

fn replayed(answer: &StoredAnswer) -> Result<Response, CallerError> {
    let Some(body) = answer.body_bytes() else {
        let message = "the call was answered before, but its answer was too large to be stored";
        let error = CallerError::not_run(ErrorCode::AnswerNotStored, message);
        return Err(error.with_run(RunState::Yes));
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut builder = Response::builder().status(status);
    if let Some(content_type) = &answer.content_type {
        builder = builder.content_type(content_type);
    }
    Ok(builder.header(REPLAY_HEADER, "true").body(body))
}

/// Sends the call to the first server that accepts a connection, and to no other one.
async fn send_once(
    node: &Arc<Node>,
    call: &ServiceCall,
    permit: SendPermit,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let claims: &ClaimsService = &node.claims;
    for (target, address) in servers(node, &call.service)
        .into_iter()
        .take(CONNECT_ATTEMPTS)
    {
        if !call.is_admitted(node) {
            claims.give_up(permit);
            return Err(key_revoked());
        }
        if !claims.may_send(&permit) || scope.begin_send().is_err() {
            claims.give_up(permit);
            return Err(unavailable(
                "the claim is too old, so the call was not sent",
            ));
        }
        let request = call.to_server(&node.context.fresh_targets, address, scope);
        match request.send().await {
            Err(error) if error.is_connect() => scope.end_send(RunState::No),
            Err(_) => {
                scope.end_send(RunState::Unknown);
                let _ = permit.send();
                report_break(node, call, &target, address);
                return Err(failed(
                    "the service's server did not answer",
                    RunState::Unknown,
                ));
            }
            Ok(reply) => {
                scope.end_send(RunState::Yes);
                let answer = store_answer(claims, permit, reply).await?;
                node.quarantine.clear(&call.fingerprint);
                return Ok(answer);
            }
        }
    }
    claims.give_up(permit);
    Err(unavailable("no server of the service can be reached now"))
}

/// Reads the whole answer, stores it and passes it on.
async fn store_answer(
    claims: &ClaimsService,
    permit: SendPermit,
    reply: reqwest::Response,
) -> Result<Response, CallerError> {
    let sent = permit.send();
    let status = reply.status();
    let headers = forwarded(reply.headers(), None);
    let Ok(body) = reply.bytes().await else {
        return Err(failed("the service's answer broke off", RunState::Yes));
    };
    let content_type = headers.get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    claims.finish(
        sent,
        StoredAnswer::new(status.as_u16(), content_type, &body),
    );
    let mut response = Response::builder().status(status).finish();
    *response.headers_mut() = headers;
    response.set_body(body);
    Ok(response)
}
