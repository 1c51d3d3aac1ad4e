//! Who calls: the key in the `Authorization` header, checked against the configured digests.

use poem::Request;
use serde_json::Value;

use super::attempt::unavailable;
use super::error::{CallerError, ErrorCode};
use super::headers::contains;
use crate::config::model::KeyDigest;
use crate::config::state::ConfigState;
use crate::ids::{AccountName, KeyName};
use crate::node::Node;

/// The caller of a request, as its key says. The key itself is not kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallerIdentity {
    pub(crate) account: AccountName,
    pub(crate) key: KeyName,
    digest: KeyDigest,
}

impl CallerIdentity {
    /// Whether the key is still in the configuration and belongs to the same account.
    pub(crate) fn is_valid(&self, config: &ConfigState) -> bool {
        config
            .key_by_digest(&self.digest)
            .is_some_and(|(_, key)| key.account == self.account)
    }
}

/// Query parameters in which callers put keys by mistake; proxies log them.
const KEY_PARAMETERS: [&str; 4] = ["key", "api_key", "api-key", "access_token"];

/// Identifies the caller of `request`. Only a fresh node may: another one could accept a key
/// that has been revoked.
pub(crate) fn authenticate(node: &Node, request: &Request) -> Result<CallerIdentity, CallerError> {
    check_headers(request)?;
    if !node.is_fresh() {
        return Err(unavailable("this node can't check keys now"));
    }
    let config = node.context.config.current();
    let digest = KeyDigest::of_key(bearer_key(request)?);
    let unknown = || CallerError::not_run(ErrorCode::Unauthorized, "the key is not known");
    let (name, key) = config.key_by_digest(&digest).ok_or_else(unknown)?;
    Ok(CallerIdentity {
        account: key.account.clone(),
        key: name.clone(),
        digest,
    })
}

/// Refuses requests that carry a key where it does not belong, or more than one key.
pub(crate) fn check_headers(request: &Request) -> Result<(), CallerError> {
    check_query(request)?;
    if request.headers().get_all("authorization").iter().count() > 1 {
        let message = "more than one Authorization header";
        return Err(CallerError::not_run(ErrorCode::BadRequest, message));
    }
    Ok(())
}

fn check_query(request: &Request) -> Result<(), CallerError> {
    let query = request.uri().query().unwrap_or("");
    // Parameter names may be percent-encoded.
    let url = reqwest::Url::parse(&format!("http://query/?{query}"));
    let Ok(url) = url else {
        let message = "the query is malformed";
        return Err(CallerError::not_run(ErrorCode::BadRequest, message));
    };
    for (name, _) in url.query_pairs() {
        if KEY_PARAMETERS.contains(&name.to_ascii_lowercase().as_str()) {
            let message = "send the key in the Authorization header, not in the query";
            return Err(CallerError::not_run(ErrorCode::BadRequest, message));
        }
    }
    Ok(())
}

fn bearer_key(request: &Request) -> Result<&str, CallerError> {
    presented_key(request).ok_or_else(|| {
        let message = "send a key as \"Authorization: Bearer <key>\"";
        CallerError::not_run(ErrorCode::Unauthorized, message)
    })
}

/// Refuses a body that contains the caller's key, plainly or with JSON escapes: targets and
/// records would get it.
pub(crate) fn check_body(body: &[u8], key: Option<&str>) -> Result<(), CallerError> {
    let Some(key) = key else { return Ok(()) };
    let is_escaped = || {
        body.contains(&b'\\')
            && serde_json::from_slice::<Value>(body).is_ok_and(|value| mentions(&value, key))
    };
    if contains(body, key.as_bytes()) || is_escaped() {
        let message = "the key must not be part of the body";
        return Err(CallerError::not_run(ErrorCode::BadRequest, message));
    }
    Ok(())
}

/// Whether a text or name in `value` contains `key`.
fn mentions(value: &Value, key: &str) -> bool {
    match value {
        Value::String(text) => text.contains(key),
        Value::Array(values) => values.iter().any(|value| mentions(value, key)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, value)| name.contains(key) || mentions(value, key)),
        Value::Null | Value::Bool(_) | Value::Number(_) => false,
    }
}

/// The key that a request presents, known or not.
pub(crate) fn presented_key(request: &Request) -> Option<&str> {
    let (scheme, key) = request.header("authorization")?.split_once(' ')?;
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
