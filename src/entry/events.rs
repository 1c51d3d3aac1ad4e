//! Server-sent events of streams that another target can resume.

use bytes::{Bytes, BytesMut};

/// Forwards only complete events and keeps the id of the last one. The incomplete event of a failed
/// target is discarded, since the next target sends that event from its start.
#[derive(Debug, Default)]
pub(crate) struct EventTracker {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventTracker {
    /// Appends received data and returns all events that are now complete.
    pub(crate) fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
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
