//! Passing a target's answer on to the caller as it arrives.

use std::io::Write;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::channels::TargetChannel;
use super::events::EventTracker;
use super::http::{AnswerHead, BodyDecoder, BodyFraming, HttpError};
use crate::platform::headers::encode_answer;

/// Answers of plain services up to this size are passed on whole, so that a broken one can still
/// be fetched from another target.
const WHOLE_LIMIT: usize = 256 * 1024;

/// How relaying ended.
#[derive(Debug)]
pub(crate) enum RelayEnd {
    Complete,
    CallerGone,
    /// The target broke off or sent what can't be read.
    Broken(HttpError),
}

/// What the caller has got of an answer, over all targets that worked on it.
#[derive(Debug)]
pub(crate) struct RelayProgress {
    is_http11: bool,
    close: bool,
    begun: bool,
    /// The caller's framing once the answer has begun.
    chunked: bool,
    /// Set for streams that may be resumed.
    events: Option<EventTracker>,
    /// Whether the answer goes out only when it is whole.
    whole: bool,
}

impl RelayProgress {
    pub(crate) fn new(is_http11: bool, close: bool) -> Self {
        Self {
            is_http11,
            close,
            begun: false,
            chunked: false,
            events: None,
            whole: false,
        }
    }

    /// For an answer that is kept aside while another target tries.
    pub(crate) fn aside(&self) -> Self {
        Self {
            whole: true,
            ..Self::new(self.is_http11, self.close)
        }
    }

    /// Whether bytes of an answer were passed on.
    pub(crate) fn is_begun(&self) -> bool {
        self.begun
    }

    /// Whether another target may go on with the answer.
    pub(crate) fn can_resume(&self) -> bool {
        let resumable = self
            .events
            .as_ref()
            .is_some_and(|events| events.last_id().is_some());
        !self.begun || (resumable && self.chunked)
    }

    pub(crate) fn last_event(&self) -> Option<&str> {
        self.events
            .as_ref()
            .and_then(EventTracker::last_id)
            .filter(|_| self.begun)
    }

    pub(crate) fn begin_answer(&mut self, resumable: bool, whole: bool) {
        self.whole = whole;
        match &mut self.events {
            Some(events) => {
                events.take_partial();
            }
            None => self.events = resumable.then(EventTracker::default),
        }
    }

    /// Puts data in the caller's framing.
    fn put(&self, data: &[u8], out: &mut Vec<u8>) {
        if data.is_empty() {
            return;
        }
        if self.chunked {
            // Writing to memory cannot fail.
            let _ = write!(out, "{:x}\r\n", data.len());
            out.extend_from_slice(data);
            out.extend_from_slice(b"\r\n");
        } else {
            out.extend_from_slice(data);
        }
    }

    fn put_head(&mut self, answer: &AnswerHead, framing: BodyFraming, out: &mut Vec<u8>) {
        if self.begun {
            return;
        }
        self.begun = true;
        let framing = match framing {
            BodyFraming::Length(length) if self.events.is_none() => BodyFraming::Length(length),
            _ if self.is_http11 => BodyFraming::Chunked,
            _ => BodyFraming::UntilClose,
        };
        self.chunked = framing == BodyFraming::Chunked;
        let close = self.close || framing == BodyFraming::UntilClose;
        out.extend_from_slice(&encode_answer(answer, framing, close));
    }

    /// The part of `data` that may go out now.
    fn admit(&mut self, data: BytesMut, done: bool) -> Bytes {
        let Some(events) = &mut self.events else {
            return data.freeze();
        };
        let whole = events.push(&data);
        if !done {
            return whole;
        }
        let mut last = BytesMut::from(whole);
        last.extend_from_slice(&events.take_partial());
        last.freeze()
    }
}

/// Relays the answer whose head was read from `channel`.
pub(crate) async fn relay_answer(
    answer: &AnswerHead,
    framing: BodyFraming,
    channel: &mut TargetChannel,
    progress: &mut RelayProgress,
    writer: &mut (impl AsyncWrite + Unpin),
) -> RelayEnd {
    let mut decoder = BodyDecoder::new(framing);
    let mut held = BytesMut::new();
    let mut out = Vec::new();
    loop {
        let mut data = BytesMut::new();
        if let Err(error) = decoder.decode(&mut channel.buffer, &mut data) {
            return RelayEnd::Broken(error);
        }
        let done = decoder.is_done();
        held.unsplit(data);
        let wait = progress.whole && !done && held.len() < WHOLE_LIMIT;
        if !wait && (done || !held.is_empty()) {
            let data = progress.admit(held.split(), done);
            if done || !data.is_empty() {
                // A body that was read whole has a length, however the target framed it.
                let framing = match framing {
                    BodyFraming::UntilClose if done => BodyFraming::Length(data.len() as u64),
                    framing => framing,
                };
                progress.put_head(answer, framing, &mut out);
            }
            progress.put(&data, &mut out);
            if done && progress.chunked {
                out.extend_from_slice(b"0\r\n\r\n");
            }
            if writer.write_all(&out).await.is_err() {
                return RelayEnd::CallerGone;
            }
            out.clear();
        }
        if done {
            return RelayEnd::Complete;
        }
        match channel.buffer.fill(&mut channel.stream).await {
            Ok(0) => {
                if let Err(error) = decoder.end() {
                    return RelayEnd::Broken(error);
                }
            }
            Ok(_) => {}
            Err(error) => return RelayEnd::Broken(error.into()),
        }
    }
}
