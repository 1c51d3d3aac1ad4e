//! Admission control: resolves a request's route and account, and charges the account.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::account_grants::charge;
use super::http::RequestHead;
use super::request::{DEFAULT_RETRY_AFTER, RequestOutcome};
use super::shared::EntryShared;
use crate::clock::Timestamp;
use crate::dispatch::account_limit::ChargeView;
use crate::dispatch::directory::stable_hash;
use crate::dispatch::routing::{AccountEntry, RouteEntry, RoutingConfig};
use crate::ids::{AccountName, RequestId, ServiceName};
use crate::platform::headers::{CallerHeaders, LocalResponse, encode_local_response};

/// The largest `Retry-After` value sent to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Who has sent a request to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    Caller,
    /// An entry VM that can't reach the targets. It must not be forwarded again.
    Peer,
}

/// A request as read from the caller's connection.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) origin: RequestOrigin,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) arrived: Timestamp,
}

/// A response that this VM generates itself because it does not serve a request.
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

    /// The refusal to send after `runs` targets may have run the request. A 503 guarantees that the
    /// request has not run, so it becomes a 502.
    pub(crate) fn after_runs(self, runs: u32) -> Self {
        match runs {
            0 => self,
            _ => Self::new(502, "no further target after one that gave no whole answer"),
        }
    }

    /// The process is stopping; another VM can serve the request at once.
    fn stopping() -> Self {
        Self::unavailable("this VM stops", Duration::ZERO)
    }

    /// Requests like this one have crashed several targets.
    pub(crate) fn harmful() -> Self {
        Self::unavailable("the request crashes its targets", MAX_RETRY_AFTER)
    }

    /// The request has not run and may be sent again after `wait`.
    pub(crate) fn unavailable(reason: &'static str, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait.min(MAX_RETRY_AFTER)),
            ..Self::new(503, reason)
        }
    }
}

/// A request with its resolved route, service and account.
#[derive(Debug)]
pub(crate) struct AdmittedRequest<'a> {
    pub(crate) caller: &'a CallerRequest,
    pub(crate) headers: CallerHeaders,
    pub(crate) route: Rc<RouteEntry>,
    pub(crate) service: ServiceName,
    pub(crate) account: Option<AccountName>,
    pub(crate) priority: u8,
    /// The version of the configuration by which the request was resolved.
    config_version: u64,
    /// The units charged to the account.
    pub(crate) cost: f64,
    /// What this VM knew of the account when it charged the request.
    pub(crate) charge: ChargeView,
    /// When the caller's or the route's time limit passes, whichever is first.
    pub(crate) deadline: Timestamp,
}

impl AdmittedRequest<'_> {
    /// Whether a peer may serve it while no target is in reach of this VM.
    pub(crate) fn may_be_forwarded(&self) -> bool {
        self.caller.origin == RequestOrigin::Caller
    }

    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }

    pub(crate) fn id(&self) -> &RequestId {
        &self.headers.id
    }

    /// Identifies repeats of the same request by the same account.
    pub(crate) fn fingerprint(&self) -> u64 {
        let head = &self.caller.head;
        let account = self.account.as_ref().map_or("", |name| name.as_str());
        let body = stable_hash(&[&String::from_utf8_lossy(&self.caller.body)]).to_string();
        stable_hash(&[&head.method, &head.request_target, account, &body])
    }
}

/// Resolves the route, service, account and cost of a request.
fn resolve_request<'a>(
    config: &RoutingConfig,
    config_fresh: bool,
    caller: &'a CallerRequest,
    headers: CallerHeaders,
) -> Result<AdmittedRequest<'a>, Refusal> {
    let path = caller
        .head
        .request_target
        .split('?')
        .next()
        .unwrap_or_default();
    let route = config.route(&headers.host, path);
    let route = route.ok_or(Refusal::new(404, "no route of this host and path"))?;
    let account = if route.public || !config.has_accounts() {
        None
    } else {
        if !config_fresh {
            return Err(Refusal::unavailable(
                "the configuration can't be confirmed",
                DEFAULT_RETRY_AFTER,
            ));
        }
        let account = headers
            .key
            .as_deref()
            .and_then(|key| config.account_of_key(key));
        Some(account.ok_or(Refusal::new(401, "the key is not known"))?)
    };
    let time_limit = headers.timeout.unwrap_or(route.timeout).min(route.timeout);
    Ok(AdmittedRequest {
        priority: account
            .and_then(|account| account.priority)
            .unwrap_or(route.priority),
        cost: account.map_or(0.0, |account| request_cost(account, &headers)),
        charge: ChargeView::default(),
        config_version: config.version,
        deadline: caller.arrived + time_limit,
        service: choose_service(route),
        account: account.map(|account| account.name.clone()),
        route: Rc::clone(route),
        caller,
        headers,
    })
}

fn request_cost(account: &AccountEntry, headers: &CallerHeaders) -> f64 {
    match account.counts_tokens {
        true => headers.tokens.unwrap_or(account.plain_tokens) as f64,
        false => 1.0,
    }
}

/// Picks one of a route's services at random, in proportion to their weights.
fn choose_service(route: &RouteEntry) -> ServiceName {
    let total_weight: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut point = rand::random_range(0..total_weight.max(1));
    for (service, weight) in &route.services {
        if point < *weight {
            return service.clone();
        }
        point -= weight;
    }
    route.services[0].0.clone()
}

/// Resolves a request and checks everything but its account's rate.
pub(crate) fn check_request<'a>(
    shared: &EntryShared,
    caller: &'a CallerRequest,
    headers: CallerHeaders,
) -> Result<AdmittedRequest<'a>, Refusal> {
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    let Some(config) = state.config.as_ref().map(Rc::clone) else {
        return Err(Refusal::unavailable(
            "no configuration is known yet",
            DEFAULT_RETRY_AFTER,
        ));
    };
    if state.is_config_behind(now) {
        return Err(Refusal::unavailable(
            "a peer has a newer configuration",
            DEFAULT_RETRY_AFTER,
        ));
    }
    let request = resolve_request(&config, state.is_config_fresh(now), caller, headers)?;
    if state.is_too_late_to_start(request.time_left(now), now) {
        return Err(Refusal::stopping());
    }
    if !state.strikes.is_empty() && state.strikes.is_refused(request.fingerprint(), now) {
        return Err(Refusal::harmful());
    }
    if state
        .suspects
        .is_harmful(&request.headers.shared_parts, now)
    {
        return Err(Refusal::harmful());
    }
    Ok(request)
}

/// Charges a request to its account.
pub(crate) async fn charge_request<'a>(
    shared: &EntryShared,
    mut request: AdmittedRequest<'a>,
) -> Result<AdmittedRequest<'a>, Refusal> {
    if let Some(account) = &request.account {
        let charged = charge(shared, account, request.cost).await;
        request.charge = charged.map_err(|wait| {
            tracing::info!(
                request = %request.id(), %account, cost = request.cost,
                wait_ms = wait.as_millis() as u64, config = request.config_version,
                "request: over the account's rate"
            );
            Refusal {
                retry_after: Some(wait.min(MAX_RETRY_AFTER)),
                ..Refusal::new(429, "the account is over its rate")
            }
        })?;
    }
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    state.retry_budget(&request.service).record_request(now);
    drop(state);
    Ok(request)
}

/// What a refusal repeats of its request, or depends on.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RefusedRequest<'a> {
    id: Option<&'a RequestId>,
    /// Whether the response has no body, whatever length it states.
    is_head: bool,
}

impl<'a> RefusedRequest<'a> {
    pub(crate) fn new(head: &RequestHead) -> Self {
        Self {
            id: None,
            is_head: head.method == "HEAD",
        }
    }

    pub(crate) fn with_id(mut self, id: &'a RequestId) -> Self {
        self.id = Some(id);
        self
    }
}

/// Writes a response that this VM generates itself.
pub(crate) async fn refuse(
    shared: &EntryShared,
    request: RefusedRequest<'_>,
    writer: &mut (impl AsyncWrite + Unpin),
    refusal: Refusal,
    close: bool,
) -> RequestOutcome {
    shared.metrics.record_refusal(request.id, &refusal);
    let Refusal {
        status,
        reason,
        retry_after,
    } = refusal;
    let response = LocalResponse {
        status,
        reason,
        id: request.id,
        has_body: !request.is_head,
        retry_after,
        close,
    };
    match writer
        .write_all(encode_local_response(&response).as_bytes())
        .await
    {
        Ok(()) => RequestOutcome::Complete,
        Err(_) => RequestOutcome::Incomplete,
    }
}
