//! Relays a target's streamed answer to the caller.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use futures_util::stream::{self, BoxStream};
use futures_util::{Stream, StreamExt};
use poem::{Body, Response};
use tokio::sync::{mpsc, watch};

use super::error::{CallerError, RunState};
use super::running::{RunningCall, key_revoked, key_unconfirmed, target_failed};
use super::sse::{SseDecoder, SseEvent};
use crate::ids::LogOffset;
use crate::node::Node;
use crate::pool::ReleaseOutcome;

/// The header that tells the version that answers.
pub(crate) const VERSION_HEADER: &str = "x-adapter-version";
/// The events that wait for a caller who reads slowly; more stay at the target.
const WAITING_EVENTS: usize = 16;

/// A streamed answer on its way.
pub(crate) struct AnswerRelay {
    pub(crate) running: RunningCall,
    bytes: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    decoder: SseDecoder,
    applied: watch::Receiver<LogOffset>,
}

/// The relayed stream can't go on: its caller left, or its last event is set.
struct RelayStopped;

/// The event after the last delivered one, which the reader gets however slowly it reads.
type LastEvent = Arc<OnceLock<Bytes>>;

impl AnswerRelay {
    pub(crate) fn new(running: RunningCall, reply: reqwest::Response) -> Self {
        let applied = running.node.context.config.subscribe();
        Self {
            running,
            bytes: reply.bytes_stream().boxed(),
            decoder: SseDecoder::default(),
            applied,
        }
    }

    /// Starts the answer with its first event. The target is read by a task of its own, so that
    /// the deadline and a revoked key also end the stream of a caller who stopped reading.
    pub(crate) fn into_response(self, first: SseEvent) -> Response {
        let version = self.running.call.adapter.version.to_string();
        let (sender, receiver) = mpsc::channel(WAITING_EVENTS);
        let last = LastEvent::default();
        tokio::spawn(self.pump(first, sender, Arc::clone(&last)));
        Response::builder()
            .content_type("text/event-stream")
            .header("cache-control", "no-cache")
            .header(VERSION_HEADER, version)
            .body(Body::from_bytes_stream(caller_events(receiver, last)))
    }

    async fn pump(mut self, first: SseEvent, sender: mpsc::Sender<Bytes>, last: LastEvent) {
        let mut event = first;
        loop {
            let bytes = match &event {
                SseEvent::Data(data) => framed(data),
                SseEvent::Done => {
                    self.running.complete();
                    let _ = last.set(framed(b"[DONE]"));
                    return;
                }
            };
            if self.deliver(bytes, &sender, &last).await.is_err() {
                return;
            }
            let read = tokio::select! {
                read = self.read_event() => read,
                () = sender.closed() => return,
            };
            event = match read {
                Ok(event) => event,
                Err(error) => {
                    self.end_early(&error, &last);
                    return;
                }
            };
        }
    }

    fn end_early(&self, error: &CallerError, last: &LastEvent) {
        let id = &self.running.call.id;
        tracing::warn!("gateway: stream of request {id} ended early: {error}");
        let _ = last.set(framed(error.to_json(id).as_bytes()));
    }

    /// Hands an event to the caller, who may read slowly.
    async fn deliver(
        &mut self,
        event: Bytes,
        sender: &mpsc::Sender<Bytes>,
        last: &LastEvent,
    ) -> Result<(), RelayStopped> {
        loop {
            let deadline = tokio::time::sleep_until(self.running.scope.deadline);
            tokio::select! {
                biased;
                () = deadline => {
                    self.end_early(&self.running.scope.deadline_passed(), last);
                    return Err(RelayStopped);
                }
                () = stale(&self.running.node) => {
                    self.end_early(&key_unconfirmed().with_run(RunState::Yes), last);
                    return Err(RelayStopped);
                }
                changed = self.applied.changed() => {
                    if changed.is_err() || !self.running.key_is_valid() {
                        self.end_early(&key_revoked().with_run(RunState::Yes), last);
                        return Err(RelayStopped);
                    }
                }
                permit = sender.reserve() => {
                    permit.map_err(|_| RelayStopped)?.send(event);
                    return Ok(());
                }
            }
        }
    }

    /// The next event for the caller.
    pub(crate) async fn read_event(&mut self) -> Result<SseEvent, CallerError> {
        loop {
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
            let deadline = tokio::time::sleep_until(self.running.scope.deadline);
            // After a pause of the process, bytes may wait that must not be passed on any more.
            tokio::select! {
                biased;
                () = deadline => return Err(self.running.scope.deadline_passed()),
                () = stale(&self.running.node) => {
                    return Err(key_unconfirmed().with_run(RunState::Yes));
                }
                changed = self.applied.changed() => {
                    if changed.is_err() || !self.running.key_is_valid() {
                        return Err(key_revoked().with_run(RunState::Yes));
                    }
                }
                bytes = self.bytes.next() => match bytes {
                    Some(Ok(bytes)) => self.decoder.push(&bytes),
                    Some(Err(_)) => return Err(self.note_break()),
                    None => {
                        self.running.pin.outcome = ReleaseOutcome::BrokeOff;
                        let message = "the target's answer ended early";
                        return Err(target_failed(message, RunState::Yes));
                    }
                },
            }
        }
    }

    /// Finds out in the background whether the target crashed under the request.
    fn note_break(&mut self) -> CallerError {
        self.running.pin.outcome = ReleaseOutcome::BrokeOff;
        self.running.report_break_later();
        target_failed("the target's answer broke off", RunState::Yes)
    }
}

/// The events as the caller reads them: those in the channel, then the last one.
fn caller_events(
    receiver: mpsc::Receiver<Bytes>,
    last: LastEvent,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
    stream::unfold(Some((receiver, last)), |state| async move {
        let (mut receiver, last) = state?;
        match receiver.recv().await {
            Some(event) => Some((Ok(event), Some((receiver, last)))),
            None => last.get().cloned().map(|event| (Ok(event), None)),
        }
    })
}

/// Returns when no stream may go on.
async fn stale(node: &Node) {
    let context = &node.context;
    context.membership.wait_until_stale(&context.config).await;
}

fn framed(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}
