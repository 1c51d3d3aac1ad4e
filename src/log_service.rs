//! HTTP clients of the platform: the append-only log and the VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use reqwest::header::CONTENT_TYPE;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::ids::{LogOffset, NodeName, ZoneName};

/// The time limit of one call to the platform, besides the time that a read may wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to the platform gave no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PlatformError {
    /// The call may have taken effect: the answer got lost or came too late.
    #[display("platform call failed: {_0}")]
    Http(reqwest::Error),
    /// The platform refused the call.
    #[display("platform refused the call with status {status}")]
    #[from(ignore)]
    Refused { status: u16 },
    /// The call may have taken effect.
    #[display("the platform's answer is malformed: {_0}")]
    Malformed(serde_json::Error),
}

/// Logs when calls to the platform begin to fail and when they work again. One message for each
/// failed call would be tens a second on every VM during an outage.
#[derive(Debug)]
pub(crate) struct CallHealth {
    /// What is called, with the prefix of the part: `lease: reading the log`.
    subject: &'static str,
    failing: bool,
}

impl CallHealth {
    pub(crate) fn new(subject: &'static str) -> Self {
        let failing = false;
        Self { subject, failing }
    }

    /// Notes how a call ended.
    pub(crate) fn note<T>(&mut self, ended: &Result<T, PlatformError>) {
        match ended {
            Err(error) if !self.failing => tracing::warn!("{} fails: {error}", self.subject),
            Ok(_) if self.failing => tracing::info!("{} works again", self.subject),
            _ => {}
        }
        self.failing = ended.is_err();
    }
}

/// A record as the log keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    pub offset: LogOffset,
    /// The log's own time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub data: String,
}

/// Where and when the log stored an appended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct AppendReceipt {
    pub offset: LogOffset,
    pub at_ms: u64,
}

/// A part of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct StreamPage {
    /// The lowest offset that the stream still keeps.
    pub first: LogOffset,
    /// The offset that the next append gets.
    pub next: LogOffset,
    /// The log's own time of the reply.
    pub at_ms: u64,
    pub records: Vec<LogRecord>,
}

/// A client of the platform's log service.
#[derive(Debug, Clone)]
pub(crate) struct LogClient {
    client: reqwest::Client,
    base_url: String,
    traffic: Arc<LogTraffic>,
}

type StreamLabels = [(&'static str, String); 2];

/// The bytes of the bodies of calls to the log, by direction and stream. Heads are not counted.
#[derive(Debug, Default)]
pub(crate) struct LogTraffic {
    all: Counter,
    streams: Family<StreamLabels, Counter>,
}

impl LogTraffic {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "log_body_bytes",
            "Bytes of bodies to and from the log by direction and stream",
            self.streams.clone(),
        );
    }

    /// All bytes in both directions.
    pub(crate) fn total(&self) -> u64 {
        self.all.get()
    }

    fn note(&self, direction: &'static str, stream: &str, bytes: usize) {
        let labels = [
            ("direction", direction.to_owned()),
            ("stream", stream.to_owned()),
        ];
        self.streams.get_or_create(&labels).inc_by(bytes as u64);
        self.all.inc_by(bytes as u64);
    }
}

#[derive(Serialize)]
struct AppendBody<'a> {
    data: &'a str,
}

impl LogClient {
    pub(crate) fn new(base_url: &str) -> Self {
        let client = http_client();
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            traffic: Arc::default(),
        }
    }

    /// The bytes of this client's calls.
    pub(crate) fn traffic(&self) -> &LogTraffic {
        &self.traffic
    }

    /// The body of an answer.
    async fn decoded<T: DeserializeOwned>(
        &self,
        stream: &str,
        reply: reqwest::Response,
    ) -> Result<T, PlatformError> {
        let body = checked(reply)?.bytes().await?;
        self.traffic.note("received", stream, body.len());
        Ok(serde_json::from_slice(&body)?)
    }

    /// Appends a record. After [`PlatformError::Http`] it may be in the log all the same.
    pub(crate) async fn append(
        &self,
        stream: &str,
        data: &str,
    ) -> Result<AppendReceipt, PlatformError> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let body = serde_json::to_vec(&AppendBody { data })?;
        self.traffic.note("sent", stream, body.len());
        let call = self.client.post(url).body(body);
        let call = call.header(CONTENT_TYPE, "application/json");
        let reply = call.timeout(CALL_TIMEOUT).send().await?;
        self.decoded(stream, reply).await
    }

    /// Reads up to `max` records from `from` on; waits up to `wait` while there are none.
    pub(crate) async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<StreamPage, PlatformError> {
        let url = format!(
            "{}/streams/{stream}/records?from={from}&max={max}&wait_ms={}",
            self.base_url,
            wait.as_millis()
        );
        let call = self.client.get(url).timeout(CALL_TIMEOUT + wait);
        self.decoded(stream, call.send().await?).await
    }
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum VmState {
    Live,
    Leaving,
}

/// One entry VM in the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct VmEntry {
    pub name: NodeName,
    pub address: SocketAddr,
    pub zone: ZoneName,
    pub state: VmState,
}

#[derive(Debug, Deserialize)]
struct VmList {
    vms: Vec<VmEntry>,
}

/// A client of the platform's list of live and leaving VMs.
#[derive(Debug, Clone)]
pub(crate) struct VmListClient {
    client: reqwest::Client,
    base_url: String,
    received: Counter,
}

impl VmListClient {
    pub(crate) fn new(base_url: &str) -> Self {
        let client = http_client();
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            received: Counter::default(),
        }
    }

    /// The bytes of the lists read so far.
    pub(crate) fn received(&self) -> &Counter {
        &self.received
    }

    pub(crate) async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let url = format!("{}/vms", self.base_url);
        let reply = self.client.get(url).timeout(CALL_TIMEOUT).send().await?;
        let body = checked(reply)?.bytes().await?;
        self.received.inc_by(body.len() as u64);
        let list: VmList = serde_json::from_slice(&body)?;
        Ok(list.vms)
    }
}

/// A client without proxies and automatic retries.
pub(crate) fn http_client() -> reqwest::Client {
    let client = client_builder().build();
    client.expect("the client has no invalid option")
}

/// Like [`http_client`], but keeps no connection for a second call.
pub(crate) fn fresh_http_client() -> reqwest::Client {
    let client = client_builder().pool_max_idle_per_host(0).build();
    client.expect("the client has no invalid option")
}

fn client_builder() -> reqwest::ClientBuilder {
    let builder = reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never());
    builder
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_secs(1))
}

fn checked(reply: reqwest::Response) -> Result<reqwest::Response, PlatformError> {
    if reply.status().is_success() {
        return Ok(reply);
    }
    Err(PlatformError::Refused {
        status: reply.status().as_u16(),
    })
}
