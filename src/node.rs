//! The process of an entry VM: creates, starts and stops its components.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use poem::{Endpoint, Server};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::claims::ClaimsService;
use crate::context::NodeContext;
use crate::entry::caller_body::BodyMemory;
use crate::gateway::connection::{CheckedAcceptor, ConnectionEvents};
use crate::gateway::retry::RetryBudget;
use crate::ids::FencingToken;
use crate::lease::{RoleName, RoleOrigin, RoleState};
use crate::ledger::LedgerService;
use crate::peer::transport::PeerHandler;
use crate::peer::{PeerBody, PeerServer};
use crate::pool::PoolService;
use crate::quarantine::{QuarantineService, RequestVerdict};
use crate::settings::NodeSettings;
use crate::{admin, config, gateway, metrics};

/// The components of one node.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) ledger: LedgerService,
    pub(crate) pool: PoolService,
    pub(crate) claims: ClaimsService,
    pub(crate) quarantine: Arc<QuarantineService>,
    pub(crate) retry_budget: RetryBudget,
    /// The memory for callers' bodies.
    pub(crate) body_memory: BodyMemory,
}

impl Node {
    /// Whether the load balancer may route callers to this node.
    pub(crate) fn is_ready(&self) -> bool {
        !self.context.membership.is_leaving() && self.has_fresh_config()
    }

    /// Whether the configuration is recent enough to authenticate requests by API key.
    pub(crate) fn has_fresh_config(&self) -> bool {
        self.context.membership.is_fresh(&self.context.config)
    }
}

impl RoleState for Node {
    fn export_role(&self, role: &RoleName) -> Option<Bytes> {
        match role {
            RoleName::Ledger(partition) => self.ledger.export_partition(*partition),
            RoleName::Pool(model) => self.pool.export_pool(model).map(Bytes::from),
            RoleName::ConfigSnapshot => None,
        }
    }

    fn import_role(&self, role: &RoleName, fence: FencingToken, origin: RoleOrigin) {
        match role {
            RoleName::Ledger(partition) => self.ledger.begin_partition(*partition, fence, origin),
            RoleName::Pool(model) => {
                let state = match origin {
                    RoleOrigin::HandedOver(bytes) => Some(bytes.into()),
                    _ => None,
                };
                self.pool.import_pool(model, state);
            }
            RoleName::ConfigSnapshot => {}
        }
    }
}

impl Node {
    /// Updates the gauges and encodes this node's metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        let context = &self.context;
        let metrics = &context.metrics;
        let control_bytes = context.peers.traffic().total() + context.log.traffic().total();
        let control_bytes = control_bytes + context.membership.vm_list_bytes().get();
        let control_bytes = i64::try_from(control_bytes).unwrap_or(i64::MAX);
        metrics.control_bytes.set(control_bytes);
        metrics.control_memory.set(metrics::resident_bytes());
        metrics
            .worst_account_share
            .set(self.pool.worst_account_share());
        let config = context.config.current();
        let next_offset = u64::from(config.next_offset());
        metrics
            .config_next_offset
            .set(i64::try_from(next_offset).unwrap_or(i64::MAX));
        let entry_count = i64::try_from(config.entry_count()).unwrap_or(i64::MAX);
        metrics.config_entries.set(entry_count);
        drop(config);
        metrics.encode()
    }

    /// The state of this process for operators. It contains no API keys.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let context = &self.context;
        serde_json::json!({
            "node": context.settings.node,
            "boot": context.boot,
            "zone": context.settings.zone,
            "ready": self.is_ready(),
            "config": context.config.dump(),
            "leases": context.leases.dump(),
            "membership": context.membership.table().dump(context.clock.now()),
            "ledger": self.ledger.dump(),
            "pool": self.pool.dump(),
            "claims": {"keys_in_window": self.claims.len()},
            "quarantine": {
                "suspect": self.quarantine.count(RequestVerdict::Suspect),
                "held": self.quarantine.count(RequestVerdict::Held),
            },
        })
    }
}

impl PeerHandler for Node {
    async fn handle(&self, body: PeerBody) -> Option<PeerBody> {
        match body {
            PeerBody::Ledger(message) => self.ledger.handle(message).map(PeerBody::Ledger),
            PeerBody::Config(message) => self.context.config.handle(message).map(PeerBody::Config),
            PeerBody::Pool(message) => self.pool.handle(message).await.map(PeerBody::Pool),
            PeerBody::Lease(message) => self.context.leases.handle(message).map(PeerBody::Lease),
            PeerBody::Membership(message) => {
                let membership = &self.context.membership;
                let answer = membership.handle(message, &self.context.config);
                answer.map(PeerBody::Membership)
            }
            PeerBody::Quarantine(message) => {
                self.quarantine.handle(message).map(PeerBody::Quarantine)
            }
        }
    }
}

/// A running node. Dropping it stops the node without waiting for running requests.
#[derive(Debug)]
pub struct RunningNode {
    /// The address for callers.
    pub address: SocketAddr,
    /// The address for other entry VMs.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub admin_address: SocketAddr,
    node: Arc<Node>,
    stop: watch::Sender<bool>,
    servers: JoinSet<()>,
    tasks: JoinSet<()>,
}

impl RunningNode {
    /// Binds the configured addresses and starts all components.
    pub async fn start(mut settings: NodeSettings) -> std::io::Result<Self> {
        let caller_listener = TcpListener::bind(settings.listen).await?;
        let peer_listener = TcpListener::bind(settings.peer_listen).await?;
        let admin_listener = TcpListener::bind(settings.admin_listen).await?;
        let (address, peer_address) = (caller_listener.local_addr()?, peer_listener.local_addr()?);
        let admin_address = admin_listener.local_addr()?;
        let drain_timeout = settings.drain_timeout;
        let head_timeout = settings.body_timeout;
        settings.peer_listen = peer_address;
        let context = NodeContext::new(settings);
        let limits = context.settings.client_limits();
        let idle_timeout = context.settings.idle_timeout;
        let node = Arc::new(Node {
            body_memory: BodyMemory::new(&limits),
            ledger: LedgerService::new(Arc::clone(&context)),
            pool: PoolService::new(Arc::clone(&context)),
            claims: ClaimsService::new(Arc::clone(&context)),
            quarantine: Arc::new(QuarantineService::new(Arc::clone(&context))),
            retry_budget: RetryBudget::default(),
            context,
        });
        let role_state: Weak<Node> = Arc::downgrade(&node);
        node.context.leases.set_role_state(role_state);
        let stop = watch::Sender::new(false);
        let mut servers = JoinSet::new();
        let stopped = stop.subscribe();
        let events = ConnectionEvents::new(&node.context.limit_events, &node.context.clock);
        let acceptor =
            CheckedAcceptor::new(caller_listener, head_timeout, &limits, events.clone())?;
        let acceptor = acceptor.with_signals(&node.context.caller_connections);
        let server = Server::new_with_acceptor(acceptor).idle_timeout(idle_timeout);
        let routes = gateway::routes(&node);
        servers.spawn(serve(server, routes, stopped.clone(), drain_timeout));
        let mut tasks = JoinSet::new();
        let limits = limits.for_endpoint();
        let acceptor = CheckedAcceptor::new(admin_listener, head_timeout, &limits, events)?;
        let server = Server::new_with_acceptor(acceptor).idle_timeout(idle_timeout);
        tasks.spawn(serve(server, admin::routes(&node), stopped, Duration::ZERO));
        let traffic = Arc::clone(node.context.peers.traffic());
        tasks.spawn(PeerServer::new(peer_listener, traffic).run(Arc::clone(&node)));
        spawn_tasks(&mut tasks, &node);
        tracing::info!(
            "node: {} serves callers on {address}",
            node.context.settings.node
        );
        Ok(Self {
            address,
            peer_address,
            admin_address,
            node,
            stop,
            servers,
            tasks,
        })
    }

    /// Marks the node as not ready, hands over its roles, waits for running requests and stops.
    pub async fn shut_down(mut self) {
        let context = &self.node.context;
        context.membership.announce_shutdown();
        tokio::time::sleep(context.settings.shutdown_grace).await;
        context.leases.hand_over(context).await;
        self.stop.send_replace(true);
        while self.servers.join_next().await.is_some() {}
        self.node.pool.shut_down().await;
        let limit = self.node.context.settings.drain_timeout;
        self.node.claims.shut_down(limit).await;
        self.node.ledger.shut_down().await;
        self.tasks.shutdown().await;
        tracing::info!("node: stopped");
    }
}

fn spawn_tasks(tasks: &mut JoinSet<()>, node: &Arc<Node>) {
    tasks.spawn(config::tasks::follow(Arc::clone(&node.context)));
    tasks.spawn(config::tasks::publish_snapshots(Arc::clone(&node.context)));
    let context = Arc::clone(&node.context);
    tasks.spawn(async move { context.membership.run(&context).await });
    let context = Arc::clone(&node.context);
    tasks.spawn(async move { context.leases.run(&context).await });
    let ledger_node = Arc::clone(node);
    tasks.spawn(async move { ledger_node.ledger.run().await });
    let pool_node = Arc::clone(node);
    tasks.spawn(async move { pool_node.pool.run().await });
    let claims_node = Arc::clone(node);
    tasks.spawn(async move { claims_node.claims.run().await });
    let quarantine = Arc::clone(&node.quarantine);
    tasks.spawn(async move { quarantine.run().await });
}

/// Serves `app` until `stopped` is true, and then waits up to `drain_timeout` for
/// running requests.
async fn serve(
    server: Server<Infallible, CheckedAcceptor>,
    app: impl Endpoint + 'static,
    mut stopped: watch::Receiver<bool>,
    drain_timeout: Duration,
) {
    let signal = async move {
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let result = server
        .run_with_graceful_shutdown(app, signal, Some(drain_timeout))
        .await;
    if let Err(error) = result {
        tracing::error!("node: HTTP server failed: {error}");
    }
}
