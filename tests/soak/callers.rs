//! Callers that use their connections for as long as these last.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::ledger::{AskEnd, AskKind, SoakLedger};
use super::platform_fixture::header;

/// How long a caller waits: longer than a route's time limit.
const PATIENCE: Duration = Duration::from_secs(6);
/// The pause between a caller's requests, and after a failed connection.
const PAUSE: Duration = Duration::from_millis(25);
/// Adapters in use, more than one target can hold.
const ADAPTERS: usize = 7;

/// What all callers share.
#[derive(Debug)]
pub(crate) struct CallerWorld {
    pub(crate) ledger: Arc<Mutex<SoakLedger>>,
    /// The addresses of the VMs.
    pub(crate) fronts: Vec<SocketAddr>,
    /// The version of the key that is in force.
    pub(crate) key: AtomicU64,
    pub(crate) stops: AtomicBool,
    pub(crate) next_id: AtomicU64,
}

/// Sends requests of all kinds until the soak stops.
pub(crate) async fn run_caller(world: Arc<CallerWorld>, index: usize) {
    let mut connection: Option<(TcpStream, u64)> = None;
    let mut vm = index;
    while !world.stops.load(Ordering::Relaxed) {
        let key = world.key.load(Ordering::Relaxed);
        // Some keep using a withdrawn key for as long as their connection lasts.
        let key = match &connection {
            Some((_, first)) if index.is_multiple_of(3) => *first,
            _ => key,
        };
        let (mut stream, first) = match connection.take() {
            Some(open) => open,
            None => {
                vm = (vm + 1) % world.fronts.len();
                match TcpStream::connect(world.fronts[vm]).await {
                    Ok(stream) => (stream, key),
                    Err(_) => {
                        tokio::time::sleep(PAUSE).await;
                        continue;
                    }
                }
            }
        };
        let number = world.next_id.fetch_add(1, Ordering::Relaxed);
        let kind = [AskKind::Look, AskKind::Pay, AskKind::Stream][number as usize % 3];
        let (end, closes) = ask(&mut stream, &world, kind, key, number).await;
        if end != AskEnd::Unknown && !closes {
            connection = Some((stream, first));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends one request. Returns its end, and whether the VM closes the connection.
pub(crate) async fn ask(
    stream: &mut TcpStream,
    world: &CallerWorld,
    kind: AskKind,
    key: u64,
    number: u64,
) -> (AskEnd, bool) {
    let id = format!("{key}-{number}");
    let model = match kind {
        AskKind::Stream => format!("X-Model: m/a{}\r\n", number as usize / 3 % ADAPTERS),
        AskKind::Look | AskKind::Pay => String::new(),
    };
    let text = format!(
        "POST {}{number} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         Authorization: Token key-{key}\r\n{model}Content-Length: 4\r\n\r\nbody",
        kind.path()
    );
    // A run may be seen before its answer.
    let unknown = AskEnd::Unknown;
    world
        .ledger
        .lock()
        .unwrap()
        .note_end(id.clone(), kind, unknown);
    let answered = tokio::time::timeout(PATIENCE, exchange(stream, &text)).await;
    let (end, closes) = answered.ok().flatten().unwrap_or((AskEnd::Unknown, true));
    world.ledger.lock().unwrap().note_end(id, kind, end.clone());
    (end, closes)
}

async fn exchange(stream: &mut TcpStream, text: &str) -> Option<(AskEnd, bool)> {
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
    let end = AskEnd::Answered {
        status,
        seal: seal.to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let closes = header(&head, "connection").is_some_and(|value| value.contains("close"));
    Some((end, closes))
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
