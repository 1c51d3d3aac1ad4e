//! Starts and stops an entry VM's process on a platform.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

use super::admission::Refusal;
use super::callers::serve_connection;
use super::channels::ChannelPool;
use super::confirm::Confirmations;
use super::gossip::{PeerSocket, run_receiver, run_reports};
use super::http::ReadBuffer;
use super::request::{RequestEnd, RequestRun};
use super::settings::EntrySettings;
use super::shared::EntryShared;
use super::state::EntryState;
use super::waiting::WaitingRoom;
use super::{follow, group, orders};
use crate::clock::{Clock, Timestamp};
use crate::collections::FastMap;
use crate::ids::{BootId, RequestId};
use crate::platform::settings::parse_settings;
use crate::platform::store::StoreClient;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// How long the load balancer takes to notice that a VM stops: it asks each second and believes the
/// second refusal.
const NOTICE_TIME: Duration = Duration::from_millis(2300);
/// The part of the stop time after which the process ends whatever is still running.
const STOP_PART: f64 = 0.93;
/// The buckets of times until an answer begins or ends, around the usual latency targets.
const LATENCY_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0, 12.0];
/// How often the settings file is looked at.
const SETTINGS_PAUSE: Duration = Duration::from_secs(2);

/// Counters and histograms of one process.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    /// Requests by route and outcome.
    requests: Family<[(&'static str, String); 2], Counter>,
    /// Own answers by status and reason.
    refusals: Family<[(&'static str, String); 2], Counter>,
    /// Seconds from the arrival to the end of the answer.
    latency: Histogram,
}

impl EntryMetrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("bluebellmux");
        let (requests, refusals) = (Family::default(), Family::default());
        let latency = Histogram::new(LATENCY_BUCKETS);
        registry.register(
            "entry_requests",
            "Admitted requests by route and outcome",
            requests.clone(),
        );
        registry.register(
            "entry_refusals",
            "Answers of the VM's own by status and reason",
            refusals.clone(),
        );
        registry.register(
            "entry_latency_seconds",
            "Time from a request's arrival to the end of its answer",
            latency.clone(),
        );
        Self {
            registry,
            requests,
            refusals,
            latency,
        }
    }

    /// Counts an admitted request and logs its end.
    pub(crate) fn note_request(
        &self,
        run: &RequestRun<'_>,
        ended: &Result<RequestEnd, Refusal>,
        now: Timestamp,
    ) {
        let request = run.request;
        let took = now.since(request.caller.arrived);
        let outcome = match ended {
            Ok(RequestEnd::Answered) => "answered",
            Ok(RequestEnd::Broken) => "caller_gone",
            Err(refusal) => refusal.reason,
        };
        let labels = [
            ("route", request.route.name.clone()),
            ("outcome", outcome.to_owned()),
        ];
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(took.as_secs_f64());
        tracing::info!(
            request = %request.id(), route = request.route.name, service = %request.service,
            account = request.account.as_ref().map_or("", |account| account.as_str()),
            adapter = request.ask.adapter.as_ref().map_or("", |adapter| adapter.as_str()),
            asked = run.asked.join(","), units = request.cost, target = run.last_target, runs = run.runs, refusals = run.refusals,
            waited_ms = run.waited.as_millis() as u64, took_ms = took.as_millis() as u64, outcome, "request: ended"
        );
    }

    /// Counts and logs an answer of the VM's own.
    pub(crate) fn note_refusal(&self, id: Option<&RequestId>, refusal: &Refusal) {
        let labels = [
            ("status", refusal.status.to_string()),
            ("reason", refusal.reason.to_owned()),
        ];
        self.refusals.get_or_create(&labels).inc();
        let retry_ms = refusal.retry_after.map(|wait| wait.as_millis() as u64);
        tracing::info!(
            request = id.map_or("", |id| id.as_str()),
            status = refusal.status,
            reason = refusal.reason,
            retry_ms,
            "request: refused"
        );
    }

    fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "metrics: can't be written");
        }
        text
    }
}

/// An entry VM's process.
pub(crate) struct EntryServer {
    shared: Rc<EntryShared>,
    settings_path: PathBuf,
    metrics_port: u16,
}

impl EntryServer {
    /// Binds all addresses and starts all loops. Must run on a local task set.
    pub(crate) async fn start(
        settings: EntrySettings,
        settings_path: PathBuf,
        metrics_port: u16,
    ) -> io::Result<Self> {
        let boot = BootId::from(rand::random::<u64>());
        tracing::info!(node = %settings.node, zone = %settings.zone, %boot, "process: starts");
        let (callers, ready, metrics) = (settings.callers, settings.ready, settings.metrics);
        let shared = Rc::new(EntryShared {
            clock: Clock::system(),
            store: StoreClient::new(settings.store.address),
            channels: ChannelPool::default(),
            peers: PeerSocket::bind(settings.peers).await?,
            state: RefCell::new(EntryState::new(settings, boot)),
            waiting: WaitingRoom::default(),
            order_wakes: RefCell::new(FastMap::default()),
            open_requests: Cell::new(0),
            metrics: EntryMetrics::new(),
            confirmations: Confirmations::default(),
            announcements: RefCell::default(),
            relay_lost: Notify::new(),
            stop: Notify::new(),
        });
        let listener = listen(callers)?;
        let server = Rc::clone(&shared);
        let serve = move |stream| serve_connection(Rc::clone(&server), stream);
        tokio::task::spawn_local(accept(listener, serve));
        for (address, kind) in [(ready, PlainKind::Ready), (metrics, PlainKind::Metrics)] {
            let server = Rc::clone(&shared);
            let serve = move |stream| answer_questions(Rc::clone(&server), stream, kind);
            tokio::task::spawn_local(accept(listen(address)?, serve));
        }
        tokio::task::spawn_local(follow::follow_operator(Rc::clone(&shared)));
        tokio::task::spawn_local(follow::follow_targets(Rc::clone(&shared)));
        tokio::task::spawn_local(group::follow_group(Rc::clone(&shared)));
        tokio::task::spawn_local(follow::follow_nodes(Rc::clone(&shared)));
        tokio::task::spawn_local(run_reports(Rc::clone(&shared)));
        tokio::task::spawn_local(run_receiver(Rc::clone(&shared)));
        Ok(Self {
            shared,
            settings_path,
            metrics_port,
        })
    }

    /// Runs until SIGTERM or SIGINT, then stops without cutting a request.
    pub(crate) async fn run(self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let mut modified = self.modified();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => self.reload("SIGHUP"),
                () = tokio::time::sleep(SETTINGS_PAUSE) => {
                    let newest = self.modified();
                    if newest != modified {
                        modified = newest;
                        self.reload("the file has changed");
                    }
                }
            }
        }
        self.stop().await;
        Ok(())
    }

    fn modified(&self) -> Option<std::time::SystemTime> {
        std::fs::metadata(&self.settings_path)
            .and_then(|data| data.modified())
            .ok()
    }

    /// Takes in what may change while the process runs: the bounds.
    fn reload(&self, cause: &str) {
        let text = std::fs::read_to_string(&self.settings_path);
        let parsed = text.map_err(|error| error.to_string()).and_then(|text| {
            parse_settings(&text, self.metrics_port).map_err(|error| error.to_string())
        });
        match parsed {
            Ok(settings) => {
                tracing::info!(cause, "settings: loaded again");
                self.shared.state.borrow_mut().settings.bounds = settings.bounds;
            }
            Err(error) => tracing::warn!(cause, error, "settings: unusable, the old ones stay"),
        }
    }

    async fn stop(self) {
        let shared = self.shared;
        let open = shared.open_requests.get();
        tracing::info!(open, "process: stops");
        let (started, limit) = {
            let mut state = shared.state.borrow_mut();
            state.stopping_since = Some(shared.clock.now());
            state.lease.release();
            (
                shared.clock.now(),
                state.settings.bounds.stop_time.mul_f64(STOP_PART),
            )
        };
        orders::sync_owned(&shared);
        tokio::time::sleep(NOTICE_TIME).await;
        /// How often the process looks whether the last request has ended.
        const LOOK_PAUSE: Duration = Duration::from_millis(50);
        loop {
            shared.stop.notify_waiters();
            let left = limit.saturating_sub(shared.clock.now().since(started));
            if shared.open_requests.get() == 0 || left.is_zero() {
                break;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        tracing::info!(open = shared.open_requests.get(), "process: ends");
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections for as long as the process runs, and serves each in a task of its own.
async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    /// The pause after a failed accept, mostly for want of descriptors.
    const FAILURE_PAUSE: Duration = Duration::from_millis(20);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(error) => {
                let address = listener.local_addr().ok();
                tracing::warn!(%error, ?address, "process: a connection was not accepted");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// What a plain address answers.
#[derive(Debug, Clone, Copy)]
enum PlainKind {
    Ready,
    Metrics,
}

/// Answers a connection's questions until it ends.
async fn answer_questions(shared: Rc<EntryShared>, mut stream: TcpStream, kind: PlainKind) {
    const HEAD_LIMIT: usize = 8 * 1024;
    /// Questions come each second or each five.
    const IDLE_LIMIT: Duration = Duration::from_secs(10);
    let mut buffer = ReadBuffer::default();
    loop {
        match buffer.take_request(HEAD_LIMIT) {
            Ok(Some(_)) => {
                let (status, body) = match kind {
                    PlainKind::Ready => ready_answer(&shared),
                    PlainKind::Metrics => ("200 OK", shared.metrics.encode()),
                };
                let length = body.len();
                let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                let read = tokio::time::timeout(IDLE_LIMIT, buffer.fill(&mut stream)).await;
                if !matches!(read, Ok(Ok(1..))) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

fn ready_answer(shared: &EntryShared) -> (&'static str, String) {
    let state = shared.state.borrow();
    let ready = state.stopping_since.is_none()
        && state.config.is_some()
        && state.is_fresh(shared.clock.now());
    let status = if ready {
        "200 OK"
    } else {
        "503 Service Unavailable"
    };
    (status, String::new())
}
