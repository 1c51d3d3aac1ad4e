//! Baseline policies: the router sends each request to the least loaded or to a random engine,
//! evicts the least recently used idle adapter, and gives each VM an equal fixed share of every
//! account's rate limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::RequestSender;
use crate::arrivals::{ACCOUNTS, Arrival, account_burst, account_rate};
use crate::caller::{CallEnd, CallOutcome, read_answer};
use crate::site::{NODES, PLANNED_RATE, Scenario, SiteSize, Standins, run_platform_faults};

/// Number of adapters that an engine keeps loaded.
const ADAPTER_SLOTS: usize = 8;

/// How a baseline chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BaselinePolicy {
    LeastLoaded,
    Random,
}

impl BaselinePolicy {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::LeastLoaded => "least-loaded-static-split",
            Self::Random => "random-static-split",
        }
    }
}

/// The router's record of an engine.
#[derive(Debug, Default)]
struct EngineRecord {
    in_flight: usize,
    out_of_service: bool,
    /// The number of running requests and the last use of each loaded adapter.
    adapters: HashMap<usize, (usize, Option<Instant>)>,
}

#[derive(Debug)]
struct RouterState {
    engines: Vec<EngineRecord>,
    /// Level and last refill of each VM's token bucket for each account.
    buckets: Vec<(f64, Instant)>,
    random: StdRng,
}

/// Routes requests to the stand-in engines by a baseline policy.
#[derive(Debug)]
pub(crate) struct BaselineRouter {
    policy: BaselinePolicy,
    addresses: Vec<SocketAddr>,
    zones: usize,
    state: Mutex<RouterState>,
    /// Per engine, a lock that serializes its adapter loads.
    load_locks: Vec<tokio::sync::Mutex<()>>,
    client: reqwest::Client,
}

impl BaselineRouter {
    pub(crate) fn new(
        policy: BaselinePolicy,
        size: &SiteSize,
        standins: &Standins,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let fleet_burst = |index: usize| account_burst(PLANNED_RATE, index % ACCOUNTS) as f64;
        let buckets = (0..NODES * ACCOUNTS).map(|index| (fleet_burst(index) / NODES as f64, now));
        let state = RouterState {
            engines: standins
                .addresses
                .iter()
                .map(|_| EngineRecord::default())
                .collect(),
            buckets: buckets.collect(),
            random: StdRng::seed_from_u64(seed),
        };
        Self {
            policy,
            addresses: standins.addresses.clone(),
            zones: size.zones,
            state: Mutex::new(state),
            load_locks: standins
                .addresses
                .iter()
                .map(|_| tokio::sync::Mutex::default())
                .collect(),
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("the client has no invalid option"),
        }
    }

    /// Injects the scenario's faults. VM replacement and log outages do not affect a baseline.
    pub(crate) async fn run_scenario(
        &self,
        scenario: Scenario,
        standins: &Standins,
        duration: Duration,
    ) {
        if scenario != Scenario::Zone {
            return run_platform_faults(scenario, standins, duration).await;
        }
        sleep(duration / 3).await;
        self.set_zone_out_of_service(true);
        sleep(duration / 3).await;
        self.set_zone_out_of_service(false);
    }

    fn set_zone_out_of_service(&self, out_of_service: bool) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        for (index, engine) in state.engines.iter_mut().enumerate() {
            engine.out_of_service = index % self.zones == 0 && out_of_service;
        }
    }

    fn take_tokens(&self, arrival: &Arrival) -> bool {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let account = arrival.account;
        let node_count = NODES as f64;
        let rate = account_rate(PLANNED_RATE, account) as f64 / node_count;
        let burst = account_burst(PLANNED_RATE, account) as f64 / node_count;
        let (level, updated) = &mut state.buckets[arrival.node % NODES * ACCOUNTS + account];
        *level = (*level + updated.elapsed().as_secs_f64() * rate).min(burst);
        *updated = Instant::now();
        let tokens = arrival.charged_tokens() as f64;
        if *level < tokens {
            return false;
        }
        *level -= tokens;
        true
    }

    fn choose_engine(&self) -> usize {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let serving = |(index, engine): (usize, &EngineRecord)| {
            (!engine.out_of_service).then_some((index, engine.in_flight))
        };
        let candidates: Vec<(usize, usize)> = state
            .engines
            .iter()
            .enumerate()
            .filter_map(serving)
            .collect();
        let draw = state.random.random_range(0..candidates.len());
        let chosen = match self.policy {
            BaselinePolicy::Random => candidates[draw].0,
            BaselinePolicy::LeastLoaded => {
                // Equally loaded engines are chosen at random.
                let offset = |index: usize| (index + draw) % self.addresses.len();
                let least = candidates
                    .iter()
                    .min_by_key(|(index, load)| (*load, offset(*index)));
                least.expect("at least one engine is in service").0
            }
        };
        state.engines[chosen].in_flight += 1;
        chosen
    }

    /// Loads the adapter if it is not loaded; evicts the least recently used idle adapter when all
    /// slots are occupied. Returns whether the adapter is loaded.
    async fn ensure_loaded(&self, engine: usize, adapter: usize) -> bool {
        let _load_guard = self.load_locks[engine].lock().await;
        let evicted = {
            let mut state = self.state.lock().expect("no holder of the lock panics");
            let adapters = &mut state.engines[engine].adapters;
            if let Some((running_requests, last_used)) = adapters.get_mut(&adapter) {
                *running_requests += 1;
                *last_used = Some(Instant::now());
                return true;
            }
            let idle = adapters
                .iter()
                .filter(|(_, (running_requests, _))| *running_requests == 0);
            let oldest = idle
                .min_by_key(|(_, (_, last_used))| *last_used)
                .map(|(adapter, _)| *adapter);
            if adapters.len() >= ADAPTER_SLOTS {
                oldest
            } else {
                None
            }
        };
        if let Some(evicted) = evicted {
            let body = json!({"lora_name": format!("shop-{evicted}")});
            self.send_adapter_request(engine, "unload_lora_adapter", &body)
                .await;
            let mut state = self.state.lock().expect("no holder of the lock panics");
            state.engines[engine].adapters.remove(&evicted);
        }
        let body = json!({
            "lora_name": format!("shop-{adapter}"), "lora_path": format!("shop-{adapter}/v1"),
        });
        if !self
            .send_adapter_request(engine, "load_lora_adapter", &body)
            .await
        {
            return false;
        }
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.engines[engine]
            .adapters
            .insert(adapter, (1, Some(Instant::now())));
        true
    }

    async fn send_adapter_request(
        &self,
        engine: usize,
        endpoint: &str,
        body: &serde_json::Value,
    ) -> bool {
        let url = format!("http://{}/v1/{endpoint}", self.addresses[engine]);
        let reply = self.client.post(url).json(body).send().await;
        reply.is_ok_and(|reply| reply.status().is_success())
    }

    async fn send_to(&self, engine: usize, arrival: &Arrival, sent: Instant) -> CallOutcome {
        if !self.ensure_loaded(engine, arrival.adapter).await {
            return CallOutcome::without_answer(CallEnd::Refused);
        }
        let body = json!({
            "model": format!("shop-{}", arrival.adapter), "prompt": arrival.prompt(),
            "max_tokens": arrival.tokens, "stream": true,
        });
        let url = format!("http://{}/v1/completions", self.addresses[engine]);
        let call = self
            .client
            .post(url)
            .header("x-request-id", &arrival.id)
            .json(&body);
        let outcome = match call.send().await {
            Ok(reply) if reply.status().is_success() => read_answer(reply, arrival, sent).await,
            _ => CallOutcome::without_answer(CallEnd::Failed),
        };
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let adapters = &mut state.engines[engine].adapters;
        if outcome.end == CallEnd::Failed {
            // The engine may have restarted and lost its adapters.
            adapters.clear();
        } else if let Some((running_requests, _)) = adapters.get_mut(&arrival.adapter) {
            *running_requests = running_requests.saturating_sub(1);
        }
        drop(state);
        outcome
    }
}

impl RequestSender for BaselineRouter {
    async fn send(&self, arrival: &Arrival) -> CallOutcome {
        let sent = Instant::now();
        if !self.take_tokens(arrival) {
            return CallOutcome::without_answer(CallEnd::OverRate);
        }
        let engine = self.choose_engine();
        let outcome = self.send_to(engine, arrival, sent).await;
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .engines[engine]
            .in_flight -= 1;
        outcome
    }
}
