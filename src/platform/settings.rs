//! The settings file that the platform writes for each process.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;

use crate::entry::settings::{EntrySettings, ServiceBounds, SettingsError, StoreSettings};

/// The environment variable that holds the file's path.
pub(crate) const PATH_VARIABLE: &str = "BLUEBELLMUX_CONFIG";

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsFile {
    node_name: String,
    ip: IpAddr,
    zone: String,
    /// First and last port that are free for the product's own use.
    port_range: [u16; 2],
    listen: ListenTable,
    platform: StoreTable,
    bounds: BoundsTable,
}

#[derive(Debug, Deserialize)]
struct ListenTable {
    /// Where callers connect.
    front: SocketAddr,
    /// Where the load balancer asks whether to send callers here.
    ready: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct StoreTable {
    address: SocketAddr,
    /// Partitions of each topic.
    parts: u32,
    ttl_min_ms: u64,
}

/// Names that say little: `revoke_ms` bounds the age of the configuration under which keys are
/// accepted, `retry_slack` is a count and `lease_ms` the pause between two owners of a target.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct BoundsTable {
    grace_s: f64,
    revoke_ms: u64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    retry_slack: f64,
    lease_ms: u64,
}

/// Reads the text of a settings file. `metrics_port` is the product's own.
pub(crate) fn parse_settings(
    text: &str,
    metrics_port: u16,
) -> Result<EntrySettings, SettingsError> {
    let file: SettingsFile = toml::from_str(text).map_err(SettingsError::new)?;
    let bounds = &file.bounds;
    Ok(EntrySettings {
        node: file.node_name.parse().map_err(SettingsError::new)?,
        zone: file.zone.parse().map_err(SettingsError::new)?,
        callers: file.listen.front,
        ready: file.listen.ready,
        peers: SocketAddr::new(file.ip, file.port_range[0]),
        metrics: SocketAddr::new(file.ip, metrics_port),
        store: StoreSettings {
            address: file.platform.address,
            partitions: file.platform.parts.max(1),
            least_lifetime: Duration::from_millis(file.platform.ttl_min_ms),
        },
        bounds: ServiceBounds {
            stop_time: seconds(bounds.grace_s)?,
            key_age: Duration::from_millis(bounds.revoke_ms),
            retry_ratio: bounds.retry_budget_ratio,
            retry_window: seconds(bounds.budget_window_s)?,
            retry_slack: bounds.retry_slack,
            owner_pause: Duration::from_millis(bounds.lease_ms),
        },
    })
}

fn seconds(value: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(value).map_err(SettingsError::new)
}
