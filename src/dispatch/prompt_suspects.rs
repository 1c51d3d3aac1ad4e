//! Finds parts of prompts that crash the targets that begin to answer them.
//!
//! Load patterns: requests that share one part, and are otherwise all different, arrive at any VM
//! and take one target after another out of service; sound requests share the account and the other
//! parts with them, and are in flight on the same targets when these crash; targets crash for other
//! reasons, many at the same moment; VMs restart, are cut off and lose messages.
//!
//! A part is suspected while no answer has begun on it since targets crashed under it. A part of a
//! harmful request never gets an answer, while sound parts get one soon, on this or another VM.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::{TargetKey, stable_hash};

/// The crashes without an answer in between after which a part is refused.
const MAX_CRASHES: usize = 3;
/// The same for a part that has been answered before, which needs more evidence: the users tolerate
/// five crashes.
const MAX_CRASHES_AFTER_ANSWER: usize = 5;
/// Aborts by the same target within this time are a single crash, since a target takes seconds to
/// restart.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Crashes of different targets within this time count as one, since they probably have a common
/// cause outside the requests.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(50);
/// How long an answer counts in favor of a part, and how long crashes count against it.
const MEMORY: Duration = Duration::from_secs(60);
/// How long a part stays refused after the last request with it.
const VERDICT_LIFETIME: Duration = Duration::from_secs(60);
/// How long a part stays refused at most. Then a single further crash is enough to refuse it again.
const MAX_VERDICT_AGE: Duration = Duration::from_secs(600);
/// A part that was answered within this time is not worth a message to other VMs.
const RECENT_ANSWER: Duration = Duration::from_secs(10);
/// How long a part stays refused that other VMs decided to refuse and no longer repeat; longer than
/// two repetitions by several VMs, and than it takes to replace one of these.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_millis(2500);
/// How often outdated entries are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// A part of a prompt, identified by the hash of its id, the same on every VM.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
)]
#[display("{_0:016x}")]
pub(crate) struct PromptPart(u64);

impl PromptPart {
    pub(crate) fn new(id: &str) -> Self {
        Self(stable_hash(&[&id.to_ascii_lowercase()]))
    }
}

#[derive(Debug, Clone, Copy)]
struct TargetCrash {
    target: TargetKey,
    at: Timestamp,
}

impl TargetCrash {
    fn is_same(&self, other: &Self) -> bool {
        let distance = self.at.since(other.at).max(other.at.since(self.at));
        self.target == other.target && distance < CRASH_WINDOW
    }
}

/// A part without an answer since the first of its crashes.
#[derive(Debug, Default)]
struct PartSuspicion {
    /// Distinct crashes, in the order of time.
    crashes: Vec<TargetCrash>,
    /// Set while requests with the part are refused.
    refused_since: Option<Timestamp>,
    /// Whether this VM itself has decided to refuse the part.
    is_own: bool,
    /// When another VM last stated that the part is to be refused.
    confirmed_at: Timestamp,
    /// When a request with the part last arrived at any VM.
    requested_at: Timestamp,
}

impl PartSuspicion {
    fn add(&mut self, crash: TargetCrash) {
        if !self.crashes.iter().any(|known| known.is_same(&crash)) {
            self.crashes.push(crash);
        }
    }

    /// The number of crashes, where those at the same moment count once.
    fn count(&self) -> usize {
        let mut last = None;
        let separate = self.crashes.iter().filter(|crash| {
            let is_separate = last.is_none_or(|at| crash.at.since(at) >= COMMON_CAUSE_WINDOW);
            if is_separate {
                last = Some(crash.at);
            }
            is_separate
        });
        separate.count()
    }

    fn is_outdated(&self, now: Timestamp) -> bool {
        let last_crash = self.crashes.last().map(|crash| crash.at);
        let last = last_crash.unwrap_or_default().max(self.requested_at);
        now.since(last) > MEMORY
    }
}

/// A VM's statement that a part is to be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PartVerdict {
    pub(crate) part: PromptPart,
    /// Whether the stating VM itself has decided to refuse the part.
    pub(crate) is_own: bool,
    /// For how long the part has been refused.
    pub(crate) age: Duration,
    /// For how long no request with the part has arrived at any VM.
    pub(crate) idle: Duration,
}

/// How a VM takes another VM's statement that a part is to be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VerdictReply {
    /// `is_new` is set if this VM did not refuse the part before.
    Accepted { is_new: bool },
    /// An answer began on the part this long ago, and too few crashes followed.
    Contested { age: Duration },
}

/// The parts that this VM suspects, and those on which answers have begun.
#[derive(Debug, Default)]
pub(crate) struct SuspectTable {
    suspicions: FastMap<PromptPart, PartSuspicion>,
    answered_at: FastMap<PromptPart, Timestamp>,
    pruned_at: Timestamp,
}

impl SuspectTable {
    /// Records that a target has begun to answer a request. Returns the parts that this acquits,
    /// which other VMs may still refuse.
    pub(crate) fn record_answer(
        &mut self,
        parts: &[PromptPart],
        now: Timestamp,
    ) -> Vec<PromptPart> {
        self.prune(now);
        let mut acquitted = Vec::new();
        for part in parts {
            self.answered_at.insert(*part, now);
            if let Some(suspicion) = self.suspicions.remove(part)
                && suspicion.refused_since.is_some()
            {
                acquitted.push(*part);
            }
        }
        acquitted
    }

    /// Records that a target crashed before it began to answer a request of this VM. Returns the
    /// parts that are refused from now on, which other VMs may contest.
    pub(crate) fn record_crash(
        &mut self,
        parts: &[PromptPart],
        target: TargetKey,
        now: Timestamp,
    ) -> Vec<PromptPart> {
        if !self.apply_crash(parts, target, now) {
            return Vec::new();
        }
        let counts = parts.iter().map(|part| (*part, self.crash_count(*part)));
        let mut guilty: Vec<_> = counts
            .filter(|(part, count)| *count >= self.required_crashes(*part, now))
            .collect();
        // The part with the most crashes explains those of the others.
        let most = guilty.iter().map(|(_, count)| *count).max();
        guilty.retain(|(_, count)| Some(*count) == most);
        for (part, _) in &guilty {
            self.refuse(*part, now).is_own = true;
        }
        guilty.into_iter().map(|(part, _)| part).collect()
    }

    /// Counts a crash under a request of this or another VM. Returns false if a part that is refused
    /// explains it. Only the VM that sent the request decides, so that few VMs announce the same part.
    pub(crate) fn apply_crash(
        &mut self,
        parts: &[PromptPart],
        target: TargetKey,
        now: Timestamp,
    ) -> bool {
        self.prune(now);
        if parts.iter().any(|part| self.is_refused(*part)) {
            return false;
        }
        let crash = TargetCrash { target, at: now };
        for part in parts {
            let suspicion = self.suspicions.entry(*part).or_default();
            suspicion.add(crash);
            suspicion.requested_at = suspicion.requested_at.max(now);
        }
        true
    }

    fn crash_count(&self, part: PromptPart) -> usize {
        self.suspicions.get(&part).map_or(0, PartSuspicion::count)
    }

    fn required_crashes(&self, part: PromptPart, now: Timestamp) -> usize {
        match self.answer_age(part, now) {
            Some(_) => MAX_CRASHES_AFTER_ANSWER,
            None => MAX_CRASHES,
        }
    }

    /// The time since an answer last began on the part on any VM, as far as this VM knows.
    fn answer_age(&self, part: PromptPart, now: Timestamp) -> Option<Duration> {
        let age = self.answered_at.get(&part).map(|at| now.since(*at));
        age.filter(|age| *age < MEMORY)
    }

    fn refuse(&mut self, part: PromptPart, since: Timestamp) -> &mut PartSuspicion {
        // Its crashes say nothing about the parts of other requests on the same targets.
        let explained = self.suspicions.get(&part);
        let explained = explained.map_or(Vec::new(), |suspicion| suspicion.crashes.clone());
        self.suspicions.retain(|other, suspicion| {
            if *other == part || suspicion.refused_since.is_some() {
                return true;
            }
            suspicion
                .crashes
                .retain(|crash| !explained.iter().any(|known| known.is_same(crash)));
            !suspicion.crashes.is_empty()
        });
        let suspicion = self.suspicions.entry(part).or_default();
        suspicion.refused_since = Some(since);
        suspicion
    }

    fn is_refused(&self, part: PromptPart) -> bool {
        let suspicion = self.suspicions.get(&part);
        suspicion.is_some_and(|suspicion| suspicion.refused_since.is_some())
    }

    /// Whether a request must be refused because of one of its parts.
    pub(crate) fn is_harmful(&mut self, parts: &[PromptPart], now: Timestamp) -> bool {
        if self.suspicions.is_empty() {
            return false;
        }
        self.prune(now);
        let mut harmful = false;
        for part in parts {
            if let Some(suspicion) = self.suspicions.get_mut(part)
                && suspicion.refused_since.is_some()
            {
                suspicion.requested_at = now;
                harmful = true;
            }
        }
        harmful
    }

    /// Whether a further target is to be spared a request, because it may have crashed several.
    pub(crate) fn is_suspected(&self, parts: &[PromptPart]) -> bool {
        let mut counts = parts.iter().map(|part| self.crash_count(*part));
        counts.any(|count| count + 1 >= MAX_CRASHES)
    }

    /// The parts of a crashed request that other VMs must know of to count the crash.
    pub(crate) fn parts_to_report(&self, parts: &[PromptPart], now: Timestamp) -> Vec<PromptPart> {
        let unanswered = |part: &&PromptPart| {
            let age = self.answer_age(**part, now);
            age.is_none_or(|age| age >= RECENT_ANSWER)
        };
        parts.iter().filter(unanswered).copied().collect()
    }

    /// The parts that this VM refuses.
    pub(crate) fn verdicts(&self, now: Timestamp) -> impl Iterator<Item = PartVerdict> {
        self.suspicions.iter().filter_map(move |(part, suspicion)| {
            Some(PartVerdict {
                is_own: suspicion.is_own,
                part: *part,
                age: now.since(suspicion.refused_since?),
                idle: now.since(suspicion.requested_at),
            })
        })
    }

    /// Applies another VM's statement that a part is to be refused.
    pub(crate) fn apply_verdict(&mut self, verdict: PartVerdict, now: Timestamp) -> VerdictReply {
        let PartVerdict {
            part, age, idle, ..
        } = verdict;
        self.prune(now);
        if let Some(age) = self.answer_age(part, now)
            && self.crash_count(part) < MAX_CRASHES_AFTER_ANSWER
        {
            return VerdictReply::Contested { age };
        }
        if age >= MAX_VERDICT_AGE || idle >= VERDICT_LIFETIME {
            return VerdictReply::Accepted { is_new: false };
        }
        let is_new = !self.is_refused(part);
        if is_new {
            self.refuse(part, now.before(age));
        }
        if let Some(suspicion) = self.suspicions.get_mut(&part) {
            suspicion.requested_at = suspicion.requested_at.max(now.before(idle));
            suspicion.confirmed_at = now;
        }
        VerdictReply::Accepted { is_new }
    }

    /// Applies another VM's statement that an answer began on a part this long ago. If the part is
    /// therefore no longer refused, returns whether this VM itself had decided to refuse it.
    pub(crate) fn apply_answer(
        &mut self,
        part: PromptPart,
        age: Duration,
        now: Timestamp,
    ) -> Option<bool> {
        let answered_at = now.before(age);
        let known = self.answered_at.entry(part).or_insert(answered_at);
        *known = answered_at.max(*known);
        let suspicion = self.suspicions.get_mut(&part)?;
        suspicion.crashes.retain(|crash| crash.at > answered_at);
        if suspicion.count() >= MAX_CRASHES_AFTER_ANSWER {
            return None;
        }
        suspicion.refused_since.take()?;
        Some(std::mem::take(&mut suspicion.is_own))
    }

    /// Admits the parts again that other VMs decided to refuse and no longer repeat: the message that
    /// one of them was answered may have been lost. Not for VMs that repeat them for the others.
    pub(crate) fn drop_unconfirmed(&mut self, now: Timestamp) {
        for suspicion in self.suspicions.values_mut() {
            let is_confirmed = now.since(suspicion.confirmed_at) < UNCONFIRMED_LIFETIME;
            if !suspicion.is_own && !is_confirmed {
                suspicion.refused_since = None;
            }
        }
    }

    fn prune(&mut self, now: Timestamp) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.answered_at.retain(|_, at| now.since(*at) < MEMORY);
        self.suspicions.retain(|_, suspicion| {
            let too_old = |since: &Timestamp| now.since(*since) >= MAX_VERDICT_AGE;
            let idle = now.since(suspicion.requested_at) >= VERDICT_LIFETIME;
            suspicion.refused_since = suspicion
                .refused_since
                .filter(|since| !too_old(since) && !idle);
            suspicion.refused_since.is_some() || !suspicion.is_outdated(now)
        });
    }
}
