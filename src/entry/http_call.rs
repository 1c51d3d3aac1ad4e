//! An HTTP client with persistent connections, for the store, the control service and targets' control
//! interfaces.

use std::cell::RefCell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::http::{HttpError, ReadBuffer, ResponseHead};
use super::response_body::read_body;
use super::response_memory::{ResponseMemory, ResponseReservation};
use super::sockets::connect;

/// The largest response body. A page of the store holds at most 1 MB of values, which base64 makes
/// a third longer.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A request whose response is read completely into memory.
#[derive(Debug, Clone)]
pub(crate) struct HttpRequest {
    head: String,
    body: Bytes,
}

impl HttpRequest {
    fn new(method: &str, path: &str, body: Bytes) -> Self {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
            body.len()
        );
        Self { head, body }
    }

    pub(crate) fn get(path: &str) -> Self {
        Self {
            head: format!("GET {path} HTTP/1.1\r\n"),
            body: Bytes::new(),
        }
    }

    pub(crate) fn post(path: &str, body: Bytes) -> Self {
        Self::new("POST", path, body)
    }

    pub(crate) fn post_json(path: &str, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body)
            .expect("request bodies are plain structures, which always serialize");
        Self::new("POST", path, body.into()).with_header("Content-Type", "application/json")
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        let _ = write!(self.head, "{name}: {value}\r\n");
        self
    }

    fn encode(&self, host: SocketAddr) -> BytesMut {
        let mut out = BytesMut::with_capacity(self.head.len() + self.body.len() + 48);
        out.extend_from_slice(self.head.as_bytes());
        out.extend_from_slice(format!("Host: {host}\r\n\r\n").as_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
    /// The memory of the body.
    _reservation: ResponseReservation,
}

/// Why a call got no response.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum CallError {
    #[display("{_0}")]
    Http(HttpError),
    #[display("no response within the time limit")]
    #[from(ignore)]
    TimedOut,
}

impl CallError {
    pub(crate) fn is_connection_refused(&self) -> bool {
        let Self::Http(HttpError::Io(error)) = self else {
            return false;
        };
        error.kind() == std::io::ErrorKind::ConnectionRefused
    }
}

/// An open connection whose last response was received completely.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    stream: TcpStream,
    buffer: ReadBuffer,
}

impl ClientConnection {
    /// Whether the connection is still open and has received nothing.
    fn is_idle(&self) -> bool {
        self.buffer.is_idle(&self.stream)
    }
}

/// A client for one address. A connection is reused only after a complete response.
#[derive(Debug)]
pub(crate) struct HttpClient {
    address: SocketAddr,
    idle: RefCell<Vec<ClientConnection>>,
    memory: Arc<ResponseMemory>,
    /// Whether a connection that is closed discards what the peer has not received.
    discards_unsent: bool,
}

impl HttpClient {
    /// Creates a client whose responses are held in `memory`.
    pub(crate) fn new(address: SocketAddr, memory: &Arc<ResponseMemory>) -> Self {
        Self {
            address,
            memory: Arc::clone(memory),
            idle: RefCell::default(),
            discards_unsent: false,
        }
    }

    /// Discards a call that is given up before the peer has received it. Otherwise the system would
    /// deliver it once the peer can be reached again.
    pub(crate) fn with_discarded_calls(mut self) -> Self {
        self.discards_unsent = true;
        self
    }

    pub(crate) async fn call(
        &self,
        request: &HttpRequest,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        self.call_within(request, limit, limit).await
    }

    /// Makes a call that must be sent within `send_limit` and answered within `limit`.
    pub(crate) async fn call_within(
        &self,
        request: &HttpRequest,
        send_limit: Duration,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        let kept = self.take_idle();
        let exchange = self.exchange(kept, request, send_limit, limit);
        let (response, connection) = exchange.await?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.extend(connection);
        }
        Ok(response)
    }

    /// Makes a call on `kept` if that is still idle, otherwise on a new connection. Also returns the
    /// connection, unless it can't be used again.
    pub(crate) async fn call_on(
        &self,
        kept: Option<ClientConnection>,
        request: &HttpRequest,
        limit: Duration,
    ) -> Result<(HttpResponse, Option<ClientConnection>), CallError> {
        let kept = kept.filter(ClientConnection::is_idle);
        self.exchange(kept, request, limit, limit).await
    }

    async fn exchange(
        &self,
        kept: Option<ClientConnection>,
        request: &HttpRequest,
        send_limit: Duration,
        limit: Duration,
    ) -> Result<(HttpResponse, Option<ClientConnection>), CallError> {
        let exchange = async {
            let sent = tokio::time::timeout(send_limit, self.send(kept, request)).await;
            let connection = sent.map_err(|_| CallError::TimedOut)??;
            Ok(self.receive(connection).await?)
        };
        let result = tokio::time::timeout(limit, exchange).await;
        result.map_err(|_| CallError::TimedOut)?
    }

    async fn send(
        &self,
        kept: Option<ClientConnection>,
        request: &HttpRequest,
    ) -> Result<ClientConnection, HttpError> {
        let mut connection = match kept {
            Some(connection) => connection,
            None => ClientConnection {
                stream: connect(self.address).await?,
                buffer: ReadBuffer::default(),
            },
        };
        let stream = &mut connection.stream;
        if self.discards_unsent {
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
        }
        stream.write_all(&request.encode(self.address)).await?;
        Ok(connection)
    }

    async fn receive(
        &self,
        mut connection: ClientConnection,
    ) -> Result<(HttpResponse, Option<ClientConnection>), HttpError> {
        let ClientConnection { stream, buffer } = &mut connection;
        let mut reservation = ResponseReservation::new(&self.memory);
        let head = buffer.read_response_head(stream, &mut reservation).await?;
        let framing = head.framing("GET")?;
        let body = read_body(
            stream,
            buffer,
            framing,
            MAX_RESPONSE_BYTES,
            &mut reservation,
        );
        let body = body.await?;
        let is_kept = head.keeps_alive() && buffer.is_empty();
        let response = HttpResponse {
            head,
            body,
            _reservation: reservation,
        };
        Ok((response, is_kept.then_some(connection)))
    }

    fn take_idle(&self) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }
}
