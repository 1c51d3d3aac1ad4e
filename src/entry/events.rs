//! Events of streams that another target can continue.

use bytes::{Bytes, BytesMut};

/// Lets whole events through and remembers the last one's id. What a broken target left of an
/// event is dropped, since the next target sends that event whole.
#[derive(Debug, Default)]
pub(crate) struct EventTracker {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventTracker {
    /// Takes in data and returns the events that are whole.
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

    /// What follows the last whole event.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let end = |mark: &[u8]| {
        bytes
            .windows(mark.len())
            .rposition(|part| part == mark)
            .map(|at| at + mark.len())
    };
    end(b"\n\n").max(end(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
