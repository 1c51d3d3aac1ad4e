//! Targets beside the one of the test cluster.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::TcpListener;

use super::TestCluster;
use super::target::{TargetMode, TargetState, serve_target};

/// A target that a test registers itself.
#[derive(Debug)]
pub(crate) struct FurtherTarget {
    name: &'static str,
    software: &'static str,
    address: SocketAddr,
    pub(crate) state: Arc<Mutex<TargetState>>,
}

impl FurtherTarget {
    /// Starts the target, which nothing is sent to until it is registered.
    pub(crate) async fn start(name: &'static str, software: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the address is known");
        let state = TargetState::new(TargetMode::Healthy);
        let state = Arc::new(Mutex::new(state));
        tokio::spawn(serve_target(listener, Arc::clone(&state)));
        Self {
            name,
            software,
            address,
            state,
        }
    }

    /// Registers the target for the service "llm".
    pub(crate) fn register(&self, cluster: &TestCluster) {
        let record = serde_json::json!({"service": "llm", "address": self.address, "zone": "a",
            "version": self.software, "slots": 50, "state": "ready", "sequence": 1, "born": 1,
            "models": [{"name": "m", "version": 1, "adapters": []}]});
        let text = record.to_string();
        cluster
            .store
            .put("keyed.servers", self.name, text.as_bytes());
    }

    /// The runs of requests whose ids begin with `prefix`.
    pub(crate) fn runs(&self, prefix: &str) -> usize {
        let field = format!("X-Request-Id: {prefix}");
        let state = self.state.lock().expect("the lock is not poisoned");
        state
            .runs
            .iter()
            .filter(|head| head.contains(&field))
            .count()
    }
}
