//! Latency, throughput and memory of the gateway. Latency is compared with direct calls to the same
//! engine stand-in in the same run.
//!
//! Run with `cargo bench --bench gateway`. The entry VM runs as a separate process, so that its CPU
//! time and memory are measured without those of the bench.

#[path = "support/publish.rs"]
mod publish;

use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use bluebellmux::KeyDigest;
use bluebellmux_standins::engine::{Engine, EngineSettings};
use bluebellmux_standins::platform::{Platform, PlatformSettings, VmEntry};
use bluebellmux_standins::server::RunningServer;
use hdrhistogram::Histogram;
use publish::{ADMIN_TOKEN, publish};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

type BenchResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

const API_KEY: &str = "bench-key";
/// Number of sequential pairs of a direct and a relayed call.
const LATENCY_PAIRS: usize = 2000;
/// Concurrent callers in the throughput measurement.
const CALLERS: usize = 32;
const CALLS_PER_CALLER: usize = 200;
/// Idle connections in the memory measurement.
const IDLE_CONNECTIONS: usize = 1000;
const TOKENS_PER_CALL: u64 = 8;

async fn bind_loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

/// The measured node with its stand-ins.
struct GatewaySite {
    engine_address: SocketAddr,
    node: Child,
    gateway_address: String,
    admin_address: String,
    client: reqwest::Client,
    _servers: Vec<RunningServer>,
}

impl GatewaySite {
    async fn start() -> BenchResult<Self> {
        let settings = PlatformSettings {
            vm_list_lag: Duration::ZERO,
            load_time: Duration::ZERO,
            ..Default::default()
        };
        let platform = Arc::new(Platform::new(settings));
        let platform_server = Arc::clone(&platform).start(bind_loopback().await?)?;
        let url = format!("http://{}", platform_server.address);
        let mut settings = EngineSettings::new("engine-1", "gemma", &url);
        settings.token_time = Duration::ZERO;
        settings.prefill_time = Duration::ZERO;
        settings.cold_answers = 0;
        settings.warm_limit = 1000;
        let engine_server = Arc::new(Engine::new(settings)).start(bind_loopback().await?)?;
        let (node, addresses) = start_node(&url).await?;
        platform.set_vms(vec![VmEntry {
            name: "entry-1".to_owned(),
            address: addresses[1].clone(),
            zone: "a".to_owned(),
            state: "live".to_owned(),
        }]);
        let site = Self {
            engine_address: engine_server.address,
            node,
            gateway_address: addresses[0].clone(),
            admin_address: addresses[2].clone(),
            client: reqwest::Client::builder().no_proxy().build()?,
            _servers: vec![platform_server, engine_server],
        };
        site.publish().await?;
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn publish(&self) -> BenchResult<()> {
        let digest = KeyDigest::of_key(API_KEY).to_string();
        let rate = json!({"tokens_per_second": 1_000_000_000, "burst": 1_000_000_000});
        let target = json!({
            "address": self.engine_address, "zone": "a", "base_model": "gemma",
            "request_limit": 1000,
        });
        let adapter = json!({"account": "acme", "base_model": "gemma", "current": "v1"});
        let edits = [
            put_edit("base_models", "gemma", json!({})),
            put_edit("targets", "engine-1", target),
            put_edit("zones", "a", json!({"in_service": true})),
            put_edit("accounts", "acme", json!({})),
            put_edit("rates", "acme", rate),
            put_edit("keys", "k1", json!({"account": "acme", "sha256": digest})),
            put_edit("versions", "shop@v1", json!({})),
            put_edit("adapters", "shop", adapter),
        ];
        publish(&self.client, &self.admin_address, &edits).await
    }

    async fn wait_until_ready(&self) -> BenchResult<()> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if self.time_relayed_call().await.is_ok() {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err("the node relayed no call within 30 s of publishing the configuration".into())
    }

    async fn time_direct_call(&self, generation: &str) -> BenchResult<Duration> {
        let url = format!("http://{}/v1/completions", self.engine_address);
        let call = self.client.post(url).header("x-request-id", "direct");
        time_call(call.json(&completion_body(generation))).await
    }

    async fn time_relayed_call(&self) -> BenchResult<Duration> {
        let url = format!("http://{}/v1/completions", self.gateway_address);
        time_call(
            self.client
                .post(url)
                .bearer_auth(API_KEY)
                .json(&completion_body("shop")),
        )
        .await
    }

    /// The name under which the node loaded the adapter on the engine.
    async fn generation_name(&self) -> BenchResult<String> {
        let url = format!("http://{}/v1/models", self.engine_address);
        let models: Value = self.client.get(url).send().await?.json().await?;
        let names = models["data"]
            .as_array()
            .ok_or("the engine answered /v1/models without a data array")?
            .iter();
        let loaded_name = names
            .filter_map(|model| model["id"].as_str())
            .find(|id| id.contains("shop"));
        Ok(loaded_name
            .ok_or("the engine has no adapter whose name contains shop")?
            .to_owned())
    }

    fn node_process_id(&self) -> BenchResult<u32> {
        Ok(self.node.id().ok_or("the node process has exited")?)
    }
}

/// Starts a node and returns it with its gateway, peer and admin addresses, in this order.
async fn start_node(platform_url: &str) -> BenchResult<(Child, Vec<String>)> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellmux"));
    command.args([
        "serve",
        "--node",
        "entry-1",
        "--zone",
        "a",
        "--platform-url",
        platform_url,
    ]);
    command.args([
        "--admin-token",
        ADMIN_TOKEN,
        "--log",
        "error",
        "--listen",
        "127.0.0.1:0",
    ]);
    command.args([
        "--peer-listen",
        "127.0.0.1:0",
        "--admin-listen",
        "127.0.0.1:0",
    ]);
    let mut node = command.stdout(Stdio::piped()).kill_on_drop(true).spawn()?;
    let mut lines = BufReader::new(
        node.stdout
            .take()
            .ok_or("the standard output of the node process is not piped")?,
    )
    .lines();
    let mut addresses = Vec::new();
    while addresses.len() < 3 {
        let line = lines
            .next_line()
            .await?
            .ok_or("the node process exited before it printed its three addresses")?;
        addresses.push(line.rsplit(' ').next().unwrap_or_default().to_owned());
    }
    Ok((node, addresses))
}

fn put_edit(section: &str, name: &str, value: Value) -> Value {
    json!({"put": {"section": section, "name": name, "value": value}})
}

fn completion_body(model: &str) -> Value {
    json!({
        "model": model, "prompt": format!("swap bottles tokens={TOKENS_PER_CALL}"),
        "max_tokens": TOKENS_PER_CALL, "stream": true,
    })
}

/// Returns the time from sending the request to the end of the response stream.
async fn time_call(call: reqwest::RequestBuilder) -> BenchResult<Duration> {
    let sent = Instant::now();
    let reply = call.send().await?;
    let (status, text) = (reply.status(), reply.text().await?);
    if !status.is_success() || !text.ends_with("data: [DONE]\n\n") {
        return Err(
            format!("expected a complete event stream, got status {status}: {text}").into(),
        );
    }
    Ok(sent.elapsed())
}

/// The CPU time of a process in seconds.
fn cpu_seconds(process_id: u32) -> BenchResult<f64> {
    /// Clock ticks per second in /proc; Linux uses this value on all common architectures.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat"))?;
    let rest = stat
        .rsplit(')')
        .next()
        .ok_or("malformed /proc/<pid>/stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    // Fields 14 and 15 of the file, user and system time. The first two fields are cut off.
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// The resident memory of a process in KiB.
fn resident_kib(process_id: u32) -> BenchResult<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("/proc/<pid>/status has no VmRSS line")?;
    Ok(line
        .split_whitespace()
        .nth(1)
        .ok_or("the VmRSS line of /proc/<pid>/status has no value")?
        .parse()?)
}

async fn measure_latency(site: &GatewaySite) -> BenchResult<Value> {
    let generation = site.generation_name().await?;
    let mut direct = Histogram::<u64>::new(3)?;
    let mut relayed = Histogram::<u64>::new(3)?;
    for _ in 0..LATENCY_PAIRS {
        direct.record(u64::try_from(
            site.time_direct_call(&generation).await?.as_micros(),
        )?)?;
        relayed.record(u64::try_from(site.time_relayed_call().await?.as_micros())?)?;
    }
    let quantile = |at: f64| {
        let (direct, relayed) = (direct.value_at_quantile(at), relayed.value_at_quantile(at));
        json!({"direct_us": direct, "relayed_us": relayed, "added_us": relayed as i64 - direct as i64})
    };
    Ok(json!({"pairs": LATENCY_PAIRS, "p50": quantile(0.5), "p99": quantile(0.99)}))
}

async fn measure_throughput(site: &GatewaySite) -> BenchResult<Value> {
    let before = cpu_seconds(site.node_process_id()?)?;
    let start = Instant::now();
    let caller = || async {
        for _ in 0..CALLS_PER_CALLER {
            site.time_relayed_call().await?;
        }
        BenchResult::Ok(())
    };
    futures_util::future::try_join_all((0..CALLERS).map(|_| caller())).await?;
    let seconds = start.elapsed().as_secs_f64();
    let used_cpu_seconds = cpu_seconds(site.node_process_id()?)? - before;
    let requests = (CALLERS * CALLS_PER_CALLER) as f64;
    Ok(json!({
        "requests": requests, "tokens_each": TOKENS_PER_CALL,
        "requests_per_second": requests / seconds,
        "requests_per_core_second": requests / used_cpu_seconds,
    }))
}

async fn measure_memory(site: &GatewaySite) -> BenchResult<Value> {
    let before = resident_kib(site.node_process_id()?)?;
    let address: SocketAddr = site.gateway_address.parse()?;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        connections.push(TcpStream::connect(address).await?);
    }
    sleep(Duration::from_secs(1)).await;
    let after = resident_kib(site.node_process_id()?)?;
    let kib_per_connection = (after - before) / connections.len() as f64;
    Ok(json!({
        "idle_connections": connections.len(), "kib_each": kib_per_connection,
        "resident_kib": after,
    }))
}

#[tokio::main]
async fn main() -> BenchResult<()> {
    let site = GatewaySite::start().await?;
    println!(
        "{}",
        json!({"measure": "latency", "result": measure_latency(&site).await?})
    );
    println!(
        "{}",
        json!({"measure": "throughput", "result": measure_throughput(&site).await?})
    );
    println!(
        "{}",
        json!({"measure": "memory", "result": measure_memory(&site).await?})
    );
    Ok(())
}
