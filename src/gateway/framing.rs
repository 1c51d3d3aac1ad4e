//! Refuses requests that give two lengths. The HTTP library follows `Transfer-Encoding` and drops
//! `Content-Length` before any handler sees it, so the bytes are checked before it reads them.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::acceptor::NodelayAcceptor;

/// The part of a line that is kept; names, lengths and chunk sizes are shorter.
const LINE_LIMIT_BYTES: usize = 256;

/// Where in the connection's bytes the next one is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FramePlace {
    RequestLine,
    HeaderLine,
    /// In a body or chunk with this many bytes left.
    Data {
        left: u64,
        is_chunk: bool,
    },
    ChunkSize,
    /// After the last chunk.
    Trailer,
    /// The rest can't be followed; the library refuses it or it is another protocol.
    Unknown,
}

/// Follows the requests of one connection.
#[derive(Debug)]
pub(crate) struct RequestFraming {
    place: FramePlace,
    line: Vec<u8>,
    length: Option<u64>,
    is_chunked: bool,
}

impl Default for RequestFraming {
    fn default() -> Self {
        Self {
            place: FramePlace::RequestLine,
            line: Vec::new(),
            length: None,
            is_chunked: false,
        }
    }
}

impl RequestFraming {
    /// Follows `bytes`; gives the place of the byte that ends a head with two lengths.
    pub(crate) fn find_conflict(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut index = 0;
        while index < bytes.len() {
            if self.place == FramePlace::Unknown {
                return None;
            }
            if let FramePlace::Data { left, is_chunk } = self.place {
                let available = (bytes.len() - index) as u64;
                let step = left.min(available);
                index += usize::try_from(step).unwrap_or(usize::MAX);
                self.place = match (left - step, is_chunk) {
                    (0, true) => FramePlace::ChunkSize,
                    (0, false) => FramePlace::RequestLine,
                    (left, is_chunk) => FramePlace::Data { left, is_chunk },
                };
                continue;
            }
            let byte = bytes[index];
            if byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                if self.end_line(line.strip_suffix(b"\r").unwrap_or(&line)) {
                    return Some(index);
                }
            } else if self.line.len() < LINE_LIMIT_BYTES {
                self.line.push(byte);
            }
            index += 1;
        }
        None
    }

    /// Goes on after a line; `true` when it ends a head with two lengths.
    fn end_line(&mut self, line: &[u8]) -> bool {
        match self.place {
            FramePlace::RequestLine if line.is_empty() => {}
            FramePlace::RequestLine => {
                self.length = None;
                self.is_chunked = false;
                self.place = match line.starts_with(b"PRI ") {
                    true => FramePlace::Unknown,
                    false => FramePlace::HeaderLine,
                };
            }
            FramePlace::HeaderLine if line.is_empty() => return self.end_head(),
            FramePlace::HeaderLine => self.note_header(line),
            FramePlace::ChunkSize => self.place = chunk_place(line),
            FramePlace::Trailer if line.is_empty() => self.place = FramePlace::RequestLine,
            FramePlace::Trailer | FramePlace::Data { .. } | FramePlace::Unknown => {}
        }
        false
    }

    fn note_header(&mut self, line: &[u8]) {
        let line = String::from_utf8_lossy(line);
        let Some((name, value)) = line.split_once(':') else {
            return;
        };
        match name.trim().to_ascii_lowercase().as_str() {
            "content-length" => self.length = Some(value.trim().parse().unwrap_or(u64::MAX)),
            "transfer-encoding" => self.is_chunked = true,
            _ => {}
        }
    }

    fn end_head(&mut self) -> bool {
        self.place = match (self.length, self.is_chunked) {
            (Some(_), true) => {
                self.place = FramePlace::Unknown;
                return true;
            }
            (None, true) => FramePlace::ChunkSize,
            (None | Some(0), false) => FramePlace::RequestLine,
            (Some(left), false) => FramePlace::Data {
                left,
                is_chunk: false,
            },
        };
        false
    }
}

/// What follows a line with a chunk's size.
fn chunk_place(line: &[u8]) -> FramePlace {
    let line = String::from_utf8_lossy(line);
    let size = line.split(';').next().unwrap_or_default().trim();
    match u64::from_str_radix(size, 16) {
        Ok(0) => FramePlace::Trailer,
        // The line end after the data belongs to the chunk.
        Ok(size) => FramePlace::Data {
            left: size.saturating_add(2),
            is_chunk: true,
        },
        Err(_) => FramePlace::Unknown,
    }
}

/// A caller's connection whose requests are followed.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TcpStream,
    framing: RequestFraming,
    /// What the library still reads of a refused request.
    refusal: Option<&'static [u8]>,
}

/// Stands for the last byte of a refused head and makes the library answer 400 and close. The
/// library parses a head only when it is complete, so the malformed line ends in a blank one.
const REFUSED_HEAD_END: &[u8] = b"\0\r\n\r\n";

/// Reads as much of `refusal` as fits into `buffer`.
fn read_refusal(refusal: &mut &'static [u8], buffer: &mut ReadBuf<'_>) {
    let (now, later) = refusal.split_at(refusal.len().min(buffer.remaining()));
    buffer.put_slice(now);
    *refusal = later;
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.refusal {
            // The library closes the connection by itself.
            Some([]) => return Poll::Pending,
            Some(refusal) => {
                read_refusal(refusal, buffer);
                return Poll::Ready(Ok(()));
            }
            None => {}
        }
        let start = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = read
            && let Some(place) = self.framing.find_conflict(&buffer.filled()[start..])
        {
            buffer.set_filled(start + place);
            let mut refusal = REFUSED_HEAD_END;
            read_refusal(&mut refusal, buffer);
            self.refusal = Some(refusal);
        }
        read
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
}

impl CheckedAcceptor {
    pub(crate) fn new(listener: tokio::net::TcpListener) -> io::Result<Self> {
        let acceptor = NodelayAcceptor::new(listener)?;
        Ok(Self { acceptor })
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
        };
        Ok((stream, local, remote, scheme))
    }
}
