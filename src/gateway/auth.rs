//! Authenticates callers: checks the key in the `Authorization` header against configured digests.

use poem::Request;
use serde_json::Value;

use super::attempt::unavailable;
use super::error::{CallerError, ErrorCode};
use super::headers::contains_bytes;
use crate::config::model::KeyDigest;
use crate::config::state::ConfigState;
use crate::ids::{AccountName, KeyName};
use crate::node::Node;

/// The caller of a request, identified by its key. Holds the digest instead of the key.
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

/// Query parameters in which callers send keys by mistake. Proxies write queries to their logs.
const KEY_PARAMETERS: [&str; 4] = ["key", "api_key", "api-key", "access_token"];

/// Identifies the caller of `request`. Fails while this node's configuration may be out of date,
/// since the node could accept a key that has been revoked.
pub(crate) fn authenticate(node: &Node, request: &Request) -> Result<CallerIdentity, CallerError> {
    check_key_placement(request)?;
    if !node.has_fresh_config() {
        return Err(unavailable("this node can't check keys now"));
    }
    let config = node.context.config.current();
    let digest = KeyDigest::of_key(bearer_key(request)?);
    let unknown_key = || CallerError::not_run(ErrorCode::Unauthorized, "the key is not known");
    let (name, key) = config.key_by_digest(&digest).ok_or_else(unknown_key)?;
    Ok(CallerIdentity {
        account: key.account.clone(),
        key: name.clone(),
        digest,
    })
}

/// Rejects requests with a key in the query or with more than one `Authorization` header.
pub(crate) fn check_key_placement(request: &Request) -> Result<(), CallerError> {
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

/// Rejects a body that contains the caller's key, literally or with JSON escapes. The key would be
/// sent to targets and written to stored records.
pub(crate) fn check_body_without_key(body: &[u8], key: Option<&str>) -> Result<(), CallerError> {
    let Some(key) = key else { return Ok(()) };
    let has_escaped_key = || {
        body.contains(&b'\\')
            && serde_json::from_slice::<Value>(body).is_ok_and(|value| json_contains(&value, key))
    };
    if contains_bytes(body, key.as_bytes()) || has_escaped_key() {
        let message = "the key must not be part of the body";
        return Err(CallerError::not_run(ErrorCode::BadRequest, message));
    }
    Ok(())
}

/// Whether a string or field name in `value` contains `key`.
fn json_contains(value: &Value, key: &str) -> bool {
    match value {
        Value::String(text) => text.contains(key),
        Value::Array(values) => values.iter().any(|value| json_contains(value, key)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, value)| name.contains(key) || json_contains(value, key)),
        Value::Null | Value::Bool(_) | Value::Number(_) => false,
    }
}

/// The key that a request presents, valid or not.
pub(crate) fn presented_key(request: &Request) -> Option<&str> {
    let (scheme, key) = request.header("authorization")?.split_once(' ')?;
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
