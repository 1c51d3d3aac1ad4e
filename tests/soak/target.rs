//! A model target that keeps a record of what it runs and of the orders that it gets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bluebellmux_standins::store::MetadataStore;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::ledger::{STREAM_EVENTS, SoakLedger, event_text, plain_body};
use super::platform_fixture::{header, read_request};
use super::proxy::FaultProxy;

/// Adapters that the target can hold.
pub(crate) const PLACES: usize = 3;
/// The pause between reports to the store.
const REPORT_PAUSE: Duration = Duration::from_millis(300);
/// The time that a plain request takes.
const RUN_TIME: Duration = Duration::from_millis(15);
/// The pause between a stream's events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct HeldState {
    adapters: Vec<String>,
    sequence: u64,
    /// Counts lifetimes.
    born: u64,
    reports: u64,
    draining: bool,
    fails: bool,
}

/// One target behind a proxy.
#[derive(Debug)]
pub(crate) struct SoakTarget {
    index: usize,
    pub(crate) proxy: FaultProxy,
    state: Mutex<HeldState>,
    ledger: Arc<Mutex<SoakLedger>>,
}

impl SoakTarget {
    pub(crate) async fn start(
        index: usize,
        ledger: Arc<Mutex<SoakLedger>>,
        store: Arc<MetadataStore>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = FaultProxy::start(listener.local_addr().unwrap()).await;
        let state = HeldState {
            adapters: Vec::new(),
            sequence: 0,
            born: 1,
            reports: 0,
            draining: false,
            fails: false,
        };
        let target = Arc::new(Self {
            index,
            proxy,
            state: Mutex::new(state),
            ledger,
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
                tokio::time::sleep(REPORT_PAUSE).await;
            }
        });
        target
    }

    fn name(&self) -> String {
        format!("i-{}", self.index)
    }

    /// The process has ended and started anew: all that it held is gone.
    pub(crate) fn begin_lifetime(&self) {
        let mut state = self.state.lock().unwrap();
        state.adapters.clear();
        (state.sequence, state.reports) = (0, 0);
        state.born += 1;
        state.draining = false;
    }

    /// The target answers all requests with failures from now on, or no longer.
    pub(crate) fn set_fails(&self, fails: bool) {
        self.state.lock().unwrap().fails = fails;
    }

    /// The target asks for no more requests; its next lifetime takes some again.
    pub(crate) fn drain(&self) {
        self.state.lock().unwrap().draining = true;
    }

    fn report(&self, store: &MetadataStore) {
        let mut state = self.state.lock().unwrap();
        state.reports += 1;
        let address: SocketAddr = self.proxy.address;
        let model = json!({"name": "m", "version": 1, "adapters": state.adapters});
        let word = if state.draining { "draining" } else { "ready" };
        let record = json!({"service": "llm", "address": address, "zone": "a", "slots": 8,
            "state": word, "sequence": state.reports, "born": state.born, "models": [model]});
        store.put("keyed.servers", &self.name(), record.to_string().as_bytes());
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some((head, body)) = read_request(&mut stream, &mut bytes).await {
            if self.answer(&mut stream, &head, &body).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, stream: &mut TcpStream, head: &str, body: &[u8]) -> std::io::Result<()> {
        if head.starts_with("GET /api/report") {
            return stream.write_all(self.holdings().as_bytes()).await;
        }
        if head.starts_with("POST /api/order") {
            let status = self.take_order(body);
            return stream.write_all(plain(status, "").as_bytes()).await;
        }
        let id = header(head, "x-request-id").unwrap_or_default();
        let model = header(head, "x-model").and_then(|model| model.split_once('/'));
        let (present, fails) = {
            let state = self.state.lock().unwrap();
            let expected = header(head, "x-expect-instance");
            let present = expected == Some(self.name().as_str())
                && model.is_none_or(|(_, adapter)| state.adapters.iter().any(|a| a == adapter));
            (present, state.fails)
        };
        if !present {
            let refusal = format!(
                "HTTP/1.1 421 No\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(refusal.as_bytes()).await;
        }
        self.ledger.lock().unwrap().note_run(id, self.index);
        let sealed = format!(
            "X-Request-Id: {id}\r\nX-Server-Seal: s-{id}-{}\r\n",
            self.index
        );
        if fails {
            let failure = format!("HTTP/1.1 500 Failed\r\n{sealed}Content-Length: 4\r\n\r\noops");
            return stream.write_all(failure.as_bytes()).await;
        }
        if head.contains("/stream/") {
            return self.stream_events(stream, head, id, &sealed).await;
        }
        tokio::time::sleep(RUN_TIME).await;
        let body = plain_body(id);
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\n{sealed}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await
    }

    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        sealed: &str,
    ) -> std::io::Result<()> {
        let last = header(head, "last-event-id").and_then(|text| text.parse().ok());
        let start = format!(
            "HTTP/1.1 200 OK\r\n{sealed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(start.as_bytes()).await?;
        for event in last.unwrap_or(0) + 1..=STREAM_EVENTS {
            tokio::time::sleep(EVENT_PAUSE).await;
            let text = event_text(id, event);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await
    }

    fn holdings(&self) -> String {
        let state = self.state.lock().unwrap();
        let model = json!({"name": "m", "adapters": state.adapters});
        let report = json!({"sequence": state.sequence, "models": [model]});
        plain("200 OK", &report.to_string())
    }

    fn take_order(&self, body: &[u8]) -> &'static str {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let (holder, token) = (&order["holder"], order["fence"].as_u64().unwrap_or(0));
        let mut ledger = self.ledger.lock().unwrap();
        if token < ledger.token(self.index) {
            return "412 Precondition Failed";
        }
        ledger.note_order(self.index, holder.as_str().unwrap_or_default(), token);
        let mut state = self.state.lock().unwrap();
        let adapter = order["adapter"].as_str().unwrap_or_default().to_owned();
        let held = state.adapters.contains(&adapter);
        let loads = order["operation"] == "loading";
        if held == loads {
            return "200 OK";
        }
        if order["expected"].as_u64() != Some(state.sequence) {
            return "409 Conflict";
        }
        state.sequence += 1;
        if !loads {
            state.adapters.retain(|name| *name != adapter);
            return "200 OK";
        }
        state.adapters.push(adapter);
        if state.adapters.len() > PLACES {
            let broken = format!("target {} was ordered to hold too much", self.index);
            ledger.broken.push(broken);
        }
        "202 Accepted"
    }
}

fn plain(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}
