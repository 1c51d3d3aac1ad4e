//! Records in the store which software version began this VM's streams, while targets of several
//! versions serve a service, and reads the records when a caller takes up a stream of another VM.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::sync::Mutex;

use super::admission::{AdmittedRequest, Refusal};
use super::request::DEFAULT_RETRY_AFTER;
use super::reservations::TargetReservation;
use super::shared::EntryShared;
use super::state::EntryState;
use super::targets::decode_target;
use super::usage_counts::system_wall_clock;
use super::wire::{RecordedStreams, RecordedVersion};
use crate::clock::Timestamp;
use crate::dispatch::routing::RouteKind;
use crate::dispatch::stream_origins::{RecordStep, StreamKey, StreamOrigin, VersionStreams};
use crate::ids::SoftwareVersion;
use crate::platform::records::TARGET_TOPIC;
use crate::platform::store::{KeyedRecord, ReadOutcome, StoreError};

/// The topic of the records; the keys are NODE/BOOT.
const STREAM_TOPIC: &str = "keyed.streams";
/// How long a caller that takes up a stream waits for the records. The store usually responds in 4 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// A read that began less than this before a request is recent enough for it.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// The age from which any VM removes a record, as a multiple of the time for which streams are kept: its
/// process is gone, or has nothing to record.
const MAX_RECORD_AGE_FACTOR: u32 = 10;

/// Reads of the records, which requests share.
#[derive(Debug, Default)]
pub(crate) struct StreamReads {
    /// Held during a read.
    lock: Mutex<()>,
    /// The start of the last read. It serves all requests that came before it, also if it failed.
    last_read: Cell<Option<Timestamp>>,
    /// Keys of records that are to be removed.
    outdated: RefCell<Vec<String>>,
    /// Held during a read of the targets' versions. Holds the start of the last one and whether it
    /// showed all versions.
    versions: Mutex<Option<(Timestamp, bool)>>,
}

/// The stream that a request begins or takes up, if callers may take it up; `None` also if the caller
/// doesn't state which request began it.
fn stream_key(request: &AdmittedRequest<'_>) -> Option<StreamKey> {
    if request.route.kind != RouteKind::ResumableStream {
        return None;
    }
    let headers = &request.headers;
    let first_request = match headers.has_last_event {
        true => headers.first_request.as_ref()?,
        false => &headers.id,
    };
    Some(StreamKey::new(&request.service, first_request))
}

/// Records which software version began a stream, before the caller gets its first event.
pub(super) fn record_stream_start(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    reservation: &TargetReservation<'_>,
    status: u16,
) {
    let is_success = (200..300).contains(&status);
    if let (Some(key), Some(software)) = (stream_key(request), &reservation.software)
        && is_success
    {
        let now = shared.clock.now();
        let streams = &mut shared.state.borrow_mut().streams;
        streams.begin(key, &request.service, software, now);
    }
}

/// Records that the caller was sent the whole stream.
pub(super) fn record_stream_end(shared: &EntryShared, request: &AdmittedRequest<'_>) {
    if let Some(key) = stream_key(request) {
        shared.state.borrow_mut().streams.complete(key);
    }
}

/// The software version that must continue the stream which the caller takes up; `None` if it takes
/// up none, or any target may continue it.
pub(super) async fn required_software(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
) -> Result<Option<SoftwareVersion>, Refusal> {
    if request.route.kind != RouteKind::ResumableStream || !request.headers.has_last_event {
        return Ok(None);
    }
    let (key, service) = (stream_key(request), &request.service);
    let asked_at = shared.clock.now();
    let is_placed = {
        let mut state = shared.state.borrow_mut();
        state.observe_software(asked_at);
        state.streams.origin(key, service) != StreamOrigin::OnlyVersion
    };
    // A target of another version may have joined since this VM last heard of the targets.
    let knows_versions = is_placed || read_versions(shared, asked_at).await;
    let should_read = {
        let state = shared.state.borrow();
        state.streams.should_read(key, service, asked_at)
    };
    if should_read {
        read_records(shared, asked_at).await;
    }
    match shared.state.borrow().streams.origin(key, service) {
        StreamOrigin::Began(software) => Ok(Some(software)),
        StreamOrigin::OnlyVersion if knows_versions => Ok(None),
        StreamOrigin::OnlyVersion | StreamOrigin::Unknown => Err(Refusal::unavailable(
            "the software version that began the stream is not known",
            DEFAULT_RETRY_AFTER,
        )),
    }
}

/// Reads which targets have joined since this VM last heard of the targets, unless another request has
/// just done so. Returns whether all versions in service are known.
async fn read_versions(shared: &EntryShared, asked_at: Timestamp) -> bool {
    let mut last_read = shared.stream_reads.versions.lock().await;
    if let Some((began_at, is_complete)) = *last_read
        && asked_at.since(began_at) < READ_INTERVAL
    {
        return is_complete;
    }
    let began_at = shared.clock.now();
    let from = shared.state.borrow().relay_coverage.known_until();
    let reading = async {
        let read = shared.store.read(TARGET_TOPIC, from?, Duration::ZERO).await;
        match read.ok()? {
            ReadOutcome::Records { next, records, end } => (next >= end).then_some(records),
            ReadOutcome::Compacted | ReadOutcome::Restored => None,
        }
    };
    let read = tokio::time::timeout(READ_TIMEOUT, reading).await;
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    let records = read.ok().flatten();
    let is_complete = records.is_some();
    let records = records.unwrap_or_default();
    let reports = records.iter().filter_map(decode_target);
    for report in reports.filter_map(|(_, report)| report) {
        if let Some(software) = &report.software {
            let streams = &mut state.streams;
            streams.observe_version(&report.service, software, now);
        }
    }
    drop(state);
    if !is_complete {
        tracing::warn!("streams: which targets have joined was not read in time");
    }
    *last_read = Some((began_at, is_complete));
    is_complete
}

/// Reads the records of all VMs, unless another request has just done so.
async fn read_records(shared: &EntryShared, asked_at: Timestamp) {
    let _guard = shared.stream_reads.lock.lock().await;
    let last_read = shared.stream_reads.last_read.get();
    if last_read.is_some_and(|last_read| asked_at.since(last_read) < READ_INTERVAL) {
        return;
    }
    shared.stream_reads.last_read.set(Some(shared.clock.now()));
    let read = tokio::time::timeout(READ_TIMEOUT, shared.store.newest(STREAM_TOPIC)).await;
    let newest = match read {
        Ok(Ok(newest)) => newest,
        Ok(Err(error)) => {
            tracing::warn!(%error, "streams: reading the records failed");
            return;
        }
        Err(_) => {
            tracing::warn!("streams: the records were not read in time");
            return;
        }
    };
    let max_age = shared.state.borrow().streams.retention() * MAX_RECORD_AGE_FACTOR;
    let decoded = newest.records.iter().filter_map(decode_record);
    let (outdated, records): (Vec<_>, Vec<_>) = decoded.partition(|(_, age, _)| *age > max_age);
    tracing::info!(
        records = records.len(),
        outdated = outdated.len(),
        "streams: read the records"
    );
    let records = records
        .into_iter()
        .map(|(_, age, versions)| (age, versions));
    let now = shared.clock.now();
    let streams = &mut shared.state.borrow_mut().streams;
    streams.apply_records(records, now);
    let outdated = outdated.into_iter().map(|(key, _, _)| key);
    *shared.stream_reads.outdated.borrow_mut() = outdated.collect();
}

/// Decodes a record into its key, its age and its streams.
fn decode_record(record: &KeyedRecord) -> Option<(String, Duration, Vec<VersionStreams>)> {
    let recorded = RecordedStreams::decode(record.value.clone()?).ok()?;
    let wall_ms = u64::from(system_wall_clock());
    let age = Duration::from_millis(wall_ms.saturating_sub(recorded.wall_ms));
    let versions = recorded.versions.into_iter().filter_map(|version| {
        Some(VersionStreams {
            service: version.service.parse().ok()?,
            software: version.software.parse().ok()?,
            streams: version.streams.into_iter().map(StreamKey::from).collect(),
        })
    });
    Some((record.key.clone(), age, versions.collect()))
}

fn encode_record(versions: Vec<VersionStreams>) -> Vec<u8> {
    let versions = versions.into_iter().map(|version| RecordedVersion {
        service: version.service.to_string(),
        software: version.software.to_string(),
        streams: version.streams.into_iter().map(u64::from).collect(),
    });
    let recorded = RecordedStreams {
        wall_ms: system_wall_clock().into(),
        versions: versions.collect(),
    };
    recorded.encode_to_vec()
}

/// Writes this VM's record whenever a stream is missing from it, and removes outdated ones.
pub(super) async fn run_records(shared: Rc<EntryShared>) {
    let key = {
        let state = shared.state.borrow();
        format!("{}/{}", state.settings.node, state.boot)
    };
    loop {
        let step = {
            let mut state = shared.state.borrow_mut();
            let now = shared.clock.now();
            state.observe_software(now);
            state.streams.next_record(now)
        };
        let written = match step {
            RecordStep::Keep => remove_outdated(&shared).await,
            RecordStep::Write(versions) => {
                let value = encode_record(versions);
                shared.store.put(STREAM_TOPIC, &key, Some(&value)).await
            }
            RecordStep::Remove => shared.store.put(STREAM_TOPIC, &key, None).await,
        };
        if let Err(error) = written {
            tracing::info!(%error, "streams: writing the record failed");
            shared.state.borrow_mut().streams.record_failed();
        }
        wait_for_next(&shared).await;
    }
}

/// Removes one outdated record, if there is any.
async fn remove_outdated(shared: &EntryShared) -> Result<(), StoreError> {
    let outdated = shared.stream_reads.outdated.borrow_mut().pop();
    match outdated {
        Some(key) => shared.store.put(STREAM_TOPIC, &key, None).await,
        None => Ok(()),
    }
}

async fn wait_for_next(shared: &EntryShared) {
    let interval = {
        let state = shared.state.borrow();
        let limits = state.streams.limits();
        limits.record_interval(state.peers.member_count())
    };
    tokio::time::sleep(interval).await;
}

impl EntryState {
    /// Records the software versions that are in service.
    fn observe_software(&mut self, now: Timestamp) {
        for entry in self.directory.targets() {
            if let Some(software) = &entry.report.software {
                let service = &entry.report.service;
                self.streams.observe_version(service, software, now);
            }
        }
    }
}
