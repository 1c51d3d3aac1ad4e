//! Server-sent events of streams that another target can resume.

use bytes::{Bytes, BytesMut};

use super::http::HttpError;

/// The longest event. A target that sends more without an end is in trouble, and its bytes would
/// fill the VM's memory.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Forwards only complete events and keeps the id of the last one. The incomplete event of a failed
/// target is discarded, since the next target sends that event from its start.
#[derive(Debug, Default)]
pub(crate) struct EventTracker {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventTracker {
    /// Appends received data and returns all events that are now complete. Fails if an event is too
    /// long.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<Bytes, HttpError> {
        // The end of an event may have arrived in part with the previous data.
        let searched = self.partial.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(HttpError::TooLarge);
            }
            return Ok(Bytes::new());
        };
        let end = searched + end;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    pub(crate) fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The length of two line breaks.
pub(crate) const MAX_TERMINATOR_BYTES: usize = 4;

/// Whether the bytes contain the end of an event.
pub(crate) fn contains_event_end(bytes: &[u8]) -> bool {
    last_event_end(bytes).is_some()
}

/// Whether an event ends with the last of these bytes.
pub(crate) fn ends_with_event(bytes: &[u8]) -> bool {
    last_event_end(bytes) == Some(bytes.len())
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let end = |terminator: &[u8]| {
        bytes
            .windows(terminator.len())
            .rposition(|part| part == terminator)
            .map(|at| at + terminator.len())
    };
    end(b"\n\n").max(end(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
