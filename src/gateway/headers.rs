//! Selects the headers that are forwarded between callers and the servers of HTTP services.

use poem::http::HeaderMap;

/// Headers that apply to one connection, carry the caller's credentials or are set by this node.
const DROPPED_HEADERS: [&str; 15] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-idempotent-replay",
    "x-request-id",
];

/// The headers to forward. Drops those that `Connection` lists and those whose value contains
/// `key`.
pub(crate) fn forwardable_headers(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let connection_headers = headers.get_all("connection").iter();
    let connection_headers: Vec<String> = connection_headers
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &str, value: &[u8]| {
        let is_dropped = DROPPED_HEADERS.contains(&name)
            || connection_headers.iter().any(|listed| listed == name);
        !is_dropped && !key.is_some_and(|key| contains_bytes(value, key.as_bytes()))
    };
    let pairs = headers
        .iter()
        .filter(|(name, value)| is_forwarded(name.as_str(), value.as_bytes()));
    let mut forwarded = HeaderMap::new();
    for (name, value) in pairs {
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

pub(crate) fn contains_bytes(text: &[u8], part: &[u8]) -> bool {
    let Some((first, rest)) = part.split_first() else {
        return false;
    };
    let mut text = text;
    while let Some(index) = text.iter().position(|byte| byte == first) {
        text = &text[index + 1..];
        if text.starts_with(rest) {
            return true;
        }
    }
    false
}
