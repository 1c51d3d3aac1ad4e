//! Relays a target's answer to the caller and ends the request's charge and pin with it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, BoxStream};
use futures_util::{Stream, StreamExt};
use poem::{Body, Response};
use serde_json::Value;
use tokio::sync::watch;

use super::completion::CompletionCall;
use super::error::{CallerError, ErrorCode, RunState};
use super::sse::{SseDecoder, SseEvent};
use crate::ids::{LogOffset, TokenCount};
use crate::ledger::ChargeReceipt;
use crate::node::Node;
use crate::pool::{ReleaseOutcome, RequestPin};

/// An admitted request. Its drop releases the pin and settles the charge, however it ends.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) node: Arc<Node>,
    pub(crate) call: CompletionCall,
    pub(crate) pin: RequestPin,
    receipt: Option<ChargeReceipt>,
    used: TokenCount,
    /// What the pool learns about the target when the call ends.
    pub(crate) outcome: ReleaseOutcome,
    started: Instant,
    first_token: Option<Duration>,
}

impl RunningCall {
    pub(crate) fn new(
        node: Arc<Node>,
        call: CompletionCall,
        pin: RequestPin,
        receipt: ChargeReceipt,
    ) -> Self {
        Self {
            node,
            call,
            pin,
            receipt: Some(receipt),
            used: TokenCount::ZERO,
            outcome: ReleaseOutcome::Cancelled,
            started: Instant::now(),
            first_token: None,
        }
    }

    /// Notes that the target sent its whole answer.
    fn complete(&mut self) {
        self.outcome = ReleaseOutcome::Completed {
            tokens: self.used,
            first_token: self.first_token.filter(|_| self.call.streamed),
        };
    }

    /// Counts the whole charge as used, since what the target generated is not known.
    pub(crate) fn assume_all_used(&mut self) {
        self.used = self.call.charge;
    }

    /// Checks that an answer's part is for this request and from the right adapter, notes its
    /// usage and gives it the caller's model name. `None` means the part is not for the caller.
    fn accept(&mut self, data: &[u8]) -> Result<Option<Bytes>, CallerError> {
        let broken = |message: &str| {
            CallerError::not_run(ErrorCode::TargetFailed, message).with_run(RunState::Yes)
        };
        let mut part: Value =
            serde_json::from_slice(data).map_err(|_| broken("the target's answer is not JSON"))?;
        let own_id = part["id"]
            .as_str()
            .is_some_and(|id| id.ends_with(self.call.id.as_str()));
        if !own_id || part["model"].as_str() != Some(self.pin.generation.as_str()) {
            return Err(broken("the target answered for another request or adapter"));
        }
        let elapsed = self.started.elapsed();
        self.first_token.get_or_insert(elapsed);
        let usage = part["usage"]["total_tokens"].as_u64();
        match usage {
            Some(total) => self.used = TokenCount::new(total),
            None => self.used += TokenCount::new(1),
        }
        let usage_only = part["choices"].as_array().is_some_and(Vec::is_empty);
        if self.call.streamed && usage_only && !self.call.wants_usage {
            return Ok(None);
        }
        part["model"] = self.call.public_model.clone().into();
        Ok(Some(Bytes::from(part.to_string())))
    }

    fn key_is_valid(&self) -> bool {
        self.call
            .identity
            .is_valid(&self.node.context.config.current())
    }

    /// Whether the configuration is recent enough to know that the key is valid.
    fn key_is_confirmed(&self) -> bool {
        let context = &self.node.context;
        context.membership.may_stream(&context.config)
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let node = Arc::clone(&self.node);
        let (pin, used, outcome) = (self.pin.clone(), self.used, self.outcome);
        let Some(receipt) = self.receipt.take() else {
            return;
        };
        tokio::spawn(async move {
            node.pool.release(pin, outcome).await;
            node.ledger.settle(receipt, used).await;
        });
    }
}

/// The header that tells the version that answers.
const VERSION_HEADER: &str = "x-adapter-version";

/// Relays a whole answer.
pub(crate) async fn whole_answer(
    mut running: RunningCall,
    reply: reqwest::Response,
) -> Result<Response, CallerError> {
    let body = match reply.bytes().await {
        Ok(body) => body,
        Err(_) => {
            running.assume_all_used();
            running.outcome = ReleaseOutcome::BrokeOff;
            let message = "the target's answer broke off";
            let error = CallerError::not_run(ErrorCode::TargetFailed, message);
            return Err(error.with_run(RunState::Unknown));
        }
    };
    if !running.key_is_valid() {
        return Err(key_revoked());
    }
    if !running.key_is_confirmed() {
        return Err(key_unconfirmed());
    }
    let answer = running.accept(&body)?.unwrap_or_default();
    running.complete();
    Ok(Response::builder()
        .content_type("application/json")
        .header(VERSION_HEADER, running.call.adapter.version.as_str())
        .body(answer))
}

/// The end of an answer whose key may have been revoked without this node's knowledge.
fn key_unconfirmed() -> CallerError {
    let message = "the key can't be checked any more";
    CallerError::not_run(ErrorCode::Unavailable, message).with_run(RunState::Yes)
}

fn key_revoked() -> CallerError {
    CallerError::not_run(ErrorCode::KeyRevoked, "the key was revoked").with_run(RunState::Yes)
}

/// A streamed answer on its way.
pub(crate) struct AnswerRelay {
    running: RunningCall,
    bytes: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    decoder: SseDecoder,
    applied: watch::Receiver<LogOffset>,
    ended: bool,
}

impl AnswerRelay {
    pub(crate) fn new(running: RunningCall, reply: reqwest::Response) -> Self {
        let applied = running.node.context.config.subscribe();
        Self {
            running,
            bytes: reply.bytes_stream().boxed(),
            decoder: SseDecoder::default(),
            applied,
            ended: false,
        }
    }

    pub(crate) fn into_response(self) -> Response {
        let version = self.running.call.adapter.version.to_string();
        Response::builder()
            .content_type("text/event-stream")
            .header("cache-control", "no-cache")
            .header(VERSION_HEADER, version)
            .body(Body::from_bytes_stream(self.into_events()))
    }

    fn into_events(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
        stream::unfold(self, |mut relay| async move {
            let event = relay.next_event().await?;
            Some((Ok(event), relay))
        })
    }

    /// The next event for the caller; `None` after the end.
    async fn next_event(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        match self.read_event().await {
            Ok(SseEvent::Data(data)) => Some(framed(&data)),
            Ok(SseEvent::Done) => {
                self.ended = true;
                Some(framed(b"[DONE]"))
            }
            Err(error) => {
                self.ended = true;
                let id = &self.running.call.id;
                tracing::warn!("gateway: stream of request {id} ended early: {error}");
                Some(framed(error.to_json(id).as_bytes()))
            }
        }
    }

    async fn read_event(&mut self) -> Result<SseEvent, CallerError> {
        let broken = |message: &str| {
            CallerError::not_run(ErrorCode::TargetFailed, message).with_run(RunState::Yes)
        };
        loop {
            let event = self
                .decoder
                .next_event()
                .map_err(|error| broken(&error.to_string()))?;
            match event {
                Some(SseEvent::Done) => {
                    self.running.complete();
                    return Ok(SseEvent::Done);
                }
                Some(SseEvent::Data(data)) => {
                    if let Some(data) = self.running.accept(&data)? {
                        return Ok(SseEvent::Data(data));
                    }
                    continue;
                }
                None => {}
            }
            tokio::select! {
                bytes = self.bytes.next() => match bytes {
                    Some(Ok(bytes)) => self.decoder.push(&bytes),
                    Some(Err(_)) => {
                        self.running.outcome = ReleaseOutcome::BrokeOff;
                        return Err(broken("the target's answer broke off"));
                    }
                    None => {
                        self.running.outcome = ReleaseOutcome::BrokeOff;
                        return Err(broken("the target's answer ended early"));
                    }
                },
                () = stale(&self.running.node) => return Err(key_unconfirmed()),
                changed = self.applied.changed() => {
                    if changed.is_err() || !self.running.key_is_valid() {
                        return Err(key_revoked());
                    }
                }
            }
        }
    }
}

/// Returns when no stream may go on.
async fn stale(node: &Node) {
    let context = &node.context;
    context.membership.wait_until_stale(&context.config).await;
}

fn framed(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}
