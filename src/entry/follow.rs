//! The loops that follow the platform's store: the operator's records, the targets' records and the
//! list of entry VMs.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::confirm::{STORE_READERS, tell_new};
use super::gossip::{blank_message, send_to_all};
use super::orders;
use super::shared::EntryShared;
use super::store_health::StoreHealth;
use super::wire::{ConfirmNote, PeerMessage, RecordNote};
use crate::clock::Timestamp;
use crate::collections::FastSet;
use crate::dispatch::directory::{DirectoryChange, TargetKey};
use crate::ids::{LogOffset, TargetName, ZoneName};
use crate::platform::records::{
    OPERATOR_TOPIC, OperatorRecord, TARGET_TOPIC, decode_operator, decode_target,
};
use crate::platform::store::{KeyedRecord, ReadOutcome, StoreError};

/// How long a read of the operator's records waits for a new one. The configuration counts as
/// confirmed from the read's sending on: with one read that is lost, its age stays below the users'
/// bound of 5 s.
const OPERATOR_WAIT: Duration = Duration::from_millis(1500);
/// The same for the few VMs that read for many: the others ask them how old their views are.
const READER_WAIT: Duration = Duration::from_millis(700);
/// The age of the configuration's confirmation at which one of many VMs asks the readers for a
/// newer one: a change must be in force everywhere some 2 s after it.
const CONFIRM_AGE: Duration = Duration::from_millis(2200);
/// The pause between reads of the targets' records: targets report about each second, and a leaving
/// one must get no new request 2 s after its report.
const TARGET_PAUSE: Duration = Duration::from_millis(800);
/// The same for VMs to which readers relay what matters: a lost message is noticed by itself.
const ASKER_TARGET_PAUSE: Duration = Duration::from_secs(15);
/// The most bytes of records in one message, below the usual MTU with the rest.
const RELAY_BYTES: usize = 1100;
/// The topic in which entry VMs find each other.
const NODE_TOPIC: &str = "keyed.nodes";
/// The pause between reads of the entry VMs' addresses, for VMs that no message has reached: each
/// new VM sends messages to all that it finds at its start.
const NODE_PAUSE: Duration = Duration::from_secs(60);

/// Who reads the store's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderRole {
    /// One of few VMs, which all read by themselves.
    Alone,
    /// One of many; reads for all.
    Reader,
    /// One of many; asks the readers.
    Asker,
}

impl ReaderRole {
    fn of(shared: &EntryShared) -> Self {
        let state = shared.state.borrow();
        if state.is_small_fleet() {
            Self::Alone
        } else if state.rank() < STORE_READERS {
            Self::Reader
        } else {
            Self::Asker
        }
    }

    fn operator_wait(self) -> Duration {
        match self {
            Self::Alone => OPERATOR_WAIT,
            Self::Reader => READER_WAIT,
            Self::Asker => Duration::ZERO,
        }
    }

    fn target_pause(self) -> Duration {
        match self {
            Self::Alone | Self::Reader => TARGET_PAUSE,
            Self::Asker => ASKER_TARGET_PAUSE,
        }
    }
}

/// Follows the operator's records.
pub(crate) async fn follow_operator(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("configuration");
    loop {
        let next = shared.state.borrow().operator_next;
        let role = ReaderRole::of(&shared);
        if role == ReaderRole::Asker && next.is_some() && !must_read(&shared).await {
            continue;
        }
        let wait = role.operator_wait();
        let sent_at = shared.clock.now();
        let read = read_operator(&shared, next, wait).await;
        let now = shared.clock.now();
        health.note(&read, now);
        match read {
            Ok(OperatorRead {
                next: after,
                records,
                complete,
            }) => {
                apply_operator(&shared, &records, complete, now);
                {
                    let mut state = shared.state.borrow_mut();
                    state.confirmed_at = after.map(|_| sent_at);
                    // A peer may have told newer records during the read.
                    let known = state.operator_next.filter(|_| !complete && after.is_some());
                    state.operator_next = known.max(after);
                }
                if let (ReaderRole::Reader, Some(from)) = (role, next)
                    && !records.is_empty()
                    && !complete
                {
                    tell_new(&shared, from, short_notes(records));
                }
            }
            Err(_) => tokio::time::sleep(health.pause(shared.is_small_fleet())).await,
        }
    }
}

/// The records for peers; none if they are too long for a datagram.
fn short_notes(records: Vec<KeyedRecord>) -> Vec<RecordNote> {
    let notes: Vec<RecordNote> = records.into_iter().map(Into::into).collect();
    let bytes: usize = notes.iter().map(Message::encoded_len).sum();
    if bytes > RELAY_BYTES {
        return Vec::new();
    }
    notes
}

/// Takes in how new a peer's view of the operator's records is, and the records that this VM lacks.
pub(crate) fn take_confirm(shared: &Rc<EntryShared>, note: ConfirmNote, now: Timestamp) {
    let next = shared.state.borrow().operator_next.map(u64::from);
    if next != Some(note.from) || note.records.is_empty() {
        shared.confirmations.take(shared, &note, now);
        return;
    }
    let records: Vec<_> = note.records.into_iter().map(Into::into).collect();
    apply_operator(shared, &records, false, now);
    shared.state.borrow_mut().operator_next = Some(LogOffset::from(note.next));
}

/// Waits until this VM has to read the operator's records by itself, because its view has grown old
/// and no peer has a newer one, or because a peer has newer records.
async fn must_read(shared: &EntryShared) -> bool {
    let age = |shared: &EntryShared| {
        let confirmed_at = shared.state.borrow().confirmed_at;
        confirmed_at.map_or(Duration::MAX, |time| shared.clock.now().since(time))
    };
    // A random limit spreads the reads of VMs that no reader answers.
    let limit = CONFIRM_AGE.mul_f64(rand::random_range(0.75..1.25));
    if shared
        .confirmations
        .wait(limit.saturating_sub(age(shared)))
        .await
    {
        return true;
    }
    shared.confirmations.ask(shared).await;
    age(shared) >= limit
}

struct OperatorRead {
    /// Unset when records were deleted before they were read.
    next: Option<LogOffset>,
    records: Vec<KeyedRecord>,
    /// Whether the records are all that there are.
    complete: bool,
}

async fn read_operator(
    shared: &EntryShared,
    next: Option<LogOffset>,
    wait: Duration,
) -> Result<OperatorRead, StoreError> {
    let Some(from) = next else {
        let newest = shared.store.newest(OPERATOR_TOPIC).await?;
        let (next, records) = (Some(newest.next), newest.records);
        return Ok(OperatorRead {
            next,
            records,
            complete: true,
        });
    };
    Ok(match shared.store.read(OPERATOR_TOPIC, from, wait).await? {
        ReadOutcome::Records { next, records } => OperatorRead {
            next: Some(next),
            records,
            complete: false,
        },
        ReadOutcome::Compacted => {
            tracing::info!("store: operator's records were deleted before they were read");
            OperatorRead {
                next: None,
                records: Vec::new(),
                complete: false,
            }
        }
    })
}

fn apply_operator(
    shared: &Rc<EntryShared>,
    records: &[KeyedRecord],
    complete: bool,
    now: Timestamp,
) {
    let mut state = shared.state.borrow_mut();
    let mut out_zones: FastSet<ZoneName> = match complete {
        true => FastSet::default(),
        false => state.directory.out_zones().clone(),
    };
    let mut configured = false;
    for record in records {
        let decoded = decode_operator(&record.key, record.value.as_deref());
        match decoded {
            Ok(OperatorRecord::Config(config)) => {
                let version = config.version;
                if state.set_config(*config, now) {
                    tracing::info!(version, limits = %state.allowances.describe(), "config: in force");
                    configured = true;
                }
            }
            Ok(OperatorRecord::ZoneOut { zone, out }) => {
                tracing::info!(%zone, out, "zones: changed by the operator");
                if out {
                    out_zones.insert(zone);
                } else {
                    out_zones.remove(&zone);
                }
            }
            Ok(OperatorRecord::NewVersion { adapter, version }) => {
                tracing::info!(%adapter, version, "adapters: new version");
                let named_at = (!complete).then_some(now);
                state.residency.name_version(adapter, version, named_at);
            }
            Ok(OperatorRecord::Other) => {
                tracing::info!(key = record.key, "store: a record of no use here");
            }
            Err(error) => tracing::warn!(key = record.key, %error, "store: a record can't be used"),
        }
    }
    state.directory.set_out_zones(out_zones);
    drop(state);
    if configured {
        orders::sync_owned(shared);
    }
}

/// Follows what targets say of themselves.
pub(crate) async fn follow_targets(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("targets");
    let mut next = None;
    loop {
        let read = match next {
            None => {
                let newest = shared.store.newest(TARGET_TOPIC).await;
                newest.map(|newest| (Some(newest.next), newest.records, true))
            }
            Some(from) => {
                let read = shared.store.read(TARGET_TOPIC, from, Duration::ZERO).await;
                read.map(|read| match read {
                    ReadOutcome::Records { next, records } => (Some(next), records, false),
                    ReadOutcome::Compacted => (None, Vec::new(), false),
                })
            }
        };
        let now = shared.clock.now();
        if health.note(&read, now) {
            shared.state.borrow_mut().directory.note_store_return(now);
        }
        match read {
            Ok((after, records, complete)) => {
                let urgent = apply_targets(&shared, &records, complete, now);
                let role = ReaderRole::of(&shared);
                // A complete list tells nothing new.
                if role == ReaderRole::Reader && !complete {
                    relay_records(&shared, urgent);
                }
                next = after;
                if next.is_some() {
                    let spread = rand::random_range(0.85..1.15);
                    let least = TARGET_PAUSE.mul_f64(spread);
                    tokio::time::sleep(least).await;
                    let rest = role.target_pause().mul_f64(spread).saturating_sub(least);
                    // After the loss of a message with records they are read at once.
                    let _ = tokio::time::timeout(rest, shared.relay_lost.notified()).await;
                }
            }
            Err(_) => tokio::time::sleep(health.pause(shared.is_small_fleet())).await,
        }
    }
}

/// Takes in records of targets that a peer has read.
pub(crate) fn take_relayed(shared: &Rc<EntryShared>, notes: Vec<RecordNote>) {
    let records: Vec<_> = notes.into_iter().map(Into::into).collect();
    apply_targets(shared, &records, false, shared.clock.now());
}

/// Tells all peers what they must not learn late.
fn relay_records(shared: &EntryShared, records: Vec<RecordNote>) {
    let mut pending = Vec::new();
    let mut bytes = 0;
    for record in records {
        let size = record.encoded_len();
        if bytes + size > RELAY_BYTES && !pending.is_empty() {
            send_records(shared, std::mem::take(&mut pending));
            bytes = 0;
        }
        bytes += size;
        pending.push(record);
    }
    if !pending.is_empty() {
        send_records(shared, pending);
    }
}

fn send_records(shared: &EntryShared, records: Vec<RecordNote>) {
    let message = {
        let mut state = shared.state.borrow_mut();
        state.relays_sent += 1;
        PeerMessage {
            records,
            relay: state.relays_sent,
            ..blank_message(&state)
        }
    };
    send_to_all(shared, &message);
}

fn apply_targets(
    shared: &Rc<EntryShared>,
    records: &[KeyedRecord],
    complete: bool,
    now: Timestamp,
) -> Vec<RecordNote> {
    let (mut changed, mut urgent) = (false, Vec::new());
    {
        let mut state = shared.state.borrow_mut();
        let mut listed = FastSet::default();
        for record in records {
            let Ok(name) = record.key.parse::<TargetName>() else {
                tracing::warn!(key = record.key, "targets: a record with an unreadable id");
                continue;
            };
            let report = match record.value.as_deref().map(decode_target).transpose() {
                Ok(report) => report,
                Err(error) => {
                    tracing::warn!(target = %name, %error, "targets: a record can't be used");
                    continue;
                }
            };
            listed.insert(TargetKey::new(&name));
            let change = state.apply_target(&name, report, now);
            if !matches!(change, DirectoryChange::None | DirectoryChange::Updated) {
                tracing::info!(target = %name, key = %TargetKey::new(&name), ?change, "targets: changed");
                changed = true;
            }
            if change.is_urgent() {
                urgent.push(record.clone().into());
            }
        }
        for key in state.drop_absent(complete.then_some(&listed), now) {
            tracing::info!(target = %key, complete, "targets: gone without a record");
            changed = true;
        }
    }
    shared.channels.expire(now);
    if changed {
        orders::sync_owned(shared);
    }
    urgent
}

/// Makes this VM known to the others and finds them.
pub(crate) async fn follow_nodes(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("entry VMs");
    let (name, address) = {
        let state = shared.state.borrow();
        (state.settings.node.clone(), state.settings.peers)
    };
    let mut registered = false;
    loop {
        if !registered {
            let value = address.to_string();
            let put = shared
                .store
                .put(NODE_TOPIC, name.as_str(), Some(value.as_bytes()))
                .await;
            health.note(&put, shared.clock.now());
            registered = put.is_ok();
        }
        let newest = shared.store.newest(NODE_TOPIC).await;
        health.note(&newest, shared.clock.now());
        let pause = if registered && newest.is_ok() {
            NODE_PAUSE
        } else {
            health.pause(shared.is_small_fleet()) * 5
        };
        for record in newest.map(|newest| newest.records).unwrap_or_default() {
            let value = record.value.as_deref().unwrap_or_default();
            let address = std::str::from_utf8(value)
                .ok()
                .and_then(|text| text.parse().ok());
            match (record.key.parse(), address) {
                (Ok(node), Some(address)) if node != name => {
                    shared.state.borrow_mut().learn_peer(&node, address);
                }
                (Ok(_), Some(_)) => {}
                _ => tracing::warn!(key = record.key, "peers: a record can't be used"),
            }
        }
        tokio::time::sleep(pause).await;
    }
}
