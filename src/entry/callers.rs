//! Connections from callers.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::admission::{CallerRequest, Refusal, RefusedRequest, RequestOrigin, refuse};
use super::body_budget::SMALL_BODY_BYTES;
use super::caller_body::{BodyError, BodyReservation, first_reservation};
use super::caller_table::{CallerId, CallerPhase, CallerTable};
use super::client_limits::{ClientLimits, LARGE_BODY_RECEIVE_BUFFER_BYTES};
use super::http::{BodyFraming, HttpError, ReadBuffer, RequestHead};
use super::limit_events::ClientLimit;
use super::request::{DEFAULT_RETRY_AFTER, RequestOutcome, serve_request};
use super::server::accept_next;
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
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// The time limit for reading a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The time and the bytes for which a rejected caller's connection stays open, since closing it with
/// bytes that were not read could remove the response from the caller's socket.
const LINGER_TIME: Duration = Duration::from_millis(250);
const LINGER_BYTES: usize = 256 * 1024;

/// The open connections from callers.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    table: RefCell<CallerTable<AbortHandle>>,
    /// Connections whose read-ahead is full.
    full_read_aheads: Cell<usize>,
}

impl CallerConnections {
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        Self {
            table: RefCell::new(CallerTable::new(limits)),
            full_read_aheads: Cell::new(0),
        }
    }
}

/// Accepts connections of callers, or of peers that forward callers' requests, forever and serves each
/// one in its own task.
pub(crate) async fn accept_callers(
    shared: Rc<EntryShared>,
    listener: TcpListener,
    origin: RequestOrigin,
) {
    loop {
        let Some(stream) = accept_next(&listener).await else {
            continue;
        };
        let (has_room, evicted) = shared.callers.table.borrow_mut().make_room();
        if !has_room || evicted.is_some() {
            let now = shared.clock.now();
            let events = &shared.metrics.client_limits;
            events.record(ClientLimit::Connections, now);
        }
        if let Some(evicted) = evicted {
            evicted.abort();
            // Closes the connection before the next one is accepted.
            tokio::task::yield_now().await;
        }
        if has_room {
            let id = shared.callers.table.borrow_mut().new_id();
            let serving = serve_connection(Rc::clone(&shared), stream, id, origin);
            let handle = tokio::task::spawn_local(serving).abort_handle();
            shared.callers.table.borrow_mut().insert(id, handle);
        }
    }
}

/// Serves requests on one connection until it closes.
async fn serve_connection(
    shared: Rc<EntryShared>,
    stream: TcpStream,
    id: CallerId,
    origin: RequestOrigin,
) {
    let _open = OpenConnectionGuard {
        shared: &shared,
        id,
    };
    if let Err(error) = super::sockets::set_socket_options(&stream) {
        tracing::debug!(%error, "callers: socket options can't be set, closing the connection");
        return;
    }
    let (reader, writer) = stream.into_split();
    let mut connection = CallerConnection {
        shared: &shared,
        id,
        origin,
        reader,
        writer,
        buffer: ReadBuffer::default(),
    };
    while connection.serve_next().await {}
}

/// Removes a connection from the table when its task ends.
struct OpenConnectionGuard<'a> {
    shared: &'a EntryShared,
    id: CallerId,
}

impl Drop for OpenConnectionGuard<'_> {
    fn drop(&mut self) {
        let _ = self.shared.callers.table.borrow_mut().remove(self.id);
    }
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

struct CallerConnection<'a> {
    shared: &'a EntryShared,
    id: CallerId,
    origin: RequestOrigin,
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
            // Requests have a memory of their own; only reads of responses fail like this.
            HttpError::NoMemory => Self::Refused(Refusal::new(503, "no memory is free")),
        }
    }
}

impl From<BodyError> for ReadError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Http(error) => error.into(),
            BodyError::Refused(refusal) => Self::Refused(refusal),
        }
    }
}

impl<'a> CallerConnection<'a> {
    fn limits(&self) -> CallerLimits {
        let state = self.shared.state.borrow();
        state
            .config
            .as_ref()
            .map_or(DEFAULT_LIMITS, |config| config.limits)
    }

    /// Serves one request. Returns whether the connection stays open.
    async fn serve_next(&mut self) -> bool {
        let shared = self.shared;
        self.set_phase(CallerPhase::Idle);
        let (request, _reservation) = match self.read_request().await {
            Ok(request) => request,
            Err(ReadError::Closed) => return false,
            Err(ReadError::Refused(refusal)) => {
                let request = RefusedRequest::default();
                refuse(shared, request, &mut self.writer, refusal, true).await;
                self.linger().await;
                return false;
            }
        };
        let close =
            !request.head.keeps_alive() || self.shared.state.borrow().stopping_since.is_some();
        self.set_phase(CallerPhase::Serving);
        if shared.open_requests.get() >= shared.limits.max_requests {
            let events = &shared.metrics.client_limits;
            events.record(ClientLimit::Requests, shared.clock.now());
            let refusal = Refusal::unavailable("too many requests at once", DEFAULT_RETRY_AFTER);
            let request = RefusedRequest::new(&request.head);
            refuse(shared, request, &mut self.writer, refusal, true).await;
            return false;
        }
        let guard = OpenRequestGuard::new(shared);
        let outcome = {
            let served = serve_request(shared, &request, &mut self.writer, close);
            let disconnected = wait_for_disconnect(shared, &mut self.reader, &mut self.buffer);
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

    fn set_phase(&self, phase: CallerPhase) {
        let evicted = (self.shared.callers.table.borrow_mut()).set_phase(self.id, phase);
        if let Some(evicted) = evicted {
            evicted.abort();
            let events = &self.shared.metrics.client_limits;
            events.record(ClientLimit::Connections, self.shared.clock.now());
        }
    }

    /// Discards what the caller still sends after a rejection, within limits.
    async fn linger(&mut self) {
        self.set_phase(CallerPhase::Incomplete);
        let discarding = async {
            if self.writer.shutdown().await.is_err() {
                return;
            }
            let mut left = LINGER_BYTES;
            while left > 0 {
                let mut discarded = ReadBuffer::default();
                match discarded.fill(&mut self.reader).await {
                    Ok(count @ 1..) => left = left.saturating_sub(count),
                    _ => return,
                }
            }
        };
        let _ = tokio::time::timeout(LINGER_TIME, discarding).await;
    }

    /// Reads a request, and returns it with the reservation of its body's memory.
    async fn read_request(&mut self) -> Result<(CallerRequest, BodyReservation<'a>), ReadError> {
        let limits = self.limits();
        let head = self.read_head(&limits).await?;
        let shared = self.shared;
        let arrived = shared.clock.now();
        let framing = head.framing()?;
        let events = &shared.metrics.client_limits;
        let reservation = BodyReservation::new(&shared.body_memory, &shared.clock, events);
        let body = match framing {
            BodyFraming::Length(0) => Bytes::new(),
            _ => {
                let expects_continue = head.fields.has_token("expect", "100-continue");
                let body = self.read_body(&reservation, framing, expects_continue, &limits);
                body.await?
            }
        };
        let request = CallerRequest {
            origin: self.origin,
            head,
            body,
            arrived,
        };
        Ok((request, reservation))
    }

    async fn read_body(
        &mut self,
        reservation: &BodyReservation<'_>,
        framing: BodyFraming,
        expects_continue: bool,
        limits: &CallerLimits,
    ) -> Result<Bytes, ReadError> {
        let first = first_reservation(framing, limits.body_bytes)?;
        let reading = async {
            if first > self.buffer.len() {
                self.set_phase(CallerPhase::Body);
            }
            reservation.acquire(first).await?;
            if first > SMALL_BODY_BYTES {
                let socket = SockRef::from(self.reader.as_ref());
                // The body then only arrives more slowly.
                let _ = socket.set_recv_buffer_size(LARGE_BODY_RECEIVE_BUFFER_BYTES);
            }
            if expects_continue {
                let written = self
                    .writer
                    .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                    .await;
                written.map_err(HttpError::from)?;
            }
            let (reader, buffer) = (&mut self.reader, &mut self.buffer);
            let body = reservation.read(reader, buffer, framing, first, limits.body_bytes);
            body.await
        };
        match tokio::time::timeout(BODY_TIMEOUT, reading).await {
            Ok(body) => Ok(body?),
            Err(_) => Err(ReadError::Refused(Refusal::new(
                408,
                "the body took too long",
            ))),
        }
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
        // Most heads arrive in one read and need no timer.
        if let Some(head) = (self.buffer.take_request_head(limits.head_bytes)).map_err(too_large)? {
            return Ok(head);
        }
        self.set_phase(CallerPhase::Incomplete);
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

/// Completes when the caller disconnects, or has sent so much behind its request that its connection
/// must be closed.
async fn wait_for_disconnect(
    shared: &EntryShared,
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut ReadBuffer,
) {
    while buffer.len() < MAX_READ_AHEAD_BYTES {
        if !matches!(buffer.fill(reader).await, Ok(1..)) {
            return;
        }
    }
    let full = &shared.callers.full_read_aheads;
    if full.get() >= shared.limits.max_unread_connections {
        let events = &shared.metrics.client_limits;
        events.record(ClientLimit::ReadAhead, shared.clock.now());
        return;
    }
    let _full = FullReadAhead::new(full);
    std::future::pending().await
}

/// Counts a connection whose read-ahead is full until its request ends.
struct FullReadAhead<'a>(&'a Cell<usize>);

impl<'a> FullReadAhead<'a> {
    fn new(full: &'a Cell<usize>) -> Self {
        full.set(full.get() + 1);
        Self(full)
    }
}

impl Drop for FullReadAhead<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
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
