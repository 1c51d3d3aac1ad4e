//! Acquires and releases places on targets, at the pool's coordinator.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::sync::Mutex;

use super::orders::load_adapter;
use super::wire::{
    AcquireAsk, PinnedAnswer, PoolKind, PoolMessage, RefusedAnswer, ReleaseNote, ReleasedAnswer,
};
use crate::collections::FastMap;
use crate::context::NodeContext;
use crate::ids::{
    AccountName, AdapterVersion, BaseModel, FencingToken, RequestId, TargetName, TokenCount,
};
use crate::lease::{RoleName, RoleOwner};
use crate::peer::PeerBody;

/// The time that a call takes besides the request's own wait.
const CALL_MARGIN: Duration = Duration::from_secs(1);

/// What a request needs from a pool.
#[derive(Debug, Clone)]
pub(crate) struct PoolRequest {
    pub(crate) request: RequestId,
    pub(crate) account: AccountName,
    pub(crate) base_model: BaseModel,
    pub(crate) adapter: AdapterVersion,
    pub(crate) tokens: TokenCount,
}

/// A place on a target, held until its release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestPin {
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
    context: Arc<NodeContext>,
    /// The engine-side name of each adapter that this coordinator loaded, by target.
    loaded: Mutex<FastMap<(TargetName, AdapterVersion), String>>,
}

impl PoolService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            loaded: Mutex::default(),
        }
    }

    /// Waits for a place on a target that has the adapter loaded.
    pub(crate) async fn acquire(&self, request: PoolRequest) -> Result<RequestPin, AcquireError> {
        let wait = self.context.settings.admission_timeout;
        let ask = AcquireAsk {
            base_model: request.base_model.to_string(),
            adapter: request.adapter.adapter.to_string(),
            version: request.adapter.version.to_string(),
            account: request.account.to_string(),
            request: request.request.to_string(),
            tokens: request.tokens.into(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let limit = wait + CALL_MARGIN;
        match self
            .call_owner(&request.base_model, PoolKind::Acquire(ask), limit)
            .await
        {
            Some(PoolKind::Pinned(answer)) => {
                let target = answer
                    .target
                    .parse()
                    .map_err(|_| AcquireError::Unavailable)?;
                let base_model = request.base_model;
                let generation = answer.generation;
                Ok(RequestPin {
                    pin: answer.pin,
                    base_model,
                    target,
                    generation,
                })
            }
            Some(PoolKind::Refused(answer)) => Err(AcquireError::Refused {
                reason: answer.reason,
                retry_after: Duration::from_millis(answer.retry_after_ms),
            }),
            _ => Err(AcquireError::Unavailable),
        }
    }

    /// Gives the place back.
    pub(crate) async fn release(&self, pin: RequestPin) {
        let note = ReleaseNote {
            base_model: pin.base_model.to_string(),
            pin: pin.pin,
        };
        self.call_owner(&pin.base_model, PoolKind::Release(note), CALL_MARGIN)
            .await;
    }

    /// Answers a peer's message.
    pub(crate) async fn handle(&self, message: PoolMessage) -> Option<PoolMessage> {
        let kind = match message.kind? {
            PoolKind::Acquire(ask) => self.handle_acquire(ask).await?,
            PoolKind::Release(_) => PoolKind::Released(ReleasedAnswer {}),
            _ => return None,
        };
        Some(PoolMessage { kind: Some(kind) })
    }

    async fn handle_acquire(&self, ask: AcquireAsk) -> Option<PoolKind> {
        let adapter = AdapterVersion::new(ask.adapter.parse().ok()?, ask.version.parse().ok()?);
        let base_model: BaseModel = ask.base_model.parse().ok()?;
        let refuse = |reason: &str| {
            let reason = reason.to_owned();
            Some(PoolKind::Refused(RefusedAnswer {
                reason,
                retry_after_ms: 1000,
            }))
        };
        let Some((target, address)) = self.choose_target(&base_model) else {
            return refuse("no target serves this base model now");
        };
        let mut loaded = self.loaded.lock().await;
        let key = (target.clone(), adapter.clone());
        let generation = match loaded.get(&key) {
            Some(generation) => generation.clone(),
            None => {
                let fence = FencingToken::default();
                let generation = format!("{adapter}#{fence}-{}", loaded.len());
                let path = format!("{}/{}", adapter.adapter, adapter.version);
                let client = &self.context.targets;
                if load_adapter(client, address, fence, &generation, &path)
                    .await
                    .is_err()
                {
                    return refuse("the adapter could not be loaded");
                }
                loaded.insert(key, generation.clone());
                generation
            }
        };
        Some(PoolKind::Pinned(PinnedAnswer {
            pin: 0,
            target: target.to_string(),
            generation,
        }))
    }

    fn choose_target(&self, model: &BaseModel) -> Option<(TargetName, std::net::SocketAddr)> {
        let config = self.context.config.current();
        let serving = config.targets.iter().filter(|(_, target)| {
            let zone = config.zones.get(&target.zone);
            let in_service = zone.is_some_and(|zone| zone.in_service);
            target.base_model.as_ref() == Some(model) && in_service && !target.leaving
        });
        let (name, target) = serving.min_by(|a, b| a.0.cmp(b.0))?;
        Some((name.clone(), target.address))
    }

    async fn call_owner(
        &self,
        model: &BaseModel,
        kind: PoolKind,
        limit: Duration,
    ) -> Option<PoolKind> {
        let message = PoolMessage { kind: Some(kind) };
        let role = RoleName::Pool(model.clone());
        let wait = self.context.settings.admission_timeout;
        match self.context.leases.wait_for_owner(&role, wait).await {
            RoleOwner::Local { .. } => self.handle(message).await?.kind,
            RoleOwner::Remote { address, .. } => {
                let body = PeerBody::Pool(message);
                match self.context.peers.call(address, body, limit).await {
                    Ok(PeerBody::Pool(answer)) => answer.kind,
                    _ => None,
                }
            }
            RoleOwner::Nobody => None,
        }
    }
}
