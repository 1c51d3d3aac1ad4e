//! Sends a request on a connection to a target and reads the head of its response.

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;

use super::connections::{ConnectionNumber, TargetConnection};
use super::http::{BodyDecoder, HttpError, ReadBuffer, ResponseHead};
use super::response_memory::ResponseReservation;
use crate::ids::RequestId;
use crate::platform::headers::{matches_request_id, responding_request_id};

/// The largest number of responses to other requests that an attempt skips.
const MAX_STRAY_RESPONSES: u32 = 4;
/// The size of a response to another request that an attempt skips; a longer one costs more than a
/// new connection.
const MAX_STRAY_BYTES: usize = 256 * 1024;
/// The largest number of informational responses before the response to a request.
const MAX_INFORMATIONAL_RESPONSES: u32 = 16;
/// Writes `bytes` and reads concurrently, since a target may respond before it has read a long
/// body.
pub(super) async fn exchange(
    connection: &mut TargetConnection,
    bytes: &[u8],
    id: &RequestId,
    method: &str,
    reservation: &mut ResponseReservation,
) -> Result<ResponseHead, HttpError> {
    let TargetConnection {
        number,
        stream,
        buffer,
        request_unfinished,
        ..
    } = connection;
    let request = SentRequest {
        id,
        method,
        connection: *number,
    };
    let written = write_ready(stream, bytes);
    if written == bytes.len() {
        return read_response(stream, buffer, request, reservation).await;
    }
    let (mut reader, mut writer) = stream.split();
    let mut reading = std::pin::pin!(read_response(&mut reader, buffer, request, reservation));
    tokio::select! {
        biased;
        head = &mut reading => {
            *request_unfinished = true;
            head
        }
        written = writer.write_all(&bytes[written..]) => {
            written?;
            reading.await
        }
    }
}

/// Writes as much as the socket's send buffer accepts without waiting.
fn write_ready(stream: &TcpStream, bytes: &[u8]) -> usize {
    stream.try_write(bytes).unwrap_or(0)
}

/// The request whose response is read.
#[derive(Debug, Clone, Copy)]
struct SentRequest<'a> {
    id: &'a RequestId,
    method: &'a str,
    connection: ConnectionNumber,
}

/// Reads the head of the response to `request` and skips responses to other requests.
async fn read_response(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut ReadBuffer,
    request: SentRequest<'_>,
    reservation: &mut ResponseReservation,
) -> Result<ResponseHead, HttpError> {
    let (mut stray_responses, mut informational_responses) = (0, 0);
    loop {
        let head = buffer.read_response_head(stream, reservation).await?;
        if head.status < 200 {
            informational_responses += 1;
            if informational_responses > MAX_INFORMATIONAL_RESPONSES {
                return Err(HttpError::Malformed("too many informational responses"));
            }
            continue;
        }
        if matches_request_id(&head, request.id) {
            return Ok(head);
        }
        stray_responses += 1;
        tracing::warn!(
            request = %request.id, status = head.status, connection = %request.connection,
            answered = responding_request_id(&head).unwrap_or_default(),
            "attempt: skipped a response to another request"
        );
        if stray_responses > MAX_STRAY_RESPONSES {
            return Err(HttpError::Malformed("too many responses to other requests"));
        }
        discard_body(stream, buffer, &head, request.method).await?;
    }
}

async fn discard_body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut ReadBuffer,
    head: &ResponseHead,
    method: &str,
) -> Result<(), HttpError> {
    let mut decoder = BodyDecoder::new(head.framing(method)?);
    let mut discarded = BytesMut::new();
    let mut discarded_bytes = 0;
    loop {
        decoder.decode(buffer, &mut discarded)?;
        discarded_bytes += discarded.len();
        discarded.clear();
        if discarded_bytes > MAX_STRAY_BYTES {
            return Err(HttpError::TooLarge);
        }
        if decoder.is_done() {
            return Ok(());
        }
        if buffer.fill(stream).await? == 0 {
            return Err(HttpError::UnexpectedEof);
        }
    }
}
