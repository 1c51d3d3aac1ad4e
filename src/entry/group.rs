//! The group in the platform's store that divides the targets between the entry VMs.

use std::rc::Rc;
use std::time::Duration;

use super::orders;
use super::shared::EntryShared;
use super::state::EntryState;
use super::store_health::StoreHealth;
use crate::platform::store::GroupJoin;

/// The pause between renewals of the group's membership, a third of its lifetime.
const JOIN_PAUSE: Duration = Duration::from_millis(800);
/// The topic whose partitions divide the targets between the entry VMs.
const OWNER_TOPIC: &str = "owners";
/// The group of the entry VMs.
const OWNER_GROUP: &str = "entry";
/// Of many VMs, those with a rank below the number of partitions divide the targets. One leaves
/// when its rank has grown by this factor, so that no VM joins and leaves by turns.
const LEAVE_FACTOR: f64 = 1.5;

/// Stays in the group that divides the targets between the entry VMs.
pub(crate) async fn follow_group(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("group");
    let member = {
        let state = shared.state.borrow();
        format!("{}/{}", state.settings.node, state.boot)
    };
    let mut joined = false;
    while shared.state.borrow().stopping_since.is_none() {
        let needed = is_owner_needed(&shared.state.borrow(), joined);
        if needed {
            join_group(&shared, &member, &mut health).await;
        } else if joined {
            tracing::info!("group: left, others divide the targets");
            shared.state.borrow_mut().lease.release();
            leave_group(&shared, &member, &mut health).await;
            orders::sync_owned(&shared);
        }
        joined = needed;
        tokio::time::sleep(JOIN_PAUSE).await;
    }
    if joined {
        leave_group(&shared, &member, &mut health).await;
    }
}

/// Whether this VM takes part in dividing the targets: of many VMs, as many as there are
/// partitions.
fn is_owner_needed(state: &EntryState, joined: bool) -> bool {
    let partitions = f64::from(state.settings.store.partitions);
    let limit = if joined {
        partitions * LEAVE_FACTOR
    } else {
        partitions
    };
    state.is_small_fleet() || (state.rank() as f64) < limit
}

async fn join_group(shared: &Rc<EntryShared>, member: &str, health: &mut StoreHealth) {
    let (generation, lifetime) = {
        let state = shared.state.borrow();
        (state.lease.generation(), state.lease.lifetime())
    };
    let join = GroupJoin {
        group: OWNER_GROUP,
        member,
        topics: [OWNER_TOPIC],
        ttl_ms: lifetime.as_millis() as u64,
        generation,
    };
    let sent_at = shared.clock.now();
    let joined = shared.store.join(&join).await;
    let now = shared.clock.now();
    health.note(&joined, now);
    let Ok(membership) = joined else {
        return;
    };
    if membership.generation != generation {
        let partitions = &membership.partitions;
        tracing::info!(
            generation = membership.generation,
            ?partitions,
            "group: changed"
        );
    }
    let mut state = shared.state.borrow_mut();
    state.lease.renew(membership, sent_at, now);
    drop(state);
    orders::sync_owned(shared);
}

async fn leave_group(shared: &EntryShared, member: &str, health: &mut StoreHealth) {
    let left = shared.store.leave(OWNER_GROUP, member).await;
    health.note(&left, shared.clock.now());
}
