//! The numbers that a coordinator's process gives to the names in messages.
//!
//! No number is given twice, and a node uses a number only under the fencing token under which it
//! got it. A token belongs to one process, so that a number means the same name to both sides or
//! is not known at all.

use std::hash::Hash;

use super::event::PoolAnswer;
use super::wire::{
    AcquireAsk, GivenNumbers, PinnedAnswer, PoolKind, RefusedAnswer, SessionTag, generation_parts,
};
use crate::collections::FastMap;
use crate::ids::{
    AccountName, AdapterVersion, BaseModel, BootId, FencingToken, NodeName, TargetName,
};

/// The names of one kind that have a number at the same time, about 3 MB of adapters. One more
/// begins a new set; nodes then ask by name once more.
const NAMES_LIMIT: usize = 16_384;

/// Names with numbers from 1 on, in the order of their first use.
#[derive(Debug)]
pub(super) struct NumberedNames<T> {
    first: u64,
    limit: usize,
    names: Vec<T>,
    numbers: FastMap<T, u64>,
}

impl<T: Clone + Eq + Hash> NumberedNames<T> {
    pub(super) fn with_limit(limit: usize) -> Self {
        Self {
            first: 1,
            limit,
            names: Vec::new(),
            numbers: FastMap::default(),
        }
    }

    /// The number of a name; a new one if it has none.
    pub(super) fn number(&mut self, name: &T) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        if self.names.len() >= self.limit {
            self.first += self.names.len() as u64;
            self.names.clear();
            self.numbers.clear();
        }
        let number = self.first + self.names.len() as u64;
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), number);
        number
    }
}

impl<T> NumberedNames<T> {
    /// The name of a number, unless it was never given or is forgotten.
    pub(super) fn name(&self, number: u64) -> Option<&T> {
        let index = usize::try_from(number.checked_sub(self.first)?).ok()?;
        self.names.get(index)
    }
}

impl<T: Clone + std::str::FromStr> NumberedNames<T> {
    /// The name that a message gives by number, or by name with the number 0.
    fn named(&self, number: u64, name: &str) -> Result<T, MessageFault> {
        if number == 0 {
            return name.parse().map_err(|_| MessageFault::Malformed);
        }
        self.name(number).cloned().ok_or(MessageFault::Unknown)
    }
}

/// One process that uses one pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PoolSession {
    pub(super) model: BaseModel,
    pub(super) node: NodeName,
    pub(super) boot: BootId,
}

impl PoolSession {
    /// The session that a tag gives by name.
    pub(super) fn named(tag: &SessionTag) -> Option<Self> {
        Some(Self {
            model: tag.base_model.parse().ok()?,
            node: tag.node.parse().ok()?,
            boot: tag.boot?.into(),
        })
    }
}

/// The numbers that this process has given as a coordinator, for all its pools and leases.
#[derive(Debug)]
pub(super) struct GivenNames {
    sessions: NumberedNames<PoolSession>,
    adapters: NumberedNames<AdapterVersion>,
    accounts: NumberedNames<AccountName>,
    /// Bounded by the configuration. A node knows them from 1 up to a number without a gap.
    targets: NumberedNames<TargetName>,
}

impl Default for GivenNames {
    fn default() -> Self {
        Self::with_limit(NAMES_LIMIT)
    }
}

/// Why a message can't be acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageFault {
    /// It has a number that this process did not give, or not under the message's token.
    Unknown,
    Malformed,
}

/// What a request for a place names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AskedNames {
    pub(super) session: PoolSession,
    pub(super) adapter: AdapterVersion,
    pub(super) account: AccountName,
}

impl GivenNames {
    /// Numbers for at most `limit` names of a kind at the same time.
    pub(super) fn with_limit(limit: usize) -> Self {
        Self {
            sessions: NumberedNames::with_limit(limit),
            adapters: NumberedNames::with_limit(limit),
            accounts: NumberedNames::with_limit(limit),
            targets: NumberedNames::with_limit(usize::MAX),
        }
    }

    /// The session of a message. `held` tells the token under which this process coordinates a
    /// pool: other processes give the same numbers to other names.
    pub(super) fn session(
        &self,
        tag: Option<&SessionTag>,
        held: impl Fn(&BaseModel) -> Option<FencingToken>,
    ) -> Result<PoolSession, MessageFault> {
        let tag = tag.ok_or(MessageFault::Malformed)?;
        if tag.number == 0 {
            return PoolSession::named(tag).ok_or(MessageFault::Malformed);
        }
        let session = self.sessions.name(tag.number);
        let session = session.ok_or(MessageFault::Unknown)?;
        match held(&session.model) == Some(tag.fence.into()) {
            true => Ok(session.clone()),
            false => Err(MessageFault::Unknown),
        }
    }

    /// The names in a request for a place.
    pub(super) fn asked(
        &self,
        ask: &AcquireAsk,
        held: impl Fn(&BaseModel) -> Option<FencingToken>,
    ) -> Result<AskedNames, MessageFault> {
        let session = self.session(ask.session.as_ref(), &held)?;
        let fence = ask.session.as_ref().map(|tag| tag.fence.into());
        if (ask.adapter != 0 || ask.account != 0) && held(&session.model) != fence {
            return Err(MessageFault::Unknown);
        }
        Ok(AskedNames {
            adapter: self.adapters.named(ask.adapter, &ask.adapter_name)?,
            account: self.accounts.named(ask.account, &ask.account_name)?,
            session,
        })
    }

    /// The numbers of what a request gives by name, under the token `fence`.
    pub(super) fn give(
        &mut self,
        ask: &AcquireAsk,
        names: &AskedNames,
        fence: FencingToken,
    ) -> Option<GivenNumbers> {
        let tag = ask.session.as_ref()?;
        let mut given = self.give_session(tag, &names.session, fence);
        let fresh = || GivenNumbers {
            fence: fence.into(),
            ..GivenNumbers::default()
        };
        if ask.adapter == 0 {
            let number = self.adapters.number(&names.adapter);
            given.get_or_insert_with(fresh).adapter = number;
        }
        if ask.account == 0 {
            let number = self.accounts.number(&names.account);
            given.get_or_insert_with(fresh).account = number;
        }
        given
    }

    /// The number of a session that a message gives by name.
    pub(super) fn give_session(
        &mut self,
        tag: &SessionTag,
        session: &PoolSession,
        fence: FencingToken,
    ) -> Option<GivenNumbers> {
        (tag.number == 0).then(|| GivenNumbers {
            fence: fence.into(),
            session: self.sessions.number(session),
            ..GivenNumbers::default()
        })
    }

    /// The number of a target, and the names after `known` up to it.
    fn target(&mut self, target: &TargetName, known: u64) -> (u64, Vec<String>) {
        let number = self.targets.number(target);
        let new = (known.saturating_add(1)..=number).filter_map(|number| self.targets.name(number));
        let new = new.map(ToString::to_string).collect();
        (number, new)
    }

    /// The answer to a request, without what the request tells.
    pub(super) fn answer(
        &mut self,
        answer: PoolAnswer,
        ask: &AcquireAsk,
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
                let same = ask.session.as_ref().map(|tag| tag.fence) == Some(fence);
                let known = if same { ask.known_targets } else { 0 };
                let (target, target_names) = self.target(&target, known);
                let parts = generation_parts(adapter, &generation);
                let (of_fence, sequence) = parts.unwrap_or((fence, 0));
                PoolKind::Pinned(PinnedAnswer {
                    target,
                    sequence,
                    generation_fence: (of_fence != fence).then_some(of_fence),
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
