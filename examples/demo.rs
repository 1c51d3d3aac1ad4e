//! Runs the stand-ins and two entry VMs in one process on loopback and prints example requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellmux::{KeyDigest, NodeSettings, RunningNode};
use bluebellmux_standins::engine::{Engine, EngineSettings};
use bluebellmux_standins::platform::{Platform, PlatformSettings, VmEntry};
use bluebellmux_standins::server::RunningServer;
use bluebellmux_standins::service::BookingService;
use serde_json::{Value, json};
use tokio::net::TcpListener;

type DemoResult<T> = Result<T, Box<dyn std::error::Error>>;

const API_KEY: &str = "demo-key";
const ADMIN_TOKEN: &str = "demo-admin";
const ADAPTER_COUNT: usize = 3;

async fn bind_loopback(port: u16) -> std::io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))).await
}

/// The running stand-ins. Dropping the value stops them.
struct Standins {
    platform: Arc<Platform>,
    platform_url: String,
    engines: Vec<SocketAddr>,
    service: SocketAddr,
    _servers: Vec<RunningServer>,
}

impl Standins {
    async fn start() -> DemoResult<Self> {
        let settings = PlatformSettings {
            vm_list_lag: Duration::ZERO,
            ..Default::default()
        };
        let platform = Arc::new(Platform::new(settings));
        let server = Arc::clone(&platform).start(bind_loopback(0).await?)?;
        let platform_url = format!("http://{}", server.address);
        let mut servers = vec![server];
        let mut engines = Vec::new();
        for name in ["engine-1", "engine-2"] {
            let settings = EngineSettings::new(name, "gemma", &platform_url);
            let server = Arc::new(Engine::new(settings)).start(bind_loopback(0).await?)?;
            engines.push(server.address);
            servers.push(server);
        }
        let server = Arc::new(BookingService::new()).start(bind_loopback(0).await?)?;
        let service = server.address;
        servers.push(server);
        Ok(Self {
            platform,
            platform_url,
            engines,
            service,
            _servers: servers,
        })
    }

    fn configuration_edits(&self) -> Vec<Value> {
        let mut edits = vec![
            put_edit("zones", "a", json!({})),
            put_edit("zones", "b", json!({})),
            put_edit("base_models", "gemma", json!({})),
            put_edit("accounts", "flaschenwerk", json!({})),
            put_edit(
                "rates",
                "flaschenwerk",
                json!({"tokens_per_second": 500, "burst": 2000}),
            ),
            put_edit("services", "bookings", json!({"prefix": "/bookings"})),
        ];
        let digest = KeyDigest::of_key(API_KEY).to_string();
        edits.push(put_edit(
            "keys",
            "demo",
            json!({"account": "flaschenwerk", "sha256": digest}),
        ));
        for (index, address) in self.engines.iter().enumerate() {
            let zone = ["a", "b"][index % 2];
            let entry = json!({
                "address": address, "zone": zone, "base_model": "gemma", "checks_fencing": true,
            });
            edits.push(put_edit("targets", &format!("engine-{}", index + 1), entry));
        }
        let booking = json!({"address": self.service, "zone": "a", "service": "bookings"});
        edits.push(put_edit("targets", "booking-1", booking));
        for index in 1..=ADAPTER_COUNT {
            let name = format!("shop-{index}");
            let entry = json!({
                "account": "flaschenwerk", "base_model": "gemma", "current": "v1",
            });
            edits.push(put_edit("adapters", &name, entry));
            edits.push(put_edit("versions", &format!("{name}@v1"), json!({})));
        }
        edits
    }
}

fn put_edit(section: &str, name: &str, value: Value) -> Value {
    json!({"put": {"section": section, "name": name, "value": value}})
}

async fn start_node(index: u16, platform_url: &str) -> DemoResult<RunningNode> {
    let name = format!("entry-{index}").parse()?;
    let zone = if index == 1 { "a" } else { "b" };
    let mut settings = NodeSettings::new(name, zone.parse()?, platform_url, ADMIN_TOKEN);
    settings.listen = SocketAddr::from(([127, 0, 0, 1], 8079 + index));
    settings.drain_timeout = Duration::from_secs(5);
    Ok(RunningNode::start(settings).await?)
}

fn vm_entry(index: u16, node: &RunningNode) -> VmEntry {
    VmEntry {
        name: format!("entry-{index}"),
        address: node.peer_address.to_string(),
        zone: if index == 1 { "a" } else { "b" }.to_owned(),
        state: "live".to_owned(),
    }
}

async fn publish(node: &RunningNode, edits: Vec<Value>) -> DemoResult<()> {
    let url = format!("http://{}/admin/config/changes", node.admin_address);
    let call = reqwest::Client::new().post(url).bearer_auth(ADMIN_TOKEN);
    let reply = call.json(&json!({"edits": edits})).send().await?;
    if !reply.status().is_success() {
        return Err(reply.text().await?.into());
    }
    Ok(())
}

/// Waits until both nodes accept the API key of the published configuration.
async fn wait_for_configuration(nodes: [&RunningNode; 2]) -> DemoResult<()> {
    let client = reqwest::Client::new();
    for node in nodes {
        loop {
            let url = format!("http://{}/v1/models", node.address);
            let reply = client.get(url).bearer_auth(API_KEY).send().await?;
            if reply.status().is_success() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(())
}

#[tokio::main]
async fn main() -> DemoResult<()> {
    let standins = Standins::start().await?;
    let first = start_node(1, &standins.platform_url).await?;
    let second = start_node(2, &standins.platform_url).await?;
    standins
        .platform
        .set_vms(vec![vm_entry(1, &first), vm_entry(2, &second)]);
    publish(&first, standins.configuration_edits()).await?;
    wait_for_configuration([&first, &second]).await?;
    println!(
        "Two entry VMs serve callers on {} and {}.",
        first.address, second.address
    );
    println!("\nA streamed answer of the adapter shop-1:\n");
    println!(
        "curl -sN http://{}/v1/completions -H 'Authorization: Bearer {API_KEY}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"gemma/shop-1\",\"prompt\":\"swap two argon bottles\",\"stream\":true}}'",
        second.address
    );
    println!("\nA refusal, because the key is unknown:\n");
    println!(
        "curl -s http://{}/v1/completions -H 'Authorization: Bearer wrong' \
         -H 'Content-Type: application/json' -d '{{\"model\":\"gemma/shop-1\",\"prompt\":\"x\"}}'",
        first.address
    );
    println!("\nCtrl-C stops the demo.");
    tokio::signal::ctrl_c().await?;
    first.shut_down().await;
    second.shut_down().await;
    Ok(())
}
