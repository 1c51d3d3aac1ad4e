//! Completion requests: authenticates the caller, reads the body, resolves the adapter and charges
//! the account before the request is sent to a target.

use std::sync::Arc;

use poem::{Request, Response};
use serde_json::{Map, Value, json};

use super::attempt::{check_quarantine, run_with_retries, unavailable};
use super::auth::{CallerIdentity, authenticate, check_body_without_key, presented_key};
use super::caller_body::read_body;
use super::error::{CallerError, ErrorCode};
use super::running_call::ChargeGuard;
use super::scope::RequestScope;
use crate::config::state::ConfigState;
use crate::ids::{AdapterVersion, BaseModel, RequestId, TokenCount};
use crate::ledger::{ChargeError, ChargeReceipt};
use crate::node::Node;
use crate::quarantine::RequestFingerprint;

/// The `max_tokens` of requests that set none.
const DEFAULT_MAX_TOKENS: u64 = 256;
const MAX_TOKENS_LIMIT: u64 = 1_000_000;
/// Body bytes that are charged as one prompt token until the target reports the actual usage.
const BYTES_PER_TOKEN: u64 = 4;

/// A parsed completion request.
#[derive(Debug, Clone)]
pub(crate) struct CompletionCall {
    pub(crate) id: RequestId,
    pub(crate) identity: CallerIdentity,
    /// The path of the endpoint, which is the same on the target.
    pub(crate) path: String,
    pub(crate) adapter: AdapterVersion,
    pub(crate) base_model: BaseModel,
    /// The `model` of the caller's request, which is repeated in the response.
    pub(crate) public_model: String,
    pub(crate) body: Map<String, Value>,
    pub(crate) streamed: bool,
    /// Whether the caller wants the token usage at the end of a stream.
    pub(crate) wants_usage: bool,
    pub(crate) prompt_estimate: TokenCount,
    /// The sum of `prompt_estimate` and `max_tokens`.
    pub(crate) charge: TokenCount,
    pub(crate) fingerprint: RequestFingerprint,
}

pub(crate) async fn handle_completion(
    node: &Arc<Node>,
    mut request: Request,
    scope: &RequestScope,
) -> Result<Response, CallerError> {
    let identity = authenticate(node, &request)?;
    let (body, _reservation) = read_body(node, &mut request).await?;
    check_body_without_key(&body, presented_key(&request))?;
    let path = request.uri().path().to_owned();
    let call = parse_call(
        &node.context.config.current(),
        &scope.id,
        identity,
        path,
        body,
    )?;
    check_quarantine(node, &call.fingerprint)?;
    let receipt = charge_account(node, &call).await?;
    let charge = ChargeGuard::new(Arc::clone(node), receipt);
    run_with_retries(node, call, charge, scope).await
}

/// Lists the adapters of the caller's account.
pub(crate) fn list_models(node: &Arc<Node>, request: &Request) -> Result<Response, CallerError> {
    let identity = authenticate(node, request)?;
    let config = node.context.config.current();
    let own_adapters = config
        .adapters
        .iter()
        .filter(|(_, entry)| entry.account == identity.account);
    let models = own_adapters.map(|(name, entry)| {
        json!({"id": format!("{}/{name}", entry.base_model), "object": "model",
               "owned_by": entry.account, "version": entry.current})
    });
    let list = json!({"object": "list", "data": models.collect::<Vec<_>>()});
    Ok(Response::builder()
        .content_type("application/json")
        .body(list.to_string()))
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
    let prompt_estimate = TokenCount::new(body.len() as u64 / BYTES_PER_TOKEN);
    let raw_body = body;
    let mut body: Map<String, Value> = serde_json::from_slice(&raw_body)
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
    let max_tokens = parse_max_tokens(&body)?;
    body.insert("max_tokens".to_owned(), max_tokens.into());
    if streamed {
        body.insert("stream_options".to_owned(), json!({"include_usage": true}));
    }
    let charge = prompt_estimate + TokenCount::new(max_tokens);
    let account = identity.account.as_str();
    let fingerprint = RequestFingerprint::of_request(account, adapter.adapter.as_str(), &raw_body);
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
        prompt_estimate,
        charge,
        fingerprint,
    })
}

fn parse_max_tokens(body: &Map<String, Value>) -> Result<u64, CallerError> {
    let max_tokens = body
        .get("max_tokens")
        .or_else(|| body.get("max_completion_tokens"));
    let max_tokens = match max_tokens {
        None | Some(Value::Null) => return Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value.as_u64(),
    };
    match max_tokens {
        Some(max_tokens @ 1..=MAX_TOKENS_LIMIT) => Ok(max_tokens),
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

async fn charge_account(
    node: &Arc<Node>,
    call: &CompletionCall,
) -> Result<ChargeReceipt, CallerError> {
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
