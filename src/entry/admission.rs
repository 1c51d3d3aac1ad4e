//! Which requests are served at all: route, key, account, allowance.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::http::RequestHead;
use super::request::RETRY_SOON;
use super::shared::EntryShared;
use crate::clock::Timestamp;
use crate::dispatch::directory::stable_hash;
use crate::dispatch::routing::{AccountEntry, RouteEntry, RoutingConfig};
use crate::ids::{AccountName, RequestId, ServiceName};
use crate::platform::headers::CallerAsk;

/// The longest time told to callers.
const RETRY_MOST: Duration = Duration::from_secs(5);

/// A request as it was read.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) arrived: Timestamp,
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// The answer once `runs` targets may have run the request: it must not promise otherwise.
    pub(crate) fn after_runs(self, runs: u32) -> Self {
        match runs {
            0 => self,
            _ => Self::new(502, "no further target after one that gave no whole answer"),
        }
    }

    /// This VM stops; another one serves the request.
    fn stopping() -> Self {
        Self::with_retry("this VM stops", Duration::ZERO)
    }

    /// The request has not run, and may be sent again later.
    pub(crate) fn with_retry(reason: &'static str, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait.min(RETRY_MOST)),
            ..Self::new(503, reason)
        }
    }
}

/// A request whose route and account are known.
#[derive(Debug)]
pub(crate) struct KnownRequest<'a> {
    pub(crate) caller: &'a CallerRequest,
    pub(crate) ask: CallerAsk,
    pub(crate) route: Rc<RouteEntry>,
    pub(crate) service: ServiceName,
    pub(crate) account: Option<AccountName>,
    pub(crate) priority: u8,
    /// Units charged to the account.
    pub(crate) cost: f64,
    /// The end of the caller's time or the route's.
    pub(crate) deadline: Timestamp,
}

impl KnownRequest<'_> {
    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }

    pub(crate) fn id(&self) -> &RequestId {
        &self.ask.id
    }

    /// Names the request among repeats of the same caller.
    pub(crate) fn fingerprint(&self) -> u64 {
        let head = &self.caller.head;
        let account = self.account.as_ref().map_or("", |name| name.as_str());
        let body = stable_hash(&[&String::from_utf8_lossy(&self.caller.body)]).to_string();
        stable_hash(&[&head.method, &head.target, account, &body])
    }
}

/// Finds route, account and price of a request.
fn identify<'a>(
    config: &RoutingConfig,
    fresh: bool,
    caller: &'a CallerRequest,
    ask: CallerAsk,
) -> Result<KnownRequest<'a>, Refusal> {
    let path = caller.head.target.split('?').next().unwrap_or_default();
    let route = config.route(&ask.host, path);
    let route = route.ok_or(Refusal::new(404, "no route of this host and path"))?;
    let account = if route.public || !config.has_accounts() {
        None
    } else {
        if !fresh {
            return Err(Refusal::with_retry(
                "the configuration can't be confirmed",
                RETRY_SOON,
            ));
        }
        let account = ask
            .key
            .as_deref()
            .and_then(|key| config.account_of_key(key));
        Some(account.ok_or(Refusal::new(401, "the key is not known"))?)
    };
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    Ok(KnownRequest {
        priority: account
            .and_then(|account| account.priority)
            .unwrap_or(route.priority),
        cost: account.map_or(0.0, |account| request_cost(account, &ask)),
        deadline: caller.arrived + patience,
        service: choose_service(route),
        account: account.map(|account| account.name.clone()),
        route: Rc::clone(route),
        caller,
        ask,
    })
}

fn request_cost(account: &AccountEntry, ask: &CallerAsk) -> f64 {
    match account.counts_tokens {
        true => ask.tokens.unwrap_or(account.plain_tokens) as f64,
        false => 1.0,
    }
}

/// Divides a route's requests by the weights of its services.
fn choose_service(route: &RouteEntry) -> ServiceName {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut point = rand::random_range(0..total.max(1));
    for (service, weight) in &route.services {
        if point < *weight {
            return service.clone();
        }
        point -= weight;
    }
    route.services[0].0.clone()
}

/// Identifies a request and charges it to its account.
pub(crate) fn admit<'a>(
    shared: &EntryShared,
    caller: &'a CallerRequest,
    ask: CallerAsk,
) -> Result<KnownRequest<'a>, Refusal> {
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    let Some(config) = state.config.as_ref().map(Rc::clone) else {
        return Err(Refusal::with_retry(
            "no configuration is known yet",
            RETRY_SOON,
        ));
    };
    let request = identify(&config, state.is_fresh(now), caller, ask)?;
    if state.stops_before_end(request.route.silence_limit.is_some(), now) {
        return Err(Refusal::stopping());
    }
    if !state.strikes.is_empty() && state.strikes.is_refused(request.fingerprint(), now) {
        return Err(Refusal::with_retry(
            "the request crashes its targets",
            RETRY_MOST,
        ));
    }
    if let Some(account) = &request.account
        && let Err(wait) = state.allowances.charge(account, request.cost, now)
    {
        tracing::info!(
            request = %request.id(), %account, cost = request.cost, wait_ms = wait.as_millis() as u64,
            config = config.version, "request: over the account's rate"
        );
        return Err(Refusal {
            retry_after: Some(wait.min(RETRY_MOST)),
            ..Refusal::new(429, "the account is over its rate")
        });
    }
    state.budget(&request.service).note_request(now);
    Ok(request)
}
