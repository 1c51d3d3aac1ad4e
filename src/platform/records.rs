//! Decodes the records in the platform's store into the product's types.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::dispatch::directory::{HeldModel, TargetReport};
use crate::dispatch::load_order::HoldingsReport;
use crate::dispatch::routing::{
    AccountEntry, CallerLimits, EngineSpec, ModelSpec, RouteEntry, RouteKind, RoutingConfig,
    ScalingSpec, ServiceEntry,
};
use crate::ids::{BaseModel, ModelAdapter, NameError, ZoneName};

/// The topic of the operator's records.
pub(crate) const OPERATOR_TOPIC: &str = "keyed.op";
/// The topic in which each target publishes its state, with its id as the key.
pub(crate) const TARGET_TOPIC: &str = "keyed.servers";

/// Why a record can't be used.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum RecordError {
    #[display("the record is not JSON of the expected form: {_0}")]
    Format(serde_json::Error),
    #[display("{_0}")]
    Name(NameError),
    #[display("the field {field} is missing or has an unsupported value")]
    #[from(ignore)]
    InvalidField { field: &'static str },
}

/// A decoded record of the operator's topic.
#[derive(Debug)]
pub(crate) enum OperatorRecord {
    Config(Box<RoutingConfig>),
    /// While `evacuated` is set, no new requests go to the zone's targets.
    ZoneEvacuation {
        zone: ZoneName,
        evacuated: bool,
    },
    /// The version of an adapter that requests require.
    RequiredVersion {
        adapter: ModelAdapter,
        version: u64,
    },
    /// A record that this product doesn't use.
    Other,
}

/// Decodes a record of the operator's topic. `None` as the value means that the record was removed.
pub(crate) fn decode_operator_record(
    key: &str,
    value: Option<&[u8]>,
) -> Result<OperatorRecord, RecordError> {
    if key == "config" {
        return match value {
            Some(value) => Ok(OperatorRecord::Config(Box::new(decode_config(value)?))),
            None => Ok(OperatorRecord::Other),
        };
    }
    if let Some(zone) = key.strip_prefix("evacuate/") {
        let zone = zone.parse::<ZoneName>()?;
        return Ok(OperatorRecord::ZoneEvacuation {
            zone,
            evacuated: value.is_some(),
        });
    }
    match (key.strip_prefix("version/"), value) {
        (Some(_), Some(value)) => decode_version(value),
        _ => Ok(OperatorRecord::Other),
    }
}

#[derive(Debug, Deserialize)]
struct VersionRecord {
    model: String,
    #[serde(default)]
    adapter: Option<String>,
    version: u64,
}

fn decode_version(value: &[u8]) -> Result<OperatorRecord, RecordError> {
    let record: VersionRecord = serde_json::from_slice(value)?;
    let Some(adapter) = record.adapter else {
        return Ok(OperatorRecord::Other);
    };
    Ok(OperatorRecord::RequiredVersion {
        adapter: ModelAdapter::new(&record.model.parse()?, &adapter.parse()?),
        version: record.version,
    })
}

#[derive(Debug, Deserialize)]
struct ConfigRecord {
    version: u64,
    routes: Vec<RouteRecord>,
    services: Vec<ServiceRecord>,
    limits: LimitsRecord,
    #[serde(default)]
    tenants: Vec<TenantRecord>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteRecord {
    name: String,
    host: String,
    path_prefix: String,
    /// "safe" where a request may be repeated, "unsafe" where it may not, or "stream".
    kind: String,
    timeout_ms: u64,
    target_latency_ms: u64,
    #[serde(default)]
    priority: u8,
    /// Set where one service gets all requests.
    service: Option<String>,
    /// Set where the requests are split between services.
    #[serde(default)]
    traffic_split: Vec<SplitRecord>,
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// The longest pause between two events of a stream that is on time.
    target_gap_ms: Option<u64>,
}

impl RouteRecord {
    /// How long callers wait for the next event before they abandon a stream. The platform's rule
    /// is the largest of a minimum and multiples of the latency target and of the event gap.
    fn max_event_gap(&self) -> Option<Duration> {
        const MIN_SILENCE_MS: u64 = 2000;
        const LATENCY_FACTOR: u64 = 4;
        const GAP_FACTOR: u64 = 8;
        let by_latency = self.target_latency_ms * LATENCY_FACTOR;
        let by_gap = self.target_gap_ms.unwrap_or(0) * GAP_FACTOR;
        let millis = MIN_SILENCE_MS.max(by_latency).max(by_gap);
        (self.kind == "stream").then(|| Duration::from_millis(millis))
    }
}

#[derive(Debug, Deserialize)]
struct SplitRecord {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceRecord {
    name: String,
    /// The limit of connections to one target, over all of its callers.
    max_connections: u32,
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<EngineRecord>,
    scaling: Option<ScalingRecord>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ScalingRecord {
    min: u32,
    max: u32,
    boot_s: f64,
}

impl ScalingRecord {
    fn decode(&self) -> Result<ScalingSpec, RecordError> {
        let boot_time = Duration::try_from_secs_f64(self.boot_s);
        let boot_time = boot_time.map_err(|_| RecordError::InvalidField { field: "bootS" })?;
        Ok(ScalingSpec {
            min: self.min,
            max: self.max.max(self.min),
            boot_time,
        })
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineRecord {
    models: Vec<ModelRecord>,
    /// A target's memory for model weights and adapters together.
    weights_mb: f64,
    #[serde(default)]
    adapter_slots: u32,
    /// A target's memory for copies of adapters that it has held.
    #[serde(default)]
    host_mb: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ModelRecord {
    name: String,
    /// The size of this model's weights.
    weights_mb: f64,
    #[serde(default)]
    adapter_mb: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsRecord {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantRecord {
    name: String,
    api_keys: Vec<String>,
    priority: Option<u8>,
    /// The unit of `rate_per_s` and `burst`: "tokens", or requests for any other text.
    #[serde(default)]
    unit: String,
    #[serde(default)]
    plain_tokens: u64,
    /// In `unit` per second; 0 means no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

fn decode_config(value: &[u8]) -> Result<RoutingConfig, RecordError> {
    let record: ConfigRecord = serde_json::from_slice(value)?;
    let limits = CallerLimits {
        head_bytes: record.limits.max_header_bytes,
        body_bytes: record.limits.max_body_bytes,
        head_timeout: Duration::from_millis(record.limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(record.limits.idle_timeout_ms),
    };
    let routes = record.routes.into_iter().map(decode_route);
    let services = record.services.into_iter().map(decode_service);
    let mut config = RoutingConfig::new(record.version, limits)
        .with_routes(routes.collect::<Result<_, _>>()?)
        .with_services(services.collect::<Result<_, _>>()?);
    for tenant in record.tenants {
        let account = AccountEntry {
            name: tenant.name.parse()?,
            priority: tenant.priority,
            rate: tenant.rate_per_s,
            burst: tenant.burst,
            counts_tokens: tenant.unit == "tokens",
            plain_tokens: tenant.plain_tokens,
        };
        config = config.with_account(account, tenant.api_keys);
    }
    Ok(config)
}

fn decode_route(route: RouteRecord) -> Result<RouteEntry, RecordError> {
    let kind = match (route.kind.as_str(), route.resumable) {
        ("safe", _) => RouteKind::Idempotent,
        ("unsafe", _) => RouteKind::NonIdempotent,
        ("stream", false) => RouteKind::Stream,
        ("stream", true) => RouteKind::ResumableStream,
        _ => return Err(RecordError::InvalidField { field: "kind" }),
    };
    let max_event_gap = route.max_event_gap();
    let mut services = Vec::new();
    if let Some(service) = route.service {
        services.push((service.parse()?, 1));
    }
    for part in route.traffic_split {
        /// Scales weights, which may be fractions, to integers.
        const WEIGHT_UNITS: f64 = 1000.0;
        let weight = (part.weight * WEIGHT_UNITS).max(0.0) as u32;
        services.push((part.service.parse()?, weight));
    }
    if services.is_empty() {
        return Err(RecordError::InvalidField { field: "service" });
    }
    Ok(RouteEntry {
        name: route.name,
        host: route.host.to_ascii_lowercase(),
        path_prefix: route.path_prefix,
        kind,
        timeout: Duration::from_millis(route.timeout_ms),
        latency_target: Duration::from_millis(route.target_latency_ms),
        max_event_gap,
        priority: route.priority,
        services,
        max_attempts: route.max_attempts.max(1),
        public: route.public,
    })
}

fn decode_service(service: ServiceRecord) -> Result<ServiceEntry, RecordError> {
    let engine = service.engine.map(decode_engine).transpose()?;
    let scaling = service.scaling.as_ref().map(ScalingRecord::decode);
    let scaling = scaling.transpose()?;
    Ok(ServiceEntry {
        name: service.name.parse()?,
        max_connections: service.max_connections,
        cold_per_s: service.cold_per_s,
        engine,
        scaling,
    })
}

fn decode_engine(engine: EngineRecord) -> Result<EngineSpec, RecordError> {
    let model = |model: ModelRecord| -> Result<ModelSpec, RecordError> {
        Ok(ModelSpec {
            name: model.name.parse()?,
            weights_mb: model.weights_mb,
            adapter_mb: model.adapter_mb,
        })
    };
    let models = engine.models.into_iter().map(model);
    Ok(EngineSpec {
        models: models.collect::<Result<_, _>>()?,
        weights_mb: engine.weights_mb,
        adapter_slots: engine.adapter_slots,
        host_mb: engine.host_mb,
    })
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServerRecord {
    service: String,
    address: SocketAddr,
    zone: String,
    /// The version of the server's software, usually a text.
    #[serde(default)]
    version: serde_json::Value,
    slots: u32,
    /// "ready" or "draining".
    state: String,
    /// Set if the server is reclaimed: how long it stays, whatever it runs.
    remaining_ms: Option<u64>,
    /// For how much longer the server is slow after its start.
    #[serde(default)]
    cold_remaining_ms: u64,
    /// The number of the server's records here since its start. The field of the same name in
    /// [`ReportBody`] counts orders instead.
    sequence: u64,
    /// When the server started, as a Unix time in milliseconds.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    models: Vec<HeldModelRecord>,
}

/// A model that a server holds.
#[derive(Debug, Deserialize)]
struct HeldModelRecord {
    name: String,
    /// Each entry has the form NAME@VERSION.
    #[serde(default)]
    adapters: Vec<String>,
}

impl HeldModelRecord {
    fn decode(self) -> Result<HeldModel, RecordError> {
        let model = self.name.parse()?;
        let adapters = self.adapters.iter();
        let adapters = adapters.map(|text| decode_adapter(&model, text));
        Ok(HeldModel {
            adapters: adapters.collect::<Result<_, _>>()?,
            model,
        })
    }
}

fn decode_adapter(model: &BaseModel, text: &str) -> Result<(ModelAdapter, u64), RecordError> {
    let (name, version) = text.split_once('@').unwrap_or((text, "0"));
    let version = version
        .parse()
        .map_err(|_| RecordError::InvalidField { field: "adapters" })?;
    Ok((ModelAdapter::new(model, &name.parse()?), version))
}

/// Decodes the record that a target publishes in the store.
pub(crate) fn decode_target_record(value: &[u8]) -> Result<TargetReport, RecordError> {
    let record: ServerRecord = serde_json::from_slice(value)?;
    let leaving = match record.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return Err(RecordError::InvalidField { field: "state" }),
    };
    let models = record.models.into_iter().map(HeldModelRecord::decode);
    Ok(TargetReport {
        service: record.service.parse()?,
        address: record.address,
        zone: record.zone.parse()?,
        // A version that is no name is no reason to lose the target.
        software: record.version.as_str().and_then(|text| text.parse().ok()),
        slots: record.slots,
        leaving,
        departs_in: record
            .remaining_ms
            .filter(|_| leaving)
            .map(Duration::from_millis),
        cold_remaining: Duration::from_millis(record.cold_remaining_ms),
        sequence: record.sequence,
        started_ms: record.born,
        models: models.collect::<Result<_, _>>()?,
    })
}

#[derive(Debug, Deserialize)]
struct ReportBody {
    /// The number of orders that the server has accepted since its start.
    sequence: u64,
    models: Vec<HeldModelRecord>,
    /// Adapters that are being loaded, each in the form MODEL/NAME@VERSION.
    #[serde(default)]
    pending: Vec<String>,
}

/// Decodes a target's report of what it holds.
pub(crate) fn decode_holdings(body: &[u8]) -> Result<HoldingsReport, RecordError> {
    let report: ReportBody = serde_json::from_slice(body)?;
    let (mut models, mut adapters) = (Vec::new(), Vec::new());
    for held in report.models.into_iter().map(HeldModelRecord::decode) {
        let held = held?;
        models.push(held.model);
        adapters.extend(held.adapters);
    }
    let pending = report.pending.iter().map(|text| {
        let (model, adapter) = text
            .split_once('/')
            .ok_or(RecordError::InvalidField { field: "pending" })?;
        decode_adapter(&model.parse()?, adapter).map(|(name, _)| name)
    });
    Ok(HoldingsReport {
        sequence: report.sequence,
        pending: pending.collect::<Result<_, _>>()?,
        models,
        adapters,
    })
}
