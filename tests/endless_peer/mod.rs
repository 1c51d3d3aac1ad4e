//! A server on loopback that answers with bytes without end, and callers that count what they get.

#![allow(dead_code, reason = "each test file uses a part of the server")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// The limit of every wait for an expected event, long enough for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// An answer without end.
#[derive(Debug, Clone)]
pub(crate) struct EndlessAnswer {
    /// Sent first, with `{id}` replaced by the request's id.
    pub(crate) start: String,
    pub(crate) repeated: String,
    /// The bytes after which the server keeps the connection open and sends nothing more.
    pub(crate) bytes: usize,
}

impl EndlessAnswer {
    pub(crate) fn new(start: &str, repeated: &str, bytes: usize) -> Self {
        Self {
            start: start.to_owned(),
            repeated: repeated.to_owned(),
            bytes,
        }
    }
}

/// What the server does with a request.
pub(crate) enum PeerAnswer {
    Endless(EndlessAnswer),
    /// A complete response, with `{id}` replaced by the request's id.
    Whole(String),
    /// The response of the server at this address.
    Forward(SocketAddr),
}

/// A complete response with this body.
pub(crate) fn whole(body: &str) -> PeerAnswer {
    let length = body.len();
    PeerAnswer::Whole(format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    ))
}

/// The server, which accepts connections until it is dropped.
pub(crate) struct EndlessPeer {
    pub(crate) address: SocketAddr,
    /// The ids of the requests whose answers without end were begun.
    started: Arc<Mutex<Vec<String>>>,
    settled: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for EndlessPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessPeer {
    /// Starts a server that asks `answer` about the head and the body of each request.
    pub(crate) async fn start(
        answer: impl Fn(&str, &str) -> PeerAnswer + Send + Sync + 'static,
    ) -> Self {
        let listener = listen().expect("a free port");
        let address = listener.local_addr().expect("the address is known");
        let (started, settled) = (
            Arc::<Mutex<Vec<String>>>::default(),
            Arc::<AtomicUsize>::default(),
        );
        let counts = (Arc::clone(&started), Arc::clone(&settled));
        let answer = Arc::new(answer);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (answer, counts) = (Arc::clone(&answer), counts.clone());
                tokio::spawn(async move { serve(stream, &*answer, &counts.0, &counts.1).await });
            }
        });
        Self {
            address,
            started,
            settled,
            task,
        }
    }

    /// The answers without end that were begun.
    pub(crate) fn started(&self) -> usize {
        self.started.lock().expect("the lock is not poisoned").len()
    }

    /// Whether the server has begun to answer the request with this id.
    pub(crate) fn has_answered(&self, id: &str) -> bool {
        let started = self.started.lock().expect("the lock is not poisoned");
        started.iter().any(|known| known == id)
    }

    /// The answers that were sent up to where the server stops, or that the process has closed.
    pub(crate) fn settled(&self) -> usize {
        self.settled.load(Ordering::SeqCst)
    }

    /// Waits until `count` answers were sent as far as the server sends them, or closed.
    pub(crate) async fn wait_until_settled(&self, count: usize) {
        let start = Instant::now();
        while self.settled() < count {
            let (started, settled) = (self.started(), self.settled());
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "{started} answers begun, {settled} settled"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Listens with room for all connections that a test opens at once. The standard library's 128 were
/// too few while the test's thread was busy: the kernel dropped the others until the caller gave up.
fn listen() -> std::io::Result<TcpListener> {
    const BACKLOG: u32 = 1024;
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.listen(BACKLOG)
}

async fn serve(
    mut stream: TcpStream,
    answer: &(impl Fn(&str, &str) -> PeerAnswer + Send + Sync),
    started: &Mutex<Vec<String>>,
    settled: &AtomicUsize,
) {
    let mut bytes = Vec::new();
    while let Some((head, body)) = read_request(&mut stream, &mut bytes).await {
        match answer(&head, &String::from_utf8_lossy(&body)) {
            PeerAnswer::Whole(response) => {
                let response = with_id(&response, &head);
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
            PeerAnswer::Forward(address) => {
                let _ = forward(&mut stream, &head, &body, address).await;
                return;
            }
            PeerAnswer::Endless(endless) => {
                let id = request_id(&head).unwrap_or_default().to_owned();
                started.lock().expect("the lock is not poisoned").push(id);
                send(&mut stream, &head, &endless).await;
                settled.fetch_add(1, Ordering::SeqCst);
                // Waits for the process to close the connection.
                let _ = stream.read(&mut [0; 16]).await;
                return;
            }
        }
    }
}

/// Forwards a request, and closes the connection after the response.
async fn forward(
    stream: &mut TcpStream,
    head: &str,
    body: &[u8],
    address: SocketAddr,
) -> std::io::Result<()> {
    let mut server = TcpStream::connect(address).await?;
    let head = head.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    server.write_all(head.as_bytes()).await?;
    server.write_all(body).await?;
    let mut response = Vec::new();
    server.read_to_end(&mut response).await?;
    stream.write_all(&response).await
}

/// The text with `{id}` replaced by the request's id.
fn with_id(text: &str, head: &str) -> String {
    text.replace("{id}", request_id(head).unwrap_or_default())
}

/// The request's id in a head.
pub(crate) fn request_id(head: &str) -> Option<&str> {
    head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("x-request-id").then_some(value)
    })
}

async fn send(stream: &mut TcpStream, head: &str, endless: &EndlessAnswer) {
    const BLOCK_BYTES: usize = 32 * 1024;
    let start = with_id(&endless.start, head);
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    let repeats = BLOCK_BYTES.div_ceil(endless.repeated.len());
    let block = endless.repeated.repeat(repeats);
    let mut left = endless.bytes.saturating_sub(start.len());
    while left > 0 {
        let count = block.len().min(left);
        if stream.write_all(&block.as_bytes()[..count]).await.is_err() {
            return;
        }
        left -= count;
    }
}

async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        let Ok(1..) = stream.read_buf(bytes).await else {
            return None;
        };
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.parse().ok()).flatten()
    });
    let end = head_end + length.unwrap_or(0);
    while bytes.len() < end {
        let Ok(1..) = stream.read_buf(bytes).await else {
            return None;
        };
    }
    let body = bytes.drain(..end).skip(head_end).collect();
    Some((head, body))
}

/// What a caller received, without the middle of long responses.
#[derive(Debug)]
pub(crate) struct CallerResult {
    pub(crate) status: u16,
    pub(crate) bytes: usize,
    first: Vec<u8>,
    last: Vec<u8>,
}

impl CallerResult {
    pub(crate) fn first_text(&self) -> String {
        String::from_utf8_lossy(&self.first).into_owned()
    }

    /// Whether the response has an end, by its length or by its last chunk.
    pub(crate) fn looks_complete(&self) -> bool {
        let text = String::from_utf8_lossy(&self.first).to_ascii_lowercase();
        let Some(head_end) = text.find("\r\n\r\n") else {
            return false;
        };
        let head = &text[..head_end];
        if head.contains("transfer-encoding: chunked") {
            return self.last.ends_with(b"0\r\n\r\n");
        }
        let mut lengths = head
            .lines()
            .filter_map(|line| line.strip_prefix("content-length: "));
        let length = lengths.next().and_then(|text| text.parse::<usize>().ok());
        // A response without a length ends with its connection.
        length.is_none_or(|length| self.bytes == head_end + 4 + length)
    }
}

/// Sends a request on a new connection and reads until it is closed.
pub(crate) async fn call(port: u16, request: String) -> CallerResult {
    const KEPT_BYTES: usize = 2048;
    let mut result = CallerResult {
        status: 0,
        bytes: 0,
        first: Vec::new(),
        last: Vec::new(),
    };
    let reading = async {
        let mut stream = TcpStream::connect(("127.0.0.1", port)).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut block = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = stream.read(&mut block).await {
            result.bytes += count;
            let wanted = KEPT_BYTES.saturating_sub(result.first.len()).min(count);
            result.first.extend_from_slice(&block[..wanted]);
            result
                .last
                .extend_from_slice(&block[count.saturating_sub(8)..count]);
            let excess = result.last.len().saturating_sub(8);
            result.last.drain(..excess);
        }
        Some(())
    };
    let in_time = tokio::time::timeout(WAIT_LIMIT, reading).await;
    assert!(in_time.is_ok(), "the response must end in bounded time");
    let text = result.first_text();
    let status = text.split(' ').nth(1).and_then(|text| text.parse().ok());
    result.status = status.unwrap_or(0);
    result
}
