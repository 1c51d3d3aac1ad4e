//! Acquires and releases places on targets, at the pool's coordinator.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

use super::open::{OpenEntry, OpenRequests};
use super::owned::OwnedPools;
use super::wire::{AcquireAsk, PoolKind, PoolMessage, ReceivedAnswer, ReleaseNote, WireOutcome};
use crate::clock::Timestamp;
use crate::context::NodeContext;
use crate::ids::{
    AccountName, AdapterVersion, BaseModel, FencingToken, RequestId, TargetName, TokenCount,
};
use crate::lease::{RoleName, RoleOwner};
use crate::peer::PeerBody;

pub(crate) use super::event::ReleaseOutcome;

/// How long one call to a coordinator may take. A coordinator answers a waiting request at the
/// latest after [`super::owned::POLL_TIME`].
const CALL_TIMEOUT: Duration = Duration::from_millis(550);
/// The pause before a call that got no answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How often a release is sent. When all fail, the next report of pins tells the same.
const RELEASE_TRIES: u32 = 3;
/// The pause between two reports of pins.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a request needs from a pool. Each call of [`PoolService::acquire`] is one attempt.
#[derive(Debug, Clone)]
pub(crate) struct PoolRequest {
    pub(crate) request: RequestId,
    pub(crate) account: AccountName,
    pub(crate) base_model: BaseModel,
    pub(crate) adapter: AdapterVersion,
    pub(crate) tokens: TokenCount,
    /// The hash of the prompt's beginning.
    pub(crate) prefix: Option<u64>,
    /// Whether the request may have crashed a target before.
    pub(crate) suspect: bool,
}

/// A place on a target, held until its release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestPin {
    /// The serial of the attempt, unique in this process.
    pub(crate) pin: u64,
    pub(crate) base_model: BaseModel,
    pub(crate) target: TargetName,
    /// The engine-side name of the loaded adapter.
    pub(crate) generation: String,
}

/// Why a request got no place. Nothing was sent to a target.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum AcquireError {
    #[display("{reason}")]
    Refused {
        reason: String,
        retry_after: Duration,
    },
    #[display("the pool's coordinator can't be reached")]
    Unavailable,
}

/// Owns the pools that this node coordinates and asks the coordinators of the others.
#[derive(Debug)]
pub(crate) struct PoolService {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
pub(super) struct PoolShared {
    pub(super) context: Arc<NodeContext>,
    owned: Arc<OwnedPools>,
    open: OpenRequests,
    started: Timestamp,
}

/// Withdraws an attempt whose caller stopped waiting.
struct AttemptGuard {
    shared: Arc<PoolShared>,
    base_model: BaseModel,
    serial: u64,
    armed: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        self.shared.open.end(self.serial);
        let (shared, model, serial) = (
            Arc::clone(&self.shared),
            self.base_model.clone(),
            self.serial,
        );
        tokio::spawn(async move {
            let outcome = ReleaseOutcome::Cancelled;
            shared.send_release(&model, serial, outcome).await;
        });
    }
}

impl PoolService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let started = context.clock.now();
        let owned = Arc::new(OwnedPools::new(Arc::clone(&context)));
        let shared = PoolShared {
            context,
            owned,
            open: OpenRequests::default(),
            started,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Waits for a place on a target that has the adapter loaded.
    pub(crate) async fn acquire(&self, request: PoolRequest) -> Result<RequestPin, AcquireError> {
        let shared = &self.shared;
        let serial = shared.open.begin(OpenEntry::new(&request));
        let mut guard = AttemptGuard {
            shared: Arc::clone(shared),
            base_model: request.base_model.clone(),
            serial,
            armed: true,
        };
        let acquired = shared.acquire(&request, serial).await;
        // A refusal ended the attempt at the coordinator; without an answer it is withdrawn.
        guard.armed = acquired == Err(AcquireError::Unavailable);
        if matches!(acquired, Err(AcquireError::Refused { .. })) {
            shared.open.end(serial);
        }
        acquired
    }

    /// Gives the place back and tells how the request ended.
    pub(crate) async fn release(&self, pin: RequestPin, outcome: ReleaseOutcome) {
        self.shared.open.end(pin.pin);
        self.shared
            .send_release(&pin.base_model, pin.pin, outcome)
            .await;
    }

    /// Notes that the target has sent the first token, which the next report of pins tells.
    pub(crate) fn note_first_token(&self, pin: &RequestPin) {
        self.shared.open.note_first_token(pin.pin);
    }

    /// Answers a peer's message.
    pub(crate) async fn handle(&self, message: PoolMessage) -> Option<PoolMessage> {
        let kind = self.shared.handle(message.kind?).await?;
        Some(PoolMessage { kind: Some(kind) })
    }

    /// Coordinates the pools of this node and reports its pins until the future is dropped.
    pub(crate) async fn run(&self) {
        tokio::join!(self.shared.owned.run(), self.shared.report_pins());
    }

    /// The worst share of an account in the pools that this node coordinates.
    pub(crate) fn worst_account_share(&self) -> f64 {
        self.shared.owned.worst_account_share()
    }

    /// The state of a pool that this node hands over. It decides nothing for the pool afterwards.
    pub(crate) fn export_pool(&self, model: &BaseModel) -> Option<Vec<u8>> {
        self.shared.owned.export(model)
    }

    /// Keeps what a new lease of the pool begins with: the previous coordinator's state, or nothing.
    pub(crate) fn import_pool(&self, model: &BaseModel, state: Option<Vec<u8>>) {
        self.shared.owned.import(model, state);
    }
}

impl PoolShared {
    async fn acquire(
        &self,
        request: &PoolRequest,
        serial: u64,
    ) -> Result<RequestPin, AcquireError> {
        let clock = &self.context.clock;
        let deadline = clock.now() + self.context.settings.admission_timeout;
        let mut reached = false;
        loop {
            let left = deadline.since(clock.now());
            if left.is_zero() {
                break;
            }
            let ask = self.ask(request, serial, left);
            let model = &request.base_model;
            match self.call_owner(model, PoolKind::Acquire(ask), left).await {
                Some(PoolKind::Pinned(answer)) => {
                    let fence = FencingToken::from(answer.fence);
                    // The answer of a coordinator that has been replaced holds nothing.
                    if !self.open.knows_fence(model, fence) {
                        continue;
                    }
                    let target = answer.target.parse();
                    let pin = RequestPin {
                        pin: serial,
                        base_model: model.clone(),
                        target: target.map_err(|_| AcquireError::Unavailable)?,
                        generation: answer.generation,
                    };
                    self.open.pin(&pin);
                    return Ok(pin);
                }
                Some(PoolKind::Refused(answer)) => {
                    return Err(AcquireError::Refused {
                        reason: answer.reason,
                        retry_after: Duration::from_millis(answer.retry_after_ms),
                    });
                }
                Some(PoolKind::Waiting(_)) => reached = true,
                _ => tokio::time::sleep(RETRY_PAUSE.min(left)).await,
            }
        }
        if reached {
            tracing::info!("pool: request {} got no place in time", request.request);
        }
        Err(AcquireError::Unavailable)
    }

    fn ask(&self, request: &PoolRequest, serial: u64, left: Duration) -> AcquireAsk {
        AcquireAsk {
            base_model: request.base_model.to_string(),
            adapter: request.adapter.adapter.to_string(),
            version: request.adapter.version.to_string(),
            account: request.account.to_string(),
            request: request.request.to_string(),
            tokens: request.tokens.into(),
            wait_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            node: self.context.settings.node.to_string(),
            boot: self.context.boot.into(),
            serial,
            prefix: request.prefix,
            suspect: request.suspect,
        }
    }

    async fn send_release(&self, model: &BaseModel, serial: u64, outcome: ReleaseOutcome) {
        let none = (TokenCount::ZERO, None);
        let (wire, (tokens, first_token)) = match outcome {
            ReleaseOutcome::Completed {
                tokens,
                first_token,
            } => (WireOutcome::Completed, (tokens, first_token)),
            ReleaseOutcome::ConnectFailed => (WireOutcome::ConnectFailed, none),
            ReleaseOutcome::BrokeOff => (WireOutcome::BrokeOff, none),
            ReleaseOutcome::Cancelled => (WireOutcome::Cancelled, none),
        };
        let note = ReleaseNote {
            base_model: model.to_string(),
            node: self.context.settings.node.to_string(),
            boot: self.context.boot.into(),
            serial,
            outcome: wire.into(),
            tokens: tokens.into(),
            first_token_ms: first_token
                .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        };
        for _ in 0..RELEASE_TRIES {
            let kind = PoolKind::Release(note.clone());
            if self.call_owner(model, kind, CALL_TIMEOUT).await.is_some() {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        tracing::info!("pool: a release was not delivered; the next report of pins tells it");
    }

    async fn handle(&self, kind: PoolKind) -> Option<PoolKind> {
        match kind {
            PoolKind::Acquire(ask) => self.owned.acquire(ask).await,
            PoolKind::Release(note) => {
                self.owned.release(&note)?;
                Some(PoolKind::Received(ReceivedAnswer {}))
            }
            PoolKind::Report(report) => {
                self.owned.report(report)?;
                Some(PoolKind::Received(ReceivedAnswer {}))
            }
            _ => None,
        }
    }

    /// Calls the pool's coordinator; waits up to `wait` while there is none.
    async fn call_owner(
        &self,
        model: &BaseModel,
        kind: PoolKind,
        wait: Duration,
    ) -> Option<PoolKind> {
        let role = RoleName::Pool(model.clone());
        match self.context.leases.wait_for_owner(&role, wait).await {
            RoleOwner::Local { .. } => self.handle(kind).await,
            RoleOwner::Remote { address, .. } => {
                let body = PeerBody::Pool(PoolMessage { kind: Some(kind) });
                match self.context.peers.call(address, body, CALL_TIMEOUT).await {
                    Ok(PeerBody::Pool(answer)) => answer.kind,
                    _ => None,
                }
            }
            RoleOwner::Nobody => None,
        }
    }

    /// Tells each pool's coordinator this node's open requests, each second.
    async fn report_pins(&self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            for model in self.owned.configured_models() {
                let mut report = self.open.report(&model);
                report.node = self.context.settings.node.to_string();
                report.boot = self.context.boot.into();
                let uptime = self.context.clock.now().since(self.started);
                report.uptime_ms = u64::try_from(uptime.as_millis()).unwrap_or(0);
                let kind = PoolKind::Report(report);
                self.call_owner(&model, kind, Duration::ZERO).await;
            }
        }
    }
}
