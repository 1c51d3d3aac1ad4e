//! Reads callers' bodies within the node's limits on size, time and memory.

use poem::Request;

use super::error::{CallerError, ErrorCode};
use crate::entry::caller_body::{BodyError, BodyReservation, first_reservation};
use crate::entry::http::{BodyFraming, HttpError, ReadBuffer};
use crate::node::Node;

/// Reads a body, and returns it with the reservation of its memory.
pub(crate) async fn read_body<'a>(
    node: &'a Node,
    request: &mut Request,
) -> Result<(Vec<u8>, BodyReservation<'a>), CallerError> {
    let settings = &node.context.settings;
    let limit = settings.body_limit_bytes;
    let first = first_reservation(stated_framing(request), limit);
    let first = first.map_err(|error| to_caller_error(error.into(), limit))?;
    let clock = &node.context.clock;
    let reservation = BodyReservation::new(&node.body_memory, clock, &node.context.limit_events);
    let reading = async {
        reservation.acquire(first).await?;
        // The server library removes the framing.
        let mut reader = request.take_body().into_async_read();
        let (mut buffer, framing) = (ReadBuffer::default(), BodyFraming::UntilClose);
        let body = reservation.read(&mut reader, &mut buffer, framing, first, limit);
        body.await
    };
    let body = match tokio::time::timeout(settings.body_timeout, reading).await {
        Ok(body) => body.map_err(|error| to_caller_error(error, limit))?,
        Err(_) => {
            let message = "the body took too long";
            return Err(CallerError::not_run(ErrorCode::BodyTimeout, message));
        }
    };
    Ok((body.into(), reservation))
}

fn stated_framing(request: &Request) -> BodyFraming {
    let length = request.header("content-length");
    let length = length.and_then(|text| text.parse().ok());
    length.map_or(BodyFraming::Chunked, BodyFraming::Length)
}

fn to_caller_error(error: BodyError, limit: usize) -> CallerError {
    match error {
        BodyError::Http(HttpError::TooLarge) => CallerError::not_run(
            ErrorCode::BodyTooLarge,
            format!("the body is larger than {limit} bytes"),
        ),
        BodyError::Http(_) => CallerError::not_run(ErrorCode::BadRequest, "the body broke off"),
        BodyError::Refused(refusal) => match refusal.retry_after {
            Some(retry_after) => CallerError::not_run(ErrorCode::Unavailable, refusal.reason)
                .with_retry_after(retry_after),
            None => CallerError::not_run(ErrorCode::BodyTimeout, refusal.reason),
        },
    }
}
