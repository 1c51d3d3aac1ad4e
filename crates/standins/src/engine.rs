//! A model engine with few adapter slots, continuous batching, a bounded prefix cache and a cold
//! start. It serves the OpenAI-style completion API and the usual endpoints that load and unload
//! adapters. Its completions contain the adapter, the version and the request id, so that a caller
//! detects an answer of the wrong adapter or of another request.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, post, put};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::generation::complete;
use crate::server::{RunningServer, unix_millis};

#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub name: String,
    pub base_model: String,
    /// Base URL of the weight store, for example `http://127.0.0.1:7000`.
    pub platform_url: String,
    /// Maximum number of loaded and loading adapters.
    pub slots: usize,
    /// Maximum number of concurrent requests that a warm engine runs at full speed.
    pub warm_limit: usize,
    /// Maximum number of concurrent requests that a cold engine runs without becoming overloaded.
    pub cold_limit: usize,
    /// Number of completions after which a cold engine is warm.
    pub cold_answers: u32,
    /// Time between two tokens of a stream when the batch does not exceed `warm_limit`.
    pub token_time: Duration,
    /// Time until the first token without a prefix cache hit.
    pub prefill_time: Duration,
    /// Whether load and unload requests with an outdated fencing number are rejected.
    pub checks_fencing: bool,
}

impl EngineSettings {
    pub fn new(name: &str, base_model: &str, platform_url: &str) -> Self {
        Self {
            name: name.to_owned(),
            base_model: base_model.to_owned(),
            platform_url: platform_url.to_owned(),
            slots: 8,
            warm_limit: 16,
            cold_limit: 2,
            cold_answers: 8,
            token_time: Duration::from_millis(10),
            prefill_time: Duration::from_millis(20),
            checks_fencing: true,
        }
    }
}

/// Faults that `PUT /faults` injects; each takes effect once.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Restart without adapters and cold; running streams break.
    pub restart: bool,
    /// Become cold, but keep the loaded adapters.
    pub turn_cold: bool,
}

/// Counters that `/stats` reports to tests and benches.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Completed requests.
    pub answers: u64,
    pub tokens: u64,
    pub loads: u64,
    pub unloads: u64,
    /// Unload requests for an adapter that had running requests.
    pub evicted_while_serving: u64,
    /// Requests that arrived while a cold engine already ran `cold_limit` requests.
    pub cold_overloads: u64,
    pub cancelled: u64,
    pub crashes: u64,
    /// Load and unload requests that were rejected for an outdated fencing number.
    pub stale_orders: u64,
    pub prefix_hits: u64,
    /// Sum of the batch sizes at each generated token.
    pub batch_sum: u64,
}

#[derive(Debug, Clone)]
struct LoadedAdapter {
    /// `<adapter>/<version>` in the weight store.
    weight_path: String,
    running_requests: usize,
}

#[derive(Debug)]
struct EngineState {
    boot: u64,
    cold_answers_remaining: u32,
    in_flight: usize,
    loading: usize,
    adapters: HashMap<String, LoadedAdapter>,
    cached_prefixes: VecDeque<u64>,
    highest_fencing_number: u64,
    counters: EngineCounters,
    received_headers: Vec<String>,
    /// When the in-flight count was last published and its value; `/health` reports this value
    /// rather than the current one.
    load_report: (Instant, usize),
}

#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    state: Mutex<EngineState>,
    client: reqwest::Client,
}

/// Interval at which the reported in-flight count is updated.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_CACHED_PREFIXES: usize = 64;
/// Factor by which the token delay of an overloaded cold engine grows.
const COLD_OVERLOAD_SLOWDOWN: u32 = 20;

/// A running request. Dropping it removes the request from the batch.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    engine: Arc<Engine>,
    adapter: String,
    boot: u64,
    pub(crate) weight_path: String,
    pub(crate) prefix_hit: bool,
}

impl Engine {
    pub fn new(settings: EngineSettings) -> Self {
        let state = EngineState {
            boot: unix_millis(),
            cold_answers_remaining: settings.cold_answers,
            in_flight: 0,
            loading: 0,
            adapters: HashMap::new(),
            cached_prefixes: VecDeque::new(),
            highest_fencing_number: 0,
            counters: EngineCounters::default(),
            received_headers: Vec::new(),
            load_report: (Instant::now(), 0),
        };
        let client = reqwest::Client::builder().no_proxy().build();
        Self {
            settings,
            state: Mutex::new(state),
            client: client.expect("the client has no invalid option"),
        }
    }

    pub fn start(self: Arc<Self>, listener: TcpListener) -> std::io::Result<RunningServer> {
        let app = Route::new()
            .at("/health", get(health))
            .at("/v1/models", get(models))
            .at("/v1/load_lora_adapter", post(load_adapter))
            .at("/v1/unload_lora_adapter", post(unload_adapter))
            .at("/v1/completions", post(complete))
            .at("/v1/chat/completions", post(complete))
            .at("/faults", put(set_faults))
            .at("/stats", get(stats))
            .data(self);
        RunningServer::start(listener, app)
    }

    pub fn counters(&self) -> EngineCounters {
        self.lock_state().counters.clone()
    }

    /// Restarts the engine without adapters and cold; running streams break.
    pub fn restart(&self) {
        let mut state = self.lock_state();
        state.boot += 1;
        state.adapters.clear();
        state.cached_prefixes.clear();
        state.in_flight = 0;
        state.cold_answers_remaining = self.settings.cold_answers;
    }

    /// Makes the engine cold; its adapters stay loaded.
    pub fn turn_cold(&self) {
        self.lock_state().cold_answers_remaining = self.settings.cold_answers;
    }

    /// Adds a request for `adapter` to the batch; returns `None` when the adapter is not loaded.
    pub(crate) fn start_request(
        self: &Arc<Self>,
        adapter: &str,
        prefix: u64,
        headers: &HeaderMap,
    ) -> Option<RunningRequest> {
        let mut state = self.lock_state();
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value:?}"));
        let lines: Vec<String> = lines.collect();
        state.received_headers.extend(lines);
        let loaded = state.adapters.get_mut(adapter)?;
        loaded.running_requests += 1;
        let weight_path = loaded.weight_path.clone();
        if state.cold_answers_remaining > 0 && state.in_flight >= self.settings.cold_limit {
            state.counters.cold_overloads += 1;
        }
        state.in_flight += 1;
        let prefix_hit = state.cached_prefixes.contains(&prefix);
        state.counters.prefix_hits += u64::from(prefix_hit);
        if !prefix_hit {
            state.cached_prefixes.push_back(prefix);
        }
        if state.cached_prefixes.len() > MAX_CACHED_PREFIXES {
            state.cached_prefixes.pop_front();
        }
        let boot = state.boot;
        drop(state);
        let engine = Arc::clone(self);
        Some(RunningRequest {
            engine,
            adapter: adapter.to_owned(),
            boot,
            weight_path,
            prefix_hit,
        })
    }

    fn lock_state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Rejects a request with an outdated fencing number if this engine checks fencing numbers.
    fn check_fencing_number(&self, headers: &HeaderMap) -> Result<(), Box<Response>> {
        let header = headers
            .get("x-fencing-number")
            .and_then(|value| value.to_str().ok());
        let fencing_number: u64 = header.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.lock_state();
        if self.settings.checks_fencing && fencing_number < state.highest_fencing_number {
            state.counters.stale_orders += 1;
            return Err(Box::new(error_response(
                StatusCode::PRECONDITION_FAILED,
                "fencing number is old",
            )));
        }
        state.highest_fencing_number = state.highest_fencing_number.max(fencing_number);
        Ok(())
    }
}

impl RunningRequest {
    /// Waits until the next token is generated; fails when the engine restarted in the meantime.
    pub(crate) async fn next_token(&self, first: bool) -> Result<(), std::io::Error> {
        let token_delay = {
            let mut state = self.engine.lock_state();
            state.counters.batch_sum += state.in_flight as u64;
            self.token_delay(&state, first)
        };
        sleep(token_delay).await;
        let mut state = self.engine.lock_state();
        if state.boot != self.boot {
            return Err(std::io::Error::other(
                "the engine restarted while it ran the request",
            ));
        }
        state.counters.tokens += 1;
        Ok(())
    }

    fn token_delay(&self, state: &EngineState, first: bool) -> Duration {
        let settings = &self.engine.settings;
        let base_delay = match (first, self.prefix_hit) {
            (true, false) => settings.prefill_time,
            (true, true) => settings.prefill_time / 4,
            (false, _) => settings.token_time,
        };
        let cold = state.cold_answers_remaining > 0;
        if cold && state.in_flight > settings.cold_limit {
            return base_delay * COLD_OVERLOAD_SLOWDOWN;
        }
        let slowdown = state.in_flight.div_ceil(settings.warm_limit.max(1)).max(1);
        base_delay * u32::try_from(slowdown).unwrap_or(u32::MAX)
    }

    pub(crate) fn record_completed(&self) {
        let mut state = self.engine.lock_state();
        state.counters.answers += 1;
        state.cold_answers_remaining = state.cold_answers_remaining.saturating_sub(1);
    }

    /// Records that the client disconnected before the completion ended.
    pub(crate) fn record_cancelled(&self) {
        self.engine.lock_state().counters.cancelled += 1;
    }

    /// Restarts the engine, which simulates a request that crashes its target.
    pub(crate) fn crash(&self) {
        self.engine.lock_state().counters.crashes += 1;
        self.engine.restart();
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.engine.lock_state();
        if state.boot != self.boot {
            return;
        }
        state.in_flight -= 1;
        if let Some(loaded) = state.adapters.get_mut(&self.adapter) {
            loaded.running_requests -= 1;
        }
    }
}

pub(crate) fn error_response(status: StatusCode, text: &str) -> Response {
    let body = serde_json::json!({"error": {"message": text}});
    Json(body).with_status(status).into_response()
}

#[handler]
async fn health(Data(engine): Data<&Arc<Engine>>) -> Json<serde_json::Value> {
    let mut state = engine.lock_state();
    if state.load_report.0.elapsed() >= LOAD_REPORT_INTERVAL {
        state.load_report = (Instant::now(), state.in_flight);
    }
    Json(serde_json::json!({
        "name": engine.settings.name,
        "boot": state.boot,
        "cold": state.cold_answers_remaining > 0,
        "reported_in_flight": state.load_report.1,
    }))
}

#[handler]
async fn models(Data(engine): Data<&Arc<Engine>>) -> Json<serde_json::Value> {
    let state = engine.lock_state();
    let mut data = vec![serde_json::json!({
        "id": engine.settings.base_model, "object": "model", "root": engine.settings.base_model,
    })];
    for (name, loaded) in &state.adapters {
        data.push(serde_json::json!({
            "id": name, "object": "model", "root": loaded.weight_path,
            "parent": engine.settings.base_model,
        }));
    }
    Json(serde_json::json!({"object": "list", "data": data, "boot": state.boot}))
}

#[derive(Debug, Deserialize)]
struct LoadAdapterRequest {
    lora_name: String,
    lora_path: String,
}

#[handler]
async fn load_adapter(
    headers: &HeaderMap,
    Json(request): Json<LoadAdapterRequest>,
    Data(engine): Data<&Arc<Engine>>,
) -> Response {
    if let Err(response) = engine.check_fencing_number(headers) {
        return *response;
    }
    let boot = {
        let mut state = engine.lock_state();
        if state.adapters.contains_key(&request.lora_name) {
            return error_response(StatusCode::BAD_REQUEST, "already loaded");
        }
        if state.adapters.len() + state.loading >= engine.settings.slots {
            return error_response(StatusCode::CONFLICT, "no free adapter slot");
        }
        state.loading += 1;
        state.boot
    };
    let url = format!(
        "{}/weights/{}",
        engine.settings.platform_url, request.lora_path
    );
    let loaded = engine
        .client
        .get(url)
        .send()
        .await
        .is_ok_and(|reply| reply.status().is_success());
    let mut state = engine.lock_state();
    state.loading -= 1;
    if !loaded || state.boot != boot {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "adapter load failed");
    }
    state.counters.loads += 1;
    state.adapters.insert(
        request.lora_name,
        LoadedAdapter {
            weight_path: request.lora_path,
            running_requests: 0,
        },
    );
    StatusCode::OK.into_response()
}

#[derive(Debug, Deserialize)]
struct UnloadAdapterRequest {
    lora_name: String,
}

#[handler]
async fn unload_adapter(
    headers: &HeaderMap,
    Json(request): Json<UnloadAdapterRequest>,
    Data(engine): Data<&Arc<Engine>>,
) -> Response {
    if let Err(response) = engine.check_fencing_number(headers) {
        return *response;
    }
    let mut state = engine.lock_state();
    let Some(loaded) = state.adapters.remove(&request.lora_name) else {
        return error_response(StatusCode::NOT_FOUND, "not loaded");
    };
    state.counters.unloads += 1;
    state.counters.evicted_while_serving += u64::from(loaded.running_requests > 0);
    StatusCode::OK.into_response()
}

#[handler]
async fn set_faults(
    Json(faults): Json<EngineFaults>,
    Data(engine): Data<&Arc<Engine>>,
) -> StatusCode {
    if faults.restart {
        engine.restart();
    }
    if faults.turn_cold {
        engine.turn_cold();
    }
    StatusCode::NO_CONTENT
}

#[handler]
async fn stats(Data(engine): Data<&Arc<Engine>>) -> Json<serde_json::Value> {
    let state = engine.lock_state();
    let loaded: Vec<&String> = state.adapters.keys().collect();
    Json(serde_json::json!({
        "counters": state.counters, "headers": state.received_headers, "loaded": loaded,
        "in_flight": state.in_flight, "cold": state.cold_answers_remaining > 0,
    }))
}
