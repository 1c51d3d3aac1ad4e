//! Callers' connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::admission::{CallerRequest, Refusal};
use super::http::{BodyFraming, HttpError, ReadBuffer, RequestHead, read_body};
use super::request::{RequestEnd, refuse, serve_request};
use super::shared::EntryShared;
use crate::dispatch::routing::CallerLimits;

/// The limits before a configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Bytes of further requests that are read while one is served, to see whether the caller is
/// still there.
const READ_AHEAD: usize = 64 * 1024;
/// How long a body may take whole.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one caller's connection to its end.
pub(crate) async fn serve_connection(shared: Rc<EntryShared>, stream: TcpStream) {
    if let Err(error) = super::sockets::tune(&stream) {
        tracing::debug!(%error, "callers: the connection has ended");
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

struct CallerConnection {
    shared: Rc<EntryShared>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    buffer: ReadBuffer,
}

/// What came instead of a request.
enum ReadFault {
    /// The caller left, or was idle for too long.
    Closed,
    Refused(Refusal),
}

impl From<HttpError> for ReadFault {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Io(_) | HttpError::Ended => Self::Closed,
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
            .map_or(FIRST_LIMITS, |config| config.limits)
    }

    /// Serves one request. Returns whether the connection goes on.
    async fn serve_next(&mut self) -> bool {
        let request = match self.read_request().await {
            Ok(request) => request,
            Err(ReadFault::Closed) => return false,
            Err(ReadFault::Refused(refusal)) => {
                refuse(&self.shared, None, &mut self.writer, refusal, true).await;
                return false;
            }
        };
        let close =
            !request.head.keeps_alive() || self.shared.state.borrow().stopping_since.is_some();
        let open = OpenRequest::new(&self.shared);
        let ended = {
            let served = serve_request(&self.shared, &request, &mut self.writer, close);
            let left = watch_caller(&mut self.reader, &mut self.buffer);
            tokio::select! {
                biased;
                ended = served => Some(ended),
                () = left => None,
            }
        };
        drop(open);
        let Some(ended) = ended else {
            let id = request.head.fields.text("x-request-id").unwrap_or("");
            tracing::info!(request = id, "callers: the caller left");
            return false;
        };
        ended == RequestEnd::Answered && !close && request.head.is_http11
    }

    async fn read_request(&mut self) -> Result<CallerRequest, ReadFault> {
        let limits = self.limits();
        let head = self.read_head(&limits).await?;
        let arrived = self.shared.clock.now();
        let framing = head.framing()?;
        if framing != BodyFraming::Length(0) && head.fields.has_token("expect", "100-continue") {
            let sent = self
                .writer
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await;
            sent.map_err(|_| ReadFault::Closed)?;
        }
        let body = read_body(
            &mut self.reader,
            &mut self.buffer,
            framing,
            limits.body_bytes,
        );
        let body = tokio::time::timeout(BODY_TIMEOUT, body).await;
        let slow = Refusal::new(408, "the body took too long");
        let body = body.map_err(|_| ReadFault::Refused(slow))??;
        Ok(CallerRequest {
            head,
            body,
            arrived,
        })
    }

    async fn read_head(&mut self, limits: &CallerLimits) -> Result<RequestHead, ReadFault> {
        let too_large = |error| match error {
            HttpError::TooLarge => ReadFault::Refused(Refusal::new(431, "the head is too large")),
            error => error.into(),
        };
        if self.buffer.is_empty() {
            tokio::select! {
                biased;
                read = tokio::time::timeout(limits.idle_timeout, self.buffer.fill(&mut self.reader)) => {
                    if !matches!(read, Ok(Ok(1..))) {
                        return Err(ReadFault::Closed);
                    }
                }
                () = self.shared.stop.notified() => return Err(ReadFault::Closed),
            }
        }
        let reading = async {
            loop {
                if let Some(head) = self.buffer.take_request(limits.head_bytes)? {
                    return Ok(head);
                }
                if self.buffer.fill(&mut self.reader).await? == 0 {
                    return Err(HttpError::Ended);
                }
            }
        };
        match tokio::time::timeout(limits.head_timeout, reading).await {
            Ok(head) => head.map_err(too_large),
            Err(_) => Err(ReadFault::Refused(Refusal::new(
                408,
                "the head took too long",
            ))),
        }
    }
}

/// Ends when the caller has left.
async fn watch_caller(reader: &mut (impl AsyncRead + Unpin), buffer: &mut ReadBuffer) {
    while buffer.len() < READ_AHEAD {
        if !matches!(buffer.fill(reader).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}

/// Counts a request while it is served.
struct OpenRequest<'a>(&'a EntryShared);

impl<'a> OpenRequest<'a> {
    fn new(shared: &'a EntryShared) -> Self {
        shared.open_requests.set(shared.open_requests.get() + 1);
        Self(shared)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
