//! Simulated callers, which send requests of all kinds over persistent connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::history::{RequestKind, RequestOutcome, SoakHistory};
use super::platform_fixture::header;
use super::repeats;
use super::sendings::SendingKey;

/// How long a caller waits for a response, which is longer than the time limit of every route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// The pause of a caller after each request and after a failed connection attempt.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// The number of adapters in use, which is more than one target can hold.
const ADAPTER_COUNT: usize = 7;

/// One in this many requests is given up by its caller, who closes the connection.
const DEPARTURE_INTERVAL: u64 = 4;
/// The longest time that such a caller waits.
const LONGEST_WAIT_MS: u64 = 400;

/// The state that all callers share.
#[derive(Debug)]
pub(crate) struct CallerContext {
    pub(crate) history: Arc<Mutex<SoakHistory>>,
    /// The addresses at which callers reach the VMs.
    pub(crate) vm_addresses: Vec<SocketAddr>,
    /// The version of the key that is currently valid.
    pub(crate) key_version: AtomicU64,
    pub(crate) stopped: AtomicBool,
    pub(crate) next_id: AtomicU64,
    /// The sendings of requests that had been sent before.
    pub(crate) returns: AtomicU64,
}

/// Sends requests of all kinds until the soak stops.
pub(crate) async fn run_caller(context: Arc<CallerContext>, index: usize) {
    let mut connection: Option<CallerConnection> = None;
    let mut vm = index;
    while !context.stopped.load(Ordering::Relaxed) {
        let key = context.key_version.load(Ordering::Relaxed);
        // Every third caller keeps the key with which it opened its connection, also after the key
        // was revoked.
        let key = match &connection {
            Some(open) if index.is_multiple_of(3) => open.first_key,
            _ => key,
        };
        let open = match connection.take() {
            Some(open) => open,
            None => {
                vm = (vm + 1) % context.vm_addresses.len();
                let Some(open) = CallerConnection::open(&context, vm, key).await else {
                    tokio::time::sleep(REQUEST_PAUSE).await;
                    continue;
                };
                open
            }
        };
        let number = context.next_id.fetch_add(1, Ordering::Relaxed);
        let kind = [
            RequestKind::Idempotent,
            RequestKind::NonIdempotent,
            RequestKind::Stream,
        ][number as usize % 3];
        let caller_request = CallerRequest {
            vm: open.vm,
            kind,
            key,
            number,
            sending: 1,
        };
        if number.is_multiple_of(DEPARTURE_INTERVAL) {
            leave_early(open.stream, &context, caller_request).await;
            continue;
        }
        connection = repeats::send_until_served(open, &context, caller_request).await;
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) stream: TcpStream,
    pub(crate) vm: usize,
    /// The key with which the connection was opened.
    first_key: u64,
}

impl CallerConnection {
    pub(crate) async fn open(context: &CallerContext, vm: usize, key: u64) -> Option<Self> {
        let stream = TcpStream::connect(context.vm_addresses[vm]).await.ok()?;
        let first_key = key;
        Some(Self {
            stream,
            vm,
            first_key,
        })
    }

    /// Sends one request. Returns the outcome, and the connection if it can be used further.
    pub(crate) async fn send(
        mut self,
        context: &CallerContext,
        request: CallerRequest,
    ) -> (RequestOutcome, Option<Self>) {
        let (outcome, closes) = send_request(&mut self.stream, context, request).await;
        let is_usable = outcome != RequestOutcome::Unknown && !closes;
        (outcome, is_usable.then_some(self))
    }
}

/// Sends a request, and closes the connection if there is no response after a random time.
async fn leave_early(mut stream: TcpStream, context: &CallerContext, request: CallerRequest) {
    let wait = Duration::from_millis(rand::random_range(0..LONGEST_WAIT_MS));
    let sent = send_request(&mut stream, context, request);
    let has_left = tokio::time::timeout(wait, sent).await.is_err();
    drop(stream);
    if has_left {
        let mut history = context.history.lock().unwrap();
        history.record_departure(request.sending_key());
    }
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerRequest {
    /// The VM that the connection leads to.
    pub(crate) vm: usize,
    pub(crate) kind: RequestKind,
    /// The version of the caller's key.
    pub(crate) key: u64,
    pub(crate) number: u64,
    /// The number of this sending of the request.
    pub(crate) sending: u32,
}

impl CallerRequest {
    fn sending_key(&self) -> SendingKey {
        SendingKey::new(format!("{}-{}", self.key, self.number), self.sending)
    }
}

/// Sends one request. Returns its outcome, and whether the VM closes the connection.
pub(crate) async fn send_request(
    stream: &mut TcpStream,
    context: &CallerContext,
    request: CallerRequest,
) -> (RequestOutcome, bool) {
    let CallerRequest {
        vm,
        kind,
        key,
        number,
        ..
    } = request;
    let sending = request.sending_key();
    let (id, query) = (&sending.id, sending.query());
    let model = match kind {
        RequestKind::Stream => format!("X-Model: m/a{}\r\n", number as usize / 3 % ADAPTER_COUNT),
        RequestKind::Idempotent | RequestKind::NonIdempotent => String::new(),
    };
    let text = format!(
        "POST {}{number}{query} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         Authorization: Token key-{key}\r\n{model}Content-Length: 4\r\n\r\nbody",
        kind.path()
    );
    // The request is recorded before it is sent, because a target may run it before the response is
    // known.
    let unknown = RequestOutcome::Unknown;
    {
        let mut history = context.history.lock().unwrap();
        history.record_outcome(sending.clone(), kind, unknown);
        history.record_send(&sending, vm);
    }
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange(stream, &text)).await;
    let (outcome, closes, statements) = response.ok().flatten().unwrap_or((
        RequestOutcome::Unknown,
        true,
        TargetStatements::default(),
    ));
    let mut history = context.history.lock().unwrap();
    if let RequestOutcome::Completed { seal, .. } = &outcome {
        if statements.leaving {
            history.record_leaving_answer(&sending, seal);
        }
        if statements.limited {
            history.record_limit_answer(&sending, seal);
        }
    }
    history.record_outcome(sending, kind, outcome.clone());
    (outcome, closes)
}

/// What a target states of itself in an answer.
#[derive(Debug, Clone, Copy, Default)]
struct TargetStatements {
    leaving: bool,
    limited: bool,
}

/// Sends one request. Returns its outcome, whether the VM closes the connection, and what the target
/// states.
async fn exchange(
    stream: &mut TcpStream,
    text: &str,
) -> Option<(RequestOutcome, bool, TargetStatements)> {
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, &mut bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut rest = bytes.split_off(head_end);
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = match header(&head, "content-length") {
        Some(length) => {
            let length = length.parse().ok()?;
            while rest.len() < length {
                read_more(stream, &mut rest).await?;
            }
            rest.truncate(length);
            rest
        }
        None => read_chunks(stream, rest).await?,
    };
    let seal = header(&head, "x-server-seal").unwrap_or_default();
    let outcome = RequestOutcome::Completed {
        status,
        seal: seal.to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let closes = header(&head, "connection").is_some_and(|value| value.contains("close"));
    let statements = TargetStatements {
        leaving: header(&head, "server-leaving").is_some(),
        limited: header(&head, "server-limit").is_some(),
    };
    Some((outcome, closes, statements))
}

async fn read_chunks(stream: &mut TcpStream, mut rest: Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            if let Some(at) = rest.windows(2).position(|part| part == b"\r\n") {
                break at;
            }
            read_more(stream, &mut rest).await?;
        };
        let size = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let end = line_end + 2 + size + 2;
        while rest.len() < end {
            read_more(stream, &mut rest).await?;
        }
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&rest[line_end + 2..end - 2]);
        rest.drain(..end);
    }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    matches!(stream.read_buf(bytes).await, Ok(1..)).then_some(())
}
