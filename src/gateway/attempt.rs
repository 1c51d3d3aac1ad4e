//! Sends a completion to a target and retries it on another one until the first byte of a response
//! has reached the caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use poem::Response;
use poem::http::StatusCode;
use serde_json::{Map, Value};

use super::completion::CompletionCall;
use super::error::{CallerError, ErrorCode, RunState};
use super::relay::{StreamRelay, VERSION_HEADER};
use super::request_client::SendError;
use super::retry::MAX_RETRIES_PER_REQUEST;
use super::running_call::{
    ChargeGuard, PinGuard, RunningCall, key_revoked, key_unconfirmed, target_failed,
};
use super::scope::RequestScope;
use crate::ids::TargetName;
use crate::node::Node;
use crate::pool::{AcquireError, PoolRequest, ReleaseOutcome};
use crate::quarantine::{RequestFingerprint, RequestVerdict};
use crate::response_body::read_response;

/// The largest answer that is no stream.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// An attempt that failed before any byte of a response reached the caller.
struct FailedAttempt {
    error: CallerError,
    charge: ChargeGuard,
    /// Whether an attempt on another target may succeed.
    is_retryable: bool,
}

impl FailedAttempt {
    /// Ends the attempt and releases its pin. The charge is kept for the next attempt.
    fn new(running: RunningCall, error: CallerError, is_retryable: bool) -> Self {
        let charge = running.charge;
        Self {
            error,
            charge,
            is_retryable,
        }
    }
}

/// Sends a request whose tokens are already charged, and retries it on other targets.
pub(crate) async fn run_with_retries(
    node: &Arc<Node>,
    call: CompletionCall,
    charge: ChargeGuard,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let call = Arc::new(call);
    let mut charge = charge;
    node.retry_budget.record_first_attempt();
    let mut avoid = None;
    for retries_left in (0..=MAX_RETRIES_PER_REQUEST).rev() {
        let pin = acquire_pin(node, &call, avoid).await;
        let pin = pin.map_err(|error| scope.with_overall_run_state(error))?;
        avoid = Some(pin.target.clone());
        let running = RunningCall {
            node: Arc::clone(node),
            call: Arc::clone(&call),
            scope: scope.clone(),
            pin: PinGuard::new(Arc::clone(node), pin),
            charge,
            started: Instant::now(),
            first_token: None,
            boot: None,
        };
        let failed = match send_to_target(running).await {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        // A crash in this attempt may have quarantined the request.
        check_quarantine(node, &call.fingerprint)
            .map_err(|error| scope.with_overall_run_state(error))?;
        if !failed.is_retryable || retries_left == 0 || !node.retry_budget.try_take_retry() {
            return Err(scope.with_overall_run_state(failed.error));
        }
        tracing::info!(
            "gateway: retrying request {} after a failed attempt: {}",
            call.id,
            failed.error
        );
        charge = failed.charge;
    }
    unreachable!("the last attempt returns")
}

/// Rejects a request that is quarantined because targets crashed while they ran it.
pub(crate) fn check_quarantine(
    node: &Node,
    fingerprint: &RequestFingerprint,
) -> Result<(), CallerError> {
    if node.quarantine.verdict(fingerprint) != RequestVerdict::Held {
        return Ok(());
    }
    let message = "targets crashed under this request, so it is not run for some minutes";
    Err(CallerError::not_run(ErrorCode::RequestQuarantined, message))
}

pub(crate) fn unavailable(message: impl Into<String>) -> CallerError {
    let retry_after = Duration::from_secs(1);
    CallerError::not_run(ErrorCode::Unavailable, message).with_retry_after(retry_after)
}

async fn acquire_pin(
    node: &Arc<Node>,
    call: &CompletionCall,
    avoid: Option<TargetName>,
) -> Result<crate::pool::RequestPin, CallerError> {
    let request = PoolRequest {
        request: call.id.clone(),
        account: call.identity.account.clone(),
        base_model: call.base_model.clone(),
        adapter: call.adapter.clone(),
        tokens: call.charge,
        prefix: prefix_hash(&call.body),
        suspect: node.quarantine.verdict(&call.fingerprint) == RequestVerdict::Suspect,
        avoid,
    };
    let acquired = node.pool.acquire(request).await;
    acquired.map_err(|error| match error {
        AcquireError::Refused {
            reason,
            retry_after,
        } => unavailable(reason).with_retry_after(retry_after),
        AcquireError::Unavailable => unavailable(error.to_string()),
    })
}

/// The length of the prompt prefix whose hash is used to find a target that may have it cached.
const PREFIX_BYTES: usize = 256;

fn prefix_hash(body: &Map<String, Value>) -> Option<u64> {
    use std::hash::Hasher;
    let prompt = body.get("prompt").or_else(|| body.get("messages"))?;
    let text = prompt.to_string();
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(&text.as_bytes()[..text.len().min(PREFIX_BYTES)]);
    Some(hasher.finish())
}

async fn send_to_target(mut running: RunningCall) -> Result<Response, FailedAttempt> {
    if !running.key_is_valid() {
        return Err(FailedAttempt::new(running, key_revoked(), false));
    }
    if !running.key_is_confirmed() {
        return Err(FailedAttempt::new(running, key_unconfirmed(), false));
    }
    let Some(address) = running.target_address() else {
        let error = unavailable("the target is no longer configured");
        return Err(FailedAttempt::new(running, error, true));
    };
    let (node, target) = (Arc::clone(&running.node), running.pin.pin.target.clone());
    running.boot = node.quarantine.boot_before_send(&target, address).await;
    let Ok(id_history) = running.begin_send() else {
        let error = running.scope.deadline_passed();
        return Err(FailedAttempt::new(running, error, false));
    };
    let requests = &node.context.request_client;
    let connection = requests.connection_use(address, id_history);
    let request = |client: &reqwest::Client| running.target_request(client, address);
    let id = &running.call.id;
    let reply = match requests.send(address, id, connection, request).await {
        Ok(reply) => reply,
        Err(SendError::NotConnected) => {
            running.record_failed_send(RunState::No);
            let error = target_failed("the target could not be reached", RunState::No);
            return Err(FailedAttempt::new(running, error, true));
        }
        Err(SendError::NoAnswer) => {
            running.record_failed_send(RunState::Unknown);
            running.strike_if_crashed().await;
            let error = target_failed("the target did not answer", RunState::Unknown);
            return Err(FailedAttempt::new(running, error, true));
        }
    };
    if !reply.status().is_success() {
        return Err(rejected_by_target(running, reply.status()));
    }
    if running.call.streamed {
        return stream_response(running, reply).await;
    }
    buffered_response(running, reply).await
}

/// Handles an error status from a target. Errors in the request itself are not retried, since every
/// target would return them.
fn rejected_by_target(mut running: RunningCall, status: StatusCode) -> FailedAttempt {
    if status == StatusCode::NOT_FOUND {
        running.record_not_loaded();
        let error = target_failed("the target lost the adapter", RunState::No);
        return FailedAttempt::new(running, error, true);
    }
    running.scope.end_send(RunState::Yes);
    if status.is_server_error() {
        running.pin.outcome = ReleaseOutcome::BrokeOff;
    }
    let message = format!("the target answered with status {}", status.as_u16());
    let is_request_error = matches!(status.as_u16(), 400 | 413 | 422);
    let error = match is_request_error {
        true => CallerError::not_run(ErrorCode::BadRequest, message).with_run_state(RunState::Yes),
        false => target_failed(message, RunState::Yes),
    };
    FailedAttempt::new(running, error, !is_request_error)
}

/// Waits for the first event of a stream. Until that event is sent to the caller, the request can
/// be retried.
async fn stream_response(
    running: RunningCall,
    reply: reqwest::Response,
) -> Result<Response, FailedAttempt> {
    let mut relay = StreamRelay::new(running, reply);
    match relay.first_event().await {
        Ok(event) => {
            relay.running.scope.end_send(RunState::Yes);
            Ok(relay.into_response(event))
        }
        Err(error) => {
            let mut running = relay.running;
            running.record_failed_send(error.run_state);
            let is_retryable = error.code == ErrorCode::TargetFailed;
            if is_retryable {
                running.strike_if_crashed().await;
            }
            Err(FailedAttempt::new(running, error, is_retryable))
        }
    }
}

async fn buffered_response(
    mut running: RunningCall,
    reply: reqwest::Response,
) -> Result<Response, FailedAttempt> {
    let body = read_response(
        reply,
        MAX_RESPONSE_BYTES,
        &running.node.context.target_memory,
    )
    .await;
    let body = match body {
        Ok(body) => body.bytes,
        Err(error) => {
            tracing::warn!(
                "gateway: the answer to request {} was not read: {error}",
                running.call.id
            );
            running.record_failed_send(RunState::Unknown);
            running.strike_if_crashed().await;
            let error = target_failed("the target's answer broke off", RunState::Unknown);
            return Err(FailedAttempt::new(running, error, true));
        }
    };
    running.scope.end_send(RunState::Yes);
    if !running.key_is_valid() {
        let error = key_revoked().with_run_state(RunState::Yes);
        return Err(FailedAttempt::new(running, error, false));
    }
    if !running.key_is_confirmed() {
        let error = key_unconfirmed().with_run_state(RunState::Yes);
        return Err(FailedAttempt::new(running, error, false));
    }
    match running.process_part(&body) {
        Ok(body) => {
            running.record_completion();
            let version = running.call.adapter.version.as_str();
            Ok(Response::builder()
                .content_type("application/json")
                .header(VERSION_HEADER, version)
                .body(body.unwrap_or_default()))
        }
        Err(error) => {
            running.pin.outcome = ReleaseOutcome::BrokeOff;
            running.strike_if_crashed().await;
            Err(FailedAttempt::new(running, error, true))
        }
    }
}

impl RunningCall {
    fn target_address(&self) -> Option<SocketAddr> {
        let config = self.node.context.config.current();
        Some(config.targets.get(&self.pin.pin.target)?.address)
    }

    /// The request to the target. Its body is the caller's, with the name under which the target
    /// loaded the adapter as `model`. It has none of the caller's headers.
    fn target_request(
        &self,
        client: &reqwest::Client,
        address: SocketAddr,
    ) -> reqwest::RequestBuilder {
        let mut body = self.call.body.clone();
        let generation = self.pin.pin.generation.clone();
        body.insert("model".to_owned(), generation.into());
        let url = format!("http://{address}{}", self.call.path);
        client
            .post(url)
            .timeout(self.scope.client_timeout())
            .json(&body)
    }

    /// Adds a strike to the request's quarantine record if its target crashed. The future borrows
    /// nothing from the request, so that it can run on after the caller got the error.
    pub(crate) fn strike_if_crashed(&self) -> impl Future<Output = ()> + Send + use<> {
        let address = self.target_address();
        let quarantine = Arc::clone(&self.node.quarantine);
        let (target, fingerprint) = (self.pin.pin.target.clone(), self.call.fingerprint);
        let boot = self.boot;
        async move {
            if let Some(address) = address {
                quarantine
                    .strike_if_crashed(fingerprint, &target, address, boot)
                    .await;
            }
        }
    }
}
