//! Plain baselines: each VM routes on its own, by least load or at random, evicts the least
//! recently used idle adapter, and has an equal static part of each account's rate.

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

/// The adapters that an engine holds.
const SLOTS: usize = 8;

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

/// What the router knows of an engine.
#[derive(Debug, Default)]
struct EngineView {
    in_flight: usize,
    out_of_service: bool,
    /// Loaded adapters with running requests and last use.
    adapters: HashMap<usize, (usize, Option<Instant>)>,
}

#[derive(Debug)]
struct RouterState {
    engines: Vec<EngineView>,
    /// The level and update of each VM's part of each account's bucket.
    buckets: Vec<(f64, Instant)>,
    random: StdRng,
}

/// A plain router over the stand-in engines.
#[derive(Debug)]
pub(crate) struct BaselineRouter {
    policy: BaselinePolicy,
    addresses: Vec<SocketAddr>,
    zones: usize,
    state: Mutex<RouterState>,
    /// Loads of one engine wait for each other.
    loading: Vec<tokio::sync::Mutex<()>>,
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
        let full = |index: usize| account_burst(PLANNED_RATE, index % ACCOUNTS) as f64;
        let buckets = (0..NODES * ACCOUNTS).map(|index| (full(index) / NODES as f64, now));
        let state = RouterState {
            engines: standins
                .addresses
                .iter()
                .map(|_| EngineView::default())
                .collect(),
            buckets: buckets.collect(),
            random: StdRng::seed_from_u64(seed),
        };
        Self {
            policy,
            addresses: standins.addresses.clone(),
            zones: size.zones,
            state: Mutex::new(state),
            loading: standins
                .addresses
                .iter()
                .map(|_| tokio::sync::Mutex::default())
                .collect(),
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("valid options"),
        }
    }

    /// Runs the scenario's faults. Replacing VMs and log outages do not touch a baseline.
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
        self.set_zone(true);
        sleep(duration / 3).await;
        self.set_zone(false);
    }

    fn set_zone(&self, out_of_service: bool) {
        let mut state = self.state.lock().expect("no holder panics");
        for (index, engine) in state.engines.iter_mut().enumerate() {
            engine.out_of_service = index % self.zones == 0 && out_of_service;
        }
    }

    fn charge(&self, arrival: &Arrival) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        let account = arrival.account;
        let part = NODES as f64;
        let rate = account_rate(PLANNED_RATE, account) as f64 / part;
        let burst = account_burst(PLANNED_RATE, account) as f64 / part;
        let (level, updated) = &mut state.buckets[arrival.node % NODES * ACCOUNTS + account];
        *level = (*level + updated.elapsed().as_secs_f64() * rate).min(burst);
        *updated = Instant::now();
        let need = arrival.used_tokens() as f64;
        if *level < need {
            return false;
        }
        *level -= need;
        true
    }

    fn choose(&self) -> usize {
        let mut state = self.state.lock().expect("no holder panics");
        let serving = |(index, engine): (usize, &EngineView)| {
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
                let offset = |index: usize| (index + draw) % self.addresses.len();
                let least = candidates
                    .iter()
                    .min_by_key(|(index, load)| (*load, offset(*index)));
                least.expect("some zone is in service").0
            }
        };
        state.engines[chosen].in_flight += 1;
        chosen
    }

    /// Loads the adapter if it is missing; evicts the least recently used idle one.
    async fn prepare(&self, engine: usize, adapter: usize) -> bool {
        let _turn = self.loading[engine].lock().await;
        let victim = {
            let mut state = self.state.lock().expect("no holder panics");
            let adapters = &mut state.engines[engine].adapters;
            if let Some((running, used)) = adapters.get_mut(&adapter) {
                *running += 1;
                *used = Some(Instant::now());
                return true;
            }
            let idle = adapters.iter().filter(|(_, (running, _))| *running == 0);
            let oldest = idle
                .min_by_key(|(_, (_, used))| *used)
                .map(|(adapter, _)| *adapter);
            if adapters.len() >= SLOTS {
                oldest
            } else {
                None
            }
        };
        if let Some(victim) = victim {
            let order = json!({"lora_name": format!("shop-{victim}")});
            self.order(engine, "unload_lora_adapter", &order).await;
            let mut state = self.state.lock().expect("no holder panics");
            state.engines[engine].adapters.remove(&victim);
        }
        let order = json!({
            "lora_name": format!("shop-{adapter}"), "lora_path": format!("shop-{adapter}/v1"),
        });
        if !self.order(engine, "load_lora_adapter", &order).await {
            return false;
        }
        let mut state = self.state.lock().expect("no holder panics");
        state.engines[engine]
            .adapters
            .insert(adapter, (1, Some(Instant::now())));
        true
    }

    async fn order(&self, engine: usize, order: &str, body: &serde_json::Value) -> bool {
        let url = format!("http://{}/v1/{order}", self.addresses[engine]);
        let reply = self.client.post(url).json(body).send().await;
        reply.is_ok_and(|reply| reply.status().is_success())
    }

    async fn send_to(&self, engine: usize, arrival: &Arrival, sent: Instant) -> CallOutcome {
        if !self.prepare(engine, arrival.adapter).await {
            return CallOutcome::ended(CallEnd::Refused);
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
            _ => CallOutcome::ended(CallEnd::Failed),
        };
        let mut state = self.state.lock().expect("no holder panics");
        let adapters = &mut state.engines[engine].adapters;
        if outcome.end == CallEnd::Failed {
            adapters.clear();
        } else if let Some((running, _)) = adapters.get_mut(&arrival.adapter) {
            *running = running.saturating_sub(1);
        }
        drop(state);
        outcome
    }
}

impl RequestSender for BaselineRouter {
    async fn send(&self, arrival: &Arrival) -> CallOutcome {
        let sent = Instant::now();
        if !self.charge(arrival) {
            return CallOutcome::ended(CallEnd::OverRate);
        }
        let engine = self.choose();
        let outcome = self.send_to(engine, arrival, sent).await;
        self.state.lock().expect("no holder panics").engines[engine].in_flight -= 1;
        outcome
    }
}
