//! What a node knows of one account: cached grants, waiting requests, the open ask.

use std::collections::VecDeque;
use std::time::Duration;

use super::wire::{GrantAnswer, GrantAsk, GrantPart};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;

/// How long a node may spend a grant, from the moment it sent the ask.
pub(crate) const GRANT_LIMIT: Duration = Duration::from_secs(2);
/// How long a request may wait for its account's rate.
pub(crate) const RATE_WAIT: Duration = Duration::from_millis(250);
/// How long a refusal is cached at most: refunds raise the level before the time given.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);
/// A node that did not use its grants for so long returns them.
const IDLE_LIMIT: Duration = Duration::from_millis(50);
/// The consumption of the last one to two windows is prefetched.
const WISH_WINDOW: Duration = Duration::from_millis(250);

/// Tokens that the owner granted to this node.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CachedGrant {
    id: u64,
    left: u64,
    expires: Timestamp,
}

/// A request that waits for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChargeWaiter {
    pub(crate) ticket: u64,
    pub(crate) need: u64,
    /// When the wait ends even if no owner can be reached.
    pub(crate) deadline: Timestamp,
    /// When the owner first said that the level is too low.
    pub(crate) short_since: Option<Timestamp>,
}

/// An ask that is not answered yet.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct OpenAsk {
    pub(crate) ask: GrantAsk,
    pub(crate) first_sent: Timestamp,
    pub(crate) last_sent: Timestamp,
}

/// A refusal that the owner decided, and what follows from it for other needs.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RateShortage {
    tokens: u64,
    /// What other nodes may return until then, beyond `tokens`.
    returnable: u64,
    /// When the level suffices for `tokens`.
    until: Timestamp,
    /// New requests ask the owner again from here on.
    cached_until: Timestamp,
    /// The wait before this is due to a takeover and not to the rate. Zero without a takeover.
    pause_ends: Timestamp,
    /// Until then the shortage may be due to a takeover: requests wait for their tokens as they
    /// wait for an owner.
    catch_up_ends: Timestamp,
}

impl RateShortage {
    /// How long a request may wait that the owner first could not serve at `short_since`.
    fn wait_limit(&self, now: Timestamp, short_since: Timestamp, deadline: Timestamp) -> Timestamp {
        let limit = short_since.max(self.pause_ends) + RATE_WAIT;
        match now < self.catch_up_ends {
            true => limit.max(deadline),
            false => limit,
        }
    }
}

/// Why a waiter leaves the queue without tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitEnd {
    OverRate { retry_after: Duration },
    Unavailable,
}

/// One account at this node.
#[derive(Debug, Clone)]
pub(crate) struct AccountShare {
    pub(crate) partition: u32,
    pub(crate) rate: RateEntry,
    /// From old to new, so that the grant that expires first is spent first.
    grants: VecDeque<CachedGrant>,
    /// In the order of arrival.
    pub(crate) waiters: VecDeque<ChargeWaiter>,
    pub(crate) ask: Option<OpenAsk>,
    shortage: Option<RateShortage>,
    last_used: Timestamp,
    window_start: Timestamp,
    window_tokens: [u64; 2],
}

impl AccountShare {
    pub(crate) fn new(partition: u32, rate: RateEntry) -> Self {
        Self {
            partition,
            rate,
            grants: VecDeque::new(),
            waiters: VecDeque::new(),
            ask: None,
            shortage: None,
            last_used: Timestamp::default(),
            window_start: Timestamp::default(),
            window_tokens: [0; 2],
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.waiters.is_empty() && self.ask.is_none()
    }

    /// Takes `need` tokens out of the cached grants, all or nothing.
    pub(crate) fn take(&mut self, now: Timestamp, need: u64) -> Option<Vec<GrantPart>> {
        if self.cached(now) < need {
            return None;
        }
        let mut left = need;
        let mut parts = Vec::new();
        for grant in self.grants.iter_mut().filter(|grant| grant.expires > now) {
            let tokens = grant.left.min(left);
            grant.left -= tokens;
            left -= tokens;
            if tokens > 0 {
                parts.push(GrantPart {
                    grant: grant.id,
                    tokens,
                });
            }
        }
        self.grants.retain(|grant| grant.left > 0);
        self.note_use(now, need);
        Some(parts)
    }

    fn cached(&self, now: Timestamp) -> u64 {
        let valid = self.grants.iter().filter(|grant| grant.expires > now);
        valid.map(|grant| grant.left).sum()
    }

    fn note_use(&mut self, now: Timestamp, tokens: u64) {
        self.last_used = now;
        let elapsed = now.since(self.window_start);
        if elapsed >= WISH_WINDOW {
            let previous = self.window_tokens[1];
            self.window_tokens = [
                if elapsed < 2 * WISH_WINDOW {
                    previous
                } else {
                    0
                },
                0,
            ];
            self.window_start = now;
        }
        self.window_tokens[1] += tokens;
    }

    /// Removes the grants that must not be spent any more and tells their ids: expired ones, and
    /// all once they are idle or recalled.
    pub(crate) fn drop_grants(&mut self, now: Timestamp, recalled: bool) -> Vec<u64> {
        let idle = now.since(self.last_used) >= IDLE_LIMIT;
        let drop_all = idle || recalled;
        let (dropped, kept) = std::mem::take(&mut self.grants)
            .into_iter()
            .partition::<VecDeque<_>, _>(|grant| drop_all || grant.expires <= now);
        self.grants = kept;
        dropped.into_iter().map(|grant| grant.id).collect()
    }

    /// Forgets a shortage that new requests must not be refused for any more.
    pub(crate) fn forget_old_shortage(&mut self, now: Timestamp) {
        let is_old = |shortage: &mut RateShortage| now >= shortage.cached_until;
        if self.waiters.is_empty() {
            self.shortage.take_if(is_old);
        }
    }

    /// How long a new request for `need` tokens should stay away, if the owner's last answer
    /// tells that it can't be served within the longest wait.
    pub(crate) fn refusal(
        &self,
        now: Timestamp,
        need: u64,
        deadline: Timestamp,
    ) -> Option<Duration> {
        let shortage = self.shortage.as_ref()?;
        let ahead: u64 = self.waiters.iter().map(|waiter| waiter.need).sum();
        let ready = self.ready_at(shortage, ahead + need);
        (ready > shortage.wait_limit(now, now, deadline)).then(|| ready.since(now))
    }

    /// When the level suffices for `tokens`.
    fn ready_at(&self, shortage: &RateShortage, tokens: u64) -> Timestamp {
        let rate = u64::from(self.rate.tokens_per_second).max(1);
        let millis = |tokens: u64| tokens.saturating_mul(1000).div_ceil(rate);
        let until = shortage.until.as_millis();
        let ready = if tokens >= shortage.tokens {
            let beyond = tokens - shortage.tokens;
            until.saturating_add(millis(beyond.saturating_sub(shortage.returnable)))
        } else {
            until.saturating_sub(millis(shortage.tokens - tokens))
        };
        Timestamp::from_millis(ready).max(shortage.pause_ends)
    }

    /// Tells the waiters that can't be served any more.
    pub(crate) fn end_waits(&mut self, now: Timestamp, has_owner: bool) -> Vec<(u64, WaitEnd)> {
        let mut ended = Vec::new();
        let mut kept = VecDeque::new();
        let mut ahead = 0;
        for waiter in std::mem::take(&mut self.waiters) {
            match self.wait_end(now, &waiter, ahead, has_owner) {
                Some(end) => ended.push((waiter.ticket, end)),
                None => {
                    ahead += waiter.need;
                    kept.push_back(waiter);
                }
            }
        }
        self.waiters = kept;
        ended
    }

    fn wait_end(
        &self,
        now: Timestamp,
        waiter: &ChargeWaiter,
        ahead: u64,
        has_owner: bool,
    ) -> Option<WaitEnd> {
        if now >= waiter.deadline {
            return Some(WaitEnd::Unavailable);
        }
        let shortage = self.shortage.as_ref()?;
        let limit = shortage.wait_limit(now, waiter.short_since?, waiter.deadline);
        let ready = self.ready_at(shortage, ahead + waiter.need);
        let is_late = now >= limit && self.ask.is_none() && has_owner;
        let retry_after = ready.since(now).max(Duration::from_millis(1));
        (ready > limit || is_late).then_some(WaitEnd::OverRate { retry_after })
    }

    /// The next ask, if one is due.
    pub(crate) fn next_ask(&mut self, now: Timestamp) -> Option<GrantAsk> {
        let first = self.waiters.front()?;
        let waits = self
            .shortage
            .as_ref()
            .is_some_and(|shortage| self.ready_at(shortage, first.need) > now);
        if self.ask.is_some() || waits {
            return None;
        }
        let mut cached = self.cached(now);
        let needs = self.waiters.iter().map(|waiter| {
            let from_cache = cached.min(waiter.need);
            cached -= from_cache;
            waiter.need - from_cache
        });
        Some(GrantAsk {
            needs: needs.collect(),
            wish: self.window_tokens[0].max(self.window_tokens[1]),
            ..GrantAsk::default()
        })
    }

    /// Takes the owner's answer to the open ask. False if the grant came too late to be spent.
    pub(crate) fn accept(&mut self, now: Timestamp, answer: &GrantAnswer) -> bool {
        let Some(open) = self.ask.take() else {
            return false;
        };
        let expires = open.first_sent + GRANT_LIMIT;
        self.shortage = (answer.short_of > 0 && answer.over_burst == 0).then(|| {
            let until = now + Duration::from_millis(answer.wait_ms);
            let pause = Duration::from_millis(answer.pause_ms);
            RateShortage {
                tokens: answer.short_of,
                returnable: answer.returnable,
                until,
                cached_until: until.min(now + REFUSAL_LIMIT),
                pause_ends: if pause.is_zero() {
                    Timestamp::default()
                } else {
                    now + pause
                },
                catch_up_ends: now + Duration::from_millis(answer.catch_up_ms),
            }
        });
        if answer.granted == 0 || expires <= now {
            return false;
        }
        self.last_used = now;
        self.grants.push_back(CachedGrant {
            id: answer.id,
            left: answer.granted,
            expires,
        });
        true
    }

    /// Starts the wait for the rate of those that are still waiting after an answer.
    pub(crate) fn start_rate_wait(&mut self, now: Timestamp) {
        if self.shortage.is_some() {
            for waiter in &mut self.waiters {
                waiter.short_since.get_or_insert(now);
            }
        }
    }

    /// A refund may have raised the level: the owner is asked again.
    pub(crate) fn forget_refusal(&mut self, now: Timestamp) {
        if let Some(shortage) = &mut self.shortage
            && shortage.pause_ends <= now
        {
            shortage.cached_until = now;
        }
    }
}
