use std::time::Duration;

use super::SETTINGS;
use crate::dispatch::routing::RouteKind;
use crate::platform::records::{
    OperatorRecord, decode_holdings, decode_operator_record, decode_target_record,
};
use crate::platform::settings::parse_settings;

const CONFIG: &str = r#"{"version":7,"routes":[
  {"name":"r-1","host":"H.example","pathPrefix":"/a/","kind":"stream","timeoutMs":20000,"targetLatencyMs":1000,
   "priority":0,"service":"s1","maxAttempts":2,"resumable":true,"targetGapMs":250,"later":1},
  {"name":"r-2","host":"h.example","pathPrefix":"/a/b/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,
   "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":1}],
 "services":[{"name":"s1","maxConnections":360,"coldPerS":20.0,"engine":{"models":[
   {"name":"m","weightsMb":42700.0,"adapterMb":66.0}],"weightsMb":45400.0,"adapterSlots":28}},
  {"name":"s2","maxConnections":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"unit":"tokens","plainTokens":200,
   "ratePerS":110161,"burst":5}]}"#;

/// Guards against routes that match by their order instead of by the longest prefix, and against
/// more adapters than a target has memory or slots for.
#[test]
fn configuration_is_decoded() {
    let decoded = decode_operator_record("config", Some(CONFIG.as_bytes())).unwrap();
    let OperatorRecord::Config(config) = decoded else {
        panic!("{decoded:?}");
    };
    let stream = config.route("h.example", "/a/x").unwrap();
    assert_eq!(
        (stream.kind, stream.max_attempts),
        (RouteKind::ResumableStream, 2)
    );
    assert_eq!(stream.max_event_gap, Some(Duration::from_millis(4000)));
    let plain = config.route("h.example", "/a/b/x").unwrap();
    assert_eq!(
        (plain.kind, plain.services.len()),
        (RouteKind::NonIdempotent, 2)
    );
    assert!(config.route("h.example", "/ab/").is_none());
    let account = config.account_of_key("k2").unwrap();
    assert!(account.counts_tokens && account.rate == 110_161.0);
    let engine = config.services[&"s1".parse().unwrap()]
        .engine
        .as_ref()
        .unwrap();
    assert_eq!(engine.adapter_capacity(&["m".parse().unwrap()]), 28);
}

/// Guards against the use of copies at targets that keep none, whose memory for them is not stated or
/// holds no adapter, and against targets whose copies are not used.
#[test]
fn memory_for_copies_is_decoded() {
    for (field, expected) in [
        ("", false),
        (",\"hostMb\":65.9", false),
        (",\"hostMb\":66", true),
    ] {
        let slots = "\"adapterSlots\":28";
        let config = CONFIG.replace(slots, &format!("{slots}{field}"));
        let decoded = decode_operator_record("config", Some(config.as_bytes())).unwrap();
        let OperatorRecord::Config(config) = decoded else {
            panic!("{decoded:?}");
        };
        let keeps_copies = |name: &str| config.services[&name.parse().unwrap()].keeps_copies();
        assert_eq!(keeps_copies("s1"), expected, "{field}");
        assert!(!keeps_copies("s2"));
    }
}

/// Guards against a zone that stays evacuated after the operator removed the record.
#[test]
fn removed_record_ends_a_zone_evacuation() {
    for (value, expected) in [(Some(&b"{}"[..]), true), (None, false)] {
        let record = decode_operator_record("evacuate/north", value).unwrap();
        assert!(
            matches!(record, OperatorRecord::ZoneEvacuation { evacuated, .. } if evacuated == expected)
        );
    }
}

/// Guards against losing the adapters of a target's record, or their versions.
#[test]
fn target_record_is_decoded() {
    let value = br#"{"service":"s1","address":"10.0.0.9:8080","zone":"z","slots":64,"state":"draining",
        "coldRemainingMs":1500,"sequence":4,"born":99,"models":[{"name":"m","version":1,"adapters":["a3@2","a4"]}]}"#;
    let report = decode_target_record(value).unwrap();
    assert!(report.leaving && report.started_ms == 99);
    assert_eq!(report.cold_remaining, Duration::from_millis(1500));
    let adapters: Vec<_> = report.models[0]
        .adapters
        .iter()
        .map(|(a, v)| (a.as_str(), *v))
        .collect();
    assert_eq!(adapters, [("m/a3", 2), ("m/a4", 0)]);
}

/// Guards against records in an unexpected format that are accepted as targets.
#[yare::parameterized(
    no_json = {"{"},
    unknown_state = {r#"{"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"state":"odd","sequence":1}"#},
    slots_as_text = {r#"{"service":"s","address":"10.0.0.9:80","zone":"z","slots":"1","state":"ready","sequence":1}"#},
    no_address = {r#"{"service":"s","zone":"z","slots":1,"state":"ready","sequence":1}"#}
)]
fn malformed_target_record_is_rejected(value: &str) {
    assert!(decode_target_record(value.as_bytes()).is_err());
}

/// Guards against holdings that omit a model, its adapters or its pending ones, or confuse those of
/// two models.
#[test]
fn holdings_name_the_model_of_each_adapter() {
    let body = br#"{"sequence":12,"models":[{"name":"m","adapters":["a1@3"]},{"name":"n","adapters":["a1"]}],
        "pending":["m/a2@1","n/a9@1"]}"#;
    let holdings = decode_holdings(body).unwrap();
    assert_eq!(holdings.sequence, 12);
    let models: Vec<_> = holdings.models.iter().map(|model| model.as_str()).collect();
    assert_eq!(models, ["m", "n"]);
    let named = |text: &str| text.parse().unwrap();
    assert_eq!(holdings.adapters, [(named("m/a1"), 3), (named("n/a1"), 0)]);
    assert_eq!(holdings.pending, [named("m/a2"), named("n/a9")]);
}

/// Guards against a version of one model's adapter that is required of another model's adapter of the
/// same name.
#[test]
fn version_record_names_the_model() {
    let value = br#"{"model":"n","adapter":"a1","version":4}"#;
    let record = decode_operator_record("version/n.a1", Some(value)).unwrap();
    let OperatorRecord::RequiredVersion { adapter, version } = record else {
        panic!("{record:?}");
    };
    assert_eq!((adapter.as_str(), version), ("n/a1", 4));
    let unnamed = decode_operator_record("version/n.a1", Some(br#"{"adapter":"a1","version":4}"#));
    assert!(unnamed.is_err());
}

/// Guards against rejecting a settings file because a later version of the platform added a field.
#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let settings = parse_settings(SETTINGS, 9464).unwrap();
    assert_eq!(settings.peer_address, "10.0.0.1:7600".parse().unwrap());
    assert_eq!(settings.metrics_address.port(), 9464);
    assert_eq!(settings.bounds.key_revocation_time, Duration::from_secs(5));
}

/// Guards against limits of the store that fit one deployment only.
#[test]
fn limits_of_the_store_are_read() {
    let stated = "parts = 12\nwritesPerS = 60.0\nrecordBytes = 1600\n";
    let settings = parse_settings(&SETTINGS.replace("parts = 12\n", stated), 9464).unwrap();
    let limits = settings.stream_limits();
    assert_eq!(limits.max_recorded, 100);
    assert_eq!(limits.record_interval(10), Duration::from_secs(2));
}

/// Guards against accepting a setting with an unusable value, and against errors of several lines.
#[yare::parameterized(
    bad_address = {"front = \"10.0.0.1:80\"", "front = \"here\""},
    bad_name = {"nodeName = \"vm-1\"", "nodeName = \"a b\""},
    negative_time = {"graceS = 8", "graceS = -1"},
    negative_rate = {"parts = 12\n", "parts = 12\nwritesPerS = -1.0\n"},
    missing = {"revokeMs = 5000\n", ""}
)]
fn unusable_setting_gives_a_one_line_error(from: &str, to: &str) {
    let error = parse_settings(&SETTINGS.replace(from, to), 9464).unwrap_err();
    assert!(!error.to_string().contains('\n'), "{error}");
}

/// Guards against losing the departure time of a reclaimed target, and against one for a target that
/// goes on serving.
#[yare::parameterized(
    reclaimed = { "draining", "\"remainingMs\":1200,", Some(1200) },
    draining = { "draining", "", None },
    ready = { "ready", "\"remainingMs\":1200,", None },
)]
fn reclaimed_target_states_its_departure(state: &str, field: &str, expected: Option<u64>) {
    let value = format!(
        r#"{{"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"state":"{state}",{field}"sequence":1}}"#
    );
    let report = decode_target_record(value.as_bytes()).unwrap();
    assert_eq!(report.departs_in, expected.map(Duration::from_millis));
}

/// Guards against a target that is lost because its software version can't be read.
#[yare::parameterized(
    text = { r#""v1.1""#, Some("v1.1") },
    no_name = { r#""v 1""#, None },
    number = { "7", None },
    null = { "null", None },
)]
fn odd_software_version_does_not_lose_the_target(version: &str, expected: Option<&str>) {
    let record = format!(
        r#"{{"service":"llm","address":"10.0.0.1:80","zone":"a","version":{version},"slots":1,
            "state":"ready","sequence":1}}"#
    );
    let report = decode_target_record(record.as_bytes()).unwrap();
    let software = report.software.map(|software| software.to_string());
    assert_eq!(software.as_deref(), expected);
}
