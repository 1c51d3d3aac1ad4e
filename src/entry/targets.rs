//! Follows the records that targets publish in the platform's store, directly or through the relays
//! of the VMs that read them.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::cold_reports;
use super::follow::{MAX_RELAY_BYTES, ReaderRole};
use super::gossip::{broadcast, new_message};
use super::orders;
use super::restored::{observe_era, observe_peer_era};
use super::shared::EntryShared;
use super::state::EntryState;
use super::store_health::StoreHealth;
use super::wire::PeerMessage;
use super::wire_log::{PeerRecord, RelayedSpan};
use crate::clock::Timestamp;
use crate::collections::FastSet;
use crate::dispatch::directory::{DirectoryChange, TargetKey, TargetReport};
use crate::dispatch::relay_backlog::FoundChange;
use crate::dispatch::relay_coverage::{
    RELAY_ANNOUNCE_INTERVAL, RelayContent, RelayLimit, RelaySpan,
};
use crate::ids::{LogPosition, NodeName, TargetName};
use crate::platform::records::{TARGET_TOPIC, decode_target_record};
use crate::platform::store::{KeyedRecord, ReadOutcome, StoreError};

/// The longest interval between reads of the targets' records. Targets report about every second, and
/// a target that reports that it is leaving must receive no new request 2 s later.
const TARGET_READ_INTERVAL: Duration = Duration::from_millis(800);
/// The interval in a small fleet for each of its VMs. Each VM tells the others of targets that have
/// become cold, which the first of them then knows after this time on average or sooner. The fleet's
/// calls stay below those of six VMs that read at the longest interval.
const READ_INTERVAL_PER_VM: Duration = Duration::from_millis(134);
/// The same interval in VMs that receive urgent changes from the readers. Lost messages are noticed
/// separately, so this read only catches what readers and followers regard differently.
const FOLLOWER_TARGET_READ_INTERVAL: Duration = Duration::from_secs(45);

/// Keeps the directory of targets up to date from the records that targets publish.
pub(crate) async fn follow_targets(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("targets");
    shared.wait_for_peer_list().await;
    let mut next = None;
    let mut last_role = None;
    loop {
        let role = ReaderRole::of(&shared);
        if last_role != Some(role) {
            tracing::info!(
                ?role,
                "targets: this VM's part in reading the store has changed"
            );
            // What other readers have relayed need not be read again.
            if last_role == Some(ReaderRole::Follower) {
                next = shared.state.borrow().relay_coverage.known_until();
            }
            last_role = Some(role);
        }
        let read = read_targets(&shared, next).await;
        let now = shared.clock.now();
        if health.record(&read, now) {
            shared
                .state
                .borrow_mut()
                .directory
                .mark_store_recovered(now);
        }
        if let Some(era) = shared.store.era() {
            observe_era(&shared, era, "targets", now);
        }
        let Ok(read) = read else {
            shared.state.borrow_mut().reset_relay();
            tokio::time::sleep(health.retry_delay(shared.is_small_fleet())).await;
            continue;
        };
        let claimed_until = apply_read(&shared, role, &read, now);
        next = read.next;
        if let (Some(until), false) = (claimed_until, read.is_partial) {
            let announced = shared.state.borrow().relay_claim.announced(until);
            next = wait_for_next_read(&shared, role, announced, next).await;
        }
    }
}

/// Applies what was read and, in a reader, relays it. Returns the end of what may be announced.
fn apply_read(
    shared: &Rc<EntryShared>,
    role: ReaderRole,
    read: &TargetRead,
    now: Timestamp,
) -> Option<LogPosition> {
    // A list that is older than what this VM has heard since lacks the targets that are new.
    let (is_outdated, known_until) = {
        let coverage = &shared.state.borrow().relay_coverage;
        let is_outdated = read.next.is_some_and(|next| coverage.is_beyond(next));
        (is_outdated, coverage.known_until())
    };
    let eras = read.next.zip(known_until);
    let source = RecordSource::Store {
        complete: read.complete && !is_outdated,
        restored: eras.is_some_and(|(next, known)| next.era > known.era),
    };
    let found = apply_target_records(shared, &read.records, source, now);
    let until = read.next?;
    {
        let mut state = shared.state.borrow_mut();
        state.relay_coverage.record_read(until, now);
    }
    // A complete list is the state so far and contains no new changes.
    if role == ReaderRole::Reader && !read.complete {
        Some(relay_changes(shared, found, until))
    } else {
        shared.state.borrow_mut().reset_relay();
        Some(until)
    }
}

/// Records of targets that were read from the store.
struct TargetRead {
    /// The position after them, unless some were deleted before they were read.
    next: Option<LogPosition>,
    records: Vec<KeyedRecord>,
    /// Whether they are the complete current state.
    complete: bool,
    /// Whether the log has more that did not fit in the response.
    is_partial: bool,
}

/// Reads the targets' records from `next` on, or the newest record of each target.
async fn read_targets(
    shared: &EntryShared,
    next: Option<LogPosition>,
) -> Result<TargetRead, StoreError> {
    let Some(from) = next else {
        let newest = shared.store.newest(TARGET_TOPIC).await?;
        return Ok(TargetRead {
            next: Some(newest.next),
            records: newest.records,
            complete: true,
            is_partial: false,
        });
    };
    let read = shared
        .store
        .read(TARGET_TOPIC, from, Duration::ZERO)
        .await?;
    Ok(match read {
        ReadOutcome::Records { next, records, end } => TargetRead {
            next: Some(next),
            is_partial: next < end && !records.is_empty(),
            records,
            complete: false,
        },
        ReadOutcome::Compacted | ReadOutcome::Restored => TargetRead {
            next: None,
            records: Vec::new(),
            complete: false,
            is_partial: false,
        },
    })
}

/// The interval between the reads of a VM, in a fleet of `members` VMs.
pub(super) fn read_interval(role: ReaderRole, members: usize) -> Duration {
    match (role, u32::try_from(members)) {
        (ReaderRole::Standalone, Ok(members)) => {
            TARGET_READ_INTERVAL.min(READ_INTERVAL_PER_VM * members)
        }
        _ => TARGET_READ_INTERVAL,
    }
}

/// Waits until the targets' records are to be read again, and returns from which offset on, if not all
/// of them. A reader announces `span` once more meanwhile.
async fn wait_for_next_read(
    shared: &EntryShared,
    role: ReaderRole,
    span: Option<RelaySpan>,
    next: Option<LogPosition>,
) -> Option<LogPosition> {
    let jitter = rand::random_range(0.85..1.15);
    let members = shared.state.borrow().peers.member_count();
    let interval = read_interval(role, members).mul_f64(jitter);
    match (role, span) {
        (ReaderRole::Follower, _) => {
            let limit = FOLLOWER_TARGET_READ_INTERVAL.mul_f64(jitter);
            // Every change before the missing relay is known. The log of the whole time since the
            // last read is much longer than the newest record of each target.
            return match wait_for_lost_relay(shared, interval, limit).await {
                ReadReason::LostRelay => shared.state.borrow().relay_coverage.known_until(),
                ReadReason::Interval => None,
            };
        }
        (ReaderRole::Reader, Some(span)) => {
            let pause = interval.min(RELAY_ANNOUNCE_INTERVAL);
            tokio::time::sleep(pause).await;
            relay_records(shared, Vec::new(), span);
            tokio::time::sleep(interval.saturating_sub(pause)).await;
        }
        _ => tokio::time::sleep(interval).await,
    }
    next
}

/// Handles a peer's relay of target records, and applies those that are new to this VM.
pub(super) fn handle_relay(
    shared: &Rc<EntryShared>,
    peer: &NodeName,
    relay: RelayedSpan,
    mut records: Vec<PeerRecord>,
) {
    let now = shared.clock.now();
    let span = RelaySpan::from(relay);
    let era = span.until.era;
    observe_peer_era(shared, era, now);
    let (known_until, new_from) = {
        let coverage = &mut shared.state.borrow_mut().relay_coverage;
        (coverage.known_until(), coverage.record_relay(span, now))
    };
    let received = records.len();
    records.retain(|record| match record.offset {
        // The span may end before the record, if it follows a removal that the sender defers.
        Some(offset) => {
            let position = LogPosition::new(era, offset.into());
            known_until.is_some_and(|known| position >= known)
        }
        None => new_from.is_some(),
    });
    let applied = records.len();
    let ignored = received - applied;
    shared.metrics.record_relayed_records(applied, ignored);
    if ignored > 0 {
        tracing::info!(
            %peer, from = %span.from, until = %span.until, applied, ignored,
            "targets: ignored relayed records as already known"
        );
    }
    if applied > 0 {
        let records: Vec<_> = records.into_iter().map(Into::into).collect();
        apply_target_records(shared, &records, RecordSource::Relay, now);
    }
    shared.relay_received.notify_one();
}

/// Why a VM that relies on readers reads the log itself.
enum ReadReason {
    LostRelay,
    /// The last read was long ago.
    Interval,
}

/// Waits until a relay was lost, or the readers are silent, or `limit` has passed, and for `minimum`
/// in any case.
async fn wait_for_lost_relay(
    shared: &EntryShared,
    minimum: Duration,
    limit: Duration,
) -> ReadReason {
    let started_at = shared.clock.now();
    tokio::time::sleep(minimum).await;
    loop {
        let now = shared.clock.now();
        let to_read = {
            let state = shared.state.borrow();
            let drain_time = state.settings.bounds.drain_time;
            state.relay_coverage.time_to_read(drain_time, now)
        };
        let remaining = limit.saturating_sub(now.since(started_at)).min(to_read);
        if remaining.is_zero() {
            if !to_read.is_zero() {
                return ReadReason::Interval;
            }
            tracing::info!(
                "targets: a relay is missing or the readers are silent, reading the store"
            );
            return ReadReason::LostRelay;
        }
        let _ = tokio::time::timeout(remaining, shared.relay_received.notified()).await;
    }
}

/// Relays the changes that a read up to `read_until` has found. Returns the end of what this reader
/// claims to have relayed.
fn relay_changes(
    shared: &EntryShared,
    found: Vec<FoundChange<PeerRecord>>,
    read_until: LogPosition,
) -> LogPosition {
    let (part, span) = {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let removal = |key| state.directory.deferred_removal(key);
        let part = state.relay_backlog.take_part(found, read_until, removal);
        let content = relay_content(state, &part.claimed, part.until);
        let span = state.relay_claim.claim(part.until, content);
        (part, span)
    };
    let claimed = if span.is_empty() {
        Vec::new()
    } else {
        part.claimed
    };
    relay_records(shared, claimed, span);
    let content = relay_content(&shared.state.borrow(), &part.unclaimed, part.until);
    if content == RelayContent::Records {
        tracing::info!(
            records = part.unclaimed.len(), %read_until,
            "targets: relaying records after a deferred removal"
        );
        let claimed_end = RelaySpan {
            from: part.until,
            until: part.until,
        };
        relay_records(shared, part.unclaimed, claimed_end);
    }
    part.until
}

/// Decides whether records may be sent to all peers.
fn relay_content(state: &EntryState, records: &[PeerRecord], until: LogPosition) -> RelayContent {
    let sizes: Vec<_> = records.iter().map(Message::encoded_len).collect();
    let limit = RelayLimit {
        link_rate: state.settings.link_rate,
        forwarding_time: state.settings.bounds.forwarding_time,
    };
    let peers = state.peer_addresses().len();
    let content = limit.content(&sizes, peers);
    if content == RelayContent::TooLong {
        tracing::info!(
            records = sizes.len(), bytes = sizes.iter().sum::<usize>(), peers, %until,
            "targets: too many records for the link, the peers must read them"
        );
    }
    content
}

/// Sends urgent target records to all peers, in as many messages as needed. `span` is the part of
/// the log that they are from; the peers know all of it once they have received every message.
fn relay_records(shared: &EntryShared, records: Vec<PeerRecord>, span: RelaySpan) {
    let mut messages = vec![Vec::<PeerRecord>::new()];
    let (count, mut bytes) = (records.len(), 0);
    for record in records {
        let size = record.encoded_len();
        if bytes + size > MAX_RELAY_BYTES && bytes > 0 {
            messages.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = messages.last_mut() {
            last.push(record);
        }
    }
    let start = |records: &Vec<PeerRecord>| {
        let offset = records.first().and_then(|record| record.offset);
        offset.map_or(span.from, |offset| {
            LogPosition::new(span.from.era, offset.into())
        })
    };
    let starts: Vec<_> = messages.iter().map(start).collect();
    if count > 0 {
        tracing::info!(
            records = count, messages = messages.len(), from = %span.from, until = %span.until,
            "targets: relaying records to all peers"
        );
    }
    for (records, relay) in messages.into_iter().zip(span.split(&starts)) {
        let message = PeerMessage {
            records,
            relay: Some(relay.into()),
            ..new_message(&shared.state.borrow())
        };
        broadcast(shared, &message);
    }
}

/// Where target records come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordSource {
    /// Read from the store. `complete` is set if they are the complete current state, `restored` if
    /// the store has come back from a copy since the last read.
    Store {
        complete: bool,
        restored: bool,
    },
    Relay,
}

impl RecordSource {
    fn is_complete(self) -> bool {
        matches!(self, Self::Store { complete: true, .. })
    }

    fn is_restored(self) -> bool {
        matches!(self, Self::Store { restored: true, .. })
    }
}

/// Decodes a record of a target, or logs why it names none.
pub(super) fn decode_target(record: &KeyedRecord) -> Option<(TargetName, Option<TargetReport>)> {
    let Ok(name) = record.key.parse::<TargetName>() else {
        tracing::warn!(
            key = record.key,
            "targets: a record's key is not a valid target name"
        );
        return None;
    };
    let report = record.value.as_deref().map(decode_target_record);
    match report.transpose() {
        Ok(report) => Some((name, report)),
        Err(error) => {
            tracing::warn!(target = %name, %error, "targets: a target's record is invalid");
            None
        }
    }
}

/// Applies records of targets. Returns the changes that a reader has to relay, in the order of the
/// log.
fn apply_target_records(
    shared: &Rc<EntryShared>,
    records: &[KeyedRecord],
    source: RecordSource,
    now: Timestamp,
) -> Vec<FoundChange<PeerRecord>> {
    let complete = source.is_complete();
    let is_read_for_others = source != RecordSource::Relay
        && !complete
        && ReaderRole::of(shared) != ReaderRole::Follower;
    let (mut changed, mut found, mut cold_targets) = (false, Vec::new(), Vec::new());
    {
        let mut state = shared.state.borrow_mut();
        let mut listed = FastSet::default();
        for record in records {
            let Some((name, report)) = decode_target(record) else {
                continue;
            };
            listed.insert(TargetKey::new(&name));
            if let (true, Some(report)) = (source.is_restored(), &report) {
                state.directory.outdate_restored(&name, report);
            }
            let cold = report
                .as_ref()
                .and_then(|report| cold_reports::statement(TargetKey::new(&name), report));
            let change = state.apply_target(&name, report, now);
            if !matches!(change, DirectoryChange::None | DirectoryChange::Updated) {
                tracing::info!(
                    target = %name, key = %TargetKey::new(&name), ?change, ?source,
                    cold_ms = cold.map(|cold| cold.remaining_ms),
                    "targets: a target has changed"
                );
                changed = true;
            }
            if is_read_for_others && change.is_urgent() {
                cold_targets.extend(cold);
            }
            if source == RecordSource::Relay {
                if change.is_urgent() {
                    state.relay_claim.record_foreign(name, now);
                }
            } else if let Some(position) = record.position
                && (change.is_urgent() || state.relay_claim.is_known(&name, now))
            {
                let is_deferred = change == DirectoryChange::RemovalDeferred;
                found.push(FoundChange {
                    record: record.clone().into(),
                    position,
                    deferred: is_deferred.then(|| TargetKey::new(&name)),
                });
            }
        }
        for key in state.remove_absent_targets(complete.then_some(&listed), now) {
            tracing::info!(
                target = %key, complete,
                "targets: removed a target that has no record any more"
            );
            changed = true;
        }
    }
    cold_reports::announce(shared, &cold_targets);
    shared.connections.close_expired(now);
    if changed {
        orders::sync_owned_targets(shared);
    }
    found
}
