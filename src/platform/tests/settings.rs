use std::time::Duration;

use super::SETTINGS;
use crate::entry::settings::UsageSettings;
use crate::ids::{ByteRate, ByteSize};
use crate::platform::settings::parse_settings;

const METRICS_PORT: u16 = 9464;

/// Guards against relays sized for another link than the VM's own.
#[yare::parameterized(
    stated = { "linkMbps = 200", 200.0 },
    fraction = { "linkMbps = 12.5", 12.5 },
    not_stated = { "cores = 1", 10.0 },
)]
fn link_rate_follows_the_settings(field: &str, megabits: f64) {
    let text = format!("{SETTINGS}[limits]\n{field}\n");
    let settings = parse_settings(&text, METRICS_PORT).unwrap();
    assert_eq!(settings.link_rate, ByteRate::from_megabits(megabits));
}

/// Guards against a link rate with which nothing, or everything, would be relayed.
#[yare::parameterized(
    zero = { "0" },
    negative = { "-5" },
    not_a_number = { "nan" },
    infinite = { "inf" },
)]
fn impossible_link_rate_is_refused(value: &str) {
    let text = format!("{SETTINGS}[limits]\nlinkMbps = {value}\n");
    let error = parse_settings(&text, METRICS_PORT).unwrap_err().to_string();
    assert!(error.contains("limits.linkMbps"), "{error}");
}

/// Guards against a bound on cold targets that is not the installation's.
#[test]
fn cold_bound_follows_the_settings() {
    let text = format!("{SETTINGS}coldOverage = 1.25\ncoldSlack = 3\n");
    let bounds = parse_settings(&text, METRICS_PORT).unwrap().bounds;
    assert_eq!((bounds.cold_overage, bounds.cold_slack), (1.25, 3.0));
    let text = format!("{SETTINGS}coldOverage = -1.0\n");
    let error = parse_settings(&text, METRICS_PORT).unwrap_err().to_string();
    assert!(error.contains("bounds.coldOverage"), "{error}");
}

const CONTROL_SERVICE: &str = "[cloud]\naddress = \"10.0.0.3:84\"\nratePerS = 50.0\n\
    duties = [\"usage_report\", \"autoscale\"]\ndutiesPerS = 50.0\n";

/// Guards against duties that run, or don't run, against what the file states.
#[test]
fn duties_follow_the_settings() {
    let bounds = "reportWindowS = 5\nusageLateS = 10\nrequireFence = true\n";
    let text = format!("{SETTINGS}{bounds}{CONTROL_SERVICE}");
    let duties = parse_settings(&text, METRICS_PORT).unwrap().duties.unwrap();
    let usage = UsageSettings {
        window: Duration::from_secs(5),
        max_delay: Duration::from_secs(10),
    };
    assert_eq!(duties.usage, Some(usage));
    assert!(duties.scales_services && duties.checks_fencing);
    assert_eq!(parse_settings(SETTINGS, METRICS_PORT).unwrap().duties, None);
    let without_usage = CONTROL_SERVICE.replace("\"usage_report\", ", "");
    let text = format!("{SETTINGS}{without_usage}");
    let duties = parse_settings(&text, METRICS_PORT).unwrap().duties.unwrap();
    assert_eq!(duties.usage, None);
}

/// Guards against windows of unknown length, whose reports would all be wrong.
#[test]
fn usage_without_a_window_is_refused() {
    let text = format!("{SETTINGS}{CONTROL_SERVICE}");
    let error = parse_settings(&text, METRICS_PORT).unwrap_err().to_string();
    assert!(error.contains("bounds.reportWindowS"), "{error}");
}

/// Guards against limits of the VM that are read as none.
#[test]
fn limits_of_the_vm_are_read() {
    let limits = "[limits]\nmemoryMb = 160\nmaxFds = 4100\n[tolerate]\nzones = 1\n\
        [zones]\nnorth = \"r\"\nsouth = \"r\"\n";
    let settings = parse_settings(&format!("{SETTINGS}{limits}"), METRICS_PORT).unwrap();
    assert_eq!(settings.max_memory, Some(ByteSize::from_megabytes(160)));
    assert_eq!(settings.max_descriptors, Some(4100));
    assert_eq!(settings.zones.len(), 2);
    assert_eq!(settings.tolerated_zone_losses, 1);
    assert!(!settings.is_first_start);
}
