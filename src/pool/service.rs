//! Acquires and releases slots on targets through the pool's coordinator.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use derive_more::{Display, Error};

use super::assigned_ids::PoolSession;
use super::known_ids::KnownIds;
use super::open::{OpenEntry, OpenRequests};
use super::owned::OwnedPools;
use super::releases::ReleaseQueue;
use super::wire::{AcquireMessage, IdAssignments, PinnedAnswer, PoolKind, PoolMessage, SessionTag};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::context::NodeContext;
use crate::ids::{
    AccountName, AdapterVersion, BaseModel, FencingToken, RequestId, TargetName, TokenCount,
};
use crate::lease::{RoleName, RoleOwner};
use crate::peer::PeerBody;

pub(crate) use super::event::ReleaseOutcome;

/// The timeout of one call to a coordinator, which answers a waiting request within
/// [`super::owned::POLL_TIMEOUT`].
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(550);
/// The pause before a call without an answer is repeated.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a shutdown waits until all slots have been released.
const SHUTDOWN_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between two pin reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The parameters of a request for a slot. Each call of [`PoolService::acquire`] is one attempt.
#[derive(Debug, Clone)]
pub(crate) struct PoolRequest {
    pub(crate) request: RequestId,
    pub(crate) account: AccountName,
    pub(crate) base_model: BaseModel,
    pub(crate) adapter: AdapterVersion,
    pub(crate) tokens: TokenCount,
    /// Hash of the prompt prefix.
    pub(crate) prefix: Option<u64>,
    /// Whether the request is suspected of having crashed a target.
    pub(crate) suspect: bool,
    /// The target on which the previous attempt failed.
    pub(crate) avoid: Option<TargetName>,
}

/// A slot on a target, held until its release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestPin {
    /// The serial of the attempt, unique in this process.
    pub(crate) serial: u64,
    pub(crate) base_model: BaseModel,
    pub(crate) target: TargetName,
    /// The name under which the target has loaded the adapter.
    pub(crate) generation: String,
}

/// Why a request got no slot. It was not sent to any target.
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

/// Coordinates the pools whose lease this node holds, and calls the coordinators of the others.
#[derive(Debug)]
pub(crate) struct PoolService {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
pub(super) struct PoolShared {
    pub(super) context: Arc<NodeContext>,
    owned: Arc<OwnedPools>,
    pub(super) open: OpenRequests,
    pub(super) releases: ReleaseQueue,
    known_ids: Mutex<FastMap<BaseModel, KnownIds>>,
    started: Timestamp,
}

/// Withdraws an attempt when it is dropped, for example because the caller disconnected.
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
        let outcome = ReleaseOutcome::Cancelled;
        let model = &self.base_model;
        self.shared.queue_release(model, self.serial, outcome);
        self.shared.open.end(self.serial);
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
            releases: ReleaseQueue::default(),
            known_ids: Mutex::default(),
            started,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Waits for a slot on a target that has the adapter loaded.
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
        // A refusal ends the attempt at the coordinator. Without an answer it must be withdrawn.
        guard.armed = acquired == Err(AcquireError::Unavailable);
        if matches!(acquired, Err(AcquireError::Refused { .. })) {
            shared.open.end(serial);
        }
        acquired
    }

    /// Releases the slot and reports how the request ended.
    pub(crate) fn release(&self, pin: &RequestPin, outcome: ReleaseOutcome) {
        // In this order, so that a shutdown that waits for open requests and queued releases can't
        // finish between the two.
        self.shared
            .queue_release(&pin.base_model, pin.serial, outcome);
        self.shared.open.end(pin.serial);
    }

    /// Waits until all slots have been released, before the process exits.
    pub(crate) async fn shut_down(&self) {
        self.shared.flush_releases(SHUTDOWN_RELEASE_TIMEOUT).await;
    }

    /// Marks the request as streaming, for the next pin report.
    pub(crate) fn mark_streaming(&self, pin: &RequestPin) {
        self.shared.open.mark_streaming(pin.serial);
    }

    /// Handles a message from another node.
    pub(crate) async fn handle(&self, message: PoolMessage) -> Option<PoolMessage> {
        self.shared.handle(message.kind?).await
    }

    /// Coordinates the pools of this node and reports its pins until the future is dropped.
    pub(crate) async fn run(&self) {
        tokio::join!(self.shared.owned.run(), self.shared.report_pins());
    }

    /// The operator dump: the pools that this node coordinates and the number of its open requests.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "open_requests": self.shared.open.len(),
            "coordinated": self.shared.owned.dump(),
        })
    }

    /// The lowest account share in the pools that this node coordinates.
    pub(crate) fn worst_account_share(&self) -> f64 {
        self.shared.owned.worst_account_share()
    }

    /// Removes a pool's coordinator and returns its state for a handover.
    pub(crate) fn export_pool(&self, model: &BaseModel) -> Option<Vec<u8>> {
        self.shared.owned.export(model)
    }

    /// Stores the handover state with which the next lease of the pool begins, if any.
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
        let mut was_queued = false;
        loop {
            let remaining = deadline.since(clock.now());
            if remaining.is_zero() {
                break;
            }
            let model = &request.base_model;
            let mut sent = AcquireMessage::default();
            let build = |tag| {
                sent = self.acquire_message(request, serial, remaining, tag);
                PoolKind::Acquire(sent.clone())
            };
            match self
                .call_coordinator_for(model, Some(request), build, remaining)
                .await
            {
                Some(PoolKind::Pinned(answer)) => {
                    // If the answer is not usable, the next call with the same serial gets the same
                    // slot.
                    if let Some(pin) = self.accept_pin(request, &sent, &answer) {
                        return Ok(pin);
                    }
                }
                Some(PoolKind::UnknownId(_)) => {}
                Some(PoolKind::Refused(answer)) => {
                    return Err(AcquireError::Refused {
                        reason: answer.reason,
                        retry_after: Duration::from_millis(answer.retry_after_ms),
                    });
                }
                Some(PoolKind::Waiting(_)) => was_queued = true,
                _ => tokio::time::sleep(RETRY_INTERVAL.min(remaining)).await,
            }
        }
        if was_queued {
            tracing::info!(
                "pool: request {} got no slot within the admission timeout",
                request.request
            );
        }
        Err(AcquireError::Unavailable)
    }

    fn acquire_message(
        &self,
        request: &PoolRequest,
        serial: u64,
        remaining: Duration,
        tag: SessionTag,
    ) -> AcquireMessage {
        let mut known_ids = self.known_ids();
        let known = known_ids.entry(request.base_model.clone()).or_default();
        let mut message = AcquireMessage {
            tokens: request.tokens.into(),
            wait_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            serial,
            prefix: request.prefix.map(|prefix| prefix as u32),
            suspect: request.suspect,
            avoid: request.avoid.as_ref().map(TargetName::to_string),
            ..AcquireMessage::default()
        };
        known
            .for_fence(tag.fence)
            .encode_request(&mut message, request);
        message.session = Some(tag);
        message
    }

    /// Decodes and records the pin of an answer. `None` if the coordinator has been replaced, so
    /// that the pin is not valid, or if the target's name is not known.
    fn accept_pin(
        &self,
        request: &PoolRequest,
        message: &AcquireMessage,
        answer: &PinnedAnswer,
    ) -> Option<RequestPin> {
        let model = &request.base_model;
        let sent_fence = message.session.as_ref().map_or(0, |tag| tag.fence);
        let fence = answer.fence.unwrap_or(sent_fence);
        let token = FencingToken::from(fence);
        if !self.open.observe_fence(model, token) {
            return None;
        }
        let mut known_ids = self.known_ids();
        let known = known_ids.entry(model.clone()).or_default().for_fence(fence);
        let (target, generation) = known.decode_pin(message, answer, &request.adapter)?;
        drop(known_ids);
        let pin = RequestPin {
            serial: message.serial,
            base_model: model.clone(),
            target,
            generation,
        };
        self.open.pin(&pin, token);
        Some(pin)
    }

    async fn handle(&self, kind: PoolKind) -> Option<PoolMessage> {
        match kind {
            PoolKind::Acquire(message) => self.owned.acquire(message).await,
            PoolKind::Release(message) => self.owned.release(&message),
            PoolKind::Report(report) => self.owned.report(report),
            _ => None,
        }
    }

    /// Calls the pool's coordinator, and waits up to `wait` for one if there is none.
    pub(super) async fn call_coordinator(
        &self,
        model: &BaseModel,
        build: impl FnOnce(SessionTag) -> PoolKind,
        wait: Duration,
    ) -> Option<PoolKind> {
        self.call_coordinator_for(model, None, build, wait).await
    }

    /// Calls the pool's coordinator. `request` is the request whose names the answer may assign ids
    /// to, if any.
    async fn call_coordinator_for(
        &self,
        model: &BaseModel,
        request: Option<&PoolRequest>,
        build: impl FnOnce(SessionTag) -> PoolKind,
        wait: Duration,
    ) -> Option<PoolKind> {
        let role = RoleName::Pool(model.clone());
        let answer = match self.context.leases.wait_for_owner(&role, wait).await {
            RoleOwner::Local { fence } => {
                self.handle(build(self.session_tag(model, fence))).await?
            }
            RoleOwner::Remote { address, fence } => {
                let body = PeerBody::Pool(build(self.session_tag(model, fence)).into());
                match self.context.peers.call(address, body, CALL_TIMEOUT).await {
                    Ok(PeerBody::Pool(answer)) => answer,
                    _ => return None,
                }
            }
            RoleOwner::Nobody => return None,
        };
        if let Some(assigned_ids) = &answer.assigned_ids {
            self.record_ids(model, assigned_ids, request);
        }
        if matches!(answer.kind, Some(PoolKind::UnknownId(_)))
            && let Some(known) = self.known_ids().get_mut(model)
        {
            known.clear();
        }
        answer.kind
    }

    fn session_tag(&self, model: &BaseModel, fence: FencingToken) -> SessionTag {
        let session = PoolSession {
            model: model.clone(),
            node: self.context.settings.node.clone(),
            boot: self.context.boot,
        };
        let mut known_ids = self.known_ids();
        let known = known_ids.entry(model.clone()).or_default();
        known.for_fence(fence.into()).session_tag(&session)
    }

    fn record_ids(
        &self,
        model: &BaseModel,
        assigned_ids: &IdAssignments,
        request: Option<&PoolRequest>,
    ) {
        let sent_names = request.map(|request| (&request.adapter, &request.account));
        let mut known_ids = self.known_ids();
        let known = known_ids.entry(model.clone()).or_default();
        known
            .for_fence(assigned_ids.fence)
            .record_ids(assigned_ids, sent_names);
    }

    fn known_ids(&self) -> MutexGuard<'_, FastMap<BaseModel, KnownIds>> {
        self.known_ids.lock().expect("no holder of the lock panics")
    }

    /// Reports this node's open requests to each pool's coordinator once per [`REPORT_INTERVAL`].
    async fn report_pins(&self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            for model in self.owned.configured_models() {
                let report = self.send_report(&model).await;
                if matches!(report, Some(PoolKind::UnknownId(_))) {
                    self.send_report(&model).await;
                }
            }
        }
    }

    async fn send_report(&self, model: &BaseModel) -> Option<PoolKind> {
        let build = |tag| {
            let mut report = self.open.report(model, tag);
            let uptime = self.context.clock.now().since(self.started);
            report.uptime_ms = u64::try_from(uptime.as_millis()).unwrap_or(0);
            PoolKind::Report(report)
        };
        self.call_coordinator(model, build, Duration::ZERO).await
    }
}
