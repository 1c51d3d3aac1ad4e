//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;

use crate::entry::settings::{
    DutySettings, EntrySettings, ServiceLimits, SettingsError, StoreSettings, UsageSettings,
};
use crate::ids::{ByteRate, ByteSize, RequestRate};

/// The environment variable that holds the file's path.
pub(crate) const CONFIG_PATH_VARIABLE: &str = "BLUEBELLMUX_CONFIG";

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsFile {
    node_name: String,
    ip: IpAddr,
    zone: String,
    /// The first and last port of the range that is reserved for the product.
    port_range: [u16; 2],
    listen: ListenTable,
    platform: StoreTable,
    #[serde(default)]
    limits: LimitsTable,
    bounds: BoundsTable,
    #[serde(default)]
    bootstrap: bool,
    /// The product's own; no platform writes it.
    #[serde(default)]
    account_grants: bool,
    /// The region of each availability zone.
    #[serde(default)]
    zones: BTreeMap<String, String>,
    #[serde(default)]
    tolerate: TolerateTable,
    cloud: Option<CloudTable>,
}

/// What may be lost at the same time.
#[derive(Debug, Default, Deserialize)]
struct TolerateTable {
    #[serde(default)]
    zones: u32,
}

/// The platform's control service and the names of the duties that the VMs have there.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct CloudTable {
    address: SocketAddr,
    #[serde(default)]
    duties: Vec<String>,
    duties_per_s: f64,
}

impl CloudTable {
    fn has(&self, duty: &str) -> bool {
        self.duties.iter().any(|name| name == duty)
    }

    fn decode(&self, bounds: &BoundsTable) -> Result<DutySettings, SettingsError> {
        let max_call_rate = RequestRate::per_second(self.duties_per_s).ok_or_else(|| {
            SettingsError::new(format!(
                "cloud.dutiesPerS must not be negative, not {}",
                self.duties_per_s
            ))
        })?;
        let usage = match self.has("usage_report") {
            true => Some(bounds.usage()?),
            false => None,
        };
        Ok(DutySettings {
            address: self.address,
            max_call_rate,
            checks_fencing: bounds.require_fence,
            usage,
            scales_services: self.has("autoscale"),
        })
    }
}

/// The limits of the VM itself.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsTable {
    link_mbps: Option<f64>,
    memory_mb: Option<u64>,
    max_fds: Option<u32>,
}

impl LimitsTable {
    /// Used if the file states no rate: low, so that too little is relayed rather than too much.
    const DEFAULT_LINK_RATE: ByteRate = ByteRate::from_megabits(10.0);

    fn link_rate(&self) -> Result<ByteRate, SettingsError> {
        match self.link_mbps {
            None => Ok(Self::DEFAULT_LINK_RATE),
            Some(megabits) if megabits.is_finite() && megabits > 0.0 => {
                Ok(ByteRate::from_megabits(megabits))
            }
            Some(megabits) => Err(SettingsError::new(format!(
                "limits.linkMbps must be positive, not {megabits}"
            ))),
        }
    }
}

#[derive(Debug, Deserialize)]
struct ListenTable {
    /// The address that callers connect to.
    front: SocketAddr,
    /// The address of the load balancer's readiness check.
    ready: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct StoreTable {
    address: SocketAddr,
    /// The number of partitions of each topic.
    parts: u32,
    ttl_min_ms: u64,
    writes_per_s: Option<f64>,
    record_bytes: Option<u64>,
}

impl StoreTable {
    /// Used if the file states no rate: low, so that a store is not overloaded.
    const DEFAULT_WRITES_PER_S: f64 = 400.0;
    /// Used if the file states no size: small, so that no record is refused.
    const DEFAULT_RECORD_BYTES: u64 = 64 * 1024;

    fn decode(&self) -> Result<StoreSettings, SettingsError> {
        let writes_per_s = self.writes_per_s.unwrap_or(Self::DEFAULT_WRITES_PER_S);
        let write_rate = RequestRate::per_second(writes_per_s).ok_or_else(|| {
            SettingsError::new(format!(
                "platform.writesPerS must not be negative, not {writes_per_s}"
            ))
        })?;
        Ok(StoreSettings {
            address: self.address,
            partitions: self.parts.max(1),
            min_member_ttl: Duration::from_millis(self.ttl_min_ms),
            write_rate,
            record_size: ByteSize::from(self.record_bytes.unwrap_or(Self::DEFAULT_RECORD_BYTES)),
        })
    }
}

/// The platform's limits. `revoke_ms` is the maximum age of the configuration under which keys are
/// accepted, `retry_slack` is a number of retries and `lease_ms` is the time between the orders of
/// two successive owners of a target.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct BoundsTable {
    grace_s: f64,
    revoke_ms: u64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    retry_slack: f64,
    #[serde(default = "default_cold_overage")]
    cold_overage: f64,
    #[serde(default = "default_cold_slack")]
    cold_slack: f64,
    lease_ms: u64,
    drain_ms: u64,
    config_ms: u64,
    /// The time within which a part of a response must be passed on to the caller.
    #[serde(default = "default_pass_ms")]
    pass_ms: u64,
    /// The time after a new adapter version within which requests may begin on older ones.
    #[serde(rename = "version_ms", default = "default_version_ms")]
    version_ms: u64,
    #[serde(default)]
    require_fence: bool,
    report_window_s: Option<f64>,
    usage_late_s: Option<f64>,
}

impl BoundsTable {
    fn usage(&self) -> Result<UsageSettings, SettingsError> {
        let seconds = |value: Option<f64>, name: &str| {
            let value = value.filter(|seconds| *seconds > 0.0);
            let value = value.ok_or_else(|| {
                SettingsError::new(format!(
                    "bounds.{name} must be positive where usage is reported"
                ))
            })?;
            duration_from_secs(value)
        };
        Ok(UsageSettings {
            window: seconds(self.report_window_s, "reportWindowS")?,
            max_delay: seconds(self.usage_late_s, "usageLateS")?,
        })
    }
}

/// Used if the file states no `coldOverage`: a target then gets only what it bears.
const DEFAULT_COLD_OVERAGE: f64 = 1.0;

fn default_cold_overage() -> f64 {
    DEFAULT_COLD_OVERAGE
}

/// Used if the file states no `coldSlack`.
const DEFAULT_COLD_SLACK: f64 = 5.0;

fn default_cold_slack() -> f64 {
    DEFAULT_COLD_SLACK
}

/// Used if the file states no `passMs`: short, so that too little is relayed rather than too much.
const DEFAULT_PASS_MS: u64 = 100;

fn default_pass_ms() -> u64 {
    DEFAULT_PASS_MS
}

/// Used if the file states no `version_ms`.
const DEFAULT_VERSION_MS: u64 = 5000;

fn default_version_ms() -> u64 {
    DEFAULT_VERSION_MS
}

/// Parses the text of a settings file. `metrics_port` is a setting of the product, not of the
/// platform.
pub(crate) fn parse_settings(
    text: &str,
    metrics_port: u16,
) -> Result<EntrySettings, SettingsError> {
    let file: SettingsFile = toml::from_str(text).map_err(SettingsError::new)?;
    let bounds = &file.bounds;
    let zones = file.zones.keys().map(|zone| zone.parse());
    let duties = file.cloud.as_ref().map(|cloud| cloud.decode(bounds));
    let duties = duties.transpose()?;
    Ok(EntrySettings {
        node: file.node_name.parse().map_err(SettingsError::new)?,
        zone: file.zone.parse().map_err(SettingsError::new)?,
        caller_address: file.listen.front,
        readiness_address: file.listen.ready,
        peer_address: SocketAddr::new(file.ip, file.port_range[0]),
        metrics_address: SocketAddr::new(file.ip, metrics_port),
        store: file.platform.decode()?,
        link_rate: file.limits.link_rate()?,
        max_memory: file.limits.memory_mb.map(ByteSize::from_megabytes),
        max_descriptors: file.limits.max_fds,
        is_first_start: file.bootstrap,
        has_account_grants: file.account_grants,
        zones: zones
            .collect::<Result<_, _>>()
            .map_err(SettingsError::new)?,
        tolerated_zone_losses: file.tolerate.zones,
        duties,
        bounds: ServiceLimits {
            stop_grace: duration_from_secs(bounds.grace_s)?,
            key_revocation_time: Duration::from_millis(bounds.revoke_ms),
            retry_ratio: bounds.retry_budget_ratio,
            retry_window: duration_from_secs(bounds.budget_window_s)?,
            retry_slack: bounds.retry_slack,
            cold_overage: not_negative(bounds.cold_overage, "coldOverage")?,
            cold_slack: not_negative(bounds.cold_slack, "coldSlack")?,
            owner_handover_time: Duration::from_millis(bounds.lease_ms),
            drain_time: Duration::from_millis(bounds.drain_ms),
            config_time: Duration::from_millis(bounds.config_ms),
            forwarding_time: Duration::from_millis(bounds.pass_ms),
            version_time: Duration::from_millis(bounds.version_ms),
        },
    })
}

fn not_negative(value: f64, name: &str) -> Result<f64, SettingsError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(SettingsError::new(format!(
            "bounds.{name} must not be negative, not {value}"
        ))),
    }
}

fn duration_from_secs(value: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(value).map_err(SettingsError::new)
}
