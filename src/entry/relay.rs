//! Relays a target's response to the caller as it arrives.

use std::io::Write;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::connections::TargetConnection;
use super::events::{EventTracker, MAX_TERMINATOR_BYTES, contains_event_end, ends_with_event};
use super::http::{BodyDecoder, BodyFraming, HttpError, ResponseHead};
use super::response_memory::ResponseReservation;
use crate::platform::headers::encode_response;

/// Responses that are not streams are buffered up to this size before anything is relayed, so that
/// a truncated one can still be replaced by another target's.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The largest buffer that is kept for the next part of a response.
const MAX_IDLE_BUFFER_BYTES: usize = 32 * 1024;

/// How the relay of a response ended.
#[derive(Debug)]
pub(crate) enum RelayOutcome {
    Complete,
    CallerDisconnected,
    /// The target closed the connection early or sent a malformed response.
    TargetFailed(HttpError),
}

/// What was sent to the caller so far, over all targets that contributed to the response.
#[derive(Debug)]
pub(crate) struct RelayProgress {
    is_http11: bool,
    close: bool,
    started: bool,
    /// Whether the started response is sent to the caller in chunks.
    chunked: bool,
    /// Set for streams that another target can resume.
    events: Option<EventTracker>,
    /// Whether the response is held back until it is complete or reaches [`MAX_BUFFERED_BYTES`].
    buffered: bool,
    /// Whether the response is kept in memory as a whole, which limits its size.
    kept: bool,
    /// Whether the current target has delivered a complete event, or a complete response that is no
    /// stream.
    answer_start: AnswerStart,
}

/// Finds the end of the first event of a stream.
#[derive(Debug, Default)]
struct AnswerStart {
    found: bool,
    /// The bytes before the end of the first event.
    searched: BytesMut,
}

/// Checks that a stream without length or chunks ends at the end of an event, which alone shows that
/// it is complete.
#[derive(Debug)]
struct EventBoundary {
    is_required: bool,
    last_bytes: Vec<u8>,
}

impl EventBoundary {
    fn new(response: &ResponseHead, framing: BodyFraming, progress: &RelayProgress) -> Self {
        Self {
            is_required: framing == BodyFraming::UntilClose
                && !progress.buffered
                && (200..300).contains(&response.status),
            last_bytes: Vec::new(),
        }
    }

    fn push(&mut self, data: &[u8]) {
        if self.is_required {
            let tail = data.len().saturating_sub(MAX_TERMINATOR_BYTES);
            self.last_bytes.extend_from_slice(&data[tail..]);
            let excess = self.last_bytes.len().saturating_sub(MAX_TERMINATOR_BYTES);
            self.last_bytes.drain(..excess);
        }
    }

    fn check_end(&self) -> Result<(), HttpError> {
        if self.is_required && !ends_with_event(&self.last_bytes) {
            return Err(HttpError::UnexpectedEof);
        }
        Ok(())
    }
}

impl AnswerStart {
    /// A first event that is longer counts as delivered.
    const MAX_SEARCHED_BYTES: usize = 64 * 1024;

    /// Searches the next bytes of the response, which may be a stream of events. `done` is set at its
    /// end. Returns whether the target has begun to answer with these bytes.
    fn search(&mut self, data: &[u8], is_stream: bool, done: bool) -> bool {
        if self.found {
            return false;
        }
        if is_stream {
            self.searched.extend_from_slice(data);
        }
        self.found = done
            || contains_event_end(&self.searched)
            || self.searched.len() > Self::MAX_SEARCHED_BYTES;
        if self.found {
            self.searched = BytesMut::new();
        }
        self.found
    }
}

impl RelayProgress {
    pub(crate) fn new(is_http11: bool, close: bool) -> Self {
        Self {
            is_http11,
            close,
            started: false,
            chunked: false,
            events: None,
            buffered: false,
            kept: false,
            answer_start: AnswerStart::default(),
        }
    }

    /// Separate progress for a failure response that is kept while another target is tried.
    pub(crate) fn detached(&self) -> Self {
        Self {
            buffered: true,
            kept: true,
            ..Self::new(self.is_http11, self.close)
        }
    }

    /// Whether the caller has received any part of a response.
    pub(crate) fn has_started(&self) -> bool {
        self.started
    }

    /// Whether another target can still provide the response or the rest of it.
    pub(crate) fn can_resume(&self) -> bool {
        let resumable = self
            .events
            .as_ref()
            .is_some_and(|events| events.last_id().is_some());
        !self.started || (resumable && self.chunked)
    }

    /// The bytes of the event that is not complete yet.
    fn partial_event_bytes(&self) -> usize {
        self.events.as_ref().map_or(0, EventTracker::partial_bytes)
    }

    pub(crate) fn last_event_id(&self) -> Option<&str> {
        self.events
            .as_ref()
            .and_then(EventTracker::last_id)
            .filter(|_| self.started)
    }

    /// Whether the target of the current attempt has begun to answer.
    pub(crate) fn answer_has_begun(&self) -> bool {
        self.answer_start.found
    }

    /// Prepares for the next attempt.
    pub(crate) fn begin_attempt(&mut self) {
        self.answer_start = AnswerStart::default();
    }

    pub(crate) fn begin_response(&mut self, resumable: bool, buffered: bool) {
        self.buffered = buffered;
        match &mut self.events {
            Some(events) => {
                // Discards the previous target's incomplete event, which this response repeats.
                events.take_partial();
            }
            None => self.events = resumable.then(EventTracker::default),
        }
    }

    /// Appends `data` to `out` in the framing that the caller receives. `done` is set at the end.
    fn write_data(&self, data: &[u8], done: bool, out: &mut Vec<u8>) {
        if !self.chunked {
            out.extend_from_slice(data);
            return;
        }
        if !data.is_empty() {
            // Writing to memory cannot fail.
            let _ = write!(out, "{:x}\r\n", data.len());
            out.extend_from_slice(data);
            out.extend_from_slice(b"\r\n");
        }
        if done {
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }

    fn write_head(&mut self, response: &ResponseHead, framing: BodyFraming, out: &mut Vec<u8>) {
        if self.started {
            return;
        }
        self.started = true;
        let framing = match framing {
            BodyFraming::Length(length) if self.events.is_none() => BodyFraming::Length(length),
            _ if self.is_http11 => BodyFraming::Chunked,
            _ => BodyFraming::UntilClose,
        };
        self.chunked = framing == BodyFraming::Chunked;
        let close = self.close || framing == BodyFraming::UntilClose;
        out.extend_from_slice(&encode_response(response, framing, close));
    }

    /// Returns the data that may be sent now: for resumable streams only complete events, and the
    /// remainder at the end of the body.
    fn take_sendable(&mut self, data: BytesMut, done: bool) -> Result<Bytes, HttpError> {
        let Some(events) = &mut self.events else {
            return Ok(data.freeze());
        };
        let complete = events.push(&data)?;
        if !done {
            return Ok(complete);
        }
        let mut last = BytesMut::from(complete);
        last.extend_from_slice(&events.take_partial());
        Ok(last.freeze())
    }
}

/// Relays the response whose head was read from `connection`. Calls `on_answer` once the target has
/// begun to answer. What is held of the response is reserved in `reservation`.
pub(crate) async fn relay_response(
    response: &ResponseHead,
    framing: BodyFraming,
    connection: &mut TargetConnection,
    progress: &mut RelayProgress,
    writer: &mut (impl AsyncWrite + Unpin),
    reservation: &mut ResponseReservation,
    on_answer: impl Fn(),
) -> RelayOutcome {
    let mut decoder = BodyDecoder::new(framing);
    let mut boundary = EventBoundary::new(response, framing, progress);
    let mut pending = BytesMut::new();
    let mut out = Vec::new();
    loop {
        let mut data = BytesMut::new();
        if let Err(error) = decoder.decode(&mut connection.buffer, &mut data) {
            return RelayOutcome::TargetFailed(error);
        }
        let done = decoder.is_done();
        boundary.push(&data);
        if progress
            .answer_start
            .search(&data, !progress.buffered, done)
        {
            on_answer();
        }
        pending.unsplit(data);
        let has_memory = reservation.resize(pending.len() + progress.partial_event_bytes());
        // Without memory, a response that is held back only for a retry is passed on.
        let is_held_back = progress.buffered && !progress.started;
        let wait = is_held_back && !done && has_memory && pending.len() < MAX_BUFFERED_BYTES;
        if !has_memory && (progress.kept || progress.events.is_some()) {
            return RelayOutcome::TargetFailed(HttpError::NoMemory);
        }
        if progress.kept && pending.len() >= MAX_BUFFERED_BYTES {
            return RelayOutcome::TargetFailed(HttpError::TooLarge);
        }
        if !wait && (done || !pending.is_empty()) {
            let data = match progress.take_sendable(std::mem::take(&mut pending), done) {
                Ok(data) => data,
                Err(error) => return RelayOutcome::TargetFailed(error),
            };
            if done || !data.is_empty() {
                // The length of a completely buffered body is known even if the target's framing
                // lacks it.
                let framing = match framing {
                    BodyFraming::UntilClose if done => BodyFraming::Length(data.len() as u64),
                    framing => framing,
                };
                progress.write_head(response, framing, &mut out);
            }
            progress.write_data(&data, done, &mut out);
            // The copy may take as much memory again while the caller doesn't read.
            drop(data);
            if writer.write_all(&out).await.is_err() {
                return RelayOutcome::CallerDisconnected;
            }
            if out.capacity() > MAX_IDLE_BUFFER_BYTES {
                out = Vec::new();
            }
            out.clear();
        }
        if done {
            return RelayOutcome::Complete;
        }
        if let Err(error) = read_more(connection, &mut decoder, &boundary).await {
            return RelayOutcome::TargetFailed(error);
        }
    }
}

/// Reads once. At the end of the connection, checks that the body may end here.
async fn read_more(
    connection: &mut TargetConnection,
    decoder: &mut BodyDecoder,
    boundary: &EventBoundary,
) -> Result<(), HttpError> {
    if connection.buffer.fill(&mut connection.stream).await? > 0 {
        return Ok(());
    }
    boundary.check_end()?;
    decoder.finish()
}
