//! The state of one account at a node: cached grants, waiting requests, and the grant request in
//! flight to the owner.

use std::collections::VecDeque;
use std::time::Duration;

use super::wire::{GrantPart, GrantRequest, GrantResponse};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;

/// How long a node may spend a grant, counted from the first sending of the grant request.
pub(crate) const GRANT_LIFETIME: Duration = Duration::from_secs(2);
/// How long a request may wait for the refill at its account's rate.
pub(crate) const MAX_RATE_WAIT: Duration = Duration::from_millis(250);
/// The longest time for which a refusal is cached, because refunds can raise the level before the
/// time that the owner gave.
const REFUSAL_CACHE_LIMIT: Duration = Duration::from_millis(500);
/// A node returns an account's grants when it has not used them for this long.
const GRANT_IDLE_LIMIT: Duration = Duration::from_millis(50);
/// Consumption is counted in windows of this length. The prefetch is the higher consumption of the
/// current and the previous window.
const USAGE_WINDOW: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, PartialEq, Eq)]
struct CachedGrant {
    id: u64,
    remaining: u64,
    expires: Timestamp,
}

/// A client request that waits for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChargeWaiter {
    pub(crate) ticket: u64,
    pub(crate) need: u64,
    /// When the wait ends if no owner can be reached.
    pub(crate) deadline: Timestamp,
    /// When the request first waited because the owner reported a level that is too low.
    pub(crate) short_since: Option<Timestamp>,
}

/// A grant request without a response yet.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct InFlightRequest {
    pub(crate) request: GrantRequest,
    pub(crate) first_sent: Timestamp,
    pub(crate) last_sent: Timestamp,
}

/// A shortage that the owner reported. Wait times for other needs are estimated from it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RateShortage {
    tokens: u64,
    /// The tokens beyond `tokens` that other nodes may return before `until`.
    returnable: u64,
    /// When the level suffices for `tokens`.
    until: Timestamp,
    /// After this time new requests are sent to the owner again.
    cached_until: Timestamp,
    /// Until this time the wait is caused by a takeover and not by the rate. Zero without a
    /// takeover.
    pause_end: Timestamp,
    /// Until this time the shortage may be caused by a takeover, and requests wait for tokens up to
    /// their deadline, as they wait for an owner.
    catch_up_end: Timestamp,
}

impl RateShortage {
    /// The latest time until which a request may wait that has been short of tokens since
    /// `short_since`.
    fn wait_limit(&self, now: Timestamp, short_since: Timestamp, deadline: Timestamp) -> Timestamp {
        let limit = short_since.max(self.pause_end) + MAX_RATE_WAIT;
        match now < self.catch_up_end {
            true => limit.max(deadline),
            false => limit,
        }
    }
}

/// Why a waiting request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitFailure {
    OverRate { retry_after: Duration },
    Unavailable,
}

#[derive(Debug, Clone)]
pub(crate) struct AccountLimiter {
    pub(crate) partition: u32,
    pub(crate) rate: RateEntry,
    /// Oldest first, so that the grant that expires first is spent first.
    grants: VecDeque<CachedGrant>,
    /// In the order of arrival.
    pub(crate) waiters: VecDeque<ChargeWaiter>,
    pub(crate) in_flight: Option<InFlightRequest>,
    shortage: Option<RateShortage>,
    last_used: Timestamp,
    window_start: Timestamp,
    /// The tokens used in the previous and in the current usage window.
    window_tokens: [u64; 2],
}

impl AccountLimiter {
    pub(crate) fn new(partition: u32, rate: RateEntry) -> Self {
        Self {
            partition,
            rate,
            grants: VecDeque::new(),
            waiters: VecDeque::new(),
            in_flight: None,
            shortage: None,
            last_used: Timestamp::default(),
            window_start: Timestamp::default(),
            window_tokens: [0; 2],
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.waiters.is_empty() && self.in_flight.is_none()
    }

    /// Spends `need` tokens of the cached grants, or none if they hold fewer.
    pub(crate) fn spend(&mut self, now: Timestamp, need: u64) -> Option<Vec<GrantPart>> {
        if self.cached_tokens(now) < need {
            return None;
        }
        let mut remaining = need;
        let mut parts = Vec::new();
        for grant in self.grants.iter_mut().filter(|grant| grant.expires > now) {
            let tokens = grant.remaining.min(remaining);
            grant.remaining -= tokens;
            remaining -= tokens;
            if tokens > 0 {
                parts.push(GrantPart {
                    grant: grant.id,
                    tokens,
                });
            }
        }
        self.grants.retain(|grant| grant.remaining > 0);
        self.record_usage(now, need);
        Some(parts)
    }

    fn cached_tokens(&self, now: Timestamp) -> u64 {
        let valid = self.grants.iter().filter(|grant| grant.expires > now);
        valid.map(|grant| grant.remaining).sum()
    }

    fn record_usage(&mut self, now: Timestamp, tokens: u64) {
        self.last_used = now;
        let elapsed = now.since(self.window_start);
        if elapsed >= USAGE_WINDOW {
            let previous = self.window_tokens[1];
            self.window_tokens = [
                if elapsed < 2 * USAGE_WINDOW {
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

    /// Removes the expired grants, or all grants if they are recalled or the account is idle, and
    /// returns their ids.
    pub(crate) fn remove_grants(&mut self, now: Timestamp, is_recalled: bool) -> Vec<u64> {
        let is_idle = now.since(self.last_used) >= GRANT_IDLE_LIMIT;
        let remove_all = is_idle || is_recalled;
        let (removed, kept) = std::mem::take(&mut self.grants)
            .into_iter()
            .partition::<VecDeque<_>, _>(|grant| remove_all || grant.expires <= now);
        self.grants = kept;
        removed.into_iter().map(|grant| grant.id).collect()
    }

    /// Clears the shortage when its cache time is over and no request is waiting.
    pub(crate) fn clear_expired_shortage(&mut self, now: Timestamp) {
        let is_old = |shortage: &mut RateShortage| now >= shortage.cached_until;
        if self.waiters.is_empty() {
            self.shortage.take_if(is_old);
        }
    }

    /// The time after which a new request for `need` tokens should be retried, if according to the
    /// owner's last response it can't be served within the longest wait.
    pub(crate) fn cached_refusal(
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

    /// The estimated time at which the level suffices for `tokens`.
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
        Timestamp::from_millis(ready).max(shortage.pause_end)
    }

    /// Removes the waiters that can no longer be served, and returns their tickets with the reason.
    pub(crate) fn fail_waiters(
        &mut self,
        now: Timestamp,
        has_owner: bool,
    ) -> Vec<(u64, WaitFailure)> {
        let mut failed = Vec::new();
        let mut kept = VecDeque::new();
        let mut ahead = 0;
        for waiter in std::mem::take(&mut self.waiters) {
            match self.wait_failure(now, &waiter, ahead, has_owner) {
                Some(failure) => failed.push((waiter.ticket, failure)),
                None => {
                    ahead += waiter.need;
                    kept.push_back(waiter);
                }
            }
        }
        self.waiters = kept;
        failed
    }

    fn wait_failure(
        &self,
        now: Timestamp,
        waiter: &ChargeWaiter,
        ahead: u64,
        has_owner: bool,
    ) -> Option<WaitFailure> {
        if now >= waiter.deadline {
            return Some(WaitFailure::Unavailable);
        }
        let shortage = self.shortage.as_ref()?;
        let limit = shortage.wait_limit(now, waiter.short_since?, waiter.deadline);
        let ready = self.ready_at(shortage, ahead + waiter.need);
        let has_timed_out = now >= limit && self.in_flight.is_none() && has_owner;
        let retry_after = ready.since(now).max(Duration::from_millis(1));
        (ready > limit || has_timed_out).then_some(WaitFailure::OverRate { retry_after })
    }

    /// The grant request to send next, unless one is in flight or the known shortage lasts.
    pub(crate) fn next_request(&mut self, now: Timestamp) -> Option<GrantRequest> {
        let first = self.waiters.front()?;
        let must_wait = self
            .shortage
            .as_ref()
            .is_some_and(|shortage| self.ready_at(shortage, first.need) > now);
        if self.in_flight.is_some() || must_wait {
            return None;
        }
        let mut cached = self.cached_tokens(now);
        let needs = self.waiters.iter().map(|waiter| {
            let from_cache = cached.min(waiter.need);
            cached -= from_cache;
            waiter.need - from_cache
        });
        Some(GrantRequest {
            needs: needs.collect(),
            prefetch: self.window_tokens[0].max(self.window_tokens[1]),
            ..GrantRequest::default()
        })
    }

    /// Applies the owner's response to the grant request in flight. Returns false if it granted
    /// nothing or the grant has already expired.
    pub(crate) fn apply_response(&mut self, now: Timestamp, response: &GrantResponse) -> bool {
        let Some(in_flight) = self.in_flight.take() else {
            return false;
        };
        let expires = in_flight.first_sent + GRANT_LIFETIME;
        self.shortage = (response.short_of > 0 && response.exceeded_burst == 0).then(|| {
            let until = now + Duration::from_millis(response.wait_ms);
            let pause = Duration::from_millis(response.takeover_pause_ms);
            RateShortage {
                tokens: response.short_of,
                returnable: response.returnable,
                until,
                cached_until: until.min(now + REFUSAL_CACHE_LIMIT),
                pause_end: if pause.is_zero() {
                    Timestamp::default()
                } else {
                    now + pause
                },
                catch_up_end: now + Duration::from_millis(response.catch_up_ms),
            }
        });
        if response.granted == 0 || expires <= now {
            return false;
        }
        self.last_used = now;
        self.grants.push_back(CachedGrant {
            id: response.id,
            remaining: response.granted,
            expires,
        });
        true
    }

    /// Starts the limited wait for the rate at `now` for all waiters, if the account is short of
    /// tokens.
    pub(crate) fn start_rate_wait(&mut self, now: Timestamp) {
        if self.shortage.is_some() {
            for waiter in &mut self.waiters {
                waiter.short_since.get_or_insert(now);
            }
        }
    }

    /// Ends the caching of a refusal, because a refund may have raised the level. A shortage during
    /// the pause after a takeover stays cached.
    pub(crate) fn expire_cached_refusal(&mut self, now: Timestamp) {
        if let Some(shortage) = &mut self.shortage
            && shortage.pause_end <= now
        {
            shortage.cached_until = now;
        }
    }
}
