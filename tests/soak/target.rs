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
use super::responses::ResponseWriter;
use super::sendings::SendingKey;

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
/// The share of requests that a refusing target refuses.
const REFUSED_SHARE: f64 = 0.7;
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
    refusing: bool,
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

/// A request that the target runs.
#[derive(Debug, Clone, Copy)]
struct RunningRequest<'a> {
    head: &'a str,
    sending: &'a SendingKey,
    /// Header lines in which the target states that it leaves, or its limit.
    statements: &'a str,
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
            refusing: false,
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

    /// Sets whether the target refuses most requests.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        self.state.lock().unwrap().refusing = refusing;
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

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut bytes = Vec::new();
        let (mut reader, writer) = stream.into_split();
        let writer = ResponseWriter::new(writer);
        while let Some((head, body)) = read_request(&mut reader, &mut bytes).await {
            writer.record_request(header(&head, "x-request-id").unwrap_or_default());
            let responded = self.respond(reader.as_ref(), &writer, &head, &body);
            if responded.await.is_err() {
                return;
            }
        }
    }

    fn record_arrival(&self, sending: &SendingKey) {
        let mut history = self.history.lock().unwrap();
        history.record_arrival(sending, self.index);
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
        stream: &TcpStream,
        writer: &ResponseWriter,
        head: &str,
        body: &[u8],
    ) -> std::io::Result<()> {
        if head.starts_with("GET /api/report") {
            return writer.write(&self.holdings_response()).await;
        }
        if head.starts_with("POST /api/order") {
            let status = self.execute_order(body);
            return writer.write(&plain_response(status, "")).await;
        }
        let sending = SendingKey::of_request(head);
        self.record_arrival(&sending);
        let model = header(head, "x-model").and_then(|model| model.split_once('/'));
        let (can_run, failing, refusing, lifetime, statements) = {
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
            let refusing = state.refusing && rand::random_bool(REFUSED_SHARE);
            (can_run, state.failing, refusing, state.lifetime, statements)
        };
        let refusal = |status: &str| {
            let id = &sending.id;
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\n{statements}Content-Length: 0\r\n\r\n"
            )
        };
        if !can_run {
            return writer.refuse(refusal("421 No")).await;
        }
        let place = match refusing {
            true => None,
            false => self.take_place(stream, head).await,
        };
        let Some(_place) = place else {
            let is_full = rand::random();
            let status = if is_full { "503 Full" } else { "429 Too Many" };
            return writer.refuse(refusal(status)).await;
        };
        let _run = SoakRun::start(&self.history, &sending, self.index, lifetime);
        let request = RunningRequest {
            head,
            sending: &sending,
            statements: &statements,
        };
        self.run_request(stream, writer, request, failing).await
    }

    async fn run_request(
        &self,
        stream: &TcpStream,
        writer: &ResponseWriter,
        request: RunningRequest<'_>,
        failing: bool,
    ) -> std::io::Result<()> {
        let RunningRequest {
            head,
            sending,
            statements,
        } = request;
        let id = &sending.id;
        let seal = sending.seal(self.index);
        let sealed = format!("X-Request-Id: {id}\r\n{statements}X-Server-Seal: {seal}\r\n");
        if failing {
            let failure = format!("HTTP/1.1 500 Failed\r\n{sealed}Content-Length: 4\r\n\r\noops");
            return writer.write(&failure).await;
        }
        if head.contains("/stream/") {
            return stream_events(writer, head, id, &sealed).await;
        }
        let run_time = Duration::from_millis(rand::random_range(5..MAX_RUN_TIME_MS));
        tokio::select! {
            () = tokio::time::sleep(run_time) => {}
            () = closed(stream) => return Err(std::io::ErrorKind::ConnectionReset.into()),
        }
        let body = plain_body(id);
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\n{sealed}Content-Length: {length}\r\n\r\n{body}");
        writer.write(&response).await
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

/// Writes a stream. No copy of a refusal is written before its end.
async fn stream_events(
    writer: &ResponseWriter,
    head: &str,
    id: &str,
    sealed: &str,
) -> std::io::Result<()> {
    let last_event = header(head, "last-event-id").and_then(|text| text.parse().ok());
    let response_head = format!(
        "HTTP/1.1 200 OK\r\n{sealed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut writer = writer.lock().await;
    writer.write_all(response_head.as_bytes()).await?;
    for event in last_event.unwrap_or(0) + 1..=STREAM_EVENTS {
        tokio::time::sleep(EVENT_INTERVAL).await;
        let text = event_text(id, event);
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        writer.write_all(chunk.as_bytes()).await?;
    }
    writer.write_all(b"0\r\n\r\n").await
}
