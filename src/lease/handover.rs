//! Hands this node's roles to other nodes at a graceful shutdown.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rank::successor;
use super::role::RoleName;
use super::service::LeaseService;
use super::wire::{HandoverAnswer, HandoverAsk, LeaseKind, LeaseMessage, OwnersAnswer};
use crate::context::NodeContext;
use crate::ids::{FencingToken, NodeName};
use crate::peer::PeerBody;

/// How long one call to a successor may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the state of a role is sent before it is released without a successor.
const SEND_TRIES: u32 = 3;
/// How often all roles are handed over, since a claim in flight may win another one meanwhile.
const ROUNDS: u32 = 3;
/// How long a release may take until it is read back.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause between two looks for the release.
const RELEASE_POLL: Duration = Duration::from_millis(20);

impl LeaseService {
    /// Hands all roles over. Leases that can't be released, because the log is down, expire.
    pub(crate) async fn hand_over(&self, context: &NodeContext) {
        for _ in 0..ROUNDS {
            let roles = self.state().withdraw();
            if roles.is_empty() {
                break;
            }
            self.hand_over_round(context, roles).await;
        }
        self.stop();
    }

    async fn hand_over_round(&self, context: &NodeContext, roles: Vec<(RoleName, FencingToken)>) {
        let own = &context.settings.node;
        let live = self.membership.table().live(self.clock.now());
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
            tracing::info!("lease: releases {} roles to {to}", names.len());
            let record = self
                .state()
                .release(rand::random(), names.clone(), successor);
            if let Err(error) = self.append(&record).await {
                tracing::warn!("lease: a release failed: {error}");
            }
            self.wait_until_released(&names).await;
        }
    }

    async fn wait_until_released(&self, names: &[RoleName]) {
        let deadline = tokio::time::Instant::now() + RELEASE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if names.iter().all(|role| !self.state().knows(role)) {
                return;
            }
            tokio::time::sleep(RELEASE_POLL).await;
        }
        tracing::warn!("lease: a release was not seen in time");
    }

    /// Sends the role's state, if there is any, to its next owner.
    async fn send_state(
        &self,
        context: &NodeContext,
        node: &NodeName,
        role: &RoleName,
        fence: FencingToken,
    ) -> bool {
        let hook = self.hook();
        let state = hook.and_then(|hook| hook.export_role(role));
        let Some(state) = state else { return true };
        let ask = HandoverAsk {
            role: role.to_string(),
            fence: fence.into(),
            state,
        };
        for _ in 0..SEND_TRIES {
            let address = self.membership.table().address_of(node);
            let Some(address) = address else { return false };
            let kind = Some(LeaseKind::Handover(ask.clone()));
            let body = PeerBody::Lease(LeaseMessage { kind });
            let answer = context.peers.call(address, body, CALL_TIMEOUT).await;
            if let Ok(PeerBody::Lease(LeaseMessage {
                kind: Some(LeaseKind::Kept(answer)),
            })) = answer
            {
                return answer.accepted;
            }
        }
        false
    }

    /// Answers a peer's message.
    pub(crate) fn handle(&self, message: LeaseMessage) -> Option<LeaseMessage> {
        let ask = match message.kind? {
            LeaseKind::Handover(ask) => ask,
            LeaseKind::Owners(_) => {
                let leases = self.state().known_leases();
                let kind = Some(LeaseKind::Owned(OwnersAnswer { leases }));
                return Some(LeaseMessage { kind });
            }
            LeaseKind::Kept(_) | LeaseKind::Owned(_) => return None,
        };
        let role = ask.role.parse().ok()?;
        let accepted = !self.membership.table().own.leaving;
        if accepted {
            let fence = FencingToken::from(ask.fence);
            self.state().keep_handover(role, fence, ask.state);
        }
        let kind = Some(LeaseKind::Kept(HandoverAnswer { accepted }));
        Some(LeaseMessage { kind })
    }
}
