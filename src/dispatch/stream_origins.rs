//! Which software version began a stream, so that the stream goes on at no other.
//!
//! Load patterns: targets of two software versions serve a service side by side; all VMs are killed at
//! once, and callers take up thousands of streams at VMs that have relayed none of them; the targets
//! of the older version have just left.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::stable_hash;
use crate::ids::{ByteSize, RequestId, RequestRate, ServiceName, SoftwareVersion};

/// Added to the time for which streams are kept, since the ages of records are taken from the wall
/// clocks of two VMs.
const CLOCK_MARGIN: Duration = Duration::from_secs(10);
/// The memory for a stream that is kept, with the free space of its table.
const STREAM_BYTES: u64 = 100;
/// The part of a record that a stream takes. The names of versions and services share the rest.
const RECORDED_STREAM_BYTES: u64 = 16;
/// All VMs together make at most this part of the writes that the store takes to record streams.
const WRITE_FRACTION: f64 = 1.0 / 12.0;
/// The shortest interval between two records of a VM. The streams that it has begun since the last
/// one can't be placed if it is killed.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(250);

/// The limits on what a VM keeps and records.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StreamLimits {
    pub(crate) max_streams: usize,
    /// In one record.
    pub(crate) max_recorded: usize,
    /// The writes that the store takes from all VMs together.
    pub(crate) store_write_rate: RequestRate,
}

impl StreamLimits {
    /// The limits of a VM that has `memory` for streams, at a store that takes records of up to
    /// `record_size`.
    pub(crate) fn new(
        memory: ByteSize,
        record_size: ByteSize,
        store_write_rate: RequestRate,
    ) -> Self {
        let count = |size: ByteSize, part: u64| {
            usize::try_from(u64::from(size) / part).unwrap_or(usize::MAX)
        };
        Self {
            max_streams: count(memory, STREAM_BYTES),
            max_recorded: count(record_size, RECORDED_STREAM_BYTES),
            store_write_rate,
        }
    }

    /// The time from one record of a VM to the next, if there are `vms`.
    pub(crate) fn record_interval(&self, vms: usize) -> Duration {
        let rate = self.store_write_rate.as_f64() * WRITE_FRACTION;
        let interval = Duration::try_from_secs_f64(vms as f64 / rate);
        interval.unwrap_or(Duration::MAX).max(MIN_RECORD_INTERVAL)
    }
}

/// Identifies a stream: its service and the id of the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::From, derive_more::Into)]
pub(crate) struct StreamKey(u64);

impl StreamKey {
    pub(crate) fn new(service: &ServiceName, first_request: &RequestId) -> Self {
        Self(stable_hash(&[service.as_str(), first_request.as_str()]))
    }
}

/// Streams that one version of a service's targets began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct VersionStreams {
    pub(crate) service: ServiceName,
    pub(crate) software: SoftwareVersion,
    pub(crate) streams: Vec<StreamKey>,
}

/// Which targets may continue a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamOrigin {
    Began(SoftwareVersion),
    /// One version alone has been in service for as long as streams last.
    OnlyVersion,
    /// Several versions have been in service, and the VM doesn't know which of them began the stream.
    Unknown,
}

/// What to do about this VM's record of streams.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RecordStep {
    Keep,
    Write(Vec<VersionStreams>),
    Remove,
}

#[derive(Debug)]
struct KnownStream {
    service: ServiceName,
    software: SoftwareVersion,
    kept_until: Timestamp,
    /// Whether this VM relays the stream, or has seen it break off. Other VMs record theirs.
    is_recorded_here: bool,
}

/// The streams that callers may take up, and the software versions in service.
#[derive(Debug)]
pub(crate) struct StreamOrigins {
    streams: FastMap<StreamKey, KnownStream>,
    /// When each version was last in service, by service. Versions that have left are kept for
    /// `retention`.
    versions: FastMap<ServiceName, Vec<(SoftwareVersion, Timestamp)>>,
    limits: StreamLimits,
    /// How long a stream, and a version that is no longer in service, may matter: the longest time
    /// limit of routes whose streams callers may take up, and a margin.
    retention: Duration,
    started: Timestamp,
    /// Whether the records of all VMs have been read since this process started.
    has_read: bool,
    /// Whether a stream is missing from this VM's record.
    lacks_stream: bool,
    /// Whether the store has a record of this VM.
    is_written: bool,
}

impl StreamOrigins {
    pub(crate) fn new(limits: StreamLimits, started: Timestamp) -> Self {
        Self {
            streams: FastMap::default(),
            versions: FastMap::default(),
            limits,
            retention: CLOCK_MARGIN,
            started,
            has_read: false,
            lacks_stream: false,
            is_written: false,
        }
    }

    pub(crate) fn limits(&self) -> StreamLimits {
        self.limits
    }

    pub(crate) fn retention(&self) -> Duration {
        self.retention
    }

    /// Sets the longest time for which callers may take up a stream.
    pub(crate) fn set_stream_time(&mut self, stream_time: Duration) {
        self.retention = stream_time + CLOCK_MARGIN;
    }

    /// Records that a version is in service, or was at `seen`.
    pub(crate) fn observe_version(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        seen: Timestamp,
    ) {
        let Some(versions) = self.versions.get_mut(service) else {
            let first = vec![(software.clone(), seen)];
            self.versions.insert(service.clone(), first);
            return;
        };
        match versions.iter_mut().find(|(known, _)| known == software) {
            Some((_, last_seen)) => *last_seen = seen.max(*last_seen),
            None => {
                versions.push((software.clone(), seen));
                // Streams that began before must be told apart from now on.
                self.lacks_stream = true;
            }
        }
    }

    /// Forgets streams and versions that are too old to matter.
    fn expire(&mut self, now: Timestamp) {
        let retention = self.retention;
        self.streams.retain(|_, stream| now < stream.kept_until);
        for versions in self.versions.values_mut() {
            versions.retain(|(_, last_seen)| now.since(*last_seen) < retention);
        }
    }

    fn is_mixed(&self, service: &ServiceName) -> bool {
        let versions = self.versions.get(service);
        versions.is_some_and(|versions| versions.len() > 1)
    }

    /// Records that the caller is about to get an event of a stream. The version that began it stays.
    pub(crate) fn begin(
        &mut self,
        key: StreamKey,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: Timestamp,
    ) {
        let kept_until = now + self.retention;
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.kept_until = kept_until;
            return;
        }
        if self.streams.len() >= self.limits.max_streams {
            return;
        }
        let stream = KnownStream {
            service: service.clone(),
            software: software.clone(),
            kept_until,
            is_recorded_here: true,
        };
        self.streams.insert(key, stream);
        self.lacks_stream |= self.is_mixed(service);
    }

    /// Records that the caller got the whole stream, which it has no reason to take up.
    pub(crate) fn complete(&mut self, key: StreamKey) {
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.is_recorded_here = false;
        }
    }

    /// Whether the records of other VMs could tell more about a stream.
    pub(crate) fn should_read(
        &self,
        key: Option<StreamKey>,
        service: &ServiceName,
        now: Timestamp,
    ) -> bool {
        let is_known = key.is_some_and(|key| self.streams.contains_key(&key));
        let may_precede_start = !self.has_read && now.since(self.started) < self.retention;
        !is_known && (may_precede_start || self.is_mixed(service))
    }

    pub(crate) fn origin(&self, key: Option<StreamKey>, service: &ServiceName) -> StreamOrigin {
        match key.and_then(|key| self.streams.get(&key)) {
            Some(stream) => StreamOrigin::Began(stream.software.clone()),
            None if self.is_mixed(service) => StreamOrigin::Unknown,
            None => StreamOrigin::OnlyVersion,
        }
    }

    /// Applies the records of other VMs, each with its age.
    pub(crate) fn apply_records(
        &mut self,
        records: impl IntoIterator<Item = (Duration, Vec<VersionStreams>)>,
        now: Timestamp,
    ) {
        self.has_read = true;
        for (age, versions) in records {
            if age >= self.retention {
                continue;
            }
            for version in versions {
                self.observe_version(&version.service, &version.software, now.before(age));
                self.add_streams(version, now + (self.retention - age));
            }
        }
    }

    fn add_streams(&mut self, version: VersionStreams, kept_until: Timestamp) {
        for key in version.streams {
            if self.streams.len() >= self.limits.max_streams {
                return;
            }
            self.streams.entry(key).or_insert_with(|| KnownStream {
                service: version.service.clone(),
                software: version.software.clone(),
                kept_until,
                is_recorded_here: false,
            });
        }
    }

    /// Decides whether this VM's record must be written. A record holds all streams that the VM has
    /// begun to relay and not completed, of services with several versions.
    pub(crate) fn next_record(&mut self, now: Timestamp) -> RecordStep {
        self.expire(now);
        if !self.versions.values().any(|versions| versions.len() > 1) {
            return match std::mem::take(&mut self.is_written) {
                true => RecordStep::Remove,
                false => RecordStep::Keep,
            };
        }
        let versions = self.own_streams();
        if versions.is_empty() || !self.lacks_stream {
            return RecordStep::Keep;
        }
        (self.lacks_stream, self.is_written) = (false, true);
        RecordStep::Write(versions)
    }

    /// The streams of this VM's record.
    fn own_streams(&self) -> Vec<VersionStreams> {
        let mut versions: Vec<VersionStreams> = Vec::new();
        let own = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.is_recorded_here && self.is_mixed(&stream.service));
        for (key, stream) in own.take(self.limits.max_recorded) {
            let same = |other: &&mut VersionStreams| {
                other.service == stream.service && other.software == stream.software
            };
            match versions.iter_mut().find(same) {
                Some(version) => version.streams.push(*key),
                None => versions.push(VersionStreams {
                    service: stream.service.clone(),
                    software: stream.software.clone(),
                    streams: vec![*key],
                }),
            }
        }
        versions
    }

    /// The record could not be written, and is due again.
    pub(crate) fn record_failed(&mut self) {
        self.lacks_stream = true;
    }
}
