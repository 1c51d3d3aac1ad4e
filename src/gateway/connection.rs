//! Callers' connections. Rejects request heads that have conflicting lengths or arrive too slowly.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::error::{CallerError, ErrorCode};
use super::framing::RequestFraming;
use crate::acceptor::NodelayAcceptor;
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

/// A caller's connection whose request heads are checked.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TcpStream,
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
        if !self.framing.is_in_head() {
            self.head_timer = None;
        } else if self.head_timer.is_none() {
            let timer = tokio::time::sleep(self.head_timeout);
            self.head_timer = Some(Box::pin(timer));
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
        if self.rejection.is_some() {
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
    head_timeout: Duration,
}

impl CheckedAcceptor {
    pub(crate) fn new(
        listener: tokio::net::TcpListener,
        head_timeout: Duration,
    ) -> io::Result<Self> {
        let acceptor = NodelayAcceptor::new(listener)?;
        Ok(Self {
            acceptor,
            head_timeout,
        })
    }
}

impl Acceptor for CheckedAcceptor {
    type Io = CheckedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.acceptor.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.acceptor.accept().await?;
        let stream = CheckedStream {
            stream,
            framing: RequestFraming::default(),
            rejection: None,
            head_timeout: self.head_timeout,
            head_timer: None,
        };
        Ok((stream, local, remote, scheme))
    }
}
