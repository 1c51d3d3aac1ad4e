//! Orders to model targets: load and unload an adapter.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::Serialize;

use crate::ids::FencingToken;

/// How long a load order may take, including its wait at the weight store.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);
/// How long an unload order may take.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an order was not carried out, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum OrderError {
    #[display("the target refused the order with status {status}")]
    Refused { status: u16 },
    #[display("the target gave no answer")]
    NoAnswer,
}

#[derive(Serialize)]
struct LoadOrder<'a> {
    lora_name: &'a str,
    lora_path: &'a str,
}

#[derive(Serialize)]
struct UnloadOrder<'a> {
    lora_name: &'a str,
}

/// Orders the target at `address` to load the weights at `path` under the name `generation`.
pub(crate) async fn load_adapter(
    client: &reqwest::Client,
    address: SocketAddr,
    fence: FencingToken,
    generation: &str,
    path: &str,
) -> Result<(), OrderError> {
    let order = LoadOrder {
        lora_name: generation,
        lora_path: path,
    };
    send(
        client,
        address,
        "load_lora_adapter",
        fence,
        &order,
        LOAD_TIMEOUT,
    )
    .await
}

/// Orders the target at `address` to unload `generation`.
pub(crate) async fn unload_adapter(
    client: &reqwest::Client,
    address: SocketAddr,
    fence: FencingToken,
    generation: &str,
) -> Result<(), OrderError> {
    let order = UnloadOrder {
        lora_name: generation,
    };
    send(
        client,
        address,
        "unload_lora_adapter",
        fence,
        &order,
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
) -> Result<(), OrderError> {
    let url = format!("http://{address}/v1/{order}");
    let call = client
        .post(url)
        .header("x-fencing-number", fence.to_string())
        .json(body);
    let reply = call
        .timeout(limit)
        .send()
        .await
        .map_err(|_| OrderError::NoAnswer)?;
    if reply.status().is_success() {
        return Ok(());
    }
    Err(OrderError::Refused {
        status: reply.status().as_u16(),
    })
}
