//! A simulated model target that records in the soak's history which requests it runs and which
//! orders it receives.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bluebellmux_standins::store::MetadataStore;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::history::{STREAM_EVENTS, SoakHistory, SoakRun, event_text, plain_body};
use super::platform_fixture::{header, read_request};
use super::proxy::FaultProxy;

/// The number of adapters that the target can hold.
pub(crate) const ADAPTER_SLOTS: usize = 3;
/// The interval between the target's reports to the store.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The requests per second that a limited target takes from all VMs together.
const LIMITED_RATE_PER_S: f64 = 3.0;
/// The longest time that a plain request takes.
const MAX_RUN_TIME_MS: u64 = 60;
/// The requests that the target runs at the same time, which are fewer than it states.
const RUNNING_LIMIT: usize = 4;
/// The requests that wait in its queue; it refuses further ones.
const QUEUE_LIMIT: usize = 2;
/// How often a request in the queue checks for a free place.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// One in this many refusals is sent once more before the next response on its connection.
const REPEAT_INTERVAL: u32 = 4;
/// The interval between a stream's events.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct TargetState {
    adapters: Vec<String>,
    accepted_orders: u64,
    /// The number of the current lifetime; each restart begins the next one.
    lifetime: u64,
    reports: u64,
    draining: bool,
    failing: bool,
    limited: bool,
    running: usize,
    queued: usize,
}

/// A request's place among those that the target runs.
struct RunPlace<'a>(&'a SoakTarget);

impl Drop for RunPlace<'_> {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().running -= 1;
    }
}

/// Completes when the VM closes the connection or sends more.
async fn closed(stream: &TcpStream) {
    let _ = stream.peek(&mut [0]).await;
}

/// One target behind a proxy.
#[derive(Debug)]
pub(crate) struct SoakTarget {
    index: usize,
    pub(crate) proxy: FaultProxy,
    state: Mutex<TargetState>,
    history: Arc<Mutex<SoakHistory>>,
}

impl SoakTarget {
    pub(crate) async fn start(
        index: usize,
        history: Arc<Mutex<SoakHistory>>,
        store: Arc<MetadataStore>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = FaultProxy::start(listener.local_addr().unwrap()).await;
        let state = TargetState {
            adapters: Vec::new(),
            accepted_orders: 0,
            lifetime: 1,
            reports: 0,
            draining: false,
            failing: false,
            limited: false,
            running: 0,
            queued: 0,
        };
        let target = Arc::new(Self {
            index,
            proxy,
            state: Mutex::new(state),
            history,
        });
        let server = Arc::clone(&target);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&server).serve(stream));
            }
        });
        let reporter = Arc::clone(&target);
        tokio::spawn(async move {
            loop {
                reporter.report(&store);
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        });
        target
    }

    fn name(&self) -> String {
        format!("i-{}", self.index)
    }

    /// Simulates a restart of the process, which loses all adapters and counters.
    pub(crate) fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.adapters.clear();
        (state.accepted_orders, state.reports) = (0, 0);
        state.lifetime += 1;
        state.draining = false;
    }

    /// Sets whether the target responds to all requests with failures.
    pub(crate) fn set_failing(&self, failing: bool) {
        self.state.lock().unwrap().failing = failing;
    }

    /// Sets whether the target states in its answers that it takes only [`LIMITED_RATE_PER_S`].
    pub(crate) fn set_limited(&self, limited: bool) {
        self.state.lock().unwrap().limited = limited;
        let mut history = self.history.lock().unwrap();
        history.record_limit(self.index, limited.then_some(LIMITED_RATE_PER_S));
    }

    /// Reports the target as draining until it restarts. It still serves requests.
    pub(crate) fn start_draining(&self) {
        self.state.lock().unwrap().draining = true;
    }

    fn report(&self, store: &MetadataStore) {
        let mut state = self.state.lock().unwrap();
        state.reports += 1;
        let address: SocketAddr = self.proxy.address;
        let model = json!({"name": "m", "version": 1, "adapters": state.adapters});
        let state_name = if state.draining { "draining" } else { "ready" };
        let record = json!({"service": "llm", "address": address, "zone": "a", "slots": 8,
            "state": state_name, "sequence": state.reports, "born": state.lifetime, "models": [model]});
        store.put("keyed.servers", &self.name(), record.to_string().as_bytes());
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let (mut bytes, mut repeated) = (Vec::new(), String::new());
        while let Some((head, body)) = read_request(&mut stream, &mut bytes).await {
            let repeat = std::mem::take(&mut repeated);
            if stream.write_all(repeat.as_bytes()).await.is_err() {
                return;
            }
            let responded = self.respond(&mut stream, &head, &body, &mut repeated).await;
            if responded.is_err() {
                return;
            }
        }
    }

    /// Waits in the target's queue. Returns `None` if the queue is full, the request's time has passed
    /// or its connection was closed.
    async fn take_place(&self, stream: &TcpStream, head: &str) -> Option<RunPlace<'_>> {
        let limit = header(head, "x-deadline-ms").and_then(|text| text.parse().ok());
        let limit = Duration::from_millis(limit.unwrap_or(0));
        {
            let mut state = self.state.lock().unwrap();
            if state.queued >= QUEUE_LIMIT {
                return None;
            }
            state.queued += 1;
        }
        let free_place = async {
            loop {
                {
                    let mut state = self.state.lock().unwrap();
                    if state.running < RUNNING_LIMIT {
                        state.running += 1;
                        return RunPlace(self);
                    }
                }
                tokio::time::sleep(QUEUE_CHECK_INTERVAL).await;
            }
        };
        let place = tokio::select! {
            () = closed(stream) => None,
            place = tokio::time::timeout(limit, free_place) => place.ok(),
        };
        self.state.lock().unwrap().queued -= 1;
        place
    }

    async fn respond(
        &self,
        stream: &mut TcpStream,
        head: &str,
        body: &[u8],
        repeated: &mut String,
    ) -> std::io::Result<()> {
        if head.starts_with("GET /api/report") {
            return stream.write_all(self.holdings_response().as_bytes()).await;
        }
        if head.starts_with("POST /api/order") {
            let status = self.execute_order(body);
            return stream
                .write_all(plain_response(status, "").as_bytes())
                .await;
        }
        let id = header(head, "x-request-id").unwrap_or_default();
        self.history.lock().unwrap().record_arrival(id, self.index);
        let model = header(head, "x-model").and_then(|model| model.split_once('/'));
        let (can_run, failing, lifetime, statements) = {
            let state = self.state.lock().unwrap();
            let expected = header(head, "x-expect-instance");
            let can_run = expected == Some(self.name().as_str())
                && model.is_none_or(|(_, adapter)| state.adapters.iter().any(|a| a == adapter));
            let mut statements = String::new();
            if state.draining {
                statements += "Server-Leaving: 1\r\n";
            }
            if state.limited {
                statements += &format!("Server-Limit: {LIMITED_RATE_PER_S:.1}\r\n");
            }
            (can_run, state.failing, state.lifetime, statements)
        };
        let refusal = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\n{statements}Content-Length: 0\r\n\r\n"
            )
        };
        if !can_run {
            return stream.write_all(refusal("421 No").as_bytes()).await;
        }
        let Some(_place) = self.take_place(stream, head).await else {
            let refusal = refusal("503 Full");
            if rand::random_range(0..REPEAT_INTERVAL) == 0 {
                repeated.clone_from(&refusal);
            }
            return stream.write_all(refusal.as_bytes()).await;
        };
        let _run = SoakRun::start(&self.history, id, self.index, lifetime);
        self.run_request(stream, head, &statements, failing).await
    }

    async fn run_request(
        &self,
        stream: &mut TcpStream,
        head: &str,
        statements: &str,
        failing: bool,
    ) -> std::io::Result<()> {
        let id = header(head, "x-request-id").unwrap_or_default();
        let sealed = format!(
            "X-Request-Id: {id}\r\n{statements}X-Server-Seal: s-{id}-{}\r\n",
            self.index
        );
        if failing {
            let failure = format!("HTTP/1.1 500 Failed\r\n{sealed}Content-Length: 4\r\n\r\noops");
            return stream.write_all(failure.as_bytes()).await;
        }
        if head.contains("/stream/") {
            return self.stream_events(stream, head, id, &sealed).await;
        }
        let run_time = Duration::from_millis(rand::random_range(5..MAX_RUN_TIME_MS));
        tokio::select! {
            () = tokio::time::sleep(run_time) => {}
            () = closed(stream) => return Err(std::io::ErrorKind::ConnectionReset.into()),
        }
        let body = plain_body(id);
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\n{sealed}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).await
    }

    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        sealed: &str,
    ) -> std::io::Result<()> {
        let last_event = header(head, "last-event-id").and_then(|text| text.parse().ok());
        let response_head = format!(
            "HTTP/1.1 200 OK\r\n{sealed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(response_head.as_bytes()).await?;
        for event in last_event.unwrap_or(0) + 1..=STREAM_EVENTS {
            tokio::time::sleep(EVENT_INTERVAL).await;
            let text = event_text(id, event);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await
    }

    fn holdings_response(&self) -> String {
        let state = self.state.lock().unwrap();
        let model = json!({"name": "m", "adapters": state.adapters});
        let report = json!({"sequence": state.accepted_orders, "models": [model]});
        plain_response("200 OK", &report.to_string())
    }

    fn execute_order(&self, body: &[u8]) -> &'static str {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let (holder, token) = (&order["holder"], order["fence"].as_u64().unwrap_or(0));
        let mut history = self.history.lock().unwrap();
        if token < history.newest_token(self.index) {
            return "412 Precondition Failed";
        }
        history.record_order(self.index, holder.as_str().unwrap_or_default(), token);
        let mut state = self.state.lock().unwrap();
        let adapter = order["adapter"].as_str().unwrap_or_default().to_owned();
        let held = state.adapters.contains(&adapter);
        let is_load = order["operation"] == "loading";
        // The target is already in the requested state.
        if held == is_load {
            return "200 OK";
        }
        if order["expected"].as_u64() != Some(state.accepted_orders) {
            return "409 Conflict";
        }
        state.accepted_orders += 1;
        if !is_load {
            state.adapters.retain(|name| *name != adapter);
            return "200 OK";
        }
        state.adapters.push(adapter);
        if state.adapters.len() > ADAPTER_SLOTS {
            let violation = format!(
                "target {} was ordered to hold more than {ADAPTER_SLOTS} adapters",
                self.index
            );
            history.violations.push(violation);
        }
        "202 Accepted"
    }
}

fn plain_response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}
