//! The gateway's own cost against a direct call to the same engine stand-in, in one run.
//!
//! `cargo bench --bench gateway`
//!
//! The entry VM is a process of its own, so that its processor time and memory are its own.

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

const KEY: &str = "bench-key";
/// Sequential pairs of a direct and a relayed call.
const PAIRS: usize = 2000;
/// Concurrent callers and calls of each in the throughput part.
const CALLERS: usize = 32;
const CALLS_PER_CALLER: usize = 200;
/// Idle connections in the memory part.
const IDLE_CONNECTIONS: usize = 1000;
const TOKENS: u64 = 8;

async fn listener() -> std::io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

/// The node under test with its stand-ins.
struct GatewaySite {
    engine: SocketAddr,
    node: Child,
    callers: String,
    admin: String,
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
        let platform_server = Arc::clone(&platform).start(listener().await?)?;
        let url = format!("http://{}", platform_server.address);
        let mut settings = EngineSettings::new("engine-1", "gemma", &url);
        settings.token_time = Duration::ZERO;
        settings.prefill_time = Duration::ZERO;
        settings.cold_answers = 0;
        settings.warm_limit = 1000;
        let engine_server = Arc::new(Engine::new(settings)).start(listener().await?)?;
        let (node, addresses) = start_node(&url).await?;
        platform.set_vms(vec![VmEntry {
            name: "entry-1".to_owned(),
            address: addresses[1].clone(),
            zone: "a".to_owned(),
            state: "live".to_owned(),
        }]);
        let site = Self {
            engine: engine_server.address,
            node,
            callers: addresses[0].clone(),
            admin: addresses[2].clone(),
            client: reqwest::Client::builder().no_proxy().build()?,
            _servers: vec![platform_server, engine_server],
        };
        site.publish().await?;
        site.wait_until_served().await?;
        Ok(site)
    }

    async fn publish(&self) -> BenchResult<()> {
        let digest = KeyDigest::of_key(KEY).to_string();
        let rate = json!({"tokens_per_second": 1_000_000_000, "burst": 1_000_000_000});
        let target = json!({
            "address": self.engine, "zone": "a", "base_model": "gemma", "request_limit": 1000,
        });
        let adapter = json!({"account": "acme", "base_model": "gemma", "current": "v1"});
        let edits = [
            put("base_models", "gemma", json!({})),
            put("targets", "engine-1", target),
            put("zones", "a", json!({"in_service": true})),
            put("accounts", "acme", json!({})),
            put("rates", "acme", rate),
            put("keys", "k1", json!({"account": "acme", "sha256": digest})),
            put("versions", "shop@v1", json!({})),
            put("adapters", "shop", adapter),
        ];
        publish(&self.client, &self.admin, &edits).await
    }

    async fn wait_until_served(&self) -> BenchResult<()> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if self.relayed().await.is_ok() {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err("the node did not serve within 30 s".into())
    }

    async fn direct(&self, generation: &str) -> BenchResult<Duration> {
        let url = format!("http://{}/v1/completions", self.engine);
        let call = self.client.post(url).header("x-request-id", "direct");
        timed(call.json(&body(generation))).await
    }

    async fn relayed(&self) -> BenchResult<Duration> {
        let url = format!("http://{}/v1/completions", self.callers);
        timed(self.client.post(url).bearer_auth(KEY).json(&body("shop"))).await
    }

    /// The engine-side name under which the node loaded the adapter.
    async fn generation(&self) -> BenchResult<String> {
        let url = format!("http://{}/v1/models", self.engine);
        let models: Value = self.client.get(url).send().await?.json().await?;
        let names = models["data"].as_array().ok_or("no models")?.iter();
        let own = names
            .filter_map(|model| model["id"].as_str())
            .find(|id| id.contains("shop"));
        Ok(own.ok_or("the adapter is not loaded")?.to_owned())
    }

    fn process(&self) -> BenchResult<u32> {
        Ok(self.node.id().ok_or("the node has ended")?)
    }
}

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
    let mut lines = BufReader::new(node.stdout.take().ok_or("no output")?).lines();
    let mut addresses = Vec::new();
    while addresses.len() < 3 {
        let line = lines.next_line().await?.ok_or("the node ended")?;
        addresses.push(line.rsplit(' ').next().unwrap_or_default().to_owned());
    }
    Ok((node, addresses))
}

fn put(section: &str, name: &str, value: Value) -> Value {
    json!({"put": {"section": section, "name": name, "value": value}})
}

fn body(model: &str) -> Value {
    json!({
        "model": model, "prompt": format!("swap bottles tokens={TOKENS}"),
        "max_tokens": TOKENS, "stream": true,
    })
}

/// The time from sending to the end of the whole stream.
async fn timed(call: reqwest::RequestBuilder) -> BenchResult<Duration> {
    let sent = Instant::now();
    let reply = call.send().await?;
    let (status, text) = (reply.status(), reply.text().await?);
    if !status.is_success() || !text.ends_with("data: [DONE]\n\n") {
        return Err(format!("status {status}: {text}").into());
    }
    Ok(sent.elapsed())
}

/// The processor time of a process in seconds.
fn processor_seconds(process: u32) -> BenchResult<f64> {
    /// Clock ticks per second in /proc, a constant of Linux on all common machines.
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let rest = stat.rsplit(')').next().ok_or("malformed stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS)
}

/// The resident memory of a process in KiB.
fn resident_kib(process: u32) -> BenchResult<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("no VmRSS")?;
    Ok(line
        .split_whitespace()
        .nth(1)
        .ok_or("malformed VmRSS")?
        .parse()?)
}

async fn measure_latency(site: &GatewaySite) -> BenchResult<Value> {
    let generation = site.generation().await?;
    let mut direct = Histogram::<u64>::new(3)?;
    let mut relayed = Histogram::<u64>::new(3)?;
    for _ in 0..PAIRS {
        direct.record(u64::try_from(site.direct(&generation).await?.as_micros())?)?;
        relayed.record(u64::try_from(site.relayed().await?.as_micros())?)?;
    }
    let quantile = |at: f64| {
        let (direct, relayed) = (direct.value_at_quantile(at), relayed.value_at_quantile(at));
        json!({"direct_us": direct, "relayed_us": relayed, "added_us": relayed as i64 - direct as i64})
    };
    Ok(json!({"pairs": PAIRS, "p50": quantile(0.5), "p99": quantile(0.99)}))
}

async fn measure_throughput(site: &GatewaySite) -> BenchResult<Value> {
    let before = processor_seconds(site.process()?)?;
    let start = Instant::now();
    let caller = || async {
        for _ in 0..CALLS_PER_CALLER {
            site.relayed().await?;
        }
        BenchResult::Ok(())
    };
    futures_util::future::try_join_all((0..CALLERS).map(|_| caller())).await?;
    let seconds = start.elapsed().as_secs_f64();
    let cpu = processor_seconds(site.process()?)? - before;
    let requests = (CALLERS * CALLS_PER_CALLER) as f64;
    Ok(json!({
        "requests": requests, "tokens_each": TOKENS, "requests_per_second": requests / seconds,
        "requests_per_core_second": requests / cpu,
    }))
}

async fn measure_memory(site: &GatewaySite) -> BenchResult<Value> {
    let before = resident_kib(site.process()?)?;
    let address: SocketAddr = site.callers.parse()?;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        connections.push(TcpStream::connect(address).await?);
    }
    sleep(Duration::from_secs(1)).await;
    let after = resident_kib(site.process()?)?;
    let each = (after - before) / connections.len() as f64;
    Ok(json!({"idle_connections": connections.len(), "kib_each": each, "resident_kib": after}))
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
