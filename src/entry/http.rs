//! HTTP/1.1 parsing on plain TCP connections, used for callers, targets and the store.
//!
//! The entry VM forwards bytes as they arrive and needs details of a connection that HTTP libraries
//! hide: bytes after a complete response, connection resets, and callers that disconnect.

use std::future::poll_fn;
use std::io;
use std::mem::{self, MaybeUninit};
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use super::response_memory::ResponseReservation;

const MAX_HEADER_FIELDS: usize = 96;
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;
/// The statuses of HTTP, by RFC 9110.
const VALID_STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// The largest number of bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// Why a message could not be read.
#[derive(Debug, Display, Error, From)]
pub(crate) enum HttpError {
    #[display("connection failed: {_0}")]
    Io(io::Error),
    #[display("connection closed in the middle of a message")]
    #[from(ignore)]
    UnexpectedEof,
    #[display("malformed message: {_0}")]
    #[from(ignore)]
    Malformed(#[error(not(source))] &'static str),
    #[display("message exceeds the size limit")]
    #[from(ignore)]
    TooLarge,
    /// The memory for responses is taken, mostly by others that have no end.
    #[display("no memory for the response is free")]
    #[from(ignore)]
    NoMemory,
}

#[derive(Debug, Clone)]
pub(crate) struct HeaderField {
    pub(crate) name: Bytes,
    pub(crate) value: Bytes,
}

/// The header fields of a message, in the order of arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeaderFields(Vec<HeaderField>);

impl HeaderFields {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.0.iter()
    }

    fn named(&self, name: &str) -> impl Iterator<Item = &HeaderField> {
        let matching = move |field: &&HeaderField| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(matching)
    }

    /// The value of the first field with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&[u8]> {
        self.named(name).next().map(|field| &field.value[..])
    }

    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    pub(crate) fn count(&self, name: &str) -> usize {
        self.named(name).count()
    }

    /// Whether a comma-separated list field contains `token`.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self
            .named(name)
            .flat_map(|field| field.value.split(|byte| *byte == b','));
        tokens.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    Length(u64),
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Request line and header fields.
#[derive(Debug, Clone)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) request_target: String,
    /// Whether the caller uses HTTP/1.1 rather than HTTP/1.0.
    pub(crate) is_http11: bool,
    pub(crate) fields: HeaderFields,
}

impl RequestHead {
    /// The framing of the body. A request that states no length has no body.
    pub(crate) fn framing(&self) -> Result<BodyFraming, HttpError> {
        let framing = framing_of(&self.fields)?;
        if framing == Some(BodyFraming::Chunked) && !self.is_http11 {
            return Err(HttpError::Malformed("a chunked body needs HTTP/1.1"));
        }
        Ok(framing.unwrap_or(BodyFraming::Length(0)))
    }

    pub(crate) fn keeps_alive(&self) -> bool {
        let close = self.fields.has_token("connection", "close");
        !close && (self.is_http11 || self.fields.has_token("connection", "keep-alive"))
    }
}

/// Status line and header fields of a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) is_http11: bool,
    pub(crate) fields: HeaderFields,
}

impl ResponseHead {
    pub(crate) fn framing(&self, method: &str) -> Result<BodyFraming, HttpError> {
        if method == "HEAD" || matches!(self.status, 204 | 304) {
            return Ok(BodyFraming::Length(0));
        }
        Ok(framing_of(&self.fields)?.unwrap_or(BodyFraming::UntilClose))
    }

    pub(crate) fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.fields.has_token("connection", "close")
    }

    /// The idle timeout that the sender states in its `Keep-Alive` field.
    pub(crate) fn idle_timeout(&self) -> Option<Duration> {
        let text = self.fields.text("keep-alive")?;
        let mut parts = text
            .split(',')
            .filter_map(|part| part.trim().split_once('='));
        let (_, seconds) = parts.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    }
}

/// The framing that the header fields state. Rejects what two HTTP parsers could read differently,
/// since that allows request smuggling.
fn framing_of(fields: &HeaderFields) -> Result<Option<BodyFraming>, HttpError> {
    let (lengths, transfer_codings) = (
        fields.count("content-length"),
        fields.count("transfer-encoding"),
    );
    if lengths + transfer_codings > 1 {
        return Err(HttpError::Malformed(
            "more than one statement of the body's length",
        ));
    }
    if let Some(coding) = fields.get("transfer-encoding") {
        return match coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            true => Ok(Some(BodyFraming::Chunked)),
            false => Err(HttpError::Malformed("a transfer coding that is not known")),
        };
    }
    let Some(length) = fields.text("content-length") else {
        return match lengths {
            0 => Ok(None),
            _ => Err(HttpError::Malformed("the length is no number")),
        };
    };
    // `u64::from_str` would also accept a leading plus sign.
    let only_digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
    let length = length.parse().ok().filter(|_| only_digits);
    let length = length.ok_or(HttpError::Malformed("the length is no number"))?;
    Ok(Some(BodyFraming::Length(length)))
}

/// Bytes that were read from a connection and not yet consumed.
#[derive(Debug, Default)]
pub(crate) struct ReadBuffer {
    bytes: BytesMut,
    /// The number of leading bytes already searched for the end of a head.
    scanned: usize,
    /// Whether the last read filled its space, so that more bytes may wait.
    was_full: bool,
}

impl ReadBuffer {
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Reads once. Returns 0 at the end of the stream. Reads through the stack, so that a connection
    /// that waits for bytes has no memory reserved for them. Yields between full reads: the runtime
    /// lets a task read 2 MB at a time, which delays other requests and their time limits.
    pub(crate) async fn fill(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<usize> {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
        if mem::take(&mut self.was_full) {
            tokio::task::yield_now().await;
        }
        poll_fn(|context| {
            let mut space = [MaybeUninit::uninit(); READ_BYTES];
            let mut read = ReadBuf::uninit(&mut space);
            ready!(Pin::new(&mut *reader).poll_read(context, &mut read))?;
            self.bytes.extend_from_slice(read.filled());
            self.was_full = read.remaining() == 0;
            Poll::Ready(Ok(read.filled().len()))
        })
        .await
    }

    /// Whether an idle connection is still open and has received nothing. Bytes that arrive without
    /// a request can't be part of a response.
    pub(crate) fn is_idle(&self, stream: &TcpStream) -> bool {
        // The runtime learns of received bytes only when it next processes events, so the socket itself
        // is asked.
        let read = socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
        let silent = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        silent && self.is_empty()
    }

    pub(crate) async fn read_response_head(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        reservation: &mut ResponseReservation,
    ) -> Result<ResponseHead, HttpError> {
        loop {
            if let Some(head) = self.take_response_head()? {
                return Ok(head);
            }
            if self.fill(reader).await? == 0 {
                return Err(HttpError::UnexpectedEof);
            }
            if !reservation.resize(self.len()) {
                return Err(HttpError::NoMemory);
            }
        }
    }

    /// Removes a complete head from the buffer, if there is one.
    fn take_head(&mut self, limit: usize) -> Result<Option<Bytes>, HttpError> {
        let from = self.scanned.saturating_sub(3);
        let end = self.bytes[from..]
            .windows(4)
            .position(|window| window == b"\r\n\r\n");
        match end.map(|end| from + end + 4) {
            Some(end) if end <= limit => {
                self.scanned = 0;
                Ok(Some(self.bytes.split_to(end).freeze()))
            }
            None if self.bytes.len() <= limit => {
                self.scanned = self.bytes.len();
                Ok(None)
            }
            _ => Err(HttpError::TooLarge),
        }
    }

    pub(crate) fn take_request_head(
        &mut self,
        limit: usize,
    ) -> Result<Option<RequestHead>, HttpError> {
        // RFC 9112 lets a server skip empty lines before a request line.
        while self.bytes.starts_with(b"\r\n") {
            let _ = self.bytes.split_to(2);
            self.scanned = 0;
        }
        self.take_head(limit)?
            .map(|bytes| parse_request_head(&bytes))
            .transpose()
    }

    pub(crate) fn take_response_head(&mut self) -> Result<Option<ResponseHead>, HttpError> {
        if self.bytes.len() >= 5 && !self.bytes.starts_with(b"HTTP/") {
            return Err(HttpError::Malformed("the response is not HTTP"));
        }
        self.take_head(MAX_RESPONSE_HEAD_BYTES)?
            .map(|bytes| parse_response_head(&bytes))
            .transpose()
    }
}

fn fields_of(bytes: &Bytes, parsed: &[httparse::Header<'_>]) -> HeaderFields {
    let field = |header: &httparse::Header<'_>| HeaderField {
        name: bytes.slice_ref(header.name.as_bytes()),
        value: bytes.slice_ref(header.value),
    };
    HeaderFields(parsed.iter().map(field).collect())
}

fn parse_request_head(bytes: &Bytes) -> Result<RequestHead, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        _ => return Err(HttpError::Malformed("the request's head can't be read")),
    }
    let (method, request_target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    Ok(RequestHead {
        method: method.to_owned(),
        request_target: request_target.to_owned(),
        is_http11: request.version == Some(1),
        fields: fields_of(bytes, request.headers),
    })
}

fn parse_response_head(bytes: &Bytes) -> Result<ResponseHead, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    match response.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        _ => return Err(HttpError::Malformed("the response's head can't be parsed")),
    }
    let status = response.code.filter(|code| VALID_STATUSES.contains(code));
    Ok(ResponseHead {
        status: status.ok_or(HttpError::Malformed("the response's status is not valid"))?,
        reason: response.reason.unwrap_or("").to_owned(),
        is_http11: response.version == Some(1),
        fields: fields_of(bytes, response.headers),
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// Bytes left of a body with a length, or of a chunk.
    Data(u64),
    ChunkSize,
    /// The CRLF after a chunk's data.
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Incremental decoder that removes the body's framing.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: BodyState,
    chunked: bool,
    /// Trailer fields received so far.
    trailers: usize,
}

impl BodyDecoder {
    pub(crate) fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => BodyState::Done,
            BodyFraming::Length(length) => BodyState::Data(length),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Self {
            state,
            chunked: framing == BodyFraming::Chunked,
            trailers: 0,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Moves all body data available in `buffer` to `out`.
    pub(crate) fn decode(
        &mut self,
        buffer: &mut ReadBuffer,
        out: &mut BytesMut,
    ) -> Result<(), HttpError> {
        loop {
            match self.state {
                BodyState::Done => return Ok(()),
                BodyState::UntilClose => {
                    out.unsplit(buffer.bytes.split());
                    return Ok(());
                }
                BodyState::Data(left) => {
                    if buffer.is_empty() {
                        return Ok(());
                    }
                    let count = buffer
                        .len()
                        .min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&buffer.bytes.split_to(count));
                    self.state = match left - count as u64 {
                        0 if self.chunked => BodyState::ChunkEnd,
                        0 => BodyState::Done,
                        left => BodyState::Data(left),
                    };
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailers => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(());
                    };
                    self.state = self.next_state(&line)?;
                }
            }
        }
    }

    fn next_state(&mut self, line: &[u8]) -> Result<BodyState, HttpError> {
        match self.state {
            BodyState::ChunkSize => match parse_chunk_size(line)? {
                0 => Ok(BodyState::Trailers),
                size => Ok(BodyState::Data(size)),
            },
            BodyState::ChunkEnd if line.is_empty() => Ok(BodyState::ChunkSize),
            BodyState::Trailers if line.is_empty() => Ok(BodyState::Done),
            BodyState::Trailers if self.trailers < MAX_HEADER_FIELDS => {
                self.trailers += 1;
                Ok(BodyState::Trailers)
            }
            BodyState::Trailers => Err(HttpError::TooLarge),
            _ => Err(HttpError::Malformed("a chunk does not end where it should")),
        }
    }

    /// Handles the end of the stream. Fails unless the body may end here.
    pub(crate) fn finish(&mut self) -> Result<(), HttpError> {
        match self.state {
            BodyState::UntilClose | BodyState::Done => {
                self.state = BodyState::Done;
                Ok(())
            }
            _ => Err(HttpError::UnexpectedEof),
        }
    }
}

fn take_line(buffer: &mut ReadBuffer) -> Result<Option<Bytes>, HttpError> {
    /// The longest chunk size line, with its extensions, or trailer field.
    const MAX_LINE_BYTES: usize = 4096;
    let Some(end) = buffer.bytes.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES {
            Err(HttpError::TooLarge)
        } else {
            Ok(None)
        };
    };
    let line = buffer.bytes.split_to(end + 1).freeze();
    match line.strip_suffix(b"\r\n") {
        Some(text) => Ok(Some(line.slice_ref(text))),
        None => Err(HttpError::Malformed(
            "a line of the chunked body ends without CR",
        )),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let size = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let only_digits = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| only_digits);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(HttpError::Malformed("a chunk's size can't be read"))
}
