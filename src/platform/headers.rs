//! Encodes and decodes the headers of callers' requests and targets' responses.

use std::fmt::Write;
use std::time::Duration;

use bytes::BytesMut;

use crate::dispatch::prompt_suspects::PromptPart;
use crate::entry::http::{BodyFraming, HeaderField, HeaderFields, RequestHead, ResponseHead};
use crate::ids::{
    AccountName, BaseModel, ModelAdapter, RateError, RequestId, RequestRate, TargetName,
};

const REQUEST_ID: &str = "X-Request-Id";
/// How many milliseconds the sender waits for the response, counted from the request's arrival.
const DEADLINE: &str = "X-Deadline-Ms";
/// MODEL, or MODEL/ADAPTER.
const MODEL: &str = "X-Model";
/// The number of prompt tokens and the limit of output tokens, separated by a comma.
const TOKENS: &str = "X-Token-Count";
/// "Token KEY".
const AUTHORIZATION: &str = "Authorization";
const ACCOUNT: &str = "X-Tenant";
/// The id of the only target that may run the request.
const EXPECT_INSTANCE: &str = "X-Expect-Instance";
/// The only version of the adapter that may run the request.
const EXPECT_VERSION: &str = "X-Expect-Version";
/// 0 is the most urgent, 9 the least.
const URGENCY: &str = "X-Request-Urgency";
/// Set by a target on its own responses, to prove that they come from it.
const SEAL: &str = "X-Server-Seal";
/// Set by a target that did not run the request.
const NOT_RUN: &str = "X-Not-Run";
/// Set to 1 by a target that is about to stop, in all of its responses.
const LEAVING: &str = "Server-Leaving";
/// The requests per second, a decimal number, that a rate-limited target takes from all entry VMs
/// together. It holds for as long as the target's responses state it.
const RATE_LIMIT: &str = "Server-Limit";
/// The parts of the prompt in order, as ID:TOKENS pairs separated by commas.
const PROMPT_PARTS: &str = "X-Prompt-Prefix";
const LAST_EVENT_ID: &str = "Last-Event-Id";
const FIRST_REQUEST: &str = "Resumes";
const RETRY_AFTER: &str = "Retry-After";

/// The status of a target that is not the expected one, or does not hold the model, the adapter or
/// its version.
pub(crate) const MISDIRECTED: u16 = 421;

const UNAVAILABLE: u16 = 503;
const LEAST_URGENT: u8 = 9;

/// Fields that are not forwarded to a target: they apply to one connection only, or the entry VM
/// alone may set them.
const UNFORWARDED_FIELDS: [&str; 21] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    AUTHORIZATION,
    ACCOUNT,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    URGENCY,
    DEADLINE,
    "X-Hold",
    "X-Pin-Ms",
    "X-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
];

/// The decoded headers of a caller's request.
#[derive(Debug, Clone)]
pub(crate) struct CallerHeaders {
    /// The route's host, in lower case and without a port.
    pub(crate) host: String,
    pub(crate) id: RequestId,
    /// How long the caller waits for the response, if it states a limit.
    pub(crate) timeout: Option<Duration>,
    pub(crate) model: Option<BaseModel>,
    pub(crate) adapter: Option<ModelAdapter>,
    /// Prompt and output tokens together.
    pub(crate) tokens: Option<u64>,
    /// The API key.
    pub(crate) key: Option<String>,
    /// The parts of the prompt that other requests may share: all but the last.
    pub(crate) shared_parts: Vec<PromptPart>,
    /// Whether the caller takes up a stream after an event that it has received.
    pub(crate) has_last_event: bool,
    /// The request that brought the caller the first event of that stream, if the caller states it.
    pub(crate) first_request: Option<RequestId>,
}

/// Why a request's headers are refused, in one sentence. The caller gets it as the error.
pub(crate) type HeaderFault = &'static str;

impl CallerHeaders {
    pub(crate) fn decode(head: &RequestHead) -> Result<Self, HeaderFault> {
        let fields = &head.fields;
        for name in [
            "host",
            REQUEST_ID,
            DEADLINE,
            MODEL,
            TOKENS,
            AUTHORIZATION,
            PROMPT_PARTS,
        ] {
            if fields.count(name) > 1 {
                return Err("a header that must be unique is given twice");
            }
        }
        let host = fields.text("host").ok_or("the Host header is missing")?;
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let id = fields
            .text(REQUEST_ID)
            .ok_or("the X-Request-Id header is missing")?;
        let id = id
            .parse()
            .map_err(|_| "the X-Request-Id header can't be read")?;
        let timeout = fields.text(DEADLINE).map(decode_millis).transpose()?;
        let (model, adapter) = decode_model(fields)?;
        let key = fields
            .text(AUTHORIZATION)
            .and_then(|value| value.strip_prefix("Token "));
        Ok(Self {
            host,
            id,
            timeout,
            model,
            adapter,
            tokens: fields.text(TOKENS).map(decode_tokens).transpose()?,
            key: key.map(|key| key.trim().to_owned()),
            shared_parts: decode_shared_parts(fields.text(PROMPT_PARTS).unwrap_or_default()),
            has_last_event: fields.get(LAST_EVENT_ID).is_some(),
            first_request: fields.text(FIRST_REQUEST).and_then(|id| id.parse().ok()),
        })
    }
}

impl CallerHeaders {
    /// The shared parts of the prompt, for logging.
    pub(crate) fn parts_summary(&self) -> String {
        let parts = self.shared_parts.iter().map(ToString::to_string);
        parts.collect::<Vec<_>>().join(" ")
    }
}

fn decode_millis(text: &str) -> Result<Duration, HeaderFault> {
    let millis = text
        .trim()
        .parse::<f64>()
        .ok()
        .filter(|millis| (0.0..1e9).contains(millis));
    let millis = millis.ok_or("the X-Deadline-Ms header can't be read")?;
    Ok(Duration::from_secs_f64(millis / 1000.0))
}

fn decode_model(
    fields: &HeaderFields,
) -> Result<(Option<BaseModel>, Option<ModelAdapter>), HeaderFault> {
    const FAULT: HeaderFault = "the X-Model header can't be read";
    let Some(text) = fields.text(MODEL) else {
        return Ok((None, None));
    };
    let (model, adapter) = match text.split_once('/') {
        Some((model, _)) => (model, Some(text.parse().map_err(|_| FAULT)?)),
        None => (text, None),
    };
    Ok((Some(model.parse().map_err(|_| FAULT)?), adapter))
}

fn decode_tokens(text: &str) -> Result<u64, HeaderFault> {
    let counts = text.split(',').map(|count| count.trim().parse::<u64>());
    let sum = counts.sum::<Result<u64, _>>();
    sum.map_err(|_| "the X-Token-Count header can't be read")
}

/// Decodes the ids of the prompt's parts, without the last part.
fn decode_shared_parts(text: &str) -> Vec<PromptPart> {
    let (shared, _last) = text.rsplit_once(',').unwrap_or_default();
    let ids = shared.split(',').map(|part| part.split(':').next());
    let ids = ids.map(|id| id.unwrap_or_default().trim());
    let ids = ids.filter(|id| !id.is_empty());
    ids.map(PromptPart::new).collect()
}

/// The header values that the entry VM adds to a request before it forwards it to a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetHeaders<'a> {
    pub(crate) target: &'a TargetName,
    pub(crate) account: Option<&'a AccountName>,
    pub(crate) time_left: Duration,
    pub(crate) adapter_version: Option<u64>,
    /// The request's priority, 0 the highest; absent for services without an engine.
    pub(crate) priority: Option<u8>,
    /// The id of the last event that the caller received, when another target resumes a stream.
    pub(crate) last_event: Option<&'a str>,
}

fn put_field(out: &mut BytesMut, field: &HeaderField) {
    for part in [&field.name[..], b": ", &field.value, b"\r\n"] {
        out.extend_from_slice(part);
    }
}

/// Encodes a request's head for a target.
pub(crate) fn encode_request(
    head: &RequestHead,
    body_bytes: usize,
    headers: &TargetHeaders<'_>,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(1024 + body_bytes);
    let mut put = |text: &str| out.extend_from_slice(text.as_bytes());
    put(&head.method);
    put(" ");
    put(&head.request_target);
    put(" HTTP/1.1\r\n");
    for field in head.fields.iter() {
        let named = |name: &&str| field.name.eq_ignore_ascii_case(name.as_bytes());
        let replaced = headers.last_event.is_some() && named(&LAST_EVENT_ID);
        let in_connection = head
            .fields
            .has_token("connection", &String::from_utf8_lossy(&field.name));
        let unforwarded = UNFORWARDED_FIELDS.iter().any(named);
        if !unforwarded && !replaced && !in_connection {
            put_field(&mut out, field);
        }
    }
    let mut text = String::with_capacity(256);
    let millis = headers.time_left.as_millis();
    let mut line = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(text, "{name}: {value}\r\n");
    };
    line(DEADLINE, &millis);
    line(EXPECT_INSTANCE, &headers.target);
    if let Some(account) = headers.account {
        line(ACCOUNT, account);
    }
    if let Some(version) = headers.adapter_version.filter(|version| *version > 0) {
        line(EXPECT_VERSION, &version);
    }
    if let Some(priority) = headers.priority {
        line(URGENCY, &priority.min(LEAST_URGENT));
    }
    if let Some(event) = headers.last_event {
        line(LAST_EVENT_ID, &event);
    }
    let has_body = body_bytes > 0 || head.fields.count("content-length") > 0;
    if has_body || head.fields.count("transfer-encoding") > 0 {
        line("Content-Length", &body_bytes);
    }
    text.push_str("\r\n");
    out.extend_from_slice(text.as_bytes());
    out
}

/// Encodes a caller's request for another entry VM, which decodes it as if the caller had sent it.
pub(crate) fn encode_forwarded_request(
    head: &RequestHead,
    body_bytes: usize,
    time_left: Duration,
) -> BytesMut {
    const CONNECTION_FIELDS: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        DEADLINE,
    ];
    let version = if head.is_http11 { "1.1" } else { "1.0" };
    let mut text = String::with_capacity(128);
    let (method, target) = (&head.method, &head.request_target);
    let _ = write!(text, "{method} {target} HTTP/{version}\r\n");
    let mut out = BytesMut::with_capacity(1024 + body_bytes);
    out.extend_from_slice(text.as_bytes());
    for field in head.fields.iter() {
        let named = |name: &&str| field.name.eq_ignore_ascii_case(name.as_bytes());
        let name = String::from_utf8_lossy(&field.name);
        let in_connection = head.fields.has_token("connection", &name);
        if !CONNECTION_FIELDS.iter().any(named) && !in_connection {
            put_field(&mut out, field);
        }
    }
    text.clear();
    let millis = time_left.as_millis();
    let _ = write!(text, "{DEADLINE}: {millis}\r\nConnection: close\r\n");
    let has_body = body_bytes > 0 || head.fields.count("content-length") > 0;
    if has_body || head.fields.count("transfer-encoding") > 0 {
        let _ = write!(text, "Content-Length: {body_bytes}\r\n");
    }
    text.push_str("\r\n");
    out.extend_from_slice(text.as_bytes());
    out
}

/// Whether the target states that it did not run the request.
pub(crate) fn is_not_run(response: &ResponseHead) -> bool {
    response.status == MISDIRECTED || response.fields.get(NOT_RUN).is_some()
}

/// Whether the response's status promises callers that the request has not run.
pub(crate) fn promises_not_run(response: &ResponseHead) -> bool {
    matches!(response.status, 408 | 421 | 429 | UNAVAILABLE)
}

/// Whether the response belongs to the request. Targets copy the request's id into their responses.
pub(crate) fn matches_request_id(response: &ResponseHead, id: &RequestId) -> bool {
    responding_request_id(response) == Some(id.as_str())
}

/// The id of the request that the response answers.
pub(crate) fn responding_request_id(response: &ResponseHead) -> Option<&str> {
    response.fields.text(REQUEST_ID)
}

/// Whether the response carries a target's proof that it comes from that target.
pub(crate) fn has_seal(response: &ResponseHead) -> bool {
    response.fields.get(SEAL).is_some()
}

/// For how long the target that sent a refusal wants no further requests from this VM.
pub(crate) fn requested_pause(response: &ResponseHead) -> Option<Duration> {
    /// A longer pause is taken for a mistake, and the target is asked again after this time.
    const MAX_PAUSE_S: f64 = 60.0;
    if response.status != UNAVAILABLE {
        return None;
    }
    let seconds = response.fields.text(RETRY_AFTER)?.trim().parse::<f64>();
    let seconds = seconds.ok().filter(|seconds| *seconds > 0.0)?;
    Some(Duration::from_secs_f64(seconds.min(MAX_PAUSE_S)))
}

/// Whether the target states that it is about to stop.
pub(crate) fn states_leaving(response: &ResponseHead) -> bool {
    response.fields.text(LEAVING).map(str::trim) == Some("1")
}

/// The requests per second that the target takes from all entry VMs together, if it states a limit.
pub(crate) fn stated_rate(response: &ResponseHead) -> Result<Option<RequestRate>, RateError> {
    let text = response.fields.get(RATE_LIMIT);
    text.map(|text| String::from_utf8_lossy(text).parse())
        .transpose()
}

/// The id of the target that responded, if the response states it.
pub(crate) fn responding_target_id(response: &ResponseHead) -> Option<&str> {
    response.fields.text("X-Instance-Id")
}

/// Encodes the head of a target's response for the caller.
pub(crate) fn encode_response(
    response: &ResponseHead,
    framing: BodyFraming,
    close: bool,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(512);
    let mut text = String::with_capacity(64);
    let _ = write!(text, "HTTP/1.1 {} {}\r\n", response.status, response.reason);
    out.extend_from_slice(text.as_bytes());
    for field in response.fields.iter() {
        let connection_fields = [
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "upgrade",
        ];
        if !connection_fields
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()))
        {
            put_field(&mut out, field);
        }
    }
    text.clear();
    match framing {
        BodyFraming::Length(length) => {
            let _ = write!(text, "Content-Length: {length}\r\n");
        }
        BodyFraming::Chunked => text.push_str("Transfer-Encoding: chunked\r\n"),
        BodyFraming::UntilClose => {}
    }
    if close {
        text.push_str("Connection: close\r\n");
    }
    text.push_str("\r\n");
    out.extend_from_slice(text.as_bytes());
    out
}

/// A response that the entry VM generates itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalResponse<'a> {
    pub(crate) status: u16,
    pub(crate) reason: &'a str,
    pub(crate) id: Option<&'a RequestId>,
    /// Unset for a response to HEAD, which states the length of a body that it doesn't have.
    pub(crate) has_body: bool,
    /// How long the caller should wait before it retries.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) close: bool,
}

pub(crate) fn encode_local_response(response: &LocalResponse<'_>) -> String {
    let body = format!("{{\"error\":\"{}\"}}", response.reason);
    let mut text = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        status_text(response.status),
        body.len()
    );
    if let Some(id) = response.id {
        let _ = write!(text, "{REQUEST_ID}: {id}\r\n");
    }
    if let Some(wait) = response.retry_after {
        let _ = write!(text, "{RETRY_AFTER}: {:.3}\r\n", wait.as_secs_f64());
    }
    if response.close {
        text.push_str("Connection: close\r\n");
    }
    text.push_str("\r\n");
    if response.has_body {
        text.push_str(&body);
    }
    text
}

fn status_text(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
