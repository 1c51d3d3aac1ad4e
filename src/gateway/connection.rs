//! Callers' connections: refuses heads with two lengths and heads that take too long.

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

/// A head that is refused on the way to the library.
#[derive(Debug)]
struct HeadRefusal {
    /// What the library still reads.
    input: &'static [u8],
    /// What the caller gets instead of the library's bare answer, as far as it is not written.
    answer: Vec<u8>,
}

/// Stands for the rest of a refused head and makes the library answer 400 and close. The library
/// parses a head only when it is complete, so the malformed line ends in a blank one.
const REFUSED_HEAD_END: &[u8] = b"\0\r\n\r\n";
/// How the library's answer to a malformed head begins.
const LIBRARY_REFUSAL: &[u8] = b"HTTP/1.1 400 ";

impl HeadRefusal {
    fn new(code: ErrorCode, message: &str) -> Self {
        let id = RequestId::random();
        let body = CallerError::not_run(code, message).to_json(&id);
        let head = format!(
            "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nx-request-id: {id}\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        Self {
            input: REFUSED_HEAD_END,
            answer: (head + &body).into_bytes(),
        }
    }

    /// Reads as much of the input as fits into `buffer`.
    fn read_into(&mut self, buffer: &mut ReadBuf<'_>) {
        let (now, later) = self
            .input
            .split_at(self.input.len().min(buffer.remaining()));
        buffer.put_slice(now);
        self.input = later;
    }

    /// Whether `bytes`, which the library writes, are its answer to the refused head. If they
    /// begin with the end of an earlier answer, the caller gets the library's own.
    fn replaces(&self, bytes: &[u8]) -> bool {
        self.input.is_empty() && !self.answer.is_empty() && bytes.starts_with(LIBRARY_REFUSAL)
    }
}

/// A caller's connection whose requests are followed.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TcpStream,
    framing: RequestFraming,
    refusal: Option<HeadRefusal>,
    head_timeout: Duration,
    /// Set while a head is incomplete. Most heads come in one read and need no timer.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl CheckedStream {
    fn refuse(&mut self, mut refusal: HeadRefusal, buffer: &mut ReadBuf<'_>) {
        refusal.read_into(buffer);
        self.refusal = Some(refusal);
        self.head_timer = None;
    }

    /// Follows what was read behind `start`.
    fn check(&mut self, buffer: &mut ReadBuf<'_>, start: usize) {
        if let Some(place) = self.framing.find_conflict(&buffer.filled()[start..]) {
            buffer.set_filled(start + place);
            let message = "the request gives two lengths";
            let refusal = HeadRefusal::new(ErrorCode::BadRequest, message);
            return self.refuse(refusal, buffer);
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
        if let Some(refusal) = &mut self.refusal {
            // The library closes the connection by itself.
            if refusal.input.is_empty() {
                return Poll::Pending;
            }
            refusal.read_into(buffer);
            return Poll::Ready(Ok(()));
        }
        let start = buffer.filled().len();
        if let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            read?;
            self.check(buffer, start);
            // A caller who ends its half of the connection in a head is left to the library.
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
        let refusal = HeadRefusal::new(ErrorCode::HeadTimeout, message);
        self.refuse(refusal, buffer);
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
            stream, refusal, ..
        } = &mut *self;
        let replaced = refusal.as_mut().filter(|refusal| refusal.replaces(bytes));
        let Some(refusal) = replaced else {
            return Pin::new(stream).poll_write(context, bytes);
        };
        while !refusal.answer.is_empty() {
            let written = ready!(Pin::new(&mut *stream).poll_write(context, &refusal.answer))?;
            refusal.answer.drain(..written);
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.refusal.is_some() {
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

/// Accepts connections whose requests are followed.
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
            refusal: None,
            head_timeout: self.head_timeout,
            head_timer: None,
        };
        Ok((stream, local, remote, scheme))
    }
}
