//! The node's cache of the ids that a pool's coordinator has assigned.

use std::hash::Hash;

use super::assigned_ids::PoolSession;
use super::service::PoolRequest;
use super::wire::{AcquireMessage, IdAssignments, PinnedAnswer, SessionTag, generation_name};
use crate::collections::FastMap;
use crate::ids::{AccountName, AdapterVersion, TargetName};

/// The maximum number of cached ids per pool and kind of name.
const KNOWN_LIMIT: usize = 16_384;

/// The ids of one pool, valid under one fencing token.
#[derive(Debug, Default)]
pub(super) struct KnownIds {
    fence: u64,
    session: u64,
    adapters: FastMap<AdapterVersion, u64>,
    accounts: FastMap<AccountName, u64>,
    targets: Vec<TargetName>,
}

impl KnownIds {
    /// Clears the cache if its ids were assigned under another fencing token.
    pub(super) fn for_fence(&mut self, fence: u64) -> &mut Self {
        if self.fence != fence {
            *self = Self {
                fence,
                ..Self::default()
            };
        }
        self
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Identifies the session by its id, or by name if it has none.
    pub(super) fn session_tag(&self, session: &PoolSession) -> SessionTag {
        let mut tag = SessionTag {
            fence: self.fence,
            id: self.session,
            ..SessionTag::default()
        };
        if tag.id == 0 {
            tag.base_model = session.model.to_string();
            tag.node = session.node.to_string();
            tag.boot = Some(session.boot.into());
        }
        tag
    }

    /// Writes the adapter and the account of a request, by id where they have one.
    pub(super) fn encode_request(&self, message: &mut AcquireMessage, request: &PoolRequest) {
        message.known_targets = self.target_count();
        message.adapter = self.adapters.get(&request.adapter).copied().unwrap_or(0);
        if message.adapter == 0 {
            message.adapter_name = request.adapter.to_string();
        }
        message.account = self.accounts.get(&request.account).copied().unwrap_or(0);
        if message.account == 0 {
            message.account_name = request.account.to_string();
        }
    }

    fn target_count(&self) -> u64 {
        self.targets.len() as u64
    }

    /// The target and the generation of an answer under this fencing token; `None` if the target's
    /// name is not known.
    pub(super) fn decode_pin(
        &mut self,
        message: &AcquireMessage,
        answer: &PinnedAnswer,
        adapter: &AdapterVersion,
    ) -> Option<(TargetName, String)> {
        // An answer that carries a fencing token contains the names of all targets up to its own.
        let known = match answer.fence {
            None => message.known_targets,
            Some(_) => 0,
        };
        self.record_targets(known, &answer.target_names);
        let index = usize::try_from(answer.target.checked_sub(1)?).ok()?;
        let target = self.targets.get(index)?.clone();
        let generation_fence = answer.generation_fence.unwrap_or(self.fence);
        let default_name = || generation_name(adapter, generation_fence, answer.sequence);
        Some((
            target,
            answer.generation.clone().unwrap_or_else(default_name),
        ))
    }

    /// Records the ids assigned to names that were sent in a request.
    pub(super) fn record_ids(
        &mut self,
        assigned_ids: &IdAssignments,
        sent_names: Option<(&AdapterVersion, &AccountName)>,
    ) {
        if assigned_ids.session != 0 {
            self.session = assigned_ids.session;
        }
        let Some((adapter, account)) = sent_names else {
            return;
        };
        if assigned_ids.adapter != 0 {
            insert_bounded(&mut self.adapters, adapter, assigned_ids.adapter);
        }
        if assigned_ids.account != 0 {
            insert_bounded(&mut self.accounts, account, assigned_ids.account);
        }
    }

    /// Records the names of the targets that follow the first `known` ones.
    fn record_targets(&mut self, known: u64, names: &[String]) {
        for (index, name) in names.iter().enumerate() {
            let Ok(name) = name.parse() else { return };
            if known + index as u64 == self.target_count() {
                self.targets.push(name);
            }
        }
    }
}

fn insert_bounded<T: Clone + Eq + Hash>(map: &mut FastMap<T, u64>, name: &T, id: u64) {
    if map.len() >= KNOWN_LIMIT {
        map.clear();
    }
    map.insert(name.clone(), id);
}
