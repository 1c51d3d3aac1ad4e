//! Reads whole responses of targets, services and the platform within limits.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};

use crate::entry::response_memory::{ResponseMemory, ResponseReservation};

/// Why a response was not read to its end. The connection is closed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ResponseError {
    #[display("the response broke off: {_0}")]
    Http(reqwest::Error),
    #[display("the response is larger than the limit")]
    #[from(ignore)]
    TooLarge,
    #[display("no memory for the response is free")]
    #[from(ignore)]
    NoMemory,
}

/// A complete response body.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    pub(crate) bytes: Bytes,
    /// The memory of the body.
    _reservation: ResponseReservation,
}

/// Reads a body of at most `limit` bytes, which is held in `memory`.
pub(crate) async fn read_response(
    mut response: reqwest::Response,
    limit: usize,
    memory: &Arc<ResponseMemory>,
) -> Result<ResponseBody, ResponseError> {
    if response.content_length() > Some(limit as u64) {
        return Err(ResponseError::TooLarge);
    }
    let mut reservation = ResponseReservation::new(memory);
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        let length = body.len() + chunk.len();
        if length > limit {
            return Err(ResponseError::TooLarge);
        }
        if !reservation.resize(length) {
            return Err(ResponseError::NoMemory);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(ResponseBody {
        bytes: body.freeze(),
        _reservation: reservation,
    })
}
