//! Connections from callers.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::admission::{CallerRequest, Refusal};
use super::http::{BodyFraming, HttpError, ReadBuffer, RequestHead, read_body};
use super::request::{RequestOutcome, refuse, serve_request};
use super::shared::EntryShared;
use crate::dispatch::routing::CallerLimits;

/// The limits until a configuration is received.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Bytes that may be read ahead while a request is served. Reading detects that the caller has
/// disconnected.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// The time limit for reading a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves requests on one connection until it closes.
pub(crate) async fn serve_connection(shared: Rc<EntryShared>, stream: TcpStream) {
    if let Err(error) = super::sockets::set_socket_options(&stream) {
        tracing::debug!(%error, "callers: socket options can't be set, closing the connection");
        return;
    }
    let (reader, writer) = stream.into_split();
    let mut connection = CallerConnection {
        shared,
        reader,
        writer,
        buffer: ReadBuffer::default(),
    };
    while connection.serve_next().await {}
}

/// Where a caller's response is written.
pub(crate) trait CallerWriter: AsyncWrite + Unpin {
    /// Whether the caller has disconnected, even if the task that reads from it has not been told
    /// yet because this VM is late.
    fn is_disconnected(&self) -> bool;
}

impl CallerWriter for OwnedWriteHalf {
    fn is_disconnected(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.as_ref()).peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }
}

struct CallerConnection {
    shared: Rc<EntryShared>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    buffer: ReadBuffer,
}

/// Why no request could be read.
enum ReadError {
    /// The caller disconnected or exceeded the idle timeout.
    Closed,
    Refused(Refusal),
}

impl From<HttpError> for ReadError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Io(_) | HttpError::UnexpectedEof => Self::Closed,
            HttpError::Malformed(reason) => Self::Refused(Refusal::new(400, reason)),
            HttpError::TooLarge => Self::Refused(Refusal::new(413, "the request is too large")),
        }
    }
}

impl CallerConnection {
    fn limits(&self) -> CallerLimits {
        let state = self.shared.state.borrow();
        state
            .config
            .as_ref()
            .map_or(DEFAULT_LIMITS, |config| config.limits)
    }

    /// Serves one request. Returns whether the connection stays open.
    async fn serve_next(&mut self) -> bool {
        let request = match self.read_request().await {
            Ok(request) => request,
            Err(ReadError::Closed) => return false,
            Err(ReadError::Refused(refusal)) => {
                refuse(&self.shared, None, &mut self.writer, refusal, true).await;
                return false;
            }
        };
        let close =
            !request.head.keeps_alive() || self.shared.state.borrow().stopping_since.is_some();
        let guard = OpenRequestGuard::new(&self.shared);
        let outcome = {
            let served = serve_request(&self.shared, &request, &mut self.writer, close);
            let disconnected = wait_for_disconnect(&mut self.reader, &mut self.buffer);
            tokio::select! {
                biased;
                () = disconnected => None,
                outcome = served => Some(outcome),
            }
        };
        drop(guard);
        let Some(outcome) = outcome else {
            let id = request.head.fields.text("x-request-id").unwrap_or("");
            tracing::info!(
                request = id,
                "callers: the caller disconnected before the response was complete"
            );
            return false;
        };
        outcome == RequestOutcome::Complete && !close && request.head.is_http11
    }

    async fn read_request(&mut self) -> Result<CallerRequest, ReadError> {
        let limits = self.limits();
        let head = self.read_head(&limits).await?;
        let arrived = self.shared.clock.now();
        let framing = head.framing()?;
        if framing != BodyFraming::Length(0) && head.fields.has_token("expect", "100-continue") {
            let written = self
                .writer
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await;
            written.map_err(|_| ReadError::Closed)?;
        }
        let body = read_body(
            &mut self.reader,
            &mut self.buffer,
            framing,
            limits.body_bytes,
        );
        let body = tokio::time::timeout(BODY_TIMEOUT, body).await;
        let timed_out = Refusal::new(408, "the body took too long");
        let body = body.map_err(|_| ReadError::Refused(timed_out))??;
        Ok(CallerRequest {
            head,
            body,
            arrived,
        })
    }

    async fn read_head(&mut self, limits: &CallerLimits) -> Result<RequestHead, ReadError> {
        let too_large = |error| match error {
            HttpError::TooLarge => ReadError::Refused(Refusal::new(431, "the head is too large")),
            error => error.into(),
        };
        if self.buffer.is_empty() {
            tokio::select! {
                biased;
                read = tokio::time::timeout(limits.idle_timeout, self.buffer.fill(&mut self.reader)) => {
                    if !matches!(read, Ok(Ok(1..))) {
                        return Err(ReadError::Closed);
                    }
                }
                () = self.shared.stop.notified() => return Err(ReadError::Closed),
            }
        }
        let reading = async {
            loop {
                if let Some(head) = self.buffer.take_request_head(limits.head_bytes)? {
                    return Ok(head);
                }
                if self.buffer.fill(&mut self.reader).await? == 0 {
                    return Err(HttpError::UnexpectedEof);
                }
            }
        };
        match tokio::time::timeout(limits.head_timeout, reading).await {
            Ok(head) => head.map_err(too_large),
            Err(_) => Err(ReadError::Refused(Refusal::new(
                408,
                "the head took too long",
            ))),
        }
    }
}

/// Completes when the caller disconnects.
async fn wait_for_disconnect(reader: &mut (impl AsyncRead + Unpin), buffer: &mut ReadBuffer) {
    while buffer.len() < MAX_READ_AHEAD_BYTES {
        if !matches!(buffer.fill(reader).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}

/// Counts a request as open until it is dropped.
struct OpenRequestGuard<'a>(&'a EntryShared);

impl<'a> OpenRequestGuard<'a> {
    fn new(shared: &'a EntryShared) -> Self {
        shared.open_requests.set(shared.open_requests.get() + 1);
        Self(shared)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
