//! The settings, clients and services that the components of a node share.

use std::sync::Arc;

use crate::clock::Clock;
use crate::config::service::ConfigService;
use crate::entry::limit_events::LimitEvents;
use crate::entry::response_memory::ResponseMemory;
use crate::gateway::connection::CloseSignals;
use crate::gateway::request_client::RequestClient;
use crate::ids::BootId;
use crate::lease::LeaseService;
use crate::membership::MembershipService;
use crate::metrics::NodeMetrics;
use crate::peer::PeerClient;
use crate::platform_client::{LogClient, VmListClient};
use crate::settings::NodeSettings;

#[derive(Debug)]
pub(crate) struct NodeContext {
    pub(crate) settings: NodeSettings,
    pub(crate) boot: BootId,
    pub(crate) clock: Clock,
    pub(crate) log: LogClient,
    pub(crate) config: ConfigService,
    pub(crate) leases: LeaseService,
    pub(crate) membership: Arc<MembershipService>,
    pub(crate) peers: PeerClient,
    pub(crate) metrics: NodeMetrics,
    pub(crate) limit_events: Arc<LimitEvents>,
    /// The callers' open connections.
    pub(crate) caller_connections: Arc<CloseSignals>,
    /// The memory for whole responses of targets and services.
    pub(crate) target_memory: Arc<ResponseMemory>,
    /// The HTTP client for probes of targets and for commands to them, whose answers have no id. Each
    /// call has a connection of its own, so that no late answer is taken for the result of another.
    pub(crate) target_client: reqwest::Client,
    pub(crate) request_client: RequestClient,
}

impl NodeContext {
    pub(crate) fn new(settings: NodeSettings) -> Arc<Self> {
        let clock = Clock::system();
        let (peers, metrics) = (PeerClient::new(), NodeMetrics::new());
        let mut limit_events = LimitEvents::default();
        metrics.register(|registry| limit_events = LimitEvents::new(registry));
        let limit_events = Arc::new(limit_events);
        let limits = settings.client_limits();
        let response_memory = || ResponseMemory::new(&limits, &clock, &limit_events);
        let (target_memory, platform_memory) = (response_memory(), response_memory());
        let log = LogClient::new(&settings.platform_url, &platform_memory);
        let boot = BootId::from(rand::random::<u64>());
        let vm_list = VmListClient::new(&settings.platform_url, &platform_memory);
        let membership = MembershipService::new(&settings, boot, clock.clone(), vm_list);
        let membership = Arc::new(membership);
        let leases = LeaseService::new(
            &settings,
            boot,
            clock.clone(),
            log.clone(),
            Arc::clone(&membership),
        );
        metrics.register(|registry| {
            peers.traffic().register(registry);
            log.traffic().register(registry);
            registry.register(
                "vm_list_body_bytes",
                "Bytes of bodies of the platform's VM list",
                membership.vm_list_bytes().clone(),
            );
        });
        Arc::new(Self {
            boot,
            leases,
            membership,
            config: ConfigService::new(log.clone(), clock.clone()),
            peers,
            metrics,
            limit_events,
            caller_connections: Arc::default(),
            target_memory,
            target_client: crate::platform_client::unpooled_http_client(),
            request_client: RequestClient::new(),
            clock,
            log,
            settings,
        })
    }
}
