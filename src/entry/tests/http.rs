use std::pin::pin;
use std::task::{Context, Waker};

use bytes::BytesMut;

use crate::entry::http::{BodyDecoder, BodyFraming, HttpError, ReadBuffer};
use crate::entry::response_body::read_body;
use crate::entry::response_memory::{ResponseMemory, ResponseReservation};

/// Feeds `text` to a decoder in pieces of `step` bytes. Returns the body and the number of bytes
/// left in the buffer.
async fn decode(
    framing: BodyFraming,
    text: &[u8],
    step: usize,
) -> Result<(Vec<u8>, usize), HttpError> {
    let (mut decoder, mut buffer) = (BodyDecoder::new(framing), ReadBuffer::default());
    let mut out = BytesMut::new();
    for piece in text.chunks(step) {
        buffer.fill(&mut &piece[..]).await?;
        decoder.decode(&mut buffer, &mut out)?;
    }
    if !decoder.is_done() {
        decoder.finish()?;
    }
    Ok((out.to_vec(), buffer.len()))
}

/// Guards against a decoded body that depends on how the bytes are split into reads, and against
/// consuming bytes that follow the body.
#[yare::parameterized(
    chunked = {BodyFraming::Chunked, b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\nnext", b"abcde", 4},
    length = {BodyFraming::Length(5), b"abcdenext", b"abcde", 4},
    until_close = {BodyFraming::UntilClose, b"abcdenext", b"abcdenext", 0},
    empty = {BodyFraming::Length(0), b"next", b"", 4}
)]
#[test_macro(tokio::test)]
async fn body_ends_as_its_framing_specifies(
    framing: BodyFraming,
    text: &[u8],
    body: &[u8],
    rest: usize,
) {
    for step in 1..=text.len() {
        assert_eq!(
            decode(framing, text, step).await.unwrap(),
            (body.to_vec(), rest),
            "{step}"
        );
    }
}

/// Guards against accepting a truncated body as complete.
#[yare::parameterized(
    in_a_chunk = {BodyFraming::Chunked, b"5\r\nab"},
    before_the_last_chunk = {BodyFraming::Chunked, b"2\r\nab\r\n"},
    in_the_trailers = {BodyFraming::Chunked, b"2\r\nab\r\n0\r\n"},
    below_its_length = {BodyFraming::Length(5), b"abc"}
)]
#[test_macro(tokio::test)]
async fn truncated_body_is_an_error(framing: BodyFraming, text: &[u8]) {
    assert!(matches!(
        decode(framing, text, 1).await,
        Err(HttpError::UnexpectedEof)
    ));
}

/// Guards against request smuggling: other HTTP parsers may read these chunks differently.
#[yare::parameterized(
    signed = {b"+3\r\nabc\r\n"},
    empty = {b"\r\nabc\r\n"},
    too_long = {b"11111111111111111\r\n"},
    no_line_end = {b"3\r\nabcd\r\n"},
    bare_newline = {b"3\nabc\r\n"}
)]
#[test_macro(tokio::test)]
async fn ambiguous_chunk_is_an_error(text: &[u8]) {
    assert!(matches!(
        decode(BodyFraming::Chunked, text, 64).await,
        Err(HttpError::Malformed(_))
    ));
}

/// Guards against a chunked body, which declares no length, growing past the limit.
#[tokio::test]
async fn chunked_body_past_the_limit_is_refused() {
    let text = b"3\r\nabc\r\n3\r\nabc\r\n0\r\n\r\n";
    let memory = ResponseMemory::for_tests();
    let body = read_body(
        &mut &text[..],
        &mut ReadBuffer::default(),
        BodyFraming::Chunked,
        5,
        &mut ResponseReservation::new(&memory),
    )
    .await;
    assert!(matches!(body, Err(HttpError::TooLarge)));
}

/// Guards against parsing stray bytes on a persistent connection as the next response.
#[tokio::test]
async fn response_that_is_not_http_is_an_error() {
    let mut buffer = ReadBuffer::default();
    buffer
        .fill(&mut &b"rubbish bytes\r\n\r\n"[..])
        .await
        .unwrap();
    assert!(matches!(
        buffer.take_response_head(),
        Err(HttpError::Malformed(_))
    ));
}

/// Guards against passing on a status that HTTP does not have, or taking it for an informational one.
#[yare::parameterized(zero = {"000"}, below = {"099"}, above = {"600"}, highest = {"999"})]
#[test_macro(tokio::test)]
async fn response_with_an_invalid_status_is_an_error(status: &str) {
    let mut buffer = ReadBuffer::default();
    let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
    buffer.fill(&mut text.as_bytes()).await.unwrap();
    assert!(matches!(
        buffer.take_response_head(),
        Err(HttpError::Malformed(_))
    ));
}

/// Guards against a chunked body whose trailer fields never end.
#[tokio::test]
async fn trailers_without_end_are_an_error() {
    let mut text = b"2\r\nab\r\n0\r\n".to_vec();
    text.extend(b"A: b\r\n".repeat(200));
    let decoded = decode(BodyFraming::Chunked, &text, 64).await;
    assert!(matches!(decoded, Err(HttpError::TooLarge)), "{decoded:?}");
}

/// Guards against a peer that sends without pause and keeps all other tasks from running.
#[test]
fn endless_bytes_leave_time_for_other_tasks() {
    let (mut buffer, mut decoder) = (
        ReadBuffer::default(),
        BodyDecoder::new(BodyFraming::UntilClose),
    );
    let (mut endless, mut out) = (tokio::io::repeat(b'x'), BytesMut::new());
    let mut context = Context::from_waker(Waker::noop());
    for _ in 0..3 {
        {
            let mut reading = pin!(async {
                while out.len() < 1024 * 1024 {
                    buffer.fill(&mut endless).await.expect("bytes without end");
                    decoder.decode(&mut buffer, &mut out).expect("a body");
                }
            });
            assert!(reading.as_mut().poll(&mut context).is_pending());
        }
        assert!(out.len() <= 64 * 1024, "{} bytes", out.len());
    }
}
