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

use crate::entry::response_memory::ResponseMemory;
use crate::ids::{LogOffset, NodeName, ZoneName};
use crate::response_body::{ResponseError, read_response};

/// The timeout of a call to the platform. A read may take its wait time in addition.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection without calls is kept.
pub(crate) const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// The largest response. A page of the log that is longer is read in smaller ones.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// The factor by which a page is made smaller.
const PAGE_REDUCTION: usize = 8;

/// The error of a call to the platform.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PlatformError {
    /// The call may have taken effect: the response may have been lost or too late.
    #[display("platform call failed: {_0}")]
    Http(reqwest::Error),
    /// The response was not read to its end. The call may have taken effect.
    #[display("platform call failed: {_0}")]
    Response(ResponseError),
    /// The platform refused the call.
    #[display("platform refused the call with status {status}")]
    #[from(ignore)]
    Refused { status: u16 },
    /// The call may have taken effect.
    #[display("the platform's answer is malformed: {_0}")]
    Malformed(serde_json::Error),
}

/// The target of the log lines of [`CallHealth`], which operators' log filters may name.
const CALL_HEALTH_LOG_TARGET: &str = "bluebellmux::log_service";

/// Logs when calls to the platform start to fail and when they succeed again. A log line for each
/// failed call would be tens of lines per second on every VM during an outage.
#[derive(Debug)]
pub(crate) struct CallHealth {
    /// The component and the kind of call, which begin the log line: `lease: reading the log`.
    subject: &'static str,
    failing: bool,
}

impl CallHealth {
    pub(crate) fn new(subject: &'static str) -> Self {
        let failing = false;
        Self { subject, failing }
    }

    /// Records the result of a call and logs it if calls have started to fail or to succeed again.
    pub(crate) fn record<T>(&mut self, result: &Result<T, PlatformError>) {
        match result {
            Err(error) if !self.failing => tracing::warn!(
                target: CALL_HEALTH_LOG_TARGET,
                "{} fails: {error}",
                self.subject
            ),
            Ok(_) if self.failing => tracing::info!(
                target: CALL_HEALTH_LOG_TARGET,
                "{} works again",
                self.subject
            ),
            _ => {}
        }
        self.failing = result.is_err();
    }
}

/// A record as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    pub offset: LogOffset,
    /// The time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub data: String,
}

/// The offset and time at which the log stored an appended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct AppendReceipt {
    pub offset: LogOffset,
    pub at_ms: u64,
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct StreamPage {
    /// The lowest offset that the stream retains.
    pub first: LogOffset,
    /// The offset that the next append will get.
    pub next: LogOffset,
    /// The time of the response by the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub records: Vec<LogRecord>,
}

/// A client of the platform's log service.
#[derive(Debug, Clone)]
pub(crate) struct LogClient {
    client: reqwest::Client,
    base_url: String,
    memory: Arc<ResponseMemory>,
    traffic: Arc<LogTraffic>,
}

type StreamLabels = [(&'static str, String); 2];

/// The bytes of request and response bodies of calls to the log, by direction and stream. Headers
/// are not counted.
#[derive(Debug, Default)]
pub(crate) struct LogTraffic {
    total: Counter,
    by_stream: Family<StreamLabels, Counter>,
}

impl LogTraffic {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "log_body_bytes",
            "Bytes of bodies to and from the log by direction and stream",
            self.by_stream.clone(),
        );
    }

    /// All bytes in both directions.
    pub(crate) fn total(&self) -> u64 {
        self.total.get()
    }

    fn count(&self, direction: &'static str, stream: &str, bytes: usize) {
        let labels = [
            ("direction", direction.to_owned()),
            ("stream", stream.to_owned()),
        ];
        self.by_stream.get_or_create(&labels).inc_by(bytes as u64);
        self.total.inc_by(bytes as u64);
    }
}

#[derive(Serialize)]
struct AppendBody<'a> {
    data: &'a str,
}

impl LogClient {
    /// Creates a client whose responses are held in `memory`.
    pub(crate) fn new(base_url: &str, memory: &Arc<ResponseMemory>) -> Self {
        let client = http_client();
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            memory: Arc::clone(memory),
            traffic: Arc::default(),
        }
    }

    pub(crate) fn traffic(&self) -> &LogTraffic {
        &self.traffic
    }

    /// Counts and decodes the body of a successful response.
    async fn decode_body<T: DeserializeOwned>(
        &self,
        stream: &str,
        response: reqwest::Response,
    ) -> Result<T, PlatformError> {
        let response = check_status(response)?;
        let body = read_response(response, MAX_RESPONSE_BYTES, &self.memory).await?;
        self.traffic.count("received", stream, body.bytes.len());
        Ok(serde_json::from_slice(&body.bytes)?)
    }

    /// Appends a record. On [`PlatformError::Http`] the record may still have been stored.
    pub(crate) async fn append(
        &self,
        stream: &str,
        data: &str,
    ) -> Result<AppendReceipt, PlatformError> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let body = serde_json::to_vec(&AppendBody { data })?;
        self.traffic.count("sent", stream, body.len());
        let call = self.client.post(url).body(body);
        let call = call.header(CONTENT_TYPE, "application/json");
        let response = call.timeout(CALL_TIMEOUT).send().await?;
        self.decode_body(stream, response).await
    }

    /// Reads up to `max` records starting at offset `from`, fewer if they don't fit into the memory. If
    /// there are none, the log waits up to `wait` for the first one.
    pub(crate) async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<StreamPage, PlatformError> {
        let mut max = max;
        loop {
            let page = self.read_page(stream, from, max, wait).await;
            match page {
                Err(PlatformError::Response(ResponseError::TooLarge | ResponseError::NoMemory))
                    if max > 1 =>
                {
                    max = (max / PAGE_REDUCTION).max(1);
                }
                page => return page,
            }
        }
    }

    async fn read_page(
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
        self.decode_body(stream, call.send().await?).await
    }
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum VmState {
    Live,
    Leaving,
}

/// An entry VM in the platform's list, which may be out of date.
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
    memory: Arc<ResponseMemory>,
    received: Counter,
}

impl VmListClient {
    /// Creates a client whose responses are held in `memory`.
    pub(crate) fn new(base_url: &str, memory: &Arc<ResponseMemory>) -> Self {
        let client = http_client();
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            memory: Arc::clone(memory),
            received: Counter::default(),
        }
    }

    /// The bytes of all VM lists received.
    pub(crate) fn received_bytes(&self) -> &Counter {
        &self.received
    }

    pub(crate) async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let url = format!("{}/vms", self.base_url);
        let response = self.client.get(url).timeout(CALL_TIMEOUT).send().await?;
        let response = check_status(response)?;
        let body = read_response(response, MAX_RESPONSE_BYTES, &self.memory).await?;
        self.received.inc_by(body.bytes.len() as u64);
        let list: VmList = serde_json::from_slice(&body.bytes)?;
        Ok(list.vms)
    }
}

/// Creates a client that uses no proxies, follows no redirects and never retries.
pub(crate) fn http_client() -> reqwest::Client {
    let client = client_builder().build();
    client.expect("the client options are valid")
}

/// Like [`http_client`], but opens a new connection for each call.
pub(crate) fn unpooled_http_client() -> reqwest::Client {
    let client = client_builder().pool_max_idle_per_host(0).build();
    client.expect("the client options are valid")
}

fn client_builder() -> reqwest::ClientBuilder {
    let builder = reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never());
    builder
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_secs(1))
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
}

fn check_status(response: reqwest::Response) -> Result<reqwest::Response, PlatformError> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(PlatformError::Refused {
        status: response.status().as_u16(),
    })
}
