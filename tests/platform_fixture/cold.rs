//! Cold targets: the rate that they bear, and their reports.

use std::time::Duration;

use super::{TestCluster, config_record};

impl TestCluster {
    /// Publishes a configuration whose targets bear `cold_per_s` requests per second while cold.
    pub(crate) fn publish_cold_rate(&self, version: u64, cold_per_s: f64) {
        let mut config = config_record(version, &["key-1"], 2);
        config["services"][0]["coldPerS"] = cold_per_s.into();
        self.store
            .put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// Reports that the target stays cold for `remaining`.
    pub(crate) fn report_cold_target(&self, state: &str, sequence: u64, remaining: Duration) {
        let record = serde_json::json!({"service": "llm", "address": self.target_address, "zone": "a",
            "slots": 8, "state": state, "sequence": sequence, "born": 1,
            "coldRemainingMs": remaining.as_millis() as u64,
            "models": [{"name": "m", "version": 1, "adapters": []}], "somethingNew": true});
        self.store
            .put("keyed.servers", "i-1", record.to_string().as_bytes());
    }
}
