//! Which software version began a stream, so that the stream goes on at no other.
//!
//! Load patterns: targets of two software versions serve a service side by side; all VMs are killed at
//! once, and callers take up thousands of streams at VMs that have relayed none of them; the targets
//! of the older version have just left.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::stable_hash;
use crate::ids::{RequestId, ServiceName, SoftwareVersion};

/// How long a stream and a version that is no longer in service are kept. Callers take up a stream
/// until the time limit of its route, which is shorter.
pub(crate) const STREAM_RETENTION: Duration = Duration::from_secs(60);
/// The largest number of streams that a VM keeps, about 2 MB.
const MAX_STREAMS: usize = 20_000;
/// The largest number of streams in one record, 36 kB.
const MAX_RECORDED_STREAMS: usize = 4_000;

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
    /// When each version was last in service, by service; more than one entry only for
    /// [`STREAM_RETENTION`] after the others have left.
    versions: FastMap<ServiceName, Vec<(SoftwareVersion, Timestamp)>>,
    /// Until then, streams may come from before this process started.
    young_until: Timestamp,
    /// Whether the records of all VMs have been read since this process started.
    has_read: bool,
    /// Whether a stream is missing from this VM's record.
    is_behind: bool,
    is_written: bool,
}

impl StreamOrigins {
    pub(crate) fn new(started: Timestamp) -> Self {
        Self {
            streams: FastMap::default(),
            versions: FastMap::default(),
            young_until: started + STREAM_RETENTION,
            has_read: false,
            is_behind: false,
            is_written: false,
        }
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
                self.is_behind = true;
            }
        }
    }

    /// Forgets streams and versions that are too old to matter.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.streams.retain(|_, stream| now < stream.kept_until);
        for versions in self.versions.values_mut() {
            versions.retain(|(_, last_seen)| now.since(*last_seen) < STREAM_RETENTION);
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
        let kept_until = now + STREAM_RETENTION;
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.kept_until = kept_until;
            return;
        }
        if self.streams.len() >= MAX_STREAMS {
            return;
        }
        let stream = KnownStream {
            service: service.clone(),
            software: software.clone(),
            kept_until,
            is_recorded_here: true,
        };
        self.streams.insert(key, stream);
        self.is_behind |= self.is_mixed(service);
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
        let is_young = !self.has_read && now < self.young_until;
        !is_known && (is_young || self.is_mixed(service))
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
            if age >= STREAM_RETENTION {
                continue;
            }
            for version in versions {
                self.observe_version(&version.service, &version.software, now.before(age));
                self.add_streams(version, now + (STREAM_RETENTION - age));
            }
        }
    }

    fn add_streams(&mut self, version: VersionStreams, kept_until: Timestamp) {
        for key in version.streams {
            if self.streams.len() >= MAX_STREAMS {
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
        if versions.is_empty() || !self.is_behind {
            return RecordStep::Keep;
        }
        (self.is_behind, self.is_written) = (false, true);
        RecordStep::Write(versions)
    }

    /// The streams that belong into this VM's record.
    fn own_streams(&self) -> Vec<VersionStreams> {
        let mut versions: Vec<VersionStreams> = Vec::new();
        let own = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.is_recorded_here && self.is_mixed(&stream.service));
        for (key, stream) in own.take(MAX_RECORDED_STREAMS) {
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
        self.is_behind = true;
    }
}
