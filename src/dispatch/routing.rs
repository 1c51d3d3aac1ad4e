//! The operator's configuration in the form used to serve requests: routes, services, accounts and
//! API keys.

use std::rc::Rc;
use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::{AccountName, BaseModel, ServiceName};

/// Whether a route's requests may be retried after they may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another target can resume after the last event received.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub(crate) fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether responses are passed on event by event.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct RouteEntry {
    pub(crate) name: String,
    pub(crate) host: String,
    /// Begins and ends with a slash.
    pub(crate) path_prefix: String,
    pub(crate) kind: RouteKind,
    /// The longest time from the arrival of a request to the end of its response.
    pub(crate) timeout: Duration,
    /// The response time that the route aims for.
    pub(crate) latency_target: Duration,
    /// The longest time that a stream may send no event, which includes the time to its first
    /// event.
    pub(crate) max_event_gap: Option<Duration>,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    /// Services and their weights; never empty.
    pub(crate) services: Vec<(ServiceName, u32)>,
    /// The maximum number of targets that one request may be sent to; at least 1.
    pub(crate) max_attempts: u32,
    /// Whether requests need no API key.
    pub(crate) public: bool,
}

/// A base model that a service's targets can load.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ModelSpec {
    pub(crate) name: BaseModel,
    pub(crate) weights_mb: f64,
    pub(crate) adapter_mb: f64,
}

/// The capacity of the targets of a model service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EngineSpec {
    pub(crate) models: Vec<ModelSpec>,
    /// Memory for weights and adapters.
    pub(crate) weights_mb: f64,
    pub(crate) adapter_slots: u32,
    /// Memory for copies of adapters that a target has held; 0 if it keeps none.
    pub(crate) host_mb: f64,
}

impl EngineSpec {
    /// Whether targets keep copies of adapters that they have held, which load again without the
    /// weight store.
    pub(crate) fn keeps_copies(&self) -> bool {
        let mut sizes = self.models.iter().map(|model| model.adapter_mb);
        sizes.any(|size| size > 0.0 && size <= self.host_mb)
    }

    fn model(&self, name: &BaseModel) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// The memory that `held` models leave free. `None` if the size of one of them is not known.
    fn free_mb(&self, held: &[BaseModel]) -> Option<f64> {
        let sizes = held.iter().map(|name| Some(self.model(name)?.weights_mb));
        let sizes: Option<f64> = sizes.sum();
        Some((self.weights_mb - sizes?).max(0.0))
    }

    /// Whether the weights of `model` fit beside those of the `held` ones.
    pub(crate) fn has_room_for(&self, model: &BaseModel, held: &[BaseModel]) -> bool {
        let size = self.model(model).map(|model| model.weights_mb);
        let free_mb = self.free_mb(held);
        size.zip(free_mb).is_some_and(|(size, free)| size <= free)
    }

    /// Whether a target that holds these models can serve any of the service's requests.
    pub(crate) fn serves_with(&self, held: &[BaseModel]) -> bool {
        held.iter().any(|name| self.model(name).is_some())
    }

    /// The number of adapters that fit beside the weights of the `held` models.
    pub(crate) fn adapter_capacity(&self, held: &[BaseModel]) -> usize {
        let adapter_sizes = held
            .iter()
            .filter_map(|name| Some(self.model(name)?.adapter_mb));
        let adapter_mb = adapter_sizes.fold(0.0, f64::max);
        let by_memory = match self.free_mb(held) {
            Some(free_mb) if adapter_mb > 0.0 => (free_mb / adapter_mb).floor() as usize,
            Some(_) => usize::MAX,
            None => 0,
        };
        by_memory.min(self.adapter_slots as usize)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct ServiceEntry {
    pub(crate) name: ServiceName,
    /// Connections that one target accepts from all entry VMs together.
    pub(crate) max_connections: u32,
    /// Requests per second that a cold target can serve; 0 if targets are never cold.
    pub(crate) cold_per_s: f64,
    /// Set for model services.
    pub(crate) engine: Option<EngineSpec>,
    /// Set if the number of the service's targets may be changed.
    pub(crate) scaling: Option<ScalingSpec>,
}

impl ServiceEntry {
    /// Whether the service's targets keep copies of adapters that they have held.
    pub(crate) fn keeps_copies(&self) -> bool {
        self.engine.as_ref().is_some_and(EngineSpec::keeps_copies)
    }
}

/// The limits within which the number of a service's targets in each availability zone may be set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ScalingSpec {
    pub(crate) min: u32,
    pub(crate) max: u32,
    /// The time after which an ordered target serves requests.
    pub(crate) boot_time: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct AccountEntry {
    pub(crate) name: AccountName,
    /// Overrides the route's priority.
    pub(crate) priority: Option<u8>,
    /// Units per second; 0 means unlimited.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    /// Whether the units are tokens rather than requests.
    pub(crate) counts_tokens: bool,
    /// Tokens charged for a request that states no token count.
    pub(crate) plain_tokens: u64,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerLimits {
    pub(crate) head_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub(crate) struct RoutingConfig {
    pub(crate) version: u64,
    /// Routes by host, the longest prefix first.
    routes: FastMap<String, Vec<Rc<RouteEntry>>>,
    pub(crate) services: FastMap<ServiceName, ServiceEntry>,
    pub(crate) accounts: Vec<AccountEntry>,
    /// API keys with indexes into `accounts`.
    keys: FastMap<String, usize>,
    pub(crate) limits: CallerLimits,
}

impl RoutingConfig {
    pub(crate) fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            routes: FastMap::default(),
            services: FastMap::default(),
            accounts: Vec::new(),
            keys: FastMap::default(),
            limits,
        }
    }

    pub(crate) fn with_routes(mut self, routes: Vec<RouteEntry>) -> Self {
        for route in routes {
            self.routes
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        self
    }

    /// The longest time limit of routes whose streams callers may take up.
    pub(crate) fn longest_resumable_time(&self) -> Duration {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.kind == RouteKind::ResumableStream);
        let times = resumable.map(|route| route.timeout);
        times.max().unwrap_or_default()
    }

    pub(crate) fn with_services(mut self, services: Vec<ServiceEntry>) -> Self {
        let entries = services.into_iter();
        self.services = entries
            .map(|service| (service.name.clone(), service))
            .collect();
        self
    }

    pub(crate) fn with_account(mut self, account: AccountEntry, keys: Vec<String>) -> Self {
        let index = self.accounts.len();
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
        self.accounts.push(account);
        self
    }

    /// Finds the route of a request: the longest prefix on its host that matches its path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need API keys at all.
    pub(crate) fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    pub(crate) fn account_of_key(&self, key: &str) -> Option<&AccountEntry> {
        self.keys.get(key).map(|index| &self.accounts[*index])
    }
}
