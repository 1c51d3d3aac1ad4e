//! Reads a response's body into memory as a whole.

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;

use super::http::{BodyDecoder, BodyFraming, HttpError, ReadBuffer};
use super::response_memory::ResponseReservation;

/// Reads a complete body of at most `limit` bytes.
pub(crate) async fn read_body(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut ReadBuffer,
    framing: BodyFraming,
    limit: usize,
    reservation: &mut ResponseReservation,
) -> Result<Bytes, HttpError> {
    if matches!(framing, BodyFraming::Length(length) if length > limit as u64) {
        return Err(HttpError::TooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        decoder.decode(buffer, &mut body)?;
        if body.len() > limit {
            return Err(HttpError::TooLarge);
        }
        if !reservation.resize(body.len()) {
            return Err(HttpError::NoMemory);
        }
        if decoder.is_done() {
            return Ok(body.freeze());
        }
        if buffer.fill(reader).await? == 0 {
            decoder.finish()?;
        }
    }
}
