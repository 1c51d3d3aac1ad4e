//! The platform: an append-only log with offsets, a rate-limited weight store and a VM list.

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

/// How the stand-in behaves without faults.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The most appends per second over all streams.
    pub appends_per_second: u32,
    /// The most records that a stream keeps.
    pub retention_records: usize,
    /// How long one adapter load takes at full speed.
    pub load_time: Duration,
    /// Concurrent loads beyond this number slow each other down in proportion.
    pub load_parallel: usize,
    /// The most loads that may start per second.
    pub loads_per_second: f64,
    /// How long a change of the VM list stays invisible.
    pub vm_list_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            appends_per_second: 400,
            retention_records: 100_000,
            load_time: Duration::from_millis(250),
            load_parallel: 8,
            loads_per_second: 4.0,
            vm_list_lag: Duration::from_secs(2),
        }
    }
}

/// Faults that a test switches on with `PUT /faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every log call is refused with 503.
    pub log_down: bool,
    /// Every log call waits this long first.
    pub log_delay_ms: u64,
    /// This many appends take effect, but their reply is lost (the connection gets a 500).
    pub lose_append_replies: u32,
    /// This many weight loads fail.
    pub fail_loads: u32,
    /// Every weight load takes this many times longer; 0 counts as 1.
    pub load_slowdown: u32,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    pub name: String,
    /// The address at which its peers reach it.
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
    vm_changes: VecDeque<(Instant, Vec<VmEntry>)>,
    append_tokens: f64,
    append_refill: Instant,
    loads_in_flight: usize,
    loads_most: usize,
    loads_total: u64,
}

/// The stand-in's state, shared by its handlers.
#[derive(Debug)]
pub struct Platform {
    settings: PlatformSettings,
    state: Mutex<PlatformState>,
    appended: Notify,
    /// The earliest start of the next load.
    load_start: AsyncMutex<Instant>,
}

impl Platform {
    pub fn new(settings: PlatformSettings) -> Self {
        let state = PlatformState {
            streams: HashMap::new(),
            faults: PlatformFaults::default(),
            vms: Vec::new(),
            vm_changes: VecDeque::new(),
            append_tokens: f64::from(settings.appends_per_second),
            append_refill: Instant::now(),
            loads_in_flight: 0,
            loads_most: 0,
            loads_total: 0,
        };
        Self {
            settings,
            state: Mutex::new(state),
            appended: Notify::new(),
            load_start: AsyncMutex::new(Instant::now()),
        }
    }

    /// Serves the platform's HTTP interface on `listener`.
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

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.locked().faults = faults;
        self.appended.notify_waiters();
    }

    /// Replaces the VM list; readers see the change after the list's lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.locked().vm_changes.push_back((Instant::now(), vms));
    }

    fn locked(&self) -> std::sync::MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Applies the log's faults; gives the refusal, if any.
    async fn log_fault(&self) -> Option<Response> {
        let delay = self.locked().faults.log_delay_ms;
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        self.locked()
            .faults
            .log_down
            .then(|| refusal(StatusCode::SERVICE_UNAVAILABLE, "log is down"))
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

fn refusal(status: StatusCode, text: &str) -> Response {
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
    if let Some(fault) = platform.log_fault().await {
        return fault;
    }
    let (reply, lost) = {
        let mut state = platform.locked();
        if !platform.take_append_token(&mut state) {
            return refusal(StatusCode::TOO_MANY_REQUESTS, "append limit reached");
        }
        let reply = push_record(
            &mut state,
            stream,
            body.data,
            platform.settings.retention_records,
        );
        let lost = state.faults.lose_append_replies > 0;
        state.faults.lose_append_replies = state.faults.lose_append_replies.saturating_sub(1);
        (reply, lost)
    };
    platform.appended.notify_waiters();
    if lost {
        return refusal(StatusCode::INTERNAL_SERVER_ERROR, "reply lost");
    }
    Json(reply).into_response()
}

fn push_record(
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
    /// The lowest offset that the stream still keeps.
    first: u64,
    /// The offset that the next append gets.
    next: u64,
    /// The log's own time.
    at_ms: u64,
    records: Vec<LogRecord>,
}

/// The longest time that a read waits for a new record.
const READ_WAIT_LIMIT: Duration = Duration::from_secs(10);

#[handler]
async fn read(
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms).min(READ_WAIT_LIMIT);
    loop {
        if let Some(fault) = platform.log_fault().await {
            return fault;
        }
        let appended = platform.appended.notified();
        let reply = read_records(&platform.locked(), &stream, &query);
        let left = deadline.saturating_duration_since(Instant::now());
        if !reply.records.is_empty() || left.is_zero() {
            return Json(reply).into_response();
        }
        let _ = timeout(left, appended).await;
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
    let (duration, fails) = {
        let mut state = platform.locked();
        state.loads_in_flight += 1;
        state.loads_total += 1;
        state.loads_most = state.loads_most.max(state.loads_in_flight);
        let crowd = state
            .loads_in_flight
            .div_ceil(platform.settings.load_parallel.max(1));
        let factor = u32::try_from(crowd).unwrap_or(u32::MAX) * state.faults.load_slowdown.max(1);
        let fails = state.faults.fail_loads > 0;
        state.faults.fail_loads = state.faults.fail_loads.saturating_sub(1);
        (platform.settings.load_time * factor, fails)
    };
    let _guard = LoadGuard(platform);
    sleep(duration).await;
    if fails {
        return refusal(StatusCode::INTERNAL_SERVER_ERROR, "load failed");
    }
    Json(serde_json::json!({"adapter": adapter, "version": version})).into_response()
}

/// Spaces the starts of loads by the store's rate.
async fn wait_for_load_start(platform: &Platform) {
    let interval = Duration::from_secs_f64(1.0 / platform.settings.loads_per_second.max(0.001));
    let start = {
        let mut next = platform.load_start.lock().await;
        let start = (*next).max(Instant::now());
        *next = start + interval;
        start
    };
    tokio::time::sleep_until(start).await;
}

struct LoadGuard<'a>(&'a Platform);

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.locked().loads_in_flight -= 1;
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct VmList {
    vms: Vec<VmEntry>,
}

#[handler]
async fn list_vms(Data(platform): Data<&Arc<Platform>>) -> Json<VmList> {
    let mut state = platform.locked();
    while let Some((at, _)) = state.vm_changes.front() {
        if at.elapsed() < platform.settings.vm_list_lag {
            break;
        }
        if let Some((_, vms)) = state.vm_changes.pop_front() {
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
    Json(platform.locked().faults.clone())
}

#[handler]
async fn stats(Data(platform): Data<&Arc<Platform>>) -> Json<serde_json::Value> {
    let state = platform.locked();
    let appends: HashMap<&String, u64> = state
        .streams
        .iter()
        .map(|(name, stream)| (name, stream.next))
        .collect();
    Json(serde_json::json!({
        "appends": appends,
        "loads_total": state.loads_total,
        "loads_in_flight": state.loads_in_flight,
        "loads_most": state.loads_most,
    }))
}
