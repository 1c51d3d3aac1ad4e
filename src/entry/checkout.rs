//! Takes or opens the connection on which a request is sent to a target.

use std::net::SocketAddr;

use super::admission::AdmittedRequest;
use super::connections::TargetConnection;
use super::reach;
use super::reservations::TargetReservation;
use super::shared::EntryShared;
use crate::dispatch::directory::TargetKey;

/// Takes an idle connection to the target or opens a new one.
pub(super) async fn checkout_connection(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    reservation: &TargetReservation<'_>,
    address: SocketAddr,
) -> Option<TargetConnection> {
    let target = reservation.target;
    let tried_at = shared.clock.now();
    if let Some(connection) = (shared.connections).take_idle(address, request.id(), tried_at) {
        return Some(connection);
    }
    match shared.connections.open(address).await {
        Ok(connection) => {
            reach::record_connected(shared, &request.service);
            Some(connection)
        }
        Err(error) => {
            let name = shared.target_name(target);
            tracing::warn!(
                request = %request.id(), target = name, %error,
                "attempt: connecting to the target failed"
            );
            record_unreachable(shared, target);
            reach::record_failure(shared, &request.service, target, tried_at);
            None
        }
    }
}

pub(super) fn record_unreachable(shared: &EntryShared, target: TargetKey) {
    let now = shared.clock.now();
    if let Some(entry) = shared.state.borrow_mut().directory.get_mut(target) {
        entry.record_connection_failure(now);
    }
}
