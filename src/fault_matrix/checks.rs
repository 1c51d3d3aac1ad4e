//! The invariants of section 1.1 of the design page, checked across all nodes and targets. The
//! number in the name of an invariant, if any, is its number in that section.

use std::collections::{BTreeMap, BTreeSet};

use super::log::LOG_START_MS;
use super::node::roles;
use super::world::{NODES, World};
use crate::claims::attempt::ClaimRefusal;
use crate::claims::record::ClaimNonce;
use crate::config::change::{ConfigChange, SectionRevisions};
use crate::config::follower::ConfigRecord;
use crate::config::model::{KeyDigest, SectionName};
use crate::config::state::ConfigState;
use crate::ids::{AccountName, FencingToken, LogOffset};
use crate::platform_client::LogRecord;
use crate::pool::event::AcquireKey;

/// The time within which an accepted change must be applied on every node.
const CONFIG_LAG_LIMIT_MS: u64 = 4_000;

/// The rate (tokens per second) and burst (tokens) of account `acme`.
const RATE: u64 = 80;
const BURST: u64 = 600;

/// The parts of the configuration state that are compared after each record.
#[derive(Debug, Clone, PartialEq)]
struct ConfigView {
    revisions: SectionRevisions,
    entries: usize,
    has_key: bool,
    zones: Vec<bool>,
}

impl ConfigView {
    fn of(config: &ConfigState) -> Self {
        let digest = KeyDigest::of_key(super::log::ACME_KEY);
        Self {
            revisions: config.revisions().clone(),
            entries: config.entry_count(),
            has_key: config.key_by_digest(&digest).is_some(),
            zones: config
                .zones
                .iter()
                .map(|(_, zone)| zone.in_service)
                .collect(),
        }
    }
}

/// Everything that callers, targets and operators observe during a run.
#[derive(Debug, Default)]
pub(super) struct Observed {
    pub(super) violations: BTreeSet<String>,
    /// The highest fencing token seen for each role, by its index in `roles()`.
    newest_fences: BTreeMap<usize, FencingToken>,
    /// The configuration after all stored records.
    reference: ConfigState,
    /// The configuration after each record.
    history: Vec<ConfigView>,
    /// When the first node read each record back. From then on an operator may know that the
    /// change was accepted.
    accepted: Vec<u64>,
    /// Whether each change was accepted, by nonce, according to `reference`.
    verdicts: BTreeMap<String, bool>,
    /// The offset of the last accepted change of each entry.
    changed: BTreeMap<(SectionName, String), LogOffset>,
    /// The first verdict of each node on each change. Only this one is reported to the operator.
    reported_verdicts: BTreeSet<(usize, String)>,
    applied: [LogOffset; NODES],
    /// The calls that were refused as not run.
    refused_calls: BTreeSet<ClaimNonce>,
    /// The nonce of the call that ran for each idempotency key.
    runs: BTreeMap<u8, ClaimNonce>,
    pub(super) calls_run: usize,
    /// Completions whose refusal said that they did not run, and those that reached an engine.
    refused_keys: BTreeSet<AcquireKey>,
    run_keys: BTreeSet<AcquireKey>,
    /// The admissions of account `acme`: time and tokens counted against the rate.
    admissions: Vec<(u64, u64)>,
    pub(super) completed: usize,
}

impl Observed {
    pub(super) fn record_violation(&mut self, invariant: &str, detail: &str) {
        self.violations.insert(format!("{invariant}: {detail}"));
    }

    pub(super) fn record_stored_config(&mut self, offset: LogOffset, record: &ConfigRecord) {
        match record {
            ConfigRecord::Change(change) => {
                let accepted = self.reference.apply(offset, change).is_ok();
                if accepted {
                    self.check_revisions(offset, change);
                }
                // A record that is stored twice keeps the verdict of its first copy.
                self.verdicts
                    .entry(change.nonce.clone())
                    .or_insert(accepted);
            }
            ConfigRecord::Snapshot(_) => self.reference.skip(offset),
        }
        self.history.push(ConfigView::of(&self.reference));
    }

    /// Checks, independently of `ConfigState`, that an accepted change had current revisions.
    fn check_revisions(&mut self, offset: LogOffset, change: &ConfigChange) {
        for edit in &change.edits {
            let entry = (edit.section(), edit.name().to_owned());
            let base = change.base.get(&edit.section()).copied();
            let last = self.changed.insert(entry, offset);
            if last.is_some_and(|last| base.is_none_or(|base| last > base)) {
                self.record_violation(
                    "14 one of two operators wins",
                    "a change based on an old revision was accepted",
                );
            }
        }
    }

    pub(super) fn revisions(&self) -> SectionRevisions {
        self.reference.revisions().clone()
    }

    pub(super) fn reset_node(&mut self, index: usize) {
        self.applied[index] = LogOffset::default();
    }

    /// Checks the configuration of a node after it has applied records.
    pub(super) fn check_applied_config(
        &mut self,
        now: u64,
        index: usize,
        config: &ConfigState,
        verdicts: &BTreeMap<String, bool>,
    ) {
        let next = config.next_offset();
        if next < self.applied[index] {
            self.record_violation(
                "14 never reverts",
                "a node's configuration offset decreased",
            );
        }
        if next == self.applied[index] {
            return;
        }
        self.applied[index] = next;
        let count = offset_index(next);
        let known = self.accepted.len();
        self.accepted.resize(known.max(count), now);
        if let Some(view) = count.checked_sub(1).and_then(|last| self.history.get(last))
            && *view != ConfigView::of(config)
        {
            self.record_violation(
                "14 in force everywhere",
                "a node's configuration differs from the log",
            );
        }
        for (nonce, accepted) in verdicts {
            let first = self.reported_verdicts.insert((index, nonce.clone()));
            if first
                && self
                    .verdicts
                    .get(nonce)
                    .is_some_and(|known| known != accepted)
            {
                self.record_violation(
                    "14 one of two operators wins",
                    "a node's verdict differs from the log's",
                );
            }
        }
    }

    /// Records that a node serves a request authenticated with `key`.
    pub(super) fn record_served(&mut self, now: u64, config: &ConfigState, key: &str) {
        let first_missing = self.accepted.get(offset_index(config.next_offset()));
        if first_missing.is_some_and(|accepted| accepted + CONFIG_LAG_LIMIT_MS < now) {
            self.record_violation(
                "14 in force within 4 s",
                "a node served a request with an outdated configuration",
            );
        }
        if key == super::log::ACME_KEY && self.key_is_revoked(now) {
            self.record_violation("5 a revoked key stops", "a node accepted a revoked key");
        }
    }

    /// The configurations that every node must have applied by now.
    fn in_force(&self, now: u64) -> impl Iterator<Item = &ConfigView> {
        let old = self.accepted.iter().zip(&self.history);
        old.filter(move |(accepted, _)| **accepted + CONFIG_LAG_LIMIT_MS < now)
            .map(|(_, view)| view)
    }

    /// Whether the key of `acme` was revoked so long ago that no node may accept it any more.
    pub(super) fn key_is_revoked(&self, now: u64) -> bool {
        self.in_force(now).any(|view| !view.has_key)
    }

    pub(super) fn record_refused_call(&mut self, nonce: ClaimNonce) {
        self.refused_calls.insert(nonce);
        if self.runs.values().any(|run| *run == nonce) {
            self.record_violation(
                "10 run \"no\" is true",
                "a call that ran was refused as not run",
            );
        }
    }

    pub(super) fn record_call_run(&mut self, number: u8, nonce: ClaimNonce) {
        self.calls_run += 1;
        if self.refused_calls.contains(&nonce) {
            self.record_violation("10 run \"no\" is true", "a call refused as not run did run");
        }
        if self.runs.insert(number, nonce).is_some() {
            self.record_violation("11 at most once", "a key ran twice");
        }
    }

    /// Records an admitted completion and returns its index among the admissions. Only the
    /// tokens of account `acme` are counted.
    pub(super) fn record_admission(&mut self, now: u64, account: &AccountName, need: u64) -> usize {
        if account.as_str() == "acme" {
            self.admissions.push((now, need));
        } else {
            self.admissions.push((now, 0));
        }
        self.admissions.len() - 1
    }

    /// Replaces the admitted tokens by the tokens that the completion used.
    pub(super) fn record_settlement(&mut self, admission: usize, used: u64) {
        let counted = &mut self.admissions[admission].1;
        *counted = used.min(*counted);
    }

    pub(super) fn record_refused_completion(&mut self, key: &AcquireKey) {
        self.refused_keys.insert(key.clone());
        if self.run_keys.contains(key) {
            self.record_violation(
                "10 run \"no\" is true",
                "a completion that ran was refused as not run",
            );
        }
    }

    /// Records that a completion reached an engine.
    pub(super) fn record_completion_run(&mut self, now: u64, key: &AcquireKey, engine: usize) {
        if self.refused_keys.contains(key) {
            self.record_violation(
                "10 run \"no\" is true",
                "a completion refused as not run did run",
            );
        }
        if !self.run_keys.insert(key.clone()) {
            self.record_violation("9 one answer to a request", "a completion ran twice");
        }
        let is_out = |view: &ConfigView| view.zones.get(engine) == Some(&false);
        // Nodes may use the configuration in force or a newer one, so both must exclude the zone.
        let out_in_force = self.in_force(now).last().is_some_and(is_out);
        let newest = self.accepted.len().checked_sub(1);
        let out_in_newest = newest
            .and_then(|newest| self.history.get(newest))
            .is_some_and(is_out);
        if out_in_force && out_in_newest {
            self.record_violation(
                "8 no new work in a zone out of service",
                "a completion was sent to its target",
            );
        }
    }

    /// Checks rate and burst in every window between two admissions of account `acme`.
    pub(super) fn check_rate(&mut self) {
        let mut excess = false;
        for (first, (start, _)) in self.admissions.iter().enumerate() {
            let mut sum = 0;
            for (end, counted) in &self.admissions[first..] {
                sum += counted;
                // The owner's clock may run 1% fast.
                excess |= sum * 1000 > BURST * 1000 + (end - start) * RATE * 101 / 100;
            }
        }
        if excess {
            self.record_violation(
                "6 rate and burst",
                "a window admitted more tokens than allowed",
            );
        }
    }

    /// Checks that a repeated call gets the answer stored for its own key.
    pub(super) fn check_repeated_call(&mut self, number: u8, refusal: ClaimRefusal) {
        if let ClaimRefusal::Replay(outcome) = refusal
            && self.runs.get(&number) != Some(&outcome.nonce)
        {
            self.record_violation(
                "9 the answer to its own request",
                "a repeated call got the answer to another call",
            );
        }
    }
}

fn offset_index(offset: LogOffset) -> usize {
    usize::try_from(u64::from(offset)).unwrap_or(usize::MAX)
}

impl World {
    /// Checks the invariants between nodes. Runs after each event.
    pub(super) fn check(&mut self) {
        for (number, role) in roles().iter().enumerate() {
            let running = self.nodes.iter().filter(|node| node.up_from <= self.now);
            let fences = running.filter_map(|node| node.fence(role, self.now));
            let fences: Vec<FencingToken> = fences.collect();
            if fences.len() > 1 {
                self.observed
                    .record_violation("one owner of a role", &role.to_string());
            }
            for fence in fences {
                let newest = self.observed.newest_fences.entry(number).or_default();
                if fence < *newest {
                    self.observed
                        .record_violation("one owner of a role", "a fencing token decreased");
                } else {
                    *newest = fence;
                }
            }
        }
    }

    /// Checks the invariants that must hold again once the faults are over.
    pub(super) fn check_end(&mut self) {
        self.observed.check_rate();
        for role in roles() {
            let owners = self
                .nodes
                .iter()
                .filter(|node| node.fence(role, self.now).is_some());
            if owners.count() != 1 {
                self.observed
                    .record_violation("each role has an owner again", &role.to_string());
            }
        }
        let settled =
            |record: &&LogRecord| record.at_ms + CONFIG_LAG_LIMIT_MS < LOG_START_MS + self.now;
        let settled = self.log.config.iter().filter(settled).count() as u64;
        let up = self.nodes.iter();
        let mut up = up.filter(|node| node.up_from + CONFIG_LAG_LIMIT_MS < self.now);
        if up.any(|node| u64::from(node.config.next_offset()) < settled) {
            self.observed.record_violation(
                "14 in force everywhere",
                "a node lacks accepted changes at the end",
            );
        }
    }
}
