//! Server-sent events: splits a byte stream into events and returns each as soon as it is complete.

use bytes::{Buf, Bytes, BytesMut};

/// The limit of the bytes that are buffered for one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event's data, or the end marker of OpenAI-style streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SseEvent {
    Data(Bytes),
    Done,
}

/// The target sent an event that is longer than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the target's event stream is malformed")]
pub(crate) struct SseError;

/// Buffers bytes and splits them into events.
#[derive(Debug, Default)]
pub(crate) struct SseDecoder {
    buffer: BytesMut,
}

impl SseDecoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event, or `None` if more bytes are needed.
    pub(crate) fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        loop {
            let Some((length, separator)) = find_end(&self.buffer) else {
                let fits = self.buffer.len() <= MAX_EVENT_BYTES;
                return if fits { Ok(None) } else { Err(SseError) };
            };
            let event = self.buffer.split_to(length).freeze();
            self.buffer.advance(separator);
            if let Some(event) = parse_event(&event) {
                return Ok(Some(event));
            }
        }
    }
}

/// The lengths of the first event and of the blank line after it.
fn find_end(buffer: &[u8]) -> Option<(usize, usize)> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n");
    let crlf = buffer.windows(4).position(|quad| quad == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some((crlf, 4)),
        (Some(lf), _) => Some((lf, 2)),
        (None, Some(crlf)) => Some((crlf, 4)),
        (None, None) => None,
    }
}

/// The event in a block of lines, or `None` if it has no data, such as a comment.
fn parse_event(block: &Bytes) -> Option<SseEvent> {
    let mut data = None::<BytesMut>;
    for line in block.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &mut data {
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(value);
            }
            None => data = Some(BytesMut::from(value)),
        }
    }
    let data = data?.freeze();
    Some(if data.as_ref() == b"[DONE]" {
        SseEvent::Done
    } else {
        SseEvent::Data(data)
    })
}
