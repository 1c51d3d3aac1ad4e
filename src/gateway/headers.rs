//! Which headers pass between callers and the servers of plain services.

use poem::http::HeaderMap;

/// Headers that belong to one connection, to the caller's credentials or to this node.
const KEPT_BACK: [&str; 15] = [
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

/// The headers that pass on: neither hop-by-hop ones nor any in whose value `key` appears.
pub(crate) fn forwarded(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let listed = headers.get_all("connection").iter();
    let listed: Vec<String> = listed
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &str, value: &[u8]| {
        let is_kept_back = KEPT_BACK.contains(&name) || listed.iter().any(|own| own == name);
        !is_kept_back && !key.is_some_and(|key| contains(value, key.as_bytes()))
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

/// Whether `part` appears in `text`.
pub(crate) fn contains(text: &[u8], part: &[u8]) -> bool {
    let Some((first, rest)) = part.split_first() else {
        return false;
    };
    let mut text = text;
    while let Some(place) = text.iter().position(|byte| byte == first) {
        text = &text[place + 1..];
        if text.starts_with(rest) {
            return true;
        }
    }
    false
}
