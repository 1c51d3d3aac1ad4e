//! Relays a target's event stream to the caller.

use bytes::Bytes;
use futures_util::stream::{self, BoxStream};
use futures_util::{Stream, StreamExt};
use poem::Response;

use super::abortable_body::{ResponseWatch, abortable_body};
use super::error::{CallerError, RunState};
use super::running_call::{RunningCall, key_unconfirmed, target_failed};
use super::sse::{SseDecoder, SseEvent};
use crate::ids::RequestId;
use crate::pool::ReleaseOutcome;

/// The response header with the version of the adapter.
pub(crate) const VERSION_HEADER: &str = "x-adapter-version";

/// An event stream from a target to the caller.
pub(crate) struct StreamRelay {
    pub(crate) running: RunningCall,
    bytes: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    decoder: SseDecoder,
    watch: Option<ResponseWatch>,
}

impl StreamRelay {
    pub(crate) fn new(running: RunningCall, reply: reqwest::Response) -> Self {
        let identity = Some(running.call.identity.clone());
        let watch = ResponseWatch::new(&running.node, identity, &running.scope);
        Self {
            running,
            bytes: reply.bytes_stream().boxed(),
            decoder: SseDecoder::default(),
            watch: Some(watch),
        }
    }

    /// Waits for the first event for the caller. Until that event is sent, the request can be
    /// retried.
    pub(crate) async fn first_event(&mut self) -> Result<SseEvent, CallerError> {
        let Some(mut watch) = self.watch.take() else {
            return self.read_event().await;
        };
        let event = tokio::select! {
            error = watch.abort_reason() => Err(error),
            event = self.read_event() => event,
        };
        self.watch = Some(watch);
        event
    }

    /// Starts the response with its first event. The deadline or a revoked key aborts the stream
    /// even if the caller has stopped reading.
    pub(crate) fn into_response(mut self, first: SseEvent) -> Response {
        let version = self.running.call.adapter.version.to_string();
        let id = self.running.call.id.clone();
        let watch = self.watch.take();
        let aborted = async move {
            match watch {
                Some(mut watch) => Ok(error_event(&id, &watch.abort_reason().await)),
                None => std::future::pending().await,
            }
        };
        let connection = self.running.scope.connection.clone();
        Response::builder()
            .content_type("text/event-stream")
            .header("cache-control", "no-cache")
            .header(VERSION_HEADER, version)
            .body(abortable_body(self.into_events(first), aborted, connection))
    }

    /// The events in the wire format, for the caller.
    fn into_events(self, first: SseEvent) -> impl Stream<Item = std::io::Result<Bytes>> + Send {
        stream::unfold(Some((self, Some(first))), |state| async move {
            let (mut relay, first) = state?;
            let event = match first {
                Some(event) => Ok(event),
                None => relay.read_event().await,
            };
            match event {
                Ok(SseEvent::Data(data)) => Some((Ok(data_event(&data)), Some((relay, None)))),
                Ok(SseEvent::Done) => {
                    relay.running.record_completion();
                    // Releasing the pin and settling the charge wake other threads, which would
                    // delay the end marker.
                    tokio::spawn(async move { drop(relay) });
                    Some((Ok(data_event(b"[DONE]")), None))
                }
                Err(error) => Some((Ok(error_event(&relay.running.call.id, &error)), None)),
            }
        })
    }

    async fn read_event(&mut self) -> Result<SseEvent, CallerError> {
        loop {
            // After a suspension of the process, buffered events may remain. They must not be
            // forwarded, since the key may have been revoked in the meantime.
            if !self.running.key_is_confirmed_for_stream() {
                return Err(key_unconfirmed().with_run_state(RunState::Yes));
            }
            let event = self.decoder.next_event();
            match event.map_err(|error| target_failed(error.to_string(), RunState::Yes))? {
                Some(SseEvent::Done) => return Ok(SseEvent::Done),
                Some(SseEvent::Data(data)) => {
                    if let Some(data) = self.running.process_part(&data)? {
                        return Ok(SseEvent::Data(data));
                    }
                    continue;
                }
                None => {}
            }
            match self.bytes.next().await {
                Some(Ok(bytes)) => self.decoder.push(&bytes),
                Some(Err(_)) => return Err(self.fail_stream("the target's answer broke off")),
                None => {
                    // A crashed target can look like this too, if its server closes streams
                    // cleanly.
                    return Err(self.fail_stream("the target's answer ended early"));
                }
            }
        }
    }

    /// Starts a background check for a crash of the target and returns the error for the caller.
    fn fail_stream(&mut self, message: &str) -> CallerError {
        self.running.pin.outcome = ReleaseOutcome::BrokeOff;
        tokio::spawn(self.running.strike_if_crashed());
        target_failed(message, RunState::Yes)
    }
}

/// The event that ends an incomplete stream.
fn error_event(id: &RequestId, error: &CallerError) -> Bytes {
    tracing::warn!("gateway: stream of request {id} aborted: {error}");
    data_event(error.to_json(id).as_bytes())
}

fn data_event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}
