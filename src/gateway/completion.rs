//! Completion requests: read, authenticate, resolve the adapter, charge, acquire, send.

use std::sync::Arc;

use poem::{Request, Response};
use serde_json::{Map, Value, json};

use super::auth::{CallerIdentity, authenticate};
use super::error::{CallerError, ErrorCode, RunState};
use super::relay::{AnswerRelay, RunningCall};
use super::scope::RequestScope;
use crate::config::state::ConfigState;
use crate::ids::{AdapterVersion, BaseModel, RequestId, TokenCount};
use crate::ledger::{ChargeError, ChargeReceipt};
use crate::node::Node;
use crate::pool::{AcquireError, PoolRequest, ReleaseOutcome, RequestPin};

/// The generated tokens that are charged and allowed when the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// The largest `max_tokens` that is accepted.
const MAX_TOKENS_LIMIT: u64 = 1_000_000;
/// Prompt bytes that are charged as one token until the target tells the true count.
const BYTES_PER_TOKEN: u64 = 4;

/// A completion request that is understood, but not yet admitted.
#[derive(Debug, Clone)]
pub(crate) struct CompletionCall {
    pub(crate) id: RequestId,
    pub(crate) identity: CallerIdentity,
    /// The path of the endpoint, the same at the target.
    pub(crate) path: String,
    pub(crate) adapter: AdapterVersion,
    pub(crate) base_model: BaseModel,
    /// The `model` of the caller's request, which the answer repeats.
    pub(crate) public_model: String,
    pub(crate) body: Map<String, Value>,
    pub(crate) streamed: bool,
    /// Whether the caller asked for the usage at the end of a stream.
    pub(crate) wants_usage: bool,
    /// Prompt estimate and `max_tokens`.
    pub(crate) charge: TokenCount,
}

/// Answers a completion request.
pub(crate) async fn complete(
    node: &Arc<Node>,
    mut request: Request,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let identity = authenticate(node, &request)?;
    let body = read_body(node, &mut request).await?;
    let path = request.uri().path().to_owned();
    let call = parse_call(
        &node.context.config.current(),
        &scope.id,
        identity,
        path,
        body,
    )?;
    let receipt = charge(node, &call).await?;
    run(node, call, receipt).await
}

/// Lists the adapters of the caller's account.
pub(crate) fn list_models(node: &Arc<Node>, request: &Request) -> Result<Response, CallerError> {
    let identity = authenticate(node, request)?;
    let config = node.context.config.current();
    let own = config
        .adapters
        .iter()
        .filter(|(_, entry)| entry.account == identity.account);
    let models = own.map(|(name, entry)| {
        json!({"id": format!("{}/{name}", entry.base_model), "object": "model",
               "owned_by": entry.account, "version": entry.current})
    });
    let list = json!({"object": "list", "data": models.collect::<Vec<_>>()});
    Ok(Response::builder()
        .content_type("application/json")
        .body(list.to_string()))
}

/// Reads the body within the limits of size and time.
pub(crate) async fn read_body(
    node: &Arc<Node>,
    request: &mut Request,
) -> Result<Vec<u8>, CallerError> {
    let settings = &node.context.settings;
    let body = request
        .take_body()
        .into_bytes_limit(settings.body_limit_bytes);
    match tokio::time::timeout(settings.body_timeout, body).await {
        Ok(Ok(bytes)) => Ok(bytes.into()),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => {
            let message = format!(
                "the body is larger than {} bytes",
                settings.body_limit_bytes
            );
            Err(CallerError::not_run(ErrorCode::BodyTooLarge, message))
        }
        Ok(Err(_)) => Err(CallerError::not_run(
            ErrorCode::BadRequest,
            "the body broke off",
        )),
        Err(_) => Err(CallerError::not_run(
            ErrorCode::BodyTimeout,
            "the body took too long",
        )),
    }
}

fn bad_request(message: impl Into<String>) -> CallerError {
    CallerError::not_run(ErrorCode::BadRequest, message)
}

fn parse_call(
    config: &ConfigState,
    id: &RequestId,
    identity: CallerIdentity,
    path: String,
    body: Vec<u8>,
) -> Result<CompletionCall, CallerError> {
    let size = body.len() as u64;
    let mut body: Map<String, Value> = serde_json::from_slice(&body)
        .map_err(|error| bad_request(format!("the body is not a JSON object: {error}")))?;
    let model = body.get("model").and_then(Value::as_str);
    let public_model = model
        .ok_or_else(|| bad_request("\"model\" must name an adapter"))?
        .to_owned();
    let (adapter, base_model) = resolve_model(config, &identity, &public_model)?;
    let streamed = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(streamed)) => *streamed,
        Some(_) => return Err(bad_request("\"stream\" must be true or false")),
    };
    let wants_usage = body.get("stream_options").is_some_and(|options| {
        options
            .get("include_usage")
            .and_then(Value::as_bool)
            .unwrap_or(false)
    });
    let max_tokens = max_tokens(&body)?;
    body.insert("max_tokens".to_owned(), max_tokens.into());
    if streamed {
        body.insert("stream_options".to_owned(), json!({"include_usage": true}));
    }
    let charge = TokenCount::new(size / BYTES_PER_TOKEN + max_tokens);
    let id = id.clone();
    Ok(CompletionCall {
        id,
        identity,
        path,
        adapter,
        base_model,
        public_model,
        body,
        streamed,
        wants_usage,
        charge,
    })
}

fn max_tokens(body: &Map<String, Value>) -> Result<u64, CallerError> {
    let given = body
        .get("max_tokens")
        .or_else(|| body.get("max_completion_tokens"));
    let limit = match given {
        None | Some(Value::Null) => return Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value.as_u64(),
    };
    match limit {
        Some(limit @ 1..=MAX_TOKENS_LIMIT) => Ok(limit),
        _ => Err(bad_request(format!(
            "\"max_tokens\" must be a whole number from 1 to {MAX_TOKENS_LIMIT}"
        ))),
    }
}

/// Finds `[<base>/]<adapter>[@<version>]` among the adapters of the caller's account.
fn resolve_model(
    config: &ConfigState,
    identity: &CallerIdentity,
    model: &str,
) -> Result<(AdapterVersion, BaseModel), CallerError> {
    let not_found = || CallerError::not_run(ErrorCode::NotFound, format!("no model \"{model}\""));
    let (base, rest) = match model.split_once('/') {
        Some((base, rest)) => (Some(base), rest),
        None => (None, model),
    };
    let (name, version) = match rest.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (rest, None),
    };
    let adapter = name.parse().map_err(|_| not_found())?;
    let entry = config.adapters.get(&adapter).ok_or_else(not_found)?;
    if base.is_some_and(|base| base != entry.base_model.as_str()) {
        return Err(not_found());
    }
    if entry.account != identity.account {
        let message = format!("the model \"{model}\" belongs to another account");
        return Err(CallerError::not_run(ErrorCode::Forbidden, message));
    }
    let version = match version {
        Some(version) => version.parse().map_err(|_| not_found())?,
        None => entry.current.clone(),
    };
    let adapter = AdapterVersion::new(adapter, version);
    if !config.versions.contains_key(&adapter) {
        return Err(not_found());
    }
    Ok((adapter, entry.base_model.clone()))
}

async fn charge(node: &Arc<Node>, call: &CompletionCall) -> Result<ChargeReceipt, CallerError> {
    let charged = node
        .ledger
        .charge(&call.identity.account, call.charge)
        .await;
    charged.map_err(|error| {
        let message = error.to_string();
        match error {
            ChargeError::OverRate { retry_after } => {
                CallerError::not_run(ErrorCode::OverRate, message).with_retry_after(retry_after)
            }
            ChargeError::OverBurst { .. } => CallerError::not_run(ErrorCode::OverBurst, message),
            ChargeError::Unavailable => unavailable(message),
        }
    })
}

fn unavailable(message: impl Into<String>) -> CallerError {
    let retry_after = std::time::Duration::from_secs(1);
    CallerError::not_run(ErrorCode::Unavailable, message).with_retry_after(retry_after)
}

/// The bytes of a prompt's beginning that decide whether a target's prefix cache may hold it.
const PREFIX_BYTES: usize = 256;

/// The hash of the prompt's beginning.
fn prefix_hash(body: &Map<String, Value>) -> Option<u64> {
    use std::hash::Hasher;
    let prompt = body.get("prompt").or_else(|| body.get("messages"))?;
    let text = prompt.to_string();
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(&text.as_bytes()[..text.len().min(PREFIX_BYTES)]);
    Some(hasher.finish())
}

/// Acquires a place, sends the request and starts the answer.
async fn run(
    node: &Arc<Node>,
    call: CompletionCall,
    receipt: ChargeReceipt,
) -> Result<Response, CallerError> {
    let request = PoolRequest {
        request: call.id.clone(),
        account: call.identity.account.clone(),
        base_model: call.base_model.clone(),
        adapter: call.adapter.clone(),
        tokens: call.charge,
        prefix: prefix_hash(&call.body),
        suspect: false,
    };
    let pin = match node.pool.acquire(request).await {
        Ok(pin) => pin,
        Err(error) => {
            node.ledger.settle(receipt, TokenCount::ZERO).await;
            return Err(match error {
                AcquireError::Refused {
                    reason,
                    retry_after,
                } => unavailable(reason).with_retry_after(retry_after),
                AcquireError::Unavailable => unavailable(error.to_string()),
            });
        }
    };
    let running = RunningCall::new(Arc::clone(node), call, pin, receipt);
    send(running).await
}

async fn send(mut running: RunningCall) -> Result<Response, CallerError> {
    let reply = match target_call(&running) {
        Some(call) => call.send().await,
        None => return Err(unavailable("the target is no longer configured")),
    };
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            let run = if error.is_connect() {
                RunState::No
            } else {
                RunState::Unknown
            };
            if run == RunState::Unknown {
                running.assume_all_used();
                running.outcome = ReleaseOutcome::BrokeOff;
            } else {
                running.outcome = ReleaseOutcome::ConnectFailed;
            }
            return Err(failed("the target could not be reached").with_run(run));
        }
    };
    if !reply.status().is_success() {
        let message = format!(
            "the target answered with status {}",
            reply.status().as_u16()
        );
        return Err(failed(message).with_run(RunState::Yes));
    }
    if running.call.streamed {
        return Ok(AnswerRelay::new(running, reply).into_response());
    }
    super::relay::whole_answer(running, reply).await
}

fn failed(message: impl Into<String>) -> CallerError {
    let retry_after = std::time::Duration::from_secs(1);
    CallerError::not_run(ErrorCode::TargetFailed, message).with_retry_after(retry_after)
}

/// The request as the target gets it: without the caller's headers.
fn target_call(running: &RunningCall) -> Option<reqwest::RequestBuilder> {
    let RunningCall {
        node, call, pin, ..
    } = running;
    let address = target_address(node, pin)?;
    let mut body = call.body.clone();
    body.insert("model".to_owned(), pin.generation.clone().into());
    let url = format!("http://{address}{}", call.path);
    let request = node
        .context
        .targets
        .post(url)
        .header("x-request-id", call.id.as_str());
    Some(
        request
            .timeout(node.context.settings.request_timeout)
            .json(&body),
    )
}

fn target_address(node: &Node, pin: &RequestPin) -> Option<std::net::SocketAddr> {
    Some(
        node.context
            .config
            .current()
            .targets
            .get(&pin.target)?
            .address,
    )
}
