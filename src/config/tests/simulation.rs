//! Property tests of concurrent changes on several nodes, with snapshots, restarts and expiry of
//! records.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

use super::{change, delete, dump, put};
use crate::config::follower::{ConfigFollower, ConfigRecord, ReadProgress, install_snapshot};
use crate::config::model::SectionName as S;
use crate::config::snapshot::{build_part, part_count};
use crate::config::state::{ConfigChange, ConfigEdit, ConfigState, SectionRevisions};
use crate::ids::LogOffset;
use crate::platform_client::LogRecord;

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
    /// An operator appends a change that is based on the revisions of a node. If the reply is lost,
    /// the client appends it again with the same nonce.
    Publish {
        node: usize,
        edits: Vec<EntryEdit>,
        twice: bool,
    },
    /// An operator saves the revisions of a node as the base for later changes.
    SaveBase {
        node: usize,
    },
    /// An operator appends a change that is based on the saved revisions.
    PublishStale {
        edits: Vec<EntryEdit>,
    },
    Read {
        node: usize,
        records: usize,
    },
    Restart {
        node: usize,
    },
    /// A node starts to publish a snapshot of its state.
    BeginSnapshot {
        node: usize,
    },
    /// The oldest or the newest publisher appends its next part, twice if the reply is lost.
    AppendPart {
        newest: bool,
        twice: bool,
    },
    /// A node sends a copy of its state to a peer, which receives it some steps later.
    SendCopy {
        node: usize,
    },
    ReceiveCopy {
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
        1 => node().prop_map(|node| Step::SaveBase { node }),
        3 => edits().prop_map(|edits| Step::PublishStale { edits }),
        8 => (node(), 1..6usize).prop_map(|(node, records)| Step::Read { node, records }),
        1 => node().prop_map(|node| Step::Restart { node }),
        1 => node().prop_map(|node| Step::BeginSnapshot { node }),
        2 => (any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(newest, twice)| Step::AppendPart { newest, twice }),
        1 => node().prop_map(|node| Step::SendCopy { node }),
        1 => node().prop_map(|node| Step::ReceiveCopy { node }),
        1 => Just(Step::Expire),
    ]
}

/// A second implementation of the rules for accepting changes, without any index. It has all
/// entries, and the revisions of present and deleted ones.
#[derive(Debug, Clone, Default, PartialEq)]
struct ReferenceModel {
    accounts: BTreeMap<String, ()>,
    rates: BTreeMap<String, u64>,
    revisions: BTreeMap<(S, String), u64>,
}

impl ReferenceModel {
    fn apply(&mut self, offset: u64, change: &ConfigChange) -> bool {
        let mut result = self.clone();
        let mut edited_entries = Vec::new();
        for edit in &change.edits {
            let entry = (edit.section(), edit.name().to_owned());
            let base = change.base.get(&entry.0).map(|&base| u64::from(base));
            let is_newer = |changed: &&u64| base.is_none_or(|base| **changed > base);
            if self.revisions.get(&entry).filter(is_newer).is_some()
                || edited_entries.contains(&entry)
            {
                return false;
            }
            let name = entry.1.clone();
            let is_valid = match (edit, entry.0) {
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
            if !is_valid {
                return false;
            }
            result.revisions.insert(entry.clone(), offset);
            edited_entries.push(entry);
        }
        let has_dangling_rate = result
            .rates
            .keys()
            .any(|name| !result.accounts.contains_key(name));
        if !has_dangling_rate {
            *self = result;
        }
        !has_dangling_rate
    }

    fn matches(&self, state: &ConfigState) -> bool {
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
    first_retained: usize,
    nodes: [SimNode; NODES],
    saved: SectionRevisions,
    /// The snapshots that are being published: state, nonce and next part.
    publishers: Vec<(ConfigState, String, u32)>,
    copies: Vec<ConfigState>,
    /// The dump and the model after each record. The first item is the initial state.
    history: Vec<(String, ReferenceModel)>,
    reference: ConfigState,
    nonces: u64,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self::default();
        simulation
            .history
            .push((dump(&simulation.reference), ReferenceModel::default()));
        simulation
    }

    fn nonce(&mut self) -> String {
        self.nonces += 1;
        self.nonces.to_string()
    }

    /// Appends a record, applies it on the reference node and compares the result with the model.
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
        assert!(model.matches(&self.reference), "{record:?}");
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

    fn read(&mut self, node: usize, records: usize) -> ReadProgress {
        let SimNode { state, follower } = &mut self.nodes[node];
        let first = LogOffset::from(self.first_retained as u64);
        let next = LogOffset::from(self.log.len() as u64);
        let from = u64::from(follower.position(state)) as usize;
        follower.begin_page(state, first);
        for record in self.log[from.max(self.first_retained)..]
            .iter()
            .take(records)
        {
            follower.apply_record(state, record);
        }
        follower.end_page(state, (first, next))
    }

    /// Expires the records below the newest complete snapshot. Later records never expire in
    /// practice, since snapshots are published often enough.
    fn expire(&mut self) {
        let mut tracker = crate::config::snapshot::SnapshotTracker::default();
        for record in &self.log {
            let record_data = serde_json::from_str(&record.data).unwrap();
            if let ConfigRecord::Snapshot(part) = record_data {
                let head = serde_json::to_value(&part).unwrap();
                tracker.track_part(&serde_json::from_value(head).unwrap(), 0);
            }
        }
        let newest = tracker.newest().map_or(0, u64::from);
        self.first_retained = self.first_retained.max(newest as usize);
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Publish { node, edits, twice } => {
                let base = self.nodes[*node].state.revisions().clone();
                self.publish(&base, edits, *twice);
            }
            Step::SaveBase { node } => self.saved = self.nodes[*node].state.revisions().clone(),
            Step::PublishStale { edits } => {
                let base = self.saved.clone();
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
            Step::AppendPart { newest, twice } => self.append_part(*newest, *twice),
            Step::SendCopy { node } => self.copies.push(self.nodes[*node].state.clone()),
            Step::ReceiveCopy { node } => {
                if let Some(copy) = self.copies.pop() {
                    install_snapshot(&mut self.nodes[*node].state, copy);
                }
            }
            Step::Expire => self.expire(),
        }
    }

    fn append_part(&mut self, newest: bool, twice: bool) {
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

    /// Checks that every node has exactly the configuration at its offset, and that the offset has
    /// not decreased unless the node was restarted.
    fn check(&self, before: &[u64; NODES], restarted: Option<usize>) {
        for (index, node) in self.nodes.iter().enumerate() {
            let next = u64::from(node.state.next_offset());
            assert!(
                restarted == Some(index) || next >= before[index],
                "node {index}"
            );
            let (expected, model) = &self.history[next as usize];
            assert_eq!(&dump(&node.state), expected, "node {index} at {next}");
            assert!(model.matches(&node.state), "node {index} at {next}");
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

    /// Guards against nodes that diverge, entries that revert and rejected changes that take
    /// effect, for any sequence of records, snapshots, copies from peers and restarts.
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
            prop_assert_eq!(reads.last(), Some(ReadProgress::AtTail), "node {}", node);
        }
        simulation.check(&[simulation.log.len() as u64; NODES], None);
    }
}
