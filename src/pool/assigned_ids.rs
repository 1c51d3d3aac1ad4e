//! The numeric ids that a coordinator's process assigns to the names in messages.
//!
//! A process assigns no id twice, and a node uses an id only under the fencing token under which it
//! received it. A token belongs to one process, so an id stands for the same name on both sides or
//! is unknown to the coordinator.

use std::hash::Hash;

use super::event::PoolAnswer;
use super::wire::{
    AcquireMessage, IdAssignments, PinnedAnswer, PoolKind, RefusedAnswer, SessionTag,
    generation_parts,
};
use crate::collections::FastMap;
use crate::ids::{
    AccountName, AdapterVersion, BaseModel, BootId, FencingToken, NodeName, TargetName,
};

/// The maximum number of names of one kind with an id, about 3 MB for adapters. When it is reached,
/// the table is cleared, and nodes send each name once more.
const NAMES_LIMIT: usize = 16_384;

/// Names with consecutive ids, starting at 1, in the order of their first use.
#[derive(Debug)]
pub(super) struct IdTable<T> {
    first_id: u64,
    limit: usize,
    names: Vec<T>,
    ids: FastMap<T, u64>,
}

impl<T: Clone + Eq + Hash> IdTable<T> {
    pub(super) fn with_limit(limit: usize) -> Self {
        Self {
            first_id: 1,
            limit,
            names: Vec::new(),
            ids: FastMap::default(),
        }
    }

    /// The id of a name; assigns a new one if it has none.
    pub(super) fn intern(&mut self, name: &T) -> u64 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        if self.names.len() >= self.limit {
            self.first_id += self.names.len() as u64;
            self.names.clear();
            self.ids.clear();
        }
        let id = self.first_id + self.names.len() as u64;
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }
}

impl<T> IdTable<T> {
    /// The name of an id, unless the id was never assigned or has been cleared.
    pub(super) fn resolve(&self, id: u64) -> Option<&T> {
        let index = usize::try_from(id.checked_sub(self.first_id)?).ok()?;
        self.names.get(index)
    }
}

impl<T: Clone + std::str::FromStr> IdTable<T> {
    /// Resolves the id of a message field; an id of 0 means that the message carries the name.
    fn resolve_or_parse(&self, id: u64, name: &str) -> Result<T, MessageError> {
        if id == 0 {
            return name.parse().map_err(|_| MessageError::Malformed);
        }
        self.resolve(id).cloned().ok_or(MessageError::UnknownId)
    }
}

/// A node's process as a client of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PoolSession {
    pub(super) model: BaseModel,
    pub(super) node: NodeName,
    pub(super) boot: BootId,
}

impl PoolSession {
    /// The session of a tag that identifies it by name.
    pub(super) fn from_names(tag: &SessionTag) -> Option<Self> {
        Some(Self {
            model: tag.base_model.parse().ok()?,
            node: tag.node.parse().ok()?,
            boot: tag.boot?.into(),
        })
    }
}

/// The ids that this process has assigned as a coordinator, for all its pools and leases.
#[derive(Debug)]
pub(super) struct AssignedIds {
    sessions: IdTable<PoolSession>,
    adapters: IdTable<AdapterVersion>,
    accounts: IdTable<AccountName>,
    /// Bounded by the configuration. A node knows all targets up to some id, without gaps.
    targets: IdTable<TargetName>,
}

impl Default for AssignedIds {
    fn default() -> Self {
        Self::with_limit(NAMES_LIMIT)
    }
}

/// Why a message can't be processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageError {
    /// The message has an id that this process did not assign, or not under the message's token.
    UnknownId,
    Malformed,
}

/// The names in a request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestNames {
    pub(super) session: PoolSession,
    pub(super) adapter: AdapterVersion,
    pub(super) account: AccountName,
}

impl AssignedIds {
    /// Assigns ids to at most `limit` names of each kind at the same time.
    pub(super) fn with_limit(limit: usize) -> Self {
        Self {
            sessions: IdTable::with_limit(limit),
            adapters: IdTable::with_limit(limit),
            accounts: IdTable::with_limit(limit),
            targets: IdTable::with_limit(usize::MAX),
        }
    }

    /// The session of a message. `held_fence` returns the token under which this process
    /// coordinates a pool. The token is checked because other processes assign the same ids to
    /// other names.
    pub(super) fn resolve_session(
        &self,
        tag: Option<&SessionTag>,
        held_fence: impl Fn(&BaseModel) -> Option<FencingToken>,
    ) -> Result<PoolSession, MessageError> {
        let tag = tag.ok_or(MessageError::Malformed)?;
        if tag.id == 0 {
            return PoolSession::from_names(tag).ok_or(MessageError::Malformed);
        }
        let session = self.sessions.resolve(tag.id);
        let session = session.ok_or(MessageError::UnknownId)?;
        match held_fence(&session.model) == Some(tag.fence.into()) {
            true => Ok(session.clone()),
            false => Err(MessageError::UnknownId),
        }
    }

    /// The names in a request for a slot.
    pub(super) fn resolve_request(
        &self,
        message: &AcquireMessage,
        held_fence: impl Fn(&BaseModel) -> Option<FencingToken>,
    ) -> Result<RequestNames, MessageError> {
        let session = self.resolve_session(message.session.as_ref(), &held_fence)?;
        let fence = message.session.as_ref().map(|tag| tag.fence.into());
        if (message.adapter != 0 || message.account != 0) && held_fence(&session.model) != fence {
            return Err(MessageError::UnknownId);
        }
        Ok(RequestNames {
            adapter: self
                .adapters
                .resolve_or_parse(message.adapter, &message.adapter_name)?,
            account: self
                .accounts
                .resolve_or_parse(message.account, &message.account_name)?,
            session,
        })
    }

    /// The ids of what a request identifies by name, valid under the token `fence`.
    pub(super) fn assign_ids(
        &mut self,
        message: &AcquireMessage,
        names: &RequestNames,
        fence: FencingToken,
    ) -> Option<IdAssignments> {
        let tag = message.session.as_ref()?;
        let mut assigned_ids = self.assign_session_id(tag, &names.session, fence);
        let new_assignments = || IdAssignments {
            fence: fence.into(),
            ..IdAssignments::default()
        };
        if message.adapter == 0 {
            let id = self.adapters.intern(&names.adapter);
            assigned_ids.get_or_insert_with(new_assignments).adapter = id;
        }
        if message.account == 0 {
            let id = self.accounts.intern(&names.account);
            assigned_ids.get_or_insert_with(new_assignments).account = id;
        }
        assigned_ids
    }

    /// The id of a session that a message identifies by name.
    pub(super) fn assign_session_id(
        &mut self,
        tag: &SessionTag,
        session: &PoolSession,
        fence: FencingToken,
    ) -> Option<IdAssignments> {
        (tag.id == 0).then(|| IdAssignments {
            fence: fence.into(),
            session: self.sessions.intern(session),
            ..IdAssignments::default()
        })
    }

    /// The id of a target, and the names of the targets after `known` up to that id.
    fn intern_target(&mut self, target: &TargetName, known: u64) -> (u64, Vec<String>) {
        let id = self.targets.intern(target);
        let new = (known.saturating_add(1)..=id).filter_map(|id| self.targets.resolve(id));
        let new = new.map(ToString::to_string).collect();
        (id, new)
    }

    /// Encodes the answer to a request, leaving out what the request already contains.
    pub(super) fn encode_answer(
        &mut self,
        answer: PoolAnswer,
        message: &AcquireMessage,
        adapter: &AdapterVersion,
    ) -> PoolKind {
        match answer {
            PoolAnswer::Pinned {
                target,
                generation,
                fence,
                ..
            } => {
                let fence = u64::from(fence);
                let same = message.session.as_ref().map(|tag| tag.fence) == Some(fence);
                let known = if same { message.known_targets } else { 0 };
                let (target, target_names) = self.intern_target(&target, known);
                let parts = generation_parts(adapter, &generation);
                let (generation_fence, sequence) = parts.unwrap_or((fence, 0));
                PoolKind::Pinned(PinnedAnswer {
                    target,
                    sequence,
                    generation_fence: (generation_fence != fence).then_some(generation_fence),
                    fence: (!same).then_some(fence),
                    generation: parts.is_none().then_some(generation),
                    target_names,
                })
            }
            PoolAnswer::Refused {
                reason,
                retry_after,
            } => PoolKind::Refused(RefusedAnswer {
                reason: reason.to_string(),
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            }),
        }
    }
}
