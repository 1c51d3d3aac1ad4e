//! Callers' connections. Rejects request heads that have conflicting lengths or arrive too slowly.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::task::AtomicWaker;
use poem::Request;
use poem::http::Version;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::error::{CallerError, ErrorCode};
use super::framing::RequestFraming;
use crate::acceptor::NodelayAcceptor;
use crate::clock::Clock;
use crate::collections::FastMap;
use crate::entry::caller_table::{CallerId, CallerPhase, CallerTable};
use crate::entry::client_limits::{ClientLimits, RECEIVE_BUFFER_BYTES};
use crate::entry::limit_events::{ClientLimit, LimitEvents};
use crate::ids::RequestId;

/// The rejection of a request head before hyper has read all of it.
#[derive(Debug)]
struct HeadRejection {
    /// What is left of the malformed input that hyper reads instead of the rest of the head.
    malformed_input: &'static [u8],
    /// What is left to write of the response that replaces hyper's, which has no body.
    response: Vec<u8>,
}

/// Replaces the rest of a rejected head and makes hyper respond with 400 and close the connection.
/// Hyper parses a head only once it is complete, so a blank line follows the malformed one.
const MALFORMED_HEAD_END: &[u8] = b"\0\r\n\r\n";
/// The beginning of hyper's response to a malformed head.
const HYPER_BAD_REQUEST: &[u8] = b"HTTP/1.1 400 ";

impl HeadRejection {
    fn new(code: ErrorCode, message: &str) -> Self {
        let id = RequestId::random();
        let body = CallerError::not_run(code, message).to_json(&id);
        let head = format!(
            "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nx-request-id: {id}\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        Self {
            malformed_input: MALFORMED_HEAD_END,
            response: (head + &body).into_bytes(),
        }
    }

    /// Copies as much of the malformed input as fits into `buffer`.
    fn read_into(&mut self, buffer: &mut ReadBuf<'_>) {
        let (copied, rest) = self
            .malformed_input
            .split_at(self.malformed_input.len().min(buffer.remaining()));
        buffer.put_slice(copied);
        self.malformed_input = rest;
    }

    /// Whether `bytes`, which hyper writes, are its response to the rejected head. If they begin
    /// with the end of an earlier response, the caller gets hyper's own response.
    fn should_replace(&self, bytes: &[u8]) -> bool {
        self.malformed_input.is_empty()
            && !self.response.is_empty()
            && bytes.starts_with(HYPER_BAD_REQUEST)
    }
}

/// Records that connections were closed because of a limit.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionEvents {
    events: Arc<LimitEvents>,
    clock: Clock,
}

impl ConnectionEvents {
    pub(crate) fn new(events: &Arc<LimitEvents>, clock: &Clock) -> Self {
        Self {
            events: Arc::clone(events),
            clock: clock.clone(),
        }
    }

    fn record(&self) {
        self.events
            .record(ClientLimit::Connections, self.clock.now());
    }
}

/// Tells a connection to close.
#[derive(Debug, Default)]
pub(crate) struct CloseSignal {
    is_set: AtomicBool,
    /// Whether a response broke off, after which writes fail as well.
    has_broken_response: AtomicBool,
    reader: AtomicWaker,
}

impl CloseSignal {
    fn set(&self) {
        self.is_set.store(true, Ordering::Release);
        self.reader.wake();
    }

    /// Resets the connection, whose response has broken off. The server library goes on with a
    /// connection whose response has failed, and would end a chunked response like a whole one.
    pub(crate) fn break_off(&self) {
        self.has_broken_response.store(true, Ordering::Release);
        self.set();
    }

    fn has_broken_response(&self) -> bool {
        self.has_broken_response.load(Ordering::Acquire)
    }
}

/// The signals of the open connections, by the caller's address.
#[derive(Debug, Default)]
pub(crate) struct CloseSignals {
    by_caller: Mutex<FastMap<SocketAddr, Arc<CloseSignal>>>,
}

impl CloseSignals {
    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, Arc<CloseSignal>>> {
        self.by_caller.lock().expect("no holder of the lock panics")
    }

    /// The signal of the connection on which a request arrived, if no other request shares it.
    pub(crate) fn of_request(&self, request: &Request) -> Option<Arc<CloseSignal>> {
        if request.version() >= Version::HTTP_2 {
            return None;
        }
        let caller = request.remote_addr().as_socket_addr()?;
        self.lock().get(caller).cloned()
    }
}

/// An entry of [`CloseSignals`], removed when dropped.
#[derive(Debug)]
struct RegisteredSignal {
    signals: Arc<CloseSignals>,
    caller: SocketAddr,
    signal: Arc<CloseSignal>,
}

impl Drop for RegisteredSignal {
    fn drop(&mut self) {
        // The caller may have opened another connection from the same port already.
        let mut signals = self.signals.lock();
        let known = signals.get(&self.caller);
        if known.is_some_and(|known| Arc::ptr_eq(known, &self.signal)) {
            signals.remove(&self.caller);
        }
    }
}

/// The open connections of one listener.
#[derive(Debug)]
struct OpenConnections {
    table: Mutex<CallerTable<Arc<CloseSignal>>>,
    events: ConnectionEvents,
}

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, CallerTable<Arc<CloseSignal>>> {
        self.table.lock().expect("no holder of the lock panics")
    }

    fn close(&self, signal: &CloseSignal) {
        signal.set();
        self.events.record();
    }

    /// Adds a connection, for which another one may be closed. Returns `None` if there is no room.
    fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let signal = Arc::new(CloseSignal::default());
        let (id, evicted) = {
            let mut table = self.lock();
            let (has_room, evicted) = table.make_room();
            let id = has_room.then(|| table.new_id());
            if let Some(id) = id {
                table.insert(id, Arc::clone(&signal));
            }
            (id, evicted)
        };
        match (evicted, id) {
            (Some(evicted), _) => self.close(&evicted),
            (None, None) => self.events.record(),
            (None, Some(_)) => {}
        }
        Some(OpenConnection {
            connections: Arc::clone(self),
            id: id?,
            phase: CallerPhase::Idle,
            signal,
        })
    }
}

/// One of [`OpenConnections`], removed when dropped.
#[derive(Debug)]
struct OpenConnection {
    connections: Arc<OpenConnections>,
    id: CallerId,
    phase: CallerPhase,
    signal: Arc<CloseSignal>,
}

impl OpenConnection {
    fn set_phase(&mut self, phase: CallerPhase) {
        if self.phase != phase {
            self.phase = phase;
            let evicted = self.connections.lock().set_phase(self.id, phase);
            if let Some(evicted) = evicted {
                self.connections.close(&evicted);
            }
        }
    }

    /// Returns an error once the connection must be closed, and has the reader woken then.
    fn check(&self, context: &mut Context<'_>) -> io::Result<()> {
        self.signal.reader.register(context.waker());
        match self.signal.is_set.load(Ordering::Acquire) {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let _ = self.connections.lock().remove(self.id);
    }
}

/// A caller's connection whose request heads are checked.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TcpStream,
    /// `None` if the caller's address is unknown.
    _registered: Option<RegisteredSignal>,
    /// In the phase `Serving` from the end of a head until the next one begins.
    open: OpenConnection,
    framing: RequestFraming,
    rejection: Option<HeadRejection>,
    head_timeout: Duration,
    /// Set while a head is incomplete. Most heads arrive in one read and need no timer.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl CheckedStream {
    fn reject(&mut self, mut rejection: HeadRejection, buffer: &mut ReadBuf<'_>) {
        rejection.read_into(buffer);
        self.rejection = Some(rejection);
        self.head_timer = None;
    }

    /// Checks the bytes of `buffer` that were read after `start`.
    fn check_read(&mut self, buffer: &mut ReadBuf<'_>, start: usize) {
        if let Some(index) = self.framing.find_length_conflict(&buffer.filled()[start..]) {
            buffer.set_filled(start + index);
            let message = "the request gives two lengths";
            let rejection = HeadRejection::new(ErrorCode::BadRequest, message);
            return self.reject(rejection, buffer);
        }
        let is_in_head = self.framing.is_in_head();
        if buffer.filled().len() > start {
            self.open.set_phase(match is_in_head {
                true => CallerPhase::Incomplete,
                false => CallerPhase::Serving,
            });
        }
        if !is_in_head {
            self.head_timer = None;
        } else if self.head_timer.is_none() {
            let timer = tokio::time::sleep(self.head_timeout);
            self.head_timer = Some(Box::pin(timer));
        }
    }
}

impl Drop for CheckedStream {
    fn drop(&mut self) {
        if self.open.signal.has_broken_response() {
            // A response without length or chunks ends with its connection, unless that is reset.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(rejection) = &mut self.rejection {
            // Hyper closes the connection after its response.
            if rejection.malformed_input.is_empty() {
                return Poll::Pending;
            }
            rejection.read_into(buffer);
            return Poll::Ready(Ok(()));
        }
        self.open.check(context)?;
        let start = buffer.filled().len();
        if let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            read?;
            self.check_read(buffer, start);
            // Hyper handles a caller that closes its side of the connection within a head.
            if buffer.filled().len() == start {
                self.head_timer = None;
            }
            return Poll::Ready(Ok(()));
        }
        let Some(timer) = &mut self.head_timer else {
            return Poll::Pending;
        };
        ready!(timer.as_mut().poll(context));
        let message = "the request's head took too long";
        let rejection = HeadRejection::new(ErrorCode::HeadTimeout, message);
        self.reject(rejection, buffer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.open.signal.has_broken_response() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let Self {
            stream, rejection, ..
        } = &mut *self;
        let pending_rejection = rejection
            .as_mut()
            .filter(|rejection| rejection.should_replace(bytes));
        let Some(rejection) = pending_rejection else {
            return Pin::new(stream).poll_write(context, bytes);
        };
        while !rejection.response.is_empty() {
            let written = ready!(Pin::new(&mut *stream).poll_write(context, &rejection.response))?;
            rejection.response.drain(..written);
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.rejection.is_some() || self.open.signal.has_broken_response() {
            let first = parts.iter().find(|part| !part.is_empty());
            return self.poll_write(context, first.map_or(&[], |part| part));
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Accepts connections whose request heads are checked.
pub(crate) struct CheckedAcceptor {
    acceptor: NodelayAcceptor,
    open: Arc<OpenConnections>,
    signals: Arc<CloseSignals>,
    head_timeout: Duration,
}

impl CheckedAcceptor {
    pub(crate) fn new(
        listener: tokio::net::TcpListener,
        head_timeout: Duration,
        limits: &ClientLimits,
        events: ConnectionEvents,
    ) -> io::Result<Self> {
        // Accepted connections inherit the size, which the kernel then doesn't increase.
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize)?;
        let acceptor = NodelayAcceptor::new(listener)?;
        let table = Mutex::new(CallerTable::new(limits));
        Ok(Self {
            acceptor,
            open: Arc::new(OpenConnections { table, events }),
            signals: Arc::default(),
            head_timeout,
        })
    }

    /// Registers the signals of the connections in `signals`.
    pub(crate) fn with_signals(mut self, signals: &Arc<CloseSignals>) -> Self {
        self.signals = Arc::clone(signals);
        self
    }

    fn register(&self, remote: &RemoteAddr, open: &OpenConnection) -> Option<RegisteredSignal> {
        let caller = *remote.as_socket_addr()?;
        let signal = Arc::clone(&open.signal);
        self.signals.lock().insert(caller, Arc::clone(&signal));
        Some(RegisteredSignal {
            signals: Arc::clone(&self.signals),
            caller,
            signal,
        })
    }
}

impl Acceptor for CheckedAcceptor {
    type Io = CheckedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.acceptor.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, open, local, remote, scheme) = loop {
            let (stream, local, remote, scheme) = self.acceptor.accept().await?;
            if let Some(open) = self.open.open() {
                break (stream, open, local, remote, scheme);
            }
        };
        let stream = CheckedStream {
            stream,
            _registered: self.register(&remote, &open),
            open,
            framing: RequestFraming::default(),
            rejection: None,
            head_timeout: self.head_timeout,
            head_timer: None,
        };
        Ok((stream, local, remote, scheme))
    }
}
