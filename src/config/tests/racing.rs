//! Operators that race on several nodes, with snapshots, restarts and expiry of old records.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

use super::{change, delete, dump, put};
use crate::config::follower::{ConfigFollower, ConfigRecord, PageEnd, adopt};
use crate::config::model::SectionName as S;
use crate::config::snapshot::{build_part, part_count};
use crate::config::state::{ConfigChange, ConfigEdit, ConfigState, SectionRevisions};
use crate::ids::LogOffset;
use crate::log_service::LogRecord;

const NODES: usize = 3;

#[derive(Debug, Clone)]
enum EntryEdit {
    PutAccount(u8),
    DeleteAccount(u8),
    /// A rate of zero is invalid.
    PutRate(u8, u64),
    DeleteRate(u8),
}

#[derive(Debug, Clone)]
enum Step {
    /// An operator appends a change that is based on what a node has; the reply may be lost, and
    /// the operator's tool may then append it again under the same nonce.
    Publish {
        node: usize,
        edits: Vec<EntryEdit>,
        twice: bool,
    },
    /// The operator copies the revisions now and uses them for its next change.
    Look {
        node: usize,
    },
    /// An operator appends a change that is based on the last look.
    PublishOld {
        edits: Vec<EntryEdit>,
    },
    Read {
        node: usize,
        records: usize,
    },
    Restart {
        node: usize,
    },
    /// A node begins to publish a snapshot of what it has.
    BeginSnapshot {
        node: usize,
    },
    /// The oldest or the newest publisher goes on by one part; the reply may be lost.
    StorePart {
        newest: bool,
        twice: bool,
    },
    /// A node keeps a copy for a peer, which gets it late.
    SendCopy {
        node: usize,
    },
    TakeCopy {
        node: usize,
    },
    Expire,
}

fn edit() -> impl Strategy<Value = EntryEdit> {
    prop_oneof![
        3 => (0..4u8).prop_map(EntryEdit::PutAccount),
        1 => (0..4u8).prop_map(EntryEdit::DeleteAccount),
        3 => (0..4u8, 0..4u64).prop_map(|(name, rate)| EntryEdit::PutRate(name, rate)),
        1 => (0..4u8).prop_map(EntryEdit::DeleteRate),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    let edits = || prop::collection::vec(edit(), 1..4);
    prop_oneof![
        6 => (node(), edits(), prop::bool::weighted(0.1))
            .prop_map(|(node, edits, twice)| Step::Publish { node, edits, twice }),
        1 => node().prop_map(|node| Step::Look { node }),
        3 => edits().prop_map(|edits| Step::PublishOld { edits }),
        8 => (node(), 1..6usize).prop_map(|(node, records)| Step::Read { node, records }),
        1 => node().prop_map(|node| Step::Restart { node }),
        1 => node().prop_map(|node| Step::BeginSnapshot { node }),
        2 => (any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(newest, twice)| Step::StorePart { newest, twice }),
        1 => node().prop_map(|node| Step::SendCopy { node }),
        1 => node().prop_map(|node| Step::TakeCopy { node }),
        1 => Just(Step::Expire),
    ]
}

/// The rules of acceptance, written once more and without any index: all entries with their
/// revisions, and the revisions of deleted ones.
#[derive(Debug, Clone, Default, PartialEq)]
struct PlainModel {
    accounts: BTreeMap<String, ()>,
    rates: BTreeMap<String, u64>,
    changed: BTreeMap<(S, String), u64>,
}

impl PlainModel {
    fn apply(&mut self, offset: u64, change: &ConfigChange) -> bool {
        let mut result = self.clone();
        let mut edited = Vec::new();
        for edit in &change.edits {
            let entry = (edit.section(), edit.name().to_owned());
            let base = change.base.get(&entry.0).map(|&base| u64::from(base));
            let unseen = |changed: &&u64| base.is_none_or(|base| **changed > base);
            if self.changed.get(&entry).filter(unseen).is_some() || edited.contains(&entry) {
                return false;
            }
            let name = entry.1.clone();
            let known = match (edit, entry.0) {
                (ConfigEdit::Put { value, .. }, S::Rates) => {
                    let rate = value["tokens_per_second"].as_u64().unwrap();
                    result.rates.insert(name, rate);
                    rate > 0
                }
                (ConfigEdit::Put { .. }, _) => {
                    result.accounts.insert(name, ());
                    true
                }
                (ConfigEdit::Delete { .. }, S::Rates) => result.rates.remove(&name).is_some(),
                (ConfigEdit::Delete { .. }, _) => result.accounts.remove(&name).is_some(),
            };
            if !known {
                return false;
            }
            result.changed.insert(entry.clone(), offset);
            edited.push(entry);
        }
        let dangling = result
            .rates
            .keys()
            .any(|name| !result.accounts.contains_key(name));
        if !dangling {
            *self = result;
        }
        !dangling
    }

    fn is_same(&self, state: &ConfigState) -> bool {
        let accounts = state.accounts.keys().map(ToString::to_string);
        let rates = state.rates.iter();
        let rates = rates.map(|(name, rate)| (name.to_string(), rate.tokens_per_second.into()));
        accounts.eq(self.accounts.keys().cloned())
            && rates.eq(self.rates.iter().map(|(name, rate)| (name.clone(), *rate)))
    }
}

#[derive(Debug, Default)]
struct SimNode {
    state: ConfigState,
    follower: ConfigFollower,
}

#[derive(Debug, Default)]
struct Simulation {
    log: Vec<LogRecord>,
    first: usize,
    nodes: [SimNode; NODES],
    look: SectionRevisions,
    /// Snapshots that are being published: the copy, the nonce and the next part.
    publishers: Vec<(ConfigState, String, u32)>,
    copies: Vec<ConfigState>,
    /// The dump and the model after each record; the first is from before any record.
    history: Vec<(String, PlainModel)>,
    reference: ConfigState,
    nonces: u64,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self::default();
        simulation
            .history
            .push((dump(&simulation.reference), PlainModel::default()));
        simulation
    }

    fn nonce(&mut self) -> String {
        self.nonces += 1;
        self.nonces.to_string()
    }

    /// Appends a record and checks the reference node's verdict against the model.
    fn append(&mut self, record: &ConfigRecord) {
        let offset = self.log.len() as u64;
        let mut model = self.history[self.log.len()].1.clone();
        let before = dump(&self.reference);
        match record {
            ConfigRecord::Change(change) => {
                let accepted = self
                    .reference
                    .apply(LogOffset::from(offset), change)
                    .is_ok();
                assert_eq!(accepted, model.apply(offset, change), "{change:?}");
                assert!(accepted || dump(&self.reference) == before, "{change:?}");
            }
            ConfigRecord::Snapshot(_) => self.reference.skip(LogOffset::from(offset)),
        }
        assert!(model.is_same(&self.reference), "{record:?}");
        self.history.push((dump(&self.reference), model));
        self.log.push(LogRecord {
            offset: LogOffset::from(offset),
            at_ms: offset,
            data: record.to_json(),
        });
    }

    fn publish(&mut self, base: &SectionRevisions, edits: &[EntryEdit], twice: bool) {
        let edits = edits.iter().map(|edit| match edit {
            EntryEdit::PutAccount(name) => put(S::Accounts, &format!("a{name}"), json!({})),
            EntryEdit::DeleteAccount(name) => delete(S::Accounts, &format!("a{name}")),
            EntryEdit::PutRate(name, rate) => {
                let value = json!({"tokens_per_second": rate, "burst": 9});
                put(S::Rates, &format!("a{name}"), value)
            }
            EntryEdit::DeleteRate(name) => delete(S::Rates, &format!("a{name}")),
        });
        let mut change = change(base, edits.collect());
        change.nonce = self.nonce();
        for _ in 0..=usize::from(twice) {
            self.append(&ConfigRecord::Change(change.clone()));
        }
    }

    fn read(&mut self, node: usize, records: usize) -> PageEnd {
        let SimNode { state, follower } = &mut self.nodes[node];
        let first = LogOffset::from(self.first as u64);
        let next = LogOffset::from(self.log.len() as u64);
        let from = u64::from(follower.position(state)) as usize;
        follower.begin_page(state, first);
        for record in self.log[from.max(self.first)..].iter().take(records) {
            follower.take_record(state, record);
        }
        follower.end_page(state, (first, next))
    }

    /// Expires all records below the newest complete snapshot, which is what the schedule of
    /// snapshots keeps true.
    fn expire(&mut self) {
        let mut tracker = crate::config::snapshot::SnapshotTracker::default();
        for record in &self.log {
            let record_data = serde_json::from_str(&record.data).unwrap();
            if let ConfigRecord::Snapshot(part) = record_data {
                let head = serde_json::to_value(&part).unwrap();
                tracker.note_part(&serde_json::from_value(head).unwrap(), 0);
            }
        }
        let newest = tracker.newest().map_or(0, u64::from);
        self.first = self.first.max(newest as usize);
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Publish { node, edits, twice } => {
                let base = self.nodes[*node].state.revisions().clone();
                self.publish(&base, edits, *twice);
            }
            Step::Look { node } => self.look = self.nodes[*node].state.revisions().clone(),
            Step::PublishOld { edits } => {
                let base = self.look.clone();
                self.publish(&base, edits, false);
            }
            Step::Read { node, records } => {
                self.read(*node, *records);
            }
            Step::Restart { node } => self.nodes[*node] = SimNode::default(),
            Step::BeginSnapshot { node } => {
                let nonce = self.nonce();
                let state = self.nodes[*node].state.clone();
                self.publishers.push((state, nonce, 0));
            }
            Step::StorePart { newest, twice } => self.store_part(*newest, *twice),
            Step::SendCopy { node } => self.copies.push(self.nodes[*node].state.clone()),
            Step::TakeCopy { node } => {
                if let Some(copy) = self.copies.pop() {
                    adopt(&mut self.nodes[*node].state, copy);
                }
            }
            Step::Expire => self.expire(),
        }
    }

    fn store_part(&mut self, newest: bool, twice: bool) {
        let count = self.publishers.len();
        let index = if newest { count.saturating_sub(1) } else { 0 };
        let Some((state, nonce, next)) = self.publishers.get_mut(index) else {
            return;
        };
        let part = build_part(state, nonce, *next);
        *next += 1;
        if *next == part_count(state) {
            self.publishers.remove(index);
        }
        for _ in 0..=usize::from(twice) {
            self.append(&ConfigRecord::Snapshot(part.clone()));
        }
    }

    /// Every node has exactly the configuration of the offset that it has reached, and never an
    /// older one than before, unless it restarted.
    fn check(&self, before: &[u64; NODES], restarted: Option<usize>) {
        for (index, node) in self.nodes.iter().enumerate() {
            let next = u64::from(node.state.next_offset());
            assert!(
                restarted == Some(index) || next >= before[index],
                "node {index}"
            );
            let (expected, model) = &self.history[next as usize];
            assert_eq!(&dump(&node.state), expected, "node {index} at {next}");
            assert!(model.is_same(&node.state), "node {index} at {next}");
        }
    }

    fn offsets(&self) -> [u64; NODES] {
        [0, 1, 2].map(|node: usize| u64::from(self.nodes[node].state.next_offset()))
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x5eed_c0f1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against nodes that disagree, entries that revert and rejected changes with an
    /// effect, whatever mix of records, snapshots, peers' copies and restarts the nodes saw.
    #[test]
    fn nodes_agree_at_every_offset(steps in prop::collection::vec(step(), 1..80)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            let before = simulation.offsets();
            simulation.run(step);
            let restarted = match step {
                Step::Restart { node } => Some(*node),
                _ => None,
            };
            simulation.check(&before, restarted);
        }
        for node in 0..NODES {
            let reads = (0..4).map(|_| simulation.read(node, usize::MAX));
            prop_assert_eq!(reads.last(), Some(PageEnd::AtTail), "node {}", node);
        }
        simulation.check(&[simulation.log.len() as u64; NODES], None);
    }
}
