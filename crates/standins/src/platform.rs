//! Stand-in for the platform: an append-only log with offsets, a rate-limited weight store and a
//! VM list.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, post, put};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Mutex as AsyncMutex, Notify};
use tokio::time::{Instant, sleep, timeout};

use crate::server::{RunningServer, unix_millis};

#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Limit of appends per second over all streams.
    pub appends_per_second: u32,
    /// Maximum number of records that a stream retains.
    pub retention_records: usize,
    /// Duration of one adapter load at full speed.
    pub load_time: Duration,
    /// Number of concurrent loads that run at full speed; more loads slow each other down in
    /// proportion.
    pub full_speed_loads: usize,
    /// Limit of load starts per second.
    pub loads_per_second: f64,
    /// Delay until readers see a change of the VM list.
    pub vm_list_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            appends_per_second: 400,
            retention_records: 100_000,
            load_time: Duration::from_millis(250),
            full_speed_loads: 8,
            loads_per_second: 4.0,
            vm_list_lag: Duration::from_secs(2),
        }
    }
}

/// Faults that `PUT /faults` injects until they are replaced.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answer every log call with 503.
    pub log_down: bool,
    /// Delay of every log call.
    pub log_delay_ms: u64,
    /// Number of appends that take effect, but are answered with 500.
    pub lose_append_replies: u32,
    /// Number of weight loads that fail.
    pub fail_loads: u32,
    /// Factor by which weight loads take longer; 0 counts as 1.
    pub load_slowdown: u32,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    pub name: String,
    /// Address for connections from peers.
    pub address: String,
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Debug, Clone, Serialize)]
struct LogRecord {
    offset: u64,
    at_ms: u64,
    data: String,
}

#[derive(Debug, Default)]
struct LogStream {
    next: u64,
    records: VecDeque<LogRecord>,
}

#[derive(Debug)]
struct PlatformState {
    streams: HashMap<String, LogStream>,
    faults: PlatformFaults,
    vms: Vec<VmEntry>,
    pending_vm_lists: VecDeque<(Instant, Vec<VmEntry>)>,
    append_tokens: f64,
    append_refill: Instant,
    loads_in_flight: usize,
    peak_loads_in_flight: usize,
    loads_total: u64,
}

#[derive(Debug)]
pub struct Platform {
    settings: PlatformSettings,
    state: Mutex<PlatformState>,
    appended: Notify,
    /// Earliest time at which the next load may start.
    next_load_start: AsyncMutex<Instant>,
}

impl Platform {
    pub fn new(settings: PlatformSettings) -> Self {
        let state = PlatformState {
            streams: HashMap::new(),
            faults: PlatformFaults::default(),
            vms: Vec::new(),
            pending_vm_lists: VecDeque::new(),
            append_tokens: f64::from(settings.appends_per_second),
            append_refill: Instant::now(),
            loads_in_flight: 0,
            peak_loads_in_flight: 0,
            loads_total: 0,
        };
        Self {
            settings,
            state: Mutex::new(state),
            appended: Notify::new(),
            next_load_start: AsyncMutex::new(Instant::now()),
        }
    }

    pub fn start(self: Arc<Self>, listener: TcpListener) -> std::io::Result<RunningServer> {
        let app = Route::new()
            .at("/streams/:stream/records", post(append).get(read))
            .at("/weights/:adapter/:version", get(load_weights))
            .at("/vms", get(list_vms).put(set_vms))
            .at("/faults", put(set_faults).get(get_faults))
            .at("/stats", get(stats))
            .data(self);
        RunningServer::start(listener, app)
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock_state().faults = faults;
        self.appended.notify_waiters();
    }

    /// Replaces the VM list; readers see the change after `vm_list_lag`.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock_state()
            .pending_vm_lists
            .push_back((Instant::now(), vms));
    }

    fn lock_state(&self) -> std::sync::MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Delays the call as the active faults demand; returns an error response while the log is
    /// down.
    async fn apply_log_faults(&self) -> Option<Response> {
        let delay = self.lock_state().faults.log_delay_ms;
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        self.lock_state()
            .faults
            .log_down
            .then(|| error_response(StatusCode::SERVICE_UNAVAILABLE, "log is down"))
    }

    fn take_append_token(&self, state: &mut PlatformState) -> bool {
        let rate = f64::from(self.settings.appends_per_second);
        let elapsed = state.append_refill.elapsed().as_secs_f64();
        state.append_refill = Instant::now();
        state.append_tokens = (state.append_tokens + elapsed * rate).min(rate);
        if state.append_tokens < 1.0 {
            return false;
        }
        state.append_tokens -= 1.0;
        true
    }
}

fn error_response(status: StatusCode, text: &str) -> Response {
    Response::builder().status(status).body(text.to_owned())
}

#[derive(Debug, Deserialize)]
struct AppendBody {
    data: String,
}

#[derive(Debug, Serialize)]
struct AppendReply {
    offset: u64,
    at_ms: u64,
}

#[handler]
async fn append(
    Path(stream): Path<String>,
    Json(body): Json<AppendBody>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    if let Some(fault) = platform.apply_log_faults().await {
        return fault;
    }
    let (reply, reply_lost) = {
        let mut state = platform.lock_state();
        if !platform.take_append_token(&mut state) {
            return error_response(StatusCode::TOO_MANY_REQUESTS, "append limit reached");
        }
        let reply = append_record(
            &mut state,
            stream,
            body.data,
            platform.settings.retention_records,
        );
        let reply_lost = state.faults.lose_append_replies > 0;
        state.faults.lose_append_replies = state.faults.lose_append_replies.saturating_sub(1);
        (reply, reply_lost)
    };
    platform.appended.notify_waiters();
    if reply_lost {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "reply lost");
    }
    Json(reply).into_response()
}

fn append_record(
    state: &mut PlatformState,
    stream: String,
    data: String,
    retention: usize,
) -> AppendReply {
    let stream = state.streams.entry(stream).or_default();
    let record = LogRecord {
        offset: stream.next,
        at_ms: unix_millis(),
        data,
    };
    let reply = AppendReply {
        offset: record.offset,
        at_ms: record.at_ms,
    };
    stream.next += 1;
    stream.records.push_back(record);
    if stream.records.len() > retention {
        stream.records.pop_front();
    }
    reply
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default = "default_max")]
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_max() -> usize {
    1000
}

#[derive(Debug, Serialize)]
struct ReadReply {
    /// Lowest offset that the stream retains.
    first: u64,
    /// Offset of the next append.
    next: u64,
    /// The log's clock.
    at_ms: u64,
    records: Vec<LogRecord>,
}

/// Upper bound of the time that a read waits for a new record.
const MAX_READ_WAIT: Duration = Duration::from_secs(10);

#[handler]
async fn read(
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms).min(MAX_READ_WAIT);
    loop {
        if let Some(fault) = platform.apply_log_faults().await {
            return fault;
        }
        let appended = platform.appended.notified();
        let reply = read_records(&platform.lock_state(), &stream, &query);
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !reply.records.is_empty() || remaining.is_zero() {
            return Json(reply).into_response();
        }
        let _ = timeout(remaining, appended).await;
    }
}

fn read_records(state: &PlatformState, stream: &str, query: &ReadQuery) -> ReadReply {
    let Some(stream) = state.streams.get(stream) else {
        return ReadReply {
            first: 0,
            next: 0,
            at_ms: unix_millis(),
            records: Vec::new(),
        };
    };
    let first = stream.next - stream.records.len() as u64;
    let skip = usize::try_from(query.from.saturating_sub(first)).unwrap_or(usize::MAX);
    let records = stream
        .records
        .iter()
        .skip(skip)
        .take(query.max)
        .cloned()
        .collect();
    ReadReply {
        first,
        next: stream.next,
        at_ms: unix_millis(),
        records,
    }
}

#[handler]
async fn load_weights(
    Path((adapter, version)): Path<(String, String)>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    wait_for_load_start(platform).await;
    let (duration, load_fails) = {
        let mut state = platform.lock_state();
        state.loads_in_flight += 1;
        state.loads_total += 1;
        state.peak_loads_in_flight = state.peak_loads_in_flight.max(state.loads_in_flight);
        let slowdown = state
            .loads_in_flight
            .div_ceil(platform.settings.full_speed_loads.max(1));
        let factor =
            u32::try_from(slowdown).unwrap_or(u32::MAX) * state.faults.load_slowdown.max(1);
        let load_fails = state.faults.fail_loads > 0;
        state.faults.fail_loads = state.faults.fail_loads.saturating_sub(1);
        (platform.settings.load_time * factor, load_fails)
    };
    let _guard = InFlightLoad(platform);
    sleep(duration).await;
    if load_fails {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "load failed");
    }
    Json(serde_json::json!({"adapter": adapter, "version": version})).into_response()
}

/// Waits for the next load start that `loads_per_second` allows.
async fn wait_for_load_start(platform: &Platform) {
    let interval = Duration::from_secs_f64(1.0 / platform.settings.loads_per_second.max(0.001));
    let start = {
        let mut next = platform.next_load_start.lock().await;
        let start = (*next).max(Instant::now());
        *next = start + interval;
        start
    };
    tokio::time::sleep_until(start).await;
}

struct InFlightLoad<'a>(&'a Platform);

impl Drop for InFlightLoad<'_> {
    fn drop(&mut self) {
        self.0.lock_state().loads_in_flight -= 1;
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct VmList {
    vms: Vec<VmEntry>,
}

#[handler]
async fn list_vms(Data(platform): Data<&Arc<Platform>>) -> Json<VmList> {
    let mut state = platform.lock_state();
    while let Some((at, _)) = state.pending_vm_lists.front() {
        if at.elapsed() < platform.settings.vm_list_lag {
            break;
        }
        if let Some((_, vms)) = state.pending_vm_lists.pop_front() {
            state.vms = vms;
        }
    }
    Json(VmList {
        vms: state.vms.clone(),
    })
}

#[handler]
async fn set_vms(Json(list): Json<VmList>, Data(platform): Data<&Arc<Platform>>) -> StatusCode {
    platform.set_vms(list.vms);
    StatusCode::NO_CONTENT
}

#[handler]
async fn set_faults(
    Json(faults): Json<PlatformFaults>,
    Data(platform): Data<&Arc<Platform>>,
) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

#[handler]
async fn get_faults(Data(platform): Data<&Arc<Platform>>) -> Json<PlatformFaults> {
    Json(platform.lock_state().faults.clone())
}

#[handler]
async fn stats(Data(platform): Data<&Arc<Platform>>) -> Json<serde_json::Value> {
    let state = platform.lock_state();
    let appends: HashMap<&String, u64> = state
        .streams
        .iter()
        .map(|(name, stream)| (name, stream.next))
        .collect();
    Json(serde_json::json!({
        "appends": appends,
        "loads_total": state.loads_total,
        "loads_in_flight": state.loads_in_flight,
        "loads_most": state.peak_loads_in_flight,
    }))
}
