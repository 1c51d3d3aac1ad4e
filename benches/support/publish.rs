//! Publishes a configuration to the product under test.

use std::fmt::Display;

use serde_json::{Value, json};

use crate::BenchResult;

/// The operators' credential of all nodes.
pub(crate) const ADMIN_TOKEN: &str = "bench-admin";

/// Publishes `edits` as one change at the node that serves operators on `admin`.
pub(crate) async fn publish(
    client: &reqwest::Client,
    admin: impl Display,
    edits: &[Value],
) -> BenchResult<()> {
    let url = format!("http://{admin}/admin/config/changes");
    let call = client.post(url).bearer_auth(ADMIN_TOKEN);
    let reply = call.json(&json!({"edits": edits})).send().await?;
    if reply.status().is_success() {
        return Ok(());
    }
    Err(format!("publishing failed: {}", reply.text().await?).into())
}
