use super::SETTINGS;
use crate::ids::ByteRate;
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
