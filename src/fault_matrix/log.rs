//! The fake log service: three streams with offsets, outages, slow appends and retention.

use rand::RngExt;
use serde_json::json;

use super::checks::Observed;
use super::network::{Endpoint, Message};
use super::world::World;
use crate::claims::record::ClaimBatch;
use crate::config::change::{ConfigChange, ConfigEdit, SectionRevisions};
use crate::config::follower::ConfigRecord;
use crate::config::model::{KeyDigest, SectionName};
use crate::ids::LogOffset;
use crate::lease::table::LeaseRecord;
use crate::platform_client::LogRecord;

/// The log service's clock at the start of a run.
pub(super) const LOG_START_MS: u64 = 1_000_000;
/// The longest delay of an append while the log is slow. It exceeds the validity of a claim.
const SLOW_MS: u64 = 3_000;
/// The API key of account `acme`, which must not appear in any record.
pub(super) const ACME_KEY: &str = "secret-of-acme";
pub(super) const BLUE_KEY: &str = "secret-of-blue";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stream {
    Leases,
    Claims,
    Config,
}

impl Stream {
    pub(super) const ALL: [Self; 3] = [Self::Leases, Self::Claims, Self::Config];
}

#[derive(Debug, Clone)]
pub(super) enum Record {
    Lease(LeaseRecord),
    Claims(ClaimBatch),
    Config(ConfigRecord),
}

impl Record {
    pub(super) fn stream(&self) -> Stream {
        match self {
            Self::Lease(_) => Stream::Leases,
            Self::Claims(_) => Stream::Claims,
            Self::Config(_) => Stream::Config,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct FakeLog {
    /// The lease records, each with the log service's time when it was stored.
    pub(super) leases: Vec<(u64, LeaseRecord)>,
    /// The batches of claim entries, with the same times.
    pub(super) claims: Vec<(u64, ClaimBatch)>,
    pub(super) config: Vec<LogRecord>,
    /// The index of the oldest retained configuration record.
    pub(super) config_first: usize,
    pub(super) down_until: u64,
    pub(super) slow_until: u64,
}

fn put(section: SectionName, name: &str, value: serde_json::Value) -> ConfigEdit {
    let name = name.to_owned();
    ConfigEdit::Put {
        section,
        name,
        value,
    }
}

fn initial_edits() -> Vec<ConfigEdit> {
    use SectionName as S;
    let target = |zone: &str| json!({"address": "127.0.0.1:1", "zone": zone, "base_model": "base", "adapter_slots": 1, "request_limit": 4});
    let key = |account: &str, key: &str| json!({"account": account, "sha256": KeyDigest::of_key(key).to_string()});
    let mut edits = vec![
        put(S::BaseModels, "base", json!({"loads_in_flight": 4})),
        put(S::Zones, "zone-0", json!({})),
        put(S::Zones, "zone-1", json!({})),
        put(S::Targets, "engine-0", target("zone-0")),
        put(S::Targets, "engine-1", target("zone-1")),
        put(S::Accounts, "acme", json!({})),
        put(S::Accounts, "blue", json!({})),
        put(
            S::Rates,
            "acme",
            json!({"tokens_per_second": 80, "burst": 600}),
        ),
        put(
            S::Rates,
            "blue",
            json!({"tokens_per_second": 900, "burst": 3000}),
        ),
        put(S::Keys, "acme-key", key("acme", ACME_KEY)),
        put(S::Keys, "blue-key", key("blue", BLUE_KEY)),
    ];
    for (adapter, account) in [
        ("shop", "acme"),
        ("news", "blue"),
        ("mail", "blue"),
        ("tour", "blue"),
    ] {
        let entry = json!({"account": account, "base_model": "base", "current": "v1"});
        edits.push(put(S::Adapters, adapter, entry));
        edits.push(put(S::Versions, &format!("{adapter}@v1"), json!({})));
    }
    edits
}

impl FakeLog {
    /// Stores the initial configuration.
    pub(super) fn publish_initial_config(&mut self, observed: &mut Observed) {
        let change = ConfigChange {
            nonce: "first".to_owned(),
            base: SectionRevisions::new(),
            edits: initial_edits(),
        };
        self.store(0, Record::Config(ConfigRecord::Change(change)), observed);
    }

    pub(super) fn store(&mut self, now: u64, record: Record, observed: &mut Observed) {
        let at_ms = LOG_START_MS + now;
        match record {
            Record::Lease(record) => self.leases.push((at_ms, record)),
            Record::Claims(batch) => self.claims.push((at_ms, batch)),
            Record::Config(record) => {
                let offset = LogOffset::from(self.config.len() as u64);
                observed.record_stored_config(offset, &record);
                let data = record.to_json();
                self.config.push(LogRecord {
                    offset,
                    at_ms,
                    data,
                });
                if let ConfigRecord::Snapshot(part) = record
                    && part.part + 1 == part.parts
                {
                    let first = u64::from(part.offset);
                    self.config_first = self.config_first.max(usize::try_from(first).unwrap_or(0));
                }
            }
        }
    }

    pub(super) fn next_offset(&self, stream: Stream) -> usize {
        match stream {
            Stream::Leases => self.leases.len(),
            Stream::Claims => self.claims.len(),
            Stream::Config => self.config.len(),
        }
    }
}

impl World {
    /// Sends an append and returns its ID.
    pub(super) fn append(&mut self, node: usize, record: Record) -> u64 {
        let number = self.next_id();
        let text = format!("{record:?}");
        if text.contains(ACME_KEY) || text.contains(BLUE_KEY) {
            self.observed
                .record_violation("4 no record contains a key", &text);
        }
        self.post(
            Endpoint::Node(node),
            Endpoint::Log,
            Message::Append(record, number),
        );
        number
    }

    pub(super) fn handle_log_message(&mut self, from: Endpoint, message: Message) {
        let Message::Append(record, number) = message else {
            return;
        };
        let stream = record.stream();
        let stored = self.log.down_until <= self.now;
        if stored && self.log.slow_until > self.now && self.random.random_range(0..3) > 0 {
            let delay = self.random.random_range(200..SLOW_MS);
            self.schedule_message(delay, from, Endpoint::Log, Message::Append(record, number));
            return;
        }
        if stored {
            self.log.store(self.now, record, &mut self.observed);
        }
        self.post(
            Endpoint::Log,
            from,
            Message::Appended {
                stream,
                number,
                stored,
            },
        );
    }

    /// Sends a page of each stream to a node. A slow log delays the pages.
    pub(super) fn read_log(&mut self, index: usize) {
        let (own, log) = (Endpoint::Node(index), Endpoint::Log);
        if self.log.down_until > self.now || self.is_cut(own, log) {
            return;
        }
        let is_slow = self.log.slow_until > self.now;
        for stream in Stream::ALL {
            let (next, sent) = (self.log.next_offset(stream), self.now);
            let at_ms = LOG_START_MS + sent;
            let page = Message::Page {
                stream,
                next,
                at_ms,
                sent,
            };
            if is_slow {
                let delay = self.random.random_range(100..900);
                self.schedule_message(delay, log, own, page);
            } else {
                self.post(log, own, page);
            }
        }
    }

    pub(super) fn read_page(
        &mut self,
        index: usize,
        stream: Stream,
        next: usize,
        at_ms: u64,
        sent: u64,
    ) {
        match stream {
            Stream::Leases => self.read_leases(index, next, at_ms),
            Stream::Claims => {
                let claims = &mut self.nodes[index].claims;
                let from = usize::try_from(u64::from(claims.next_offset())).unwrap_or(0);
                let records = self.log.claims.iter().enumerate().take(next).skip(from);
                for (offset, (stored_at_ms, batch)) in records {
                    claims.apply(LogOffset::from(offset as u64), *stored_at_ms, batch);
                }
                claims.expire(LogOffset::default(), at_ms);
            }
            Stream::Config => self.read_config(index, next, sent),
        }
    }
}
