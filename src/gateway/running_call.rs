//! A request that runs on a target. Its pin and its charge are released when it is dropped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::Value;

use super::completion::CompletionCall;
use super::error::{CallerError, ErrorCode, RunState};
use super::scope::{IdHistory, RequestScope, ScopeClosed};
use crate::ids::TokenCount;
use crate::ledger::ChargeReceipt;
use crate::node::Node;
use crate::pool::{ReleaseOutcome, RequestPin};

/// A slot on a target, which is released on drop.
#[derive(Debug)]
pub(crate) struct PinGuard {
    node: Arc<Node>,
    pub(crate) pin: RequestPin,
    /// What is reported to the pool on release.
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

/// A request's charge, which is settled on drop with the tokens that were used.
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
            // Not in a spawned task: a shutdown sends the last settlements once no request is open,
            // and would miss a later one.
            self.node.ledger.settle(&receipt, self.used);
        }
    }
}

/// A request that holds a slot on a target.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) node: Arc<Node>,
    pub(crate) call: Arc<CompletionCall>,
    pub(crate) scope: RequestScope,
    /// Dropped before the pin, since a shutdown sends the last settlements once all pins are
    /// released.
    pub(crate) charge: ChargeGuard,
    pub(crate) pin: PinGuard,
    pub(crate) started: Instant,
    pub(crate) first_token: Option<Duration>,
    /// The target's boot id before the request was sent.
    pub(crate) boot: Option<u64>,
}

pub(crate) fn target_failed(message: impl Into<String>, run_state: RunState) -> CallerError {
    let retry_after = Duration::from_secs(1);
    let error = CallerError::not_run(ErrorCode::TargetFailed, message);
    error
        .with_retry_after(retry_after)
        .with_run_state(run_state)
}

pub(crate) fn key_revoked() -> CallerError {
    CallerError::not_run(ErrorCode::KeyRevoked, "the key was revoked")
}

/// The error for a response whose key may have been revoked without this node knowing.
pub(crate) fn key_unconfirmed() -> CallerError {
    CallerError::not_run(ErrorCode::Unavailable, "the key can't be checked any more")
}

impl RunningCall {
    /// Records that the target sent its complete response.
    pub(crate) fn record_completion(&mut self) {
        self.pin.outcome = ReleaseOutcome::Completed {
            tokens: self.charge.used,
            first_token: self.first_token.filter(|_| self.call.streamed),
        };
        self.node.quarantine.clear(&self.call.fingerprint);
    }

    /// Marks the send as begun and sets the tokens that are charged if the caller disconnects now.
    /// A buffered response is charged in full, since the target generates all of it. The tokens of
    /// a stream are added as they arrive.
    pub(crate) fn begin_send(&mut self) -> Result<IdHistory, ScopeClosed> {
        let id_history = self.scope.begin_send()?;
        self.charge.used = match self.call.streamed {
            true => self.call.prompt_estimate,
            false => self.call.charge,
        };
        Ok(id_history)
    }

    /// Records a send that got no complete response, and whether the target may have run it.
    pub(crate) fn record_failed_send(&mut self, run_state: RunState) {
        (self.charge.used, self.pin.outcome) = match run_state {
            RunState::No => (TokenCount::ZERO, ReleaseOutcome::ConnectFailed),
            RunState::Unknown | RunState::Yes => (self.call.charge, ReleaseOutcome::BrokeOff),
        };
        self.scope.end_send(run_state);
    }

    /// Records that the adapter's generation is not loaded on the target. The request was not run,
    /// since an engine looks up the model first.
    pub(crate) fn record_not_loaded(&mut self) {
        self.charge.used = TokenCount::ZERO;
        self.pin.outcome = ReleaseOutcome::NotLoaded;
        self.scope.end_send(RunState::No);
    }

    pub(crate) fn key_is_valid(&self) -> bool {
        let config = self.node.context.config.current();
        self.call.identity.is_valid(&config)
    }

    /// Records the time to first token if a zone is out of service.
    fn observe_first_token(&self, elapsed: Duration) {
        let context = &self.node.context;
        let config = context.config.current();
        if config.zones.iter().any(|(_, zone)| !zone.in_service) {
            let first_token = &context.metrics.zone_change_first_token;
            first_token.observe(elapsed.as_secs_f64());
        }
    }

    /// Whether this node's configuration is recent enough to rule out that the key was revoked.
    pub(crate) fn key_is_confirmed(&self) -> bool {
        let context = &self.node.context;
        context.membership.may_stream(&context.config)
    }

    /// Like [`Self::key_is_confirmed`], but cheap enough to be called for each token: it uses the
    /// result of a recent check, if there is one.
    pub(crate) fn key_is_confirmed_for_stream(&self) -> bool {
        let context = &self.node.context;
        context.membership.may_continue_stream(&context.config)
    }

    /// Checks that a part of a response, which is the body or an event of a stream, belongs to this
    /// request and comes from its adapter. Records its usage and replaces its model name by the
    /// caller's. Returns `None` if the part must not be forwarded.
    pub(crate) fn process_part(&mut self, data: &[u8]) -> Result<Option<Bytes>, CallerError> {
        let invalid = |message: &str| target_failed(message, RunState::Yes);
        let mut part: Value =
            serde_json::from_slice(data).map_err(|_| invalid("the target's answer is not JSON"))?;
        let has_own_id = part["id"]
            .as_str()
            .is_some_and(|id| id.ends_with(self.call.id.as_str()));
        if !has_own_id || part["model"].as_str() != Some(self.pin.pin.generation.as_str()) {
            return Err(invalid(
                "the target answered for another request or adapter",
            ));
        }
        if self.first_token.is_none() {
            let elapsed = self.started.elapsed();
            self.first_token = Some(elapsed);
            self.observe_first_token(elapsed);
            self.node.pool.mark_streaming(&self.pin.pin);
        }
        let usage = part["usage"]["total_tokens"].as_u64();
        match usage {
            Some(total) => self.charge.used = TokenCount::new(total),
            None => self.charge.used += TokenCount::new(1),
        }
        let is_usage_only = part["choices"].as_array().is_some_and(Vec::is_empty);
        if self.call.streamed && is_usage_only && !self.call.wants_usage {
            return Ok(None);
        }
        part["model"] = self.call.public_model.clone().into();
        Ok(Some(Bytes::from(part.to_string())))
    }
}
