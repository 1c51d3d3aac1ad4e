//! Tasks that follow topics in the platform's store: the operator's records, the targets' records
//! and the addresses of entry VMs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::freshness::{STORE_READERS, announce_records};
use super::orders;
use super::restored::{observe_era, observe_peer_era};
use super::shared::EntryShared;
use super::store_health::StoreHealth;
use super::wire_log::{ConfigFreshness, PeerRecord};
use crate::clock::Timestamp;
use crate::collections::FastSet;
use crate::dispatch::residency::VersionStart;
use crate::dispatch::restored_list::RestoredList;
use crate::ids::{LogPosition, NodeName, ZoneName};
use crate::platform::records::{OPERATOR_TOPIC, OperatorRecord, decode_operator_record};
use crate::platform::store::{KeyedRecord, ReadOutcome, StoreError};

/// How long a read of the operator's records waits for a new one. The configuration counts as
/// confirmed at the start of the read. Even when one read is lost, its age stays below the
/// guaranteed bound of 5 s.
const OPERATOR_READ_WAIT: Duration = Duration::from_millis(1500);
/// The same wait in the VMs that read for a large fleet, whose other VMs query the age of their
/// views.
const FLEET_READER_WAIT: Duration = Duration::from_millis(700);
/// The age of its confirmation at which a VM that doesn't read the store queries the readers. A
/// change must be applied on all VMs about 2 s after it was made.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(2200);
/// How long a VM waits before it reads records that did not fit in a message, so that one read
/// covers several changes in quick succession, as a fraction of the time in which a change must be
/// in force.
const COALESCING_FRACTION: f64 = 0.3;
/// The largest size of the records in one message. With its other fields, the message stays below
/// the usual MTU.
pub(super) const MAX_RELAY_BYTES: usize = 1100;
/// The topic in which entry VMs publish their addresses.
const NODE_TOPIC: &str = "keyed.nodes";
/// The interval between reads of the entry VMs' addresses. A new VM sends messages to all VMs that
/// it finds at startup, so these reads only find VMs whose messages did not arrive.
const NODE_READ_INTERVAL: Duration = Duration::from_secs(60);
/// The time over which VMs spread the writes of their addresses after a restore of the store, of which
/// they learn at the same moment.
const REREGISTRATION_SPREAD: Duration = Duration::from_millis(500);

/// Whether this VM reads the store for itself, for the whole fleet, or relies on readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReaderRole {
    /// In a small fleet, where every VM reads the store itself.
    Standalone,
    /// In a large fleet, one of the [`STORE_READERS`] that read for all VMs.
    Reader,
    /// In a large fleet, a VM that relies on the readers.
    Follower,
}

impl ReaderRole {
    pub(super) fn of(shared: &EntryShared) -> Self {
        let state = shared.state.borrow();
        if state.is_small_fleet() {
            Self::Standalone
        } else if state.rank() < STORE_READERS {
            Self::Reader
        } else {
            Self::Follower
        }
    }

    fn operator_read_wait(self) -> Duration {
        match self {
            Self::Standalone => OPERATOR_READ_WAIT,
            Self::Reader => FLEET_READER_WAIT,
            Self::Follower => Duration::ZERO,
        }
    }
}

/// Keeps the configuration and the operator's other records up to date.
pub(crate) async fn follow_operator(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("configuration");
    shared.wait_for_peer_list().await;
    // The last time at which the log is known to have held nothing beyond what this VM has read.
    let mut unchanged_at = None;
    let mut restored_list = RestoredList::default();
    loop {
        let next = shared.state.borrow().operator_next;
        let next = next.filter(|_| !restored_list.is_due(shared.clock.now()));
        let role = ReaderRole::of(&shared);
        if role == ReaderRole::Follower && next.is_some() && !wait_for_required_read(&shared).await
        {
            continue;
        }
        let wait = role.operator_read_wait();
        let sent_at = shared.clock.now();
        let reading = read_operator(&shared, next, wait);
        let (read, ()) = tokio::join!(reading, ask_for_newer_config(&shared));
        let now = shared.clock.now();
        health.record(&read, now);
        if let Some(era) = shared.store.era() {
            observe_era(&shared, era, "configuration", now);
        }
        match read {
            Ok(OperatorRead {
                next: after,
                records,
                complete,
            }) => {
                // Peers may have confirmed a follower's view since its last read.
                let earliest = match role {
                    ReaderRole::Follower => shared.state.borrow().confirmed_at,
                    ReaderRole::Standalone | ReaderRole::Reader => unchanged_at,
                };
                let written_at = earliest.filter(|_| !complete);
                let is_newest = after >= shared.state.borrow().operator_next;
                let is_whole = after.is_some_and(|next| {
                    restored_list.record_read(next, complete && is_newest, now)
                });
                apply_operator_records(&shared, &records, is_whole, written_at);
                // The store answers a read that finds nothing only after the whole wait.
                unchanged_at = after.map(|_| match records.is_empty() && !complete {
                    true => now.min(sent_at + wait),
                    false => sent_at,
                });
                record_operator_read(&shared, after, sent_at, now);
                if let (ReaderRole::Reader, Some(from)) = (role, next)
                    && !records.is_empty()
                    && !complete
                {
                    let age = earliest.map_or(Duration::ZERO, |time| now.since(time));
                    announce_records(&shared, from, records_for_peers(records), age);
                }
            }
            Err(_) => tokio::time::sleep(health.retry_delay(shared.is_small_fleet())).await,
        }
    }
}

/// Records that the operator's log was read up to `after` by a read that was sent at `sent_at`.
fn record_operator_read(
    shared: &EntryShared,
    after: Option<LogPosition>,
    sent_at: Timestamp,
    now: Timestamp,
) {
    let mut state = shared.state.borrow_mut();
    state.confirmed_at = after.map(|_| sent_at);
    // A peer may have sent newer records during the read.
    let known = state.operator_next.filter(|_| after.is_some());
    state.operator_next = known.max(after);
    state.compare_early_configs(now);
}

/// Learns the peers' configurations before this process uses its first one: the store may have lost a
/// newer one, without which keys that were taken away would be accepted.
async fn ask_for_newer_config(shared: &EntryShared) {
    let is_needed = {
        let state = shared.state.borrow();
        state.config.is_none() && !state.settings.is_first_start
    };
    if is_needed {
        shared.freshness.ask_for_configs(shared).await;
    }
}

/// Converts records for peers. Returns none if they don't fit in a datagram.
fn records_for_peers(records: Vec<KeyedRecord>) -> Vec<PeerRecord> {
    let records: Vec<PeerRecord> = records.into_iter().map(Into::into).collect();
    let bytes: usize = records.iter().map(Message::encoded_len).sum();
    if bytes > MAX_RELAY_BYTES {
        return Vec::new();
    }
    records
}

/// Handles a peer's message about its view of the operator's records. If it contains the records
/// that directly follow this VM's view, they are applied.
pub(crate) fn handle_freshness(
    shared: &Rc<EntryShared>,
    peer: &NodeName,
    freshness: ConfigFreshness,
    now: Timestamp,
) {
    observe_peer_era(shared, freshness.era.into(), now);
    if let Some(view) = freshness.view() {
        shared.state.borrow_mut().compare_config(peer, view, now);
        shared.freshness.record_statement();
    }
    let next = shared.state.borrow().operator_next;
    if next != Some(freshness.first()) || freshness.records.is_empty() {
        shared.freshness.handle_reply(shared, &freshness, now);
        return;
    }
    let next = freshness.next();
    let records: Vec<_> = freshness.records.into_iter().map(Into::into).collect();
    let written_at = now.before(Duration::from_millis(freshness.age_ms));
    apply_operator_records(shared, &records, false, Some(written_at));
    shared.state.borrow_mut().operator_next = Some(next);
}

/// Waits until this VM's view is outdated or too old. Returns whether the VM has to read the store
/// itself: because a peer has newer records, or because no peer has confirmed the view.
async fn wait_for_required_read(shared: &EntryShared) -> bool {
    let age = |shared: &EntryShared| {
        let confirmed_at = shared.state.borrow().confirmed_at;
        confirmed_at.map_or(Duration::MAX, |time| shared.clock.now().since(time))
    };
    // A random limit spreads out the reads of VMs that get no reply from a reader.
    let limit = MAX_CONFIRMED_AGE.mul_f64(rand::random_range(0.75..1.25));
    if shared
        .freshness
        .wait_until_behind(limit.saturating_sub(age(shared)))
        .await
    {
        let config_time = shared.state.borrow().settings.bounds.config_time;
        let delay = config_time.mul_f64(COALESCING_FRACTION);
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.75..1.25))).await;
        shared.freshness.clear_behind();
        return true;
    }
    shared.freshness.query_peers(shared).await;
    age(shared) >= limit
}

struct OperatorRead {
    /// `None` if records were deleted from the store before they were read.
    next: Option<LogPosition>,
    records: Vec<KeyedRecord>,
    /// Whether the records are the complete current state.
    complete: bool,
}

async fn read_operator(
    shared: &EntryShared,
    next: Option<LogPosition>,
    wait: Duration,
) -> Result<OperatorRead, StoreError> {
    let Some(from) = next else {
        return list_operator(shared).await;
    };
    Ok(match shared.store.read(OPERATOR_TOPIC, from, wait).await? {
        ReadOutcome::Records { next, records, .. } => OperatorRead {
            next: Some(next),
            records,
            complete: false,
        },
        ReadOutcome::Restored => list_operator(shared).await?,
        ReadOutcome::Compacted => {
            tracing::info!("store: the operator's records were deleted before they were read");
            OperatorRead {
                next: None,
                records: Vec::new(),
                complete: false,
            }
        }
    })
}

async fn list_operator(shared: &EntryShared) -> Result<OperatorRead, StoreError> {
    let newest = shared.store.newest(OPERATOR_TOPIC).await?;
    Ok(OperatorRead {
        next: Some(newest.next),
        records: newest.records,
        complete: true,
    })
}

/// Applies records of the operator. Zones without a record are in service if `is_whole` is set: the
/// records are the current state, and none may still be written again. `written_at` is the earliest
/// time at which they can have been written, if known.
fn apply_operator_records(
    shared: &Rc<EntryShared>,
    records: &[KeyedRecord],
    is_whole: bool,
    written_at: Option<Timestamp>,
) {
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    let mut evacuated_zones: FastSet<ZoneName> = match is_whole {
        true => FastSet::default(),
        false => state.directory.evacuated_zones().clone(),
    };
    let mut configured = false;
    for record in records {
        let decoded = decode_operator_record(&record.key, record.value.as_deref());
        match decoded {
            Ok(OperatorRecord::Config(config)) => {
                let version = config.version;
                if state.set_config(*config, now) {
                    tracing::info!(
                        version, limits = %state.account_limiter.limits_summary(),
                        "config: applied a new configuration"
                    );
                    configured = true;
                }
            }
            Ok(OperatorRecord::ZoneEvacuation { zone, evacuated }) => {
                tracing::info!(
                    %zone, out = evacuated,
                    "zones: the operator has changed a zone's state"
                );
                if evacuated {
                    evacuated_zones.insert(zone);
                } else {
                    evacuated_zones.remove(&zone);
                }
            }
            Ok(OperatorRecord::RequiredVersion { adapter, version }) => {
                tracing::info!(%adapter, version, "adapters: the operator requires a new version");
                let version_time = state.settings.bounds.version_time;
                let start = written_at.map(|set_at| VersionStart {
                    set_at,
                    version_time,
                });
                state
                    .residency
                    .set_required_version(adapter, version, start);
                shared.version_set.notify_waiters();
            }
            Ok(OperatorRecord::Other) => {
                tracing::info!(
                    key = record.key,
                    "store: ignored a record of an unused kind"
                );
            }
            Err(error) => tracing::warn!(key = record.key, %error, "store: a record is invalid"),
        }
    }
    state.set_evacuated_zones(evacuated_zones, now);
    drop(state);
    if configured {
        orders::sync_owned_targets(shared);
    }
}

/// Publishes this VM's address and discovers the other entry VMs.
pub(crate) async fn follow_nodes(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("entry VMs");
    let (name, own_record) = {
        let settings = &shared.state.borrow().settings;
        let record = format!("{} {}", settings.peer_address, settings.zone);
        (settings.node.clone(), record)
    };
    let mut eras = shared.store.subscribe_era();
    // The era in which this VM's record was written; a restored store may lack it.
    let mut registered_in = None;
    let mut registered = false;
    loop {
        if !registered {
            let put = shared
                .store
                .put(NODE_TOPIC, name.as_str(), Some(own_record.as_bytes()))
                .await;
            health.record(&put, shared.clock.now());
            registered = put.is_ok();
            registered_in = shared.store.era();
        }
        let newest = shared.store.newest(NODE_TOPIC).await;
        health.record(&newest, shared.clock.now());
        let pause = if registered && newest.is_ok() {
            NODE_READ_INTERVAL
        } else {
            health.retry_delay(shared.is_small_fleet()) * 5
        };
        for record in newest.map(|newest| newest.records).unwrap_or_default() {
            let value = record.value.as_deref().unwrap_or_default();
            match (record.key.parse(), parse_node_record(value)) {
                (Ok(node), Some((address, zone))) if node != name => {
                    let now = shared.clock.now();
                    let mut state = shared.state.borrow_mut();
                    state.add_registered_peer(&node, address, zone, now);
                }
                (Ok(_), Some(_)) => {}
                _ => tracing::warn!(key = record.key, "peers: an entry VM's record is invalid"),
            }
        }
        shared.mark_peers_listed();
        let restored = eras.wait_for(|era| *era > registered_in);
        if tokio::time::timeout(pause, restored).await.is_ok() {
            registered = false;
            tokio::time::sleep(REREGISTRATION_SPREAD.mul_f64(rand::random())).await;
        }
    }
}

/// Parses the record of an entry VM: its address, and its availability zone unless the record is
/// from an older version.
fn parse_node_record(value: &[u8]) -> Option<(SocketAddr, Option<ZoneName>)> {
    let mut parts = std::str::from_utf8(value).ok()?.split_whitespace();
    let address = parts.next()?.parse().ok()?;
    Some((address, parts.next().and_then(|zone| zone.parse().ok())))
}
