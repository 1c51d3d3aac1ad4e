//! Server-sent events: splits a byte stream into events without waiting for more than one.

use bytes::{Buf, Bytes, BytesMut};

/// The longest event that is accepted from a target.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// An event's data, or the end marker of OpenAI-style streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SseEvent {
    Data(Bytes),
    Done,
}

/// The target sent something that is not an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the target's event stream is malformed")]
pub(crate) struct SseError;

/// Collects bytes and gives the complete events in them.
#[derive(Debug, Default)]
pub(crate) struct SseDecoder {
    buffer: BytesMut,
}

impl SseDecoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event; `None` when more bytes are needed.
    pub(crate) fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        loop {
            let Some((length, separator)) = find_end(&self.buffer) else {
                let fits = self.buffer.len() <= EVENT_LIMIT_BYTES;
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

/// The length of the first event and of the separator behind it.
fn find_end(buffer: &[u8]) -> Option<(usize, usize)> {
    let newline = buffer.windows(2).position(|pair| pair == b"\n\n");
    let carriage = buffer.windows(4).position(|quad| quad == b"\r\n\r\n");
    match (newline, carriage) {
        (Some(newline), Some(carriage)) if carriage < newline => Some((carriage, 4)),
        (Some(newline), _) => Some((newline, 2)),
        (None, Some(carriage)) => Some((carriage, 4)),
        (None, None) => None,
    }
}

/// The event in a block of lines; `None` for a comment.
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
