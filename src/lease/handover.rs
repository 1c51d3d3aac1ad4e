//! Hands this node's roles over to other nodes during a graceful shutdown.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rank::successor;
use super::role::RoleName;
use super::service::LeaseService;
use super::wire::{HandoverReply, HandoverRequest, LeaseKind, LeaseMessage, OwnersReply};
use crate::context::NodeContext;
use crate::ids::{FencingToken, NodeName};
use crate::peer::PeerBody;

/// The timeout of one call to a successor.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// How many times the state of a role is sent before the role is released without a successor.
const SEND_ATTEMPTS: u32 = 3;
/// How many times the held roles are handed over. A claim in flight may acquire another role in
/// the meantime.
const HANDOVER_ROUNDS: u32 = 3;
/// How long to wait until a release is read back from the log.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between checks whether the release was read.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl LeaseService {
    /// Hands over all roles. Leases that can't be released because the log is down expire.
    pub(crate) async fn hand_over(&self, context: &NodeContext) {
        for _ in 0..HANDOVER_ROUNDS {
            let roles = self.state().relinquish_all();
            if roles.is_empty() {
                break;
            }
            self.hand_over_roles(context, roles).await;
        }
        self.stop();
    }

    async fn hand_over_roles(&self, context: &NodeContext, roles: Vec<(RoleName, FencingToken)>) {
        let own = &context.settings.node;
        let live = self.membership.table().live_nodes(self.clock.now());
        let mut releases: BTreeMap<Option<NodeName>, Vec<RoleName>> = BTreeMap::new();
        for (role, fence) in roles {
            let mut chosen = successor(&role, own, &live).cloned();
            if let Some(node) = &chosen
                && !self.send_state(context, node, &role, fence).await
            {
                chosen = None;
            }
            releases.entry(chosen).or_default().push(role);
        }
        for (successor, names) in releases {
            let to = successor.as_ref().map_or("anyone", NodeName::as_str);
            tracing::info!("lease: releasing {} roles, successor: {to}", names.len());
            let record = self
                .state()
                .release(rand::random(), names.clone(), successor);
            if let Err(error) = self.append(&record).await {
                tracing::warn!("lease: could not append a release to the log: {error}");
            }
            self.wait_until_released(&names).await;
        }
    }

    async fn wait_until_released(&self, names: &[RoleName]) {
        let deadline = tokio::time::Instant::now() + RELEASE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if names.iter().all(|role| !self.state().has_lease(role)) {
                return;
            }
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
        tracing::warn!(
            "lease: the release was not read back from the log within {RELEASE_TIMEOUT:?}"
        );
    }

    /// Sends the role's state, if there is any, to its next owner. Returns whether the node may be
    /// named as the successor.
    async fn send_state(
        &self,
        context: &NodeContext,
        node: &NodeName,
        role: &RoleName,
        fence: FencingToken,
    ) -> bool {
        let role_state = self.role_state();
        let state = role_state.and_then(|role_state| role_state.export_role(role));
        let Some(state) = state else { return true };
        let request = HandoverRequest {
            role: role.to_string(),
            fence: fence.into(),
            state,
        };
        for _ in 0..SEND_ATTEMPTS {
            let address = self.membership.table().address_of(node);
            let Some(address) = address else { return false };
            let kind = Some(LeaseKind::HandoverRequest(request.clone()));
            let body = PeerBody::Lease(LeaseMessage { kind });
            let reply = context.peers.call(address, body, CALL_TIMEOUT).await;
            if let Ok(PeerBody::Lease(LeaseMessage {
                kind: Some(LeaseKind::HandoverReply(reply)),
            })) = reply
            {
                return reply.accepted;
            }
        }
        false
    }

    /// Handles a peer's request and returns the reply.
    pub(crate) fn handle(&self, message: LeaseMessage) -> Option<LeaseMessage> {
        let request = match message.kind? {
            LeaseKind::HandoverRequest(request) => request,
            LeaseKind::OwnersRequest(_) => {
                let leases = self.state().known_leases();
                let kind = Some(LeaseKind::OwnersReply(OwnersReply { leases }));
                return Some(LeaseMessage { kind });
            }
            LeaseKind::HandoverReply(_) | LeaseKind::OwnersReply(_) => return None,
        };
        let role = request.role.parse().ok()?;
        let accepted = !self.membership.table().local.leaving;
        if accepted {
            let fence = FencingToken::from(request.fence);
            self.state().store_handover(role, fence, request.state);
        }
        let kind = Some(LeaseKind::HandoverReply(HandoverReply { accepted }));
        Some(LeaseMessage { kind })
    }
}
