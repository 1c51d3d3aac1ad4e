//! Relays a target's streamed answer to the caller.

use bytes::Bytes;
use futures_util::stream::{self, BoxStream};
use futures_util::{Stream, StreamExt};
use poem::Response;

use super::error::{CallerError, RunState};
use super::running::{RunningCall, key_unconfirmed, target_failed};
use super::sse::{SseDecoder, SseEvent};
use super::watched::{AnswerWatch, watched_body};
use crate::ids::RequestId;
use crate::pool::ReleaseOutcome;

/// The header that tells the version that answers.
pub(crate) const VERSION_HEADER: &str = "x-adapter-version";

/// A streamed answer on its way.
pub(crate) struct AnswerRelay {
    pub(crate) running: RunningCall,
    bytes: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    decoder: SseDecoder,
    watch: Option<AnswerWatch>,
}

impl AnswerRelay {
    pub(crate) fn new(running: RunningCall, reply: reqwest::Response) -> Self {
        let identity = Some(running.call.identity.clone());
        let watch = AnswerWatch::new(&running.node, identity, &running.scope);
        Self {
            running,
            bytes: reply.bytes_stream().boxed(),
            decoder: SseDecoder::default(),
            watch: Some(watch),
        }
    }

    /// The first event for the caller. Until then the request may be retried.
    pub(crate) async fn first_event(&mut self) -> Result<SseEvent, CallerError> {
        let Some(mut watch) = self.watch.take() else {
            return self.read_event().await;
        };
        let event = tokio::select! {
            error = watch.ended() => Err(error),
            event = self.read_event() => event,
        };
        self.watch = Some(watch);
        event
    }

    /// Starts the answer with its first event. The deadline and a revoked key also end the stream
    /// of a caller who stopped reading.
    pub(crate) fn into_response(mut self, first: SseEvent) -> Response {
        let version = self.running.call.adapter.version.to_string();
        let id = self.running.call.id.clone();
        let watch = self.watch.take();
        let ended = async move {
            match watch {
                Some(mut watch) => Ok(last_event(&id, &watch.ended().await)),
                None => std::future::pending().await,
            }
        };
        Response::builder()
            .content_type("text/event-stream")
            .header("cache-control", "no-cache")
            .header(VERSION_HEADER, version)
            .body(watched_body(self.into_events(first), ended))
    }

    /// The events as the caller reads them.
    fn into_events(self, first: SseEvent) -> impl Stream<Item = std::io::Result<Bytes>> + Send {
        stream::unfold(Some((self, Some(first))), |state| async move {
            let (mut relay, first) = state?;
            let event = match first {
                Some(event) => Ok(event),
                None => relay.read_event().await,
            };
            match event {
                Ok(SseEvent::Data(data)) => Some((Ok(framed(&data)), Some((relay, None)))),
                Ok(SseEvent::Done) => {
                    relay.running.complete();
                    // The release and the settlement wake other threads, which would hold up the
                    // end marker.
                    tokio::spawn(async move { drop(relay) });
                    Some((Ok(framed(b"[DONE]")), None))
                }
                Err(error) => Some((Ok(last_event(&relay.running.call.id, &error)), None)),
            }
        })
    }

    /// The next event from the target.
    async fn read_event(&mut self) -> Result<SseEvent, CallerError> {
        loop {
            // After a pause of the process, events may wait here that must not be passed on.
            if !self.running.stream_is_confirmed() {
                return Err(key_unconfirmed().with_run(RunState::Yes));
            }
            let event = self.decoder.next_event();
            match event.map_err(|error| target_failed(error.to_string(), RunState::Yes))? {
                Some(SseEvent::Done) => return Ok(SseEvent::Done),
                Some(SseEvent::Data(data)) => {
                    if let Some(data) = self.running.accept(&data)? {
                        return Ok(SseEvent::Data(data));
                    }
                    continue;
                }
                None => {}
            }
            match self.bytes.next().await {
                Some(Ok(bytes)) => self.decoder.push(&bytes),
                Some(Err(_)) => return Err(self.note_break("the target's answer broke off")),
                None => {
                    // A target whose server closes its streams in order may still have crashed.
                    return Err(self.note_break("the target's answer ended early"));
                }
            }
        }
    }

    /// Finds out in the background whether the target crashed under the request.
    fn note_break(&mut self, message: &str) -> CallerError {
        self.running.pin.outcome = ReleaseOutcome::BrokeOff;
        tokio::spawn(self.running.break_report());
        target_failed(message, RunState::Yes)
    }
}

/// The error event of a stream that can't be finished.
fn last_event(id: &RequestId, error: &CallerError) -> Bytes {
    tracing::warn!("gateway: stream of request {id} ended early: {error}");
    framed(error.to_json(id).as_bytes())
}

fn framed(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}
