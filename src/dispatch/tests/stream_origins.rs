use std::time::Duration;

use super::at;
use crate::dispatch::stream_origins::{
    RecordStep, StreamKey, StreamLimits, StreamOrigin, StreamOrigins, VersionStreams,
};
use crate::ids::{ByteSize, RequestRate, ServiceName, SoftwareVersion};

const STREAM_TIME: Duration = Duration::from_secs(50);
/// With the margin for wall clocks.
const RETENTION: Duration = Duration::from_secs(60);
const RETENTION_MS: u64 = RETENTION.as_millis() as u64;
const RECORD_SIZE: ByteSize = ByteSize::from_megabytes(1);

fn limits(write_rate: f64) -> StreamLimits {
    let memory = ByteSize::from_megabytes(2);
    StreamLimits::new(
        memory,
        RECORD_SIZE,
        RequestRate::per_second(write_rate).unwrap(),
    )
}

fn new_process() -> StreamOrigins {
    let mut origins = StreamOrigins::new(limits(400.0), at(0));
    origins.set_stream_time(STREAM_TIME);
    origins
}

fn service() -> ServiceName {
    "llm".parse().unwrap()
}

fn software(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

fn key(id: &str) -> StreamKey {
    StreamKey::new(&service(), &id.parse().unwrap())
}

/// A VM that has read the others' records and sees the versions at `now`.
fn vm(versions: &[&str], now: u64) -> StreamOrigins {
    let mut origins = new_process();
    origins.apply_records([], at(0));
    observe(&mut origins, versions, now);
    origins
}

fn observe(origins: &mut StreamOrigins, versions: &[&str], now: u64) {
    for version in versions {
        origins.observe_version(&service(), &software(version), at(now));
    }
}

fn written(origins: &mut StreamOrigins, now: u64) -> Vec<VersionStreams> {
    match origins.next_record(at(now)) {
        RecordStep::Write(versions) => versions,
        step => panic!("nothing is written: {step:?}"),
    }
}

/// Guards against writes to the store in services whose targets all run the same software.
#[test]
fn streams_of_a_single_version_are_not_recorded() {
    let mut vm = vm(&["v1"], 0);
    vm.begin(key("a"), &service(), &software("v1"), at(10));
    assert_eq!(vm.next_record(at(20)), RecordStep::Keep);
    assert!(!vm.should_read(Some(key("b")), &service(), at(20)));
    assert_eq!(
        vm.origin(Some(key("b")), &service()),
        StreamOrigin::OnlyVersion
    );
}

/// Guards against a stream that another VM can't place because it began before the second version was
/// in service.
#[test]
fn open_streams_are_recorded_when_a_second_version_appears() {
    let mut first = vm(&["v1"], 0);
    first.begin(key("open"), &service(), &software("v1"), at(10));
    first.begin(key("whole"), &service(), &software("v1"), at(10));
    first.complete(key("whole"));
    assert_eq!(first.next_record(at(20)), RecordStep::Keep);
    observe(&mut first, &["v1", "v2"], 30);
    let record = written(&mut first, 40);
    assert_eq!(record.len(), 1);
    assert_eq!(record[0].streams, [key("open")]);
    assert_eq!(first.next_record(at(50)), RecordStep::Keep);

    let mut second = vm(&["v1", "v2"], 60);
    assert_eq!(
        second.origin(Some(key("open")), &service()),
        StreamOrigin::Unknown
    );
    assert!(second.should_read(Some(key("open")), &service(), at(60)));
    second.apply_records([(Duration::from_millis(20), record)], at(60));
    let began = StreamOrigin::Began(software("v1"));
    assert_eq!(second.origin(Some(key("open")), &service()), began);
    assert_eq!(second.origin(None, &service()), StreamOrigin::Unknown);
}

/// Guards against a process that has just started and takes the one version that it sees for the only
/// one that there was.
#[test]
fn new_process_learns_of_a_version_that_has_left() {
    let mut other = vm(&["v1", "v2"], 0);
    other.begin(key("old"), &service(), &software("v1"), at(10));
    other.begin(key("new"), &service(), &software("v2"), at(10));
    let record = written(&mut other, 20);

    let mut started = new_process();
    observe(&mut started, &["v2"], 100);
    assert!(started.should_read(Some(key("old")), &service(), at(100)));
    started.apply_records([(Duration::from_secs(1), record)], at(100));
    for (id, version) in [("old", "v1"), ("new", "v2")] {
        let began = StreamOrigin::Began(software(version));
        assert_eq!(started.origin(Some(key(id)), &service()), began);
    }
    assert_eq!(
        started.origin(Some(key("lost")), &service()),
        StreamOrigin::Unknown
    );
}

/// Guards against take-ups that are rejected for good because there once was a second version.
#[test]
fn version_that_left_long_ago_does_not_matter() {
    let mut vm = vm(&["v1", "v2"], 0);
    vm.begin(key("old"), &service(), &software("v1"), at(0));
    written(&mut vm, 0);
    observe(&mut vm, &["v2"], RETENTION_MS - 1);
    assert_eq!(vm.next_record(at(RETENTION_MS - 1)), RecordStep::Keep);
    assert_eq!(vm.origin(None, &service()), StreamOrigin::Unknown);
    observe(&mut vm, &["v2"], RETENTION_MS);
    assert_eq!(vm.next_record(at(RETENTION_MS)), RecordStep::Remove);
    assert_eq!(vm.next_record(at(RETENTION_MS)), RecordStep::Keep);
    assert_eq!(vm.origin(None, &service()), StreamOrigin::OnlyVersion);
    let outdated = vec![VersionStreams {
        service: service(),
        software: software("v1"),
        streams: vec![key("older")],
    }];
    vm.apply_records([(RETENTION, outdated)], at(RETENTION_MS));
    assert_eq!(
        vm.origin(Some(key("older")), &service()),
        StreamOrigin::OnlyVersion
    );
}

/// Guards against a stream that is missing from the record for good because one write failed.
#[test]
fn failed_write_is_repeated() {
    let mut vm = vm(&["v1", "v2"], 0);
    vm.begin(key("a"), &service(), &software("v1"), at(0));
    let record = written(&mut vm, 0);
    vm.record_failed();
    assert_eq!(written(&mut vm, 10), record);
}

/// Guards against records that take most of the writes that the store of a deployment allows.
#[yare::parameterized(
    small_fleet = { 6, 400.0 },
    large_fleet = { 300, 400.0 },
    fast_store = { 300, 1200.0 },
)]
fn records_take_a_small_part_of_the_writes(vms: usize, write_rate: f64) {
    let interval = limits(write_rate).record_interval(vms);
    let writes_per_s = vms as f64 / interval.as_secs_f64();
    assert!(writes_per_s <= write_rate / 12.0 * 1.001, "{writes_per_s}");
    assert!(interval >= Duration::from_millis(250));
}

/// Guards against a record that the store refuses for its size, and against streams without limit.
#[test]
fn streams_are_limited_by_the_record_and_the_memory() {
    let mut vm = vm(&["v1", "v2"], 0);
    for index in 0..100_000 {
        let key = StreamKey::from(index);
        vm.begin(key, &service(), &software("v1"), at(0));
    }
    let recorded = written(&mut vm, 0)[0].streams.len() as u64;
    assert!(8 * recorded < u64::from(RECORD_SIZE), "{recorded}");
    let known = (0..100_000).filter(|index| {
        vm.origin(Some(StreamKey::from(*index)), &service()) != StreamOrigin::Unknown
    });
    assert_eq!(known.count(), 2 * 1024 * 1024 / 100);
}
