//! HTTP calls to model targets: commands to load and unload an adapter, and probes of their state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::event::{ListedGeneration, TargetReport};
use crate::clock::Timestamp;
use crate::entry::response_memory::ResponseMemory;
use crate::ids::{AdapterVersion, FencingToken};
use crate::response_body::read_response;

/// The timeout of a load command, including the wait at the weight store.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a command failed, as far as the sender knows: after a timeout it may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum CommandError {
    #[display("the target answered with status {status} instead of 2xx")]
    Refused { status: u16 },
    #[display("the target did not answer")]
    NoAnswer,
}

#[derive(Serialize)]
struct LoadCommand<'a> {
    lora_name: &'a str,
    lora_path: &'a str,
}

#[derive(Serialize)]
struct UnloadCommand<'a> {
    lora_name: &'a str,
}

/// Makes the target at `address` load the weights at `path` under the name `generation`.
pub(crate) async fn load_adapter(
    client: &reqwest::Client,
    address: SocketAddr,
    fence: FencingToken,
    generation: &str,
    path: &str,
) -> Result<(), CommandError> {
    let command = LoadCommand {
        lora_name: generation,
        lora_path: path,
    };
    send(
        client,
        address,
        "load_lora_adapter",
        fence,
        &command,
        LOAD_TIMEOUT,
    )
    .await
}

/// Makes the target at `address` unload `generation`.
pub(crate) async fn unload_adapter(
    client: &reqwest::Client,
    address: SocketAddr,
    fence: FencingToken,
    generation: &str,
) -> Result<(), CommandError> {
    let command = UnloadCommand {
        lora_name: generation,
    };
    send(
        client,
        address,
        "unload_lora_adapter",
        fence,
        &command,
        UNLOAD_TIMEOUT,
    )
    .await
}

async fn send<T: Serialize>(
    client: &reqwest::Client,
    address: SocketAddr,
    order: &str,
    fence: FencingToken,
    body: &T,
    limit: Duration,
) -> Result<(), CommandError> {
    let url = format!("http://{address}/v1/{order}");
    let call = client
        .post(url)
        .header("x-fencing-number", fence.to_string())
        .json(body);
    let reply = call
        .timeout(limit)
        .send()
        .await
        .map_err(|_| CommandError::NoAnswer)?;
    if reply.status().is_success() {
        return Ok(());
    }
    Err(CommandError::Refused {
        status: reply.status().as_u16(),
    })
}

/// The largest response to a probe: thousands of adapters with their paths.
const MAX_PROBE_BYTES: usize = 1024 * 1024;
/// The timeout of each of a probe's two calls.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct HealthReply {
    boot: u64,
    cold: bool,
}

#[derive(Deserialize)]
struct ModelsReply {
    data: Vec<ModelEntry>,
    boot: u64,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
    /// The path of the weights.
    root: String,
    /// The base model; only loaded adapters have one.
    parent: Option<String>,
}

/// A target's answer to a probe, before its generations are matched with the configuration.
#[derive(Debug)]
pub(crate) struct ProbeReport {
    asked_at: Timestamp,
    boot: u64,
    cold: bool,
    /// Names and weights paths.
    generations: Vec<(String, String)>,
}

impl ProbeReport {
    /// Resolves each generation to its adapter, if the target loaded it from the path that is
    /// configured for the adapter.
    pub(crate) fn with_checked_paths(
        self,
        path_of: impl Fn(&AdapterVersion) -> Option<String>,
    ) -> TargetReport {
        let checked = |(name, path): (String, String)| {
            let adapter = name.split_once('#').map(|(adapter, _)| adapter.parse());
            let adapter = adapter.and_then(Result::ok);
            let adapter = adapter.filter(|adapter| path_of(adapter).as_ref() == Some(&path));
            ListedGeneration { name, adapter }
        };
        TargetReport {
            asked_at: self.asked_at,
            boot: self.boot,
            cold: self.cold,
            generations: self.generations.into_iter().map(checked).collect(),
        }
    }
}

/// Queries the health and the loaded generations of the target at `address`; `None` if a call
/// fails.
pub(crate) async fn probe(
    client: &reqwest::Client,
    memory: &Arc<ResponseMemory>,
    address: SocketAddr,
    asked_at: Timestamp,
) -> Option<ProbeReport> {
    let health: HealthReply = get(client, memory, address, "health").await?;
    let models: ModelsReply = get(client, memory, address, "v1/models").await?;
    // If the target restarted between the two calls, it is cold and the list is the newer answer.
    let cold = health.cold || health.boot != models.boot;
    let adapters = models.data.into_iter().filter(|m| m.parent.is_some());
    Some(ProbeReport {
        asked_at,
        boot: models.boot,
        cold,
        generations: adapters.map(|model| (model.id, model.root)).collect(),
    })
}

async fn get<T: serde::de::DeserializeOwned>(
    client: &reqwest::Client,
    memory: &Arc<ResponseMemory>,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let call = client.get(format!("http://{address}/{path}"));
    let reply = call.timeout(PROBE_TIMEOUT).send().await.ok()?;
    let reply = reply.error_for_status().ok()?;
    let body = read_response(reply, MAX_PROBE_BYTES, memory).await;
    let body =
        body.inspect_err(|error| tracing::debug!("pool: probe of {address} failed: {error}"));
    serde_json::from_slice(&body.ok()?.bytes).ok()
}
