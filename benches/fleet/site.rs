//! Site sizes, the stand-ins of a site, and the entry VMs under load with the scenario's faults.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use bluebellmux::{KeyDigest, NodeSettings, RunningNode};
use bluebellmux_standins::engine::{Engine, EngineSettings};
use bluebellmux_standins::platform::{Platform, PlatformFaults, PlatformSettings, VmEntry};
use bluebellmux_standins::server::RunningServer;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::arrivals::{ACCOUNTS, Arrival, account_burst, account_rate};
use crate::caller::{CallEnd, CallOutcome, read_answer};
use crate::publish::{ADMIN_TOKEN, publish};
use crate::{BenchResult, RequestSender};

/// Number of entry VMs.
pub(crate) const NODES: usize = 6;
/// Limit of edits per configuration change, which keeps log records small. The number is even, so
/// that a version and its adapter are in the same change.
const EDITS_PER_CHANGE: usize = 500;

/// The faults and load changes of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// No faults; adapter popularity shifts at half time, as in all scenarios.
    Steady,
    /// One account sends five times its rate.
    Noisy,
    /// A zone is out of service from one third to two thirds of the run.
    Zone,
    /// An engine restarts at half time, without adapters and cold.
    Cold,
    /// All entry VMs are replaced one after the other.
    Rolling,
    /// The log is down from one third to two thirds of the run.
    LogDown,
}

impl Scenario {
    pub(crate) const NAMES: [&str; 6] = ["steady", "noisy", "zone", "cold", "rolling", "log-down"];

    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "noisy" => Self::Noisy,
            "zone" => Self::Zone,
            "cold" => Self::Cold,
            "rolling" => Self::Rolling,
            "log-down" => Self::LogDown,
            _ => Self::Steady,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct SiteSize {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    pub(crate) zones: usize,
    pub(crate) adapters: usize,
    loads_per_second: f64,
}

impl SiteSize {
    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "austria" => Self {
                name: "austria",
                engines: 9,
                zones: 4,
                adapters: 3000,
                loads_per_second: 2.0,
            },
            _ => Self {
                name: "quito",
                engines: 12,
                zones: 3,
                adapters: 3000,
                loads_per_second: 4.0,
            },
        }
    }
}

async fn bind_loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

pub(crate) struct Standins {
    pub(crate) platform: Arc<Platform>,
    platform_url: String,
    pub(crate) engines: Vec<Arc<Engine>>,
    pub(crate) addresses: Vec<SocketAddr>,
    _servers: Vec<RunningServer>,
}

impl Standins {
    pub(crate) async fn start(size: &SiteSize) -> BenchResult<Self> {
        let settings = PlatformSettings {
            loads_per_second: size.loads_per_second,
            ..PlatformSettings::default()
        };
        let platform = Arc::new(Platform::new(settings));
        let server = Arc::clone(&platform).start(bind_loopback().await?)?;
        let platform_url = format!("http://{}", server.address);
        let mut standins = Self {
            platform,
            platform_url,
            engines: Vec::new(),
            addresses: Vec::new(),
            _servers: vec![server],
        };
        for index in 0..size.engines {
            let name = format!("engine-{index}");
            let settings = EngineSettings::new(&name, "gemma", &standins.platform_url);
            let engine = Arc::new(Engine::new(settings));
            let server = Arc::clone(&engine).start(bind_loopback().await?)?;
            standins.engines.push(engine);
            standins.addresses.push(server.address);
            standins._servers.push(server);
        }
        Ok(standins)
    }
}

struct EntryNode {
    name: String,
    node: RunningNode,
}

/// The entry VMs, all in this process and connected by sockets.
pub(crate) struct EntryFleet {
    platform_url: String,
    nodes: tokio::sync::Mutex<Vec<EntryNode>>,
    /// Addresses of the entry VMs that receive requests.
    ready_addresses: RwLock<Vec<SocketAddr>>,
    client: reqwest::Client,
}

impl EntryFleet {
    pub(crate) async fn start(size: &SiteSize, standins: &Standins) -> BenchResult<Self> {
        let fleet = Self {
            platform_url: standins.platform_url.clone(),
            nodes: tokio::sync::Mutex::default(),
            ready_addresses: RwLock::default(),
            client: reqwest::Client::builder().no_proxy().build()?,
        };
        for index in 0..NODES {
            fleet
                .add_node(format!("entry-{index}"), &standins.platform)
                .await?;
        }
        fleet
            .publish(&site_edits(size, &standins.addresses))
            .await?;
        for chunk in adapter_edits(size).chunks(EDITS_PER_CHANGE) {
            fleet.publish(chunk).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Injects the scenario's faults.
    pub(crate) async fn run_scenario(
        &self,
        scenario: Scenario,
        standins: &Standins,
        duration: Duration,
    ) -> BenchResult<()> {
        match scenario {
            Scenario::Zone => {
                sleep(duration / 3).await;
                self.publish(&[put_edit("zones", "zone-0", json!({"in_service": false}))])
                    .await?;
                sleep(duration / 3).await;
                self.publish(&[put_edit("zones", "zone-0", json!({"in_service": true}))])
                    .await?;
            }
            Scenario::Rolling => {
                for index in 0..NODES {
                    sleep(duration / (NODES as u32 + 2)).await;
                    self.replace_node(index, &standins.platform).await?;
                }
            }
            _ => run_platform_faults(scenario, standins, duration).await,
        }
        Ok(())
    }

    pub(crate) async fn stop(self) {
        for node in self.nodes.into_inner() {
            node.node.shut_down().await;
        }
    }

    async fn add_node(&self, name: String, platform: &Platform) -> BenchResult<()> {
        let zone = "zone-0".parse()?;
        let mut settings = NodeSettings::new(name.parse()?, zone, &self.platform_url, ADMIN_TOKEN);
        settings.drain_timeout = Duration::from_secs(10);
        let node = RunningNode::start(settings).await?;
        let address = node.address;
        let mut nodes = self.nodes.lock().await;
        nodes.push(EntryNode { name, node });
        platform.set_vms(nodes.iter().map(vm_entry).collect());
        drop(nodes);
        self.ready_addresses
            .write()
            .expect("no holder of the lock panics")
            .push(address);
        Ok(())
    }

    /// Starts a new entry VM, waits until it is ready, then shuts down the oldest one.
    async fn replace_node(&self, index: usize, platform: &Platform) -> BenchResult<()> {
        self.add_node(format!("entry-{}", NODES + index), platform)
            .await?;
        self.wait_until_ready().await?;
        let oldest = self.nodes.lock().await.remove(0);
        let address = oldest.node.address;
        self.ready_addresses
            .write()
            .expect("no holder of the lock panics")
            .retain(|ready| *ready != address);
        oldest.node.shut_down().await;
        platform.set_vms(self.nodes.lock().await.iter().map(vm_entry).collect());
        Ok(())
    }

    async fn publish(&self, edits: &[Value]) -> BenchResult<()> {
        let nodes = self.nodes.lock().await;
        let address = nodes
            .first()
            .ok_or("no node is running to publish the configuration")?
            .node
            .admin_address;
        drop(nodes);
        publish(&self.client, address, edits).await
    }

    async fn wait_until_ready(&self) -> BenchResult<()> {
        let start = Instant::now();
        let nodes = self.nodes.lock().await;
        let admin_addresses: Vec<SocketAddr> =
            nodes.iter().map(|node| node.node.admin_address).collect();
        drop(nodes);
        for address in admin_addresses {
            loop {
                let url = format!("http://{address}/readyz");
                if self
                    .client
                    .get(url)
                    .send()
                    .await
                    .is_ok_and(|r| r.status().is_success())
                {
                    break;
                }
                if start.elapsed() > Duration::from_secs(60) {
                    return Err("/readyz of a node did not succeed within 60 s".into());
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        // The other nodes read a published change from the log within half a second.
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }
}

/// Injects the faults of the engines and the platform, which are the same for every policy.
pub(crate) async fn run_platform_faults(
    scenario: Scenario,
    standins: &Standins,
    duration: Duration,
) {
    match scenario {
        Scenario::Cold => {
            sleep(duration / 2).await;
            standins.engines[0].restart();
        }
        Scenario::LogDown => {
            sleep(duration / 3).await;
            let faults = PlatformFaults {
                log_down: true,
                ..Default::default()
            };
            standins.platform.set_faults(faults);
            sleep(duration / 3).await;
            standins.platform.set_faults(PlatformFaults::default());
        }
        _ => {}
    }
}

fn vm_entry(node: &EntryNode) -> VmEntry {
    VmEntry {
        name: node.name.clone(),
        address: node.node.peer_address.to_string(),
        zone: "zone-0".to_owned(),
        state: "live".to_owned(),
    }
}

fn put_edit(section: &str, name: &str, value: Value) -> Value {
    json!({"put": {"section": section, "name": name, "value": value}})
}

/// The request rate from which the rate limits of the accounts are derived, in requests per
/// second.
pub(crate) const PLANNED_RATE: f64 = 30.0;

fn site_edits(size: &SiteSize, engines: &[SocketAddr]) -> Vec<Value> {
    let base_model = json!({"loads_per_second": size.loads_per_second});
    let mut edits = vec![put_edit("base_models", "gemma", base_model)];
    for (index, address) in engines.iter().enumerate() {
        let entry = json!({
            "address": address, "zone": format!("zone-{}", index % size.zones),
            "base_model": "gemma", "checks_fencing": true,
        });
        edits.push(put_edit("targets", &format!("engine-{index}"), entry));
    }
    for zone in 0..size.zones {
        edits.push(put_edit(
            "zones",
            &format!("zone-{zone}"),
            json!({"in_service": true}),
        ));
    }
    for account in 0..ACCOUNTS {
        let name = format!("account-{account}");
        let rate = json!({
            "tokens_per_second": account_rate(PLANNED_RATE, account),
            "burst": account_burst(PLANNED_RATE, account),
        });
        let digest = KeyDigest::of_key(&api_key(account)).to_string();
        edits.push(put_edit("accounts", &name, json!({})));
        edits.push(put_edit("rates", &name, rate));
        edits.push(put_edit(
            "keys",
            &name,
            json!({"account": name, "sha256": digest}),
        ));
    }
    edits
}

/// The edits that create the adapters; each version directly precedes its adapter.
fn adapter_edits(size: &SiteSize) -> Vec<Value> {
    let mut edits = Vec::new();
    for adapter in 0..size.adapters {
        let entry = json!({
            "account": format!("account-{}", adapter % ACCOUNTS), "base_model": "gemma",
            "current": "v1",
        });
        edits.push(put_edit(
            "versions",
            &format!("shop-{adapter}@v1"),
            json!({}),
        ));
        edits.push(put_edit("adapters", &format!("shop-{adapter}"), entry));
    }
    edits
}

fn api_key(account: usize) -> String {
    format!("bench-key-{account}")
}

impl RequestSender for EntryFleet {
    async fn send(&self, arrival: &Arrival) -> CallOutcome {
        let sent = Instant::now();
        let address = {
            let ready = self
                .ready_addresses
                .read()
                .expect("no holder of the lock panics");
            ready[arrival.node % ready.len()]
        };
        let body = json!({
            "model": format!("shop-{}", arrival.adapter), "prompt": arrival.prompt(),
            "max_tokens": arrival.tokens, "stream": true,
        });
        let call = self
            .client
            .post(format!("http://{address}/v1/completions"))
            .bearer_auth(api_key(arrival.account))
            .header("x-request-id", &arrival.id)
            .json(&body);
        let Ok(reply) = call.send().await else {
            return CallOutcome::without_answer(CallEnd::Failed);
        };
        match reply.status().as_u16() {
            200 => read_answer(reply, arrival, sent).await,
            429 => CallOutcome::without_answer(CallEnd::OverRate),
            _ => {
                let body: Value = reply.json().await.unwrap_or_default();
                let not_run = body["error"]["run"] == "no";
                CallOutcome::without_answer(if not_run {
                    CallEnd::Refused
                } else {
                    CallEnd::Failed
                })
            }
        }
    }
}
