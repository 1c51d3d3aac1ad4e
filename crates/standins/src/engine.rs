//! A model engine with few adapter slots, continuous batching, a bounded prefix cache and a cold
//! start. It speaks the OpenAI-style completion interface and the usual adapter orders. Its
//! answers contain adapter, version and request id, so that a wrong or crossed answer is seen.

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

/// The engine's size and speed.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub name: String,
    pub base_model: String,
    /// Where adapter weights come from, for example `http://127.0.0.1:7000`.
    pub platform_url: String,
    /// The most adapters that are loaded at once.
    pub slots: usize,
    /// The most requests a warm engine runs at once without slowing down.
    pub warm_limit: usize,
    /// The most requests a cold engine runs at once without collapsing.
    pub cold_limit: usize,
    /// A cold engine is warm after this many answers.
    pub cold_answers: u32,
    /// The time between two tokens of a stream in a small batch.
    pub token_time: Duration,
    /// The time until the first token without a prefix cache hit.
    pub prefill_time: Duration,
    /// Whether orders with an old fencing number are rejected.
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

/// Faults that a test switches on with `PUT /faults`; each acts once.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The engine restarts empty and cold; running streams break.
    pub restart: bool,
    /// The engine turns cold, but keeps its adapters.
    pub turn_cold: bool,
}

/// What went wrong in the engine's eyes, for tests and the bench.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineCounters {
    pub answers: u64,
    pub tokens: u64,
    pub loads: u64,
    pub unloads: u64,
    /// Unload orders that hit an adapter with running requests.
    pub evicted_while_serving: u64,
    /// Requests that arrived while a cold engine was already full.
    pub cold_overloads: u64,
    pub cancelled: u64,
    pub crashes: u64,
    pub stale_orders: u64,
    pub prefix_hits: u64,
    /// The sum of the batch size at each generated token.
    pub batch_sum: u64,
}

#[derive(Debug, Clone)]
struct LoadedAdapter {
    /// `<adapter>/<version>` in the weight store.
    path: String,
    running: usize,
}

#[derive(Debug)]
struct EngineState {
    boot: u64,
    cold_answers_left: u32,
    in_flight: usize,
    loading: usize,
    adapters: HashMap<String, LoadedAdapter>,
    prefixes: VecDeque<u64>,
    highest_fence: u64,
    counters: EngineCounters,
    headers_seen: Vec<String>,
    /// The load report as it was when last published; reports lag.
    report: (Instant, usize),
}

/// The stand-in's state, shared by its handlers.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    state: Mutex<EngineState>,
    client: reqwest::Client,
}

/// How old a published load report may be.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// The most prompt prefixes in the cache.
const PREFIX_LIMIT: usize = 64;
/// The factor by which an overloaded cold engine slows down.
const COLLAPSE_FACTOR: u32 = 20;

/// What one request needs to know when it starts.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    engine: Arc<Engine>,
    adapter: String,
    boot: u64,
    pub(crate) path: String,
    pub(crate) prefix_hit: bool,
}

impl Engine {
    pub fn new(settings: EngineSettings) -> Self {
        let state = EngineState {
            boot: unix_millis(),
            cold_answers_left: settings.cold_answers,
            in_flight: 0,
            loading: 0,
            adapters: HashMap::new(),
            prefixes: VecDeque::new(),
            highest_fence: 0,
            counters: EngineCounters::default(),
            headers_seen: Vec::new(),
            report: (Instant::now(), 0),
        };
        let client = reqwest::Client::builder().no_proxy().build();
        Self {
            settings,
            state: Mutex::new(state),
            client: client.expect("the client has no invalid option"),
        }
    }

    /// Serves the engine's HTTP interface on `listener`.
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
        self.locked().counters.clone()
    }

    /// Restarts the engine empty and cold; running streams break.
    pub fn restart(&self) {
        let mut state = self.locked();
        state.boot += 1;
        state.adapters.clear();
        state.prefixes.clear();
        state.in_flight = 0;
        state.cold_answers_left = self.settings.cold_answers;
    }

    /// Turns the engine cold; it keeps its adapters.
    pub fn turn_cold(&self) {
        self.locked().cold_answers_left = self.settings.cold_answers;
    }

    /// Registers a request for `adapter`; `None` when the adapter is not loaded.
    pub(crate) fn begin(
        self: &Arc<Self>,
        adapter: &str,
        prefix: u64,
        headers: &HeaderMap,
    ) -> Option<RunningRequest> {
        let mut state = self.locked();
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value:?}"));
        let lines: Vec<String> = lines.collect();
        state.headers_seen.extend(lines);
        let loaded = state.adapters.get_mut(adapter)?;
        loaded.running += 1;
        let path = loaded.path.clone();
        if state.cold_answers_left > 0 && state.in_flight >= self.settings.cold_limit {
            state.counters.cold_overloads += 1;
        }
        state.in_flight += 1;
        let prefix_hit = state.prefixes.contains(&prefix);
        state.counters.prefix_hits += u64::from(prefix_hit);
        if !prefix_hit {
            state.prefixes.push_back(prefix);
        }
        if state.prefixes.len() > PREFIX_LIMIT {
            state.prefixes.pop_front();
        }
        let boot = state.boot;
        drop(state);
        let engine = Arc::clone(self);
        Some(RunningRequest {
            engine,
            adapter: adapter.to_owned(),
            boot,
            path,
            prefix_hit,
        })
    }

    fn locked(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Rejects an order with an old fencing number, if this engine checks them.
    fn check_fence(&self, headers: &HeaderMap) -> Result<(), Box<Response>> {
        let header = headers
            .get("x-fencing-number")
            .and_then(|value| value.to_str().ok());
        let fence: u64 = header.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.locked();
        if self.settings.checks_fencing && fence < state.highest_fence {
            state.counters.stale_orders += 1;
            return Err(Box::new(refusal(
                StatusCode::PRECONDITION_FAILED,
                "fencing number is old",
            )));
        }
        state.highest_fence = state.highest_fence.max(fence);
        Ok(())
    }
}

impl RunningRequest {
    /// Waits for the next token; `Err` when the engine has restarted in between.
    pub(crate) async fn next_token(&self, first: bool) -> Result<(), std::io::Error> {
        let pause = {
            let mut state = self.engine.locked();
            state.counters.batch_sum += state.in_flight as u64;
            self.pause(&state, first)
        };
        sleep(pause).await;
        let mut state = self.engine.locked();
        if state.boot != self.boot {
            return Err(std::io::Error::other("the engine restarted"));
        }
        state.counters.tokens += 1;
        Ok(())
    }

    fn pause(&self, state: &EngineState, first: bool) -> Duration {
        let settings = &self.engine.settings;
        let base = match (first, self.prefix_hit) {
            (true, false) => settings.prefill_time,
            (true, true) => settings.prefill_time / 4,
            (false, _) => settings.token_time,
        };
        let cold = state.cold_answers_left > 0;
        if cold && state.in_flight > settings.cold_limit {
            return base * COLLAPSE_FACTOR;
        }
        let crowd = state.in_flight.div_ceil(settings.warm_limit.max(1)).max(1);
        base * u32::try_from(crowd).unwrap_or(u32::MAX)
    }

    /// Records that the whole answer was sent.
    pub(crate) fn finish(&self) {
        let mut state = self.engine.locked();
        state.counters.answers += 1;
        state.cold_answers_left = state.cold_answers_left.saturating_sub(1);
    }

    /// Records that the caller left before the end.
    pub(crate) fn cancel(&self) {
        self.engine.locked().counters.cancelled += 1;
    }

    /// Restarts the engine, as a request that crashes its target does.
    pub(crate) fn crash(&self) {
        self.engine.locked().counters.crashes += 1;
        self.engine.restart();
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.engine.locked();
        if state.boot != self.boot {
            return;
        }
        state.in_flight -= 1;
        if let Some(loaded) = state.adapters.get_mut(&self.adapter) {
            loaded.running -= 1;
        }
    }
}

pub(crate) fn refusal(status: StatusCode, text: &str) -> Response {
    let body = serde_json::json!({"error": {"message": text}});
    Json(body).with_status(status).into_response()
}

#[handler]
async fn health(Data(engine): Data<&Arc<Engine>>) -> Json<serde_json::Value> {
    let mut state = engine.locked();
    if state.report.0.elapsed() >= REPORT_LAG {
        state.report = (Instant::now(), state.in_flight);
    }
    Json(serde_json::json!({
        "name": engine.settings.name,
        "boot": state.boot,
        "cold": state.cold_answers_left > 0,
        "reported_in_flight": state.report.1,
    }))
}

#[handler]
async fn models(Data(engine): Data<&Arc<Engine>>) -> Json<serde_json::Value> {
    let state = engine.locked();
    let mut data = vec![serde_json::json!({
        "id": engine.settings.base_model, "object": "model", "root": engine.settings.base_model,
    })];
    for (name, loaded) in &state.adapters {
        data.push(serde_json::json!({
            "id": name, "object": "model", "root": loaded.path,
            "parent": engine.settings.base_model,
        }));
    }
    Json(serde_json::json!({"object": "list", "data": data, "boot": state.boot}))
}

#[derive(Debug, Deserialize)]
struct LoadOrder {
    lora_name: String,
    lora_path: String,
}

#[handler]
async fn load_adapter(
    headers: &HeaderMap,
    Json(order): Json<LoadOrder>,
    Data(engine): Data<&Arc<Engine>>,
) -> Response {
    if let Err(response) = engine.check_fence(headers) {
        return *response;
    }
    let boot = {
        let mut state = engine.locked();
        if state.adapters.contains_key(&order.lora_name) {
            return refusal(StatusCode::BAD_REQUEST, "already loaded");
        }
        if state.adapters.len() + state.loading >= engine.settings.slots {
            return refusal(StatusCode::CONFLICT, "no free adapter slot");
        }
        state.loading += 1;
        state.boot
    };
    let url = format!(
        "{}/weights/{}",
        engine.settings.platform_url, order.lora_path
    );
    let loaded = engine
        .client
        .get(url)
        .send()
        .await
        .is_ok_and(|reply| reply.status().is_success());
    let mut state = engine.locked();
    state.loading -= 1;
    if !loaded || state.boot != boot {
        return refusal(StatusCode::INTERNAL_SERVER_ERROR, "adapter load failed");
    }
    state.counters.loads += 1;
    state.adapters.insert(
        order.lora_name,
        LoadedAdapter {
            path: order.lora_path,
            running: 0,
        },
    );
    StatusCode::OK.into_response()
}

#[derive(Debug, Deserialize)]
struct UnloadOrder {
    lora_name: String,
}

#[handler]
async fn unload_adapter(
    headers: &HeaderMap,
    Json(order): Json<UnloadOrder>,
    Data(engine): Data<&Arc<Engine>>,
) -> Response {
    if let Err(response) = engine.check_fence(headers) {
        return *response;
    }
    let mut state = engine.locked();
    let Some(loaded) = state.adapters.remove(&order.lora_name) else {
        return refusal(StatusCode::NOT_FOUND, "not loaded");
    };
    state.counters.unloads += 1;
    state.counters.evicted_while_serving += u64::from(loaded.running > 0);
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
    let state = engine.locked();
    let loaded: Vec<&String> = state.adapters.keys().collect();
    Json(serde_json::json!({
        "counters": state.counters, "headers": state.headers_seen, "loaded": loaded,
        "in_flight": state.in_flight, "cold": state.cold_answers_left > 0,
    }))
}
