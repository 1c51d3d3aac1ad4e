//! Publishes a configuration through the admin API.

use std::fmt::Display;

use serde_json::{Value, json};

use crate::BenchResult;

/// The admin token of all nodes.
pub(crate) const ADMIN_TOKEN: &str = "bench-admin";

/// Publishes `edits` as one change through the admin API at `admin_address`.
pub(crate) async fn publish(
    client: &reqwest::Client,
    admin_address: impl Display,
    edits: &[Value],
) -> BenchResult<()> {
    let url = format!("http://{admin_address}/admin/config/changes");
    let call = client.post(url).bearer_auth(ADMIN_TOKEN);
    let reply = call.json(&json!({"edits": edits})).send().await?;
    if reply.status().is_success() {
        return Ok(());
    }
    Err(format!(
        "the node rejected the configuration change: {}",
        reply.text().await?
    )
    .into())
}
