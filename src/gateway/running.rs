//! An admitted request: its pin and its charge end with it, however it ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::Value;

use super::completion::CompletionCall;
use super::error::{CallerError, ErrorCode, RunState};
use super::scope::{RequestScope, ScopeClosed};
use crate::ids::TokenCount;
use crate::ledger::ChargeReceipt;
use crate::node::Node;
use crate::pool::{ReleaseOutcome, RequestPin};

/// A place on a target; its drop gives the place back.
#[derive(Debug)]
pub(crate) struct PinGuard {
    node: Arc<Node>,
    pub(crate) pin: RequestPin,
    /// What the pool learns about the target at the end.
    pub(crate) outcome: ReleaseOutcome,
}

impl PinGuard {
    pub(crate) fn new(node: Arc<Node>, pin: RequestPin) -> Self {
        let outcome = ReleaseOutcome::Cancelled;
        Self { node, pin, outcome }
    }
}

impl Drop for PinGuard {
    fn drop(&mut self) {
        self.node.pool.release(&self.pin, self.outcome);
    }
}

/// A request's charge; its drop settles it with the tokens that were used.
#[derive(Debug)]
pub(crate) struct ChargeGuard {
    node: Arc<Node>,
    receipt: Option<ChargeReceipt>,
    pub(crate) used: TokenCount,
}

impl ChargeGuard {
    pub(crate) fn new(node: Arc<Node>, receipt: ChargeReceipt) -> Self {
        let receipt = Some(receipt);
        let used = TokenCount::ZERO;
        Self {
            node,
            receipt,
            used,
        }
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if let Some(receipt) = self.receipt.take() {
            // Not in a task: at a planned stop the last settlements are sent when no request is left.
            self.node.ledger.settle(&receipt, self.used);
        }
    }
}

/// A request with a place on a target.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) node: Arc<Node>,
    pub(crate) call: Arc<CompletionCall>,
    pub(crate) scope: RequestScope,
    /// Dropped before the pin: a planned stop reports the last settlements once all places are
    /// given back.
    pub(crate) charge: ChargeGuard,
    pub(crate) pin: PinGuard,
    pub(crate) started: Instant,
    pub(crate) first_token: Option<Duration>,
    /// The target's boot id before the send.
    pub(crate) boot: Option<u64>,
}

pub(crate) fn target_failed(message: impl Into<String>, run: RunState) -> CallerError {
    let retry_after = Duration::from_secs(1);
    let error = CallerError::not_run(ErrorCode::TargetFailed, message);
    error.with_retry_after(retry_after).with_run(run)
}

pub(crate) fn key_revoked() -> CallerError {
    CallerError::not_run(ErrorCode::KeyRevoked, "the key was revoked")
}

/// The end of an answer whose key may have been revoked without this node's knowledge.
pub(crate) fn key_unconfirmed() -> CallerError {
    CallerError::not_run(ErrorCode::Unavailable, "the key can't be checked any more")
}

impl RunningCall {
    /// Notes that the target sent its whole answer.
    pub(crate) fn complete(&mut self) {
        self.pin.outcome = ReleaseOutcome::Completed {
            tokens: self.charge.used,
            first_token: self.first_token.filter(|_| self.call.streamed),
        };
        self.node.quarantine.clear(&self.call.fingerprint);
    }

    /// Counts what a caller owes who leaves from here on: the target generates a whole answer
    /// unseen, while the parts of a streamed one are counted as they come.
    pub(crate) fn note_send(&mut self) -> Result<(), ScopeClosed> {
        self.scope.begin_send()?;
        self.charge.used = match self.call.streamed {
            true => self.call.prompt_estimate,
            false => self.call.charge,
        };
        Ok(())
    }

    /// Notes how the send ended, as far as it is known when no answer came.
    pub(crate) fn note_failed_send(&mut self, run: RunState) {
        (self.charge.used, self.pin.outcome) = match run {
            RunState::No => (TokenCount::ZERO, ReleaseOutcome::ConnectFailed),
            RunState::Unknown | RunState::Yes => (self.call.charge, ReleaseOutcome::BrokeOff),
        };
        self.scope.end_send(run);
    }

    /// Notes that the target answered that it does not have the generation: an engine looks up
    /// the model before it runs anything.
    pub(crate) fn note_not_loaded(&mut self) {
        self.charge.used = TokenCount::ZERO;
        self.pin.outcome = ReleaseOutcome::NotLoaded;
        self.scope.end_send(RunState::No);
    }

    pub(crate) fn key_is_valid(&self) -> bool {
        let config = self.node.context.config.current();
        self.call.identity.is_valid(&config)
    }

    fn count_first_token(&self, elapsed: Duration) {
        let context = &self.node.context;
        let config = context.config.current();
        if config.zones.iter().any(|(_, zone)| !zone.in_service) {
            let first_token = &context.metrics.zone_change_first_token;
            first_token.observe(elapsed.as_secs_f64());
        }
    }

    /// Whether the configuration is recent enough to know that the key is valid.
    pub(crate) fn key_is_confirmed(&self) -> bool {
        let context = &self.node.context;
        context.membership.may_stream(&context.config)
    }

    /// The same, cheap enough for each token of a stream.
    pub(crate) fn stream_is_confirmed(&self) -> bool {
        let context = &self.node.context;
        context.membership.may_go_on(&context.config)
    }

    /// Checks that an answer's part is for this request and from the right adapter, notes its
    /// usage and gives it the caller's model name. `None` means the part is not for the caller.
    pub(crate) fn accept(&mut self, data: &[u8]) -> Result<Option<Bytes>, CallerError> {
        let broken = |message: &str| target_failed(message, RunState::Yes);
        let mut part: Value =
            serde_json::from_slice(data).map_err(|_| broken("the target's answer is not JSON"))?;
        let own_id = part["id"]
            .as_str()
            .is_some_and(|id| id.ends_with(self.call.id.as_str()));
        if !own_id || part["model"].as_str() != Some(self.pin.pin.generation.as_str()) {
            return Err(broken("the target answered for another request or adapter"));
        }
        if self.first_token.is_none() {
            let elapsed = self.started.elapsed();
            self.first_token = Some(elapsed);
            self.count_first_token(elapsed);
            self.node.pool.note_first_token(&self.pin.pin);
        }
        let usage = part["usage"]["total_tokens"].as_u64();
        match usage {
            Some(total) => self.charge.used = TokenCount::new(total),
            None => self.charge.used += TokenCount::new(1),
        }
        let usage_only = part["choices"].as_array().is_some_and(Vec::is_empty);
        if self.call.streamed && usage_only && !self.call.wants_usage {
            return Ok(None);
        }
        part["model"] = self.call.public_model.clone().into();
        Ok(Some(Bytes::from(part.to_string())))
    }
}
