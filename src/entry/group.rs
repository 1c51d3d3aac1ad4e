//! Membership in the store's consumer group that assigns partitions of targets to entry VMs.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::orders;
use super::restored::observe_era;
use super::shared::EntryShared;
use super::state::EntryState;
use super::store_health::StoreHealth;
use super::wire::RecordedEntitlement;
use crate::clock::Timestamp;
use crate::dispatch::ownership::{EntitlementRecord, GroupGeneration};
use crate::platform::store::GroupJoin;

/// The topic whose partitions are assigned to the group's members.
const OWNER_TOPIC: &str = "owners";
const OWNER_GROUP: &str = "entry";
/// The topic in which owners record what they are entitled to.
const ENTITLEMENT_TOPIC: &str = "keyed.entitlements";
/// In a large fleet, a VM joins the group if its rank is below the number of partitions. It leaves
/// only when its rank reaches that number times this factor, so that it doesn't join and leave
/// repeatedly.
const LEAVE_FACTOR: f64 = 1.5;

/// How long a VM that was cut off from targets stays out of the group. While a part of its links fails, it
/// would join and leave repeatedly.
const REJOIN_DELAY: Duration = Duration::from_secs(3);

/// Keeps this VM's group membership as long as it is needed and until the process stops.
pub(crate) async fn follow_group(shared: Rc<EntryShared>) {
    let mut health = StoreHealth::new("group");
    // A process that starts again keeps its membership. Under another name it would have to wait
    // until the membership of the previous process has expired.
    let member = shared.state.borrow().settings.node.to_string();
    let mut joined = false;
    let mut cut_off_at: Option<Timestamp> = None;
    shared.wait_for_peer_list().await;
    if should_be_owner(&shared.state.borrow(), joined) {
        inherit_entitlement(&shared, &member).await;
    }
    while shared.state.borrow().stopping_since.is_none() {
        let needed = {
            let (state, now) = (shared.state.borrow(), shared.clock.now());
            if state.is_cut_off_from_engines(now) {
                cut_off_at = Some(now);
            }
            // Orders of this VM would not arrive.
            let is_cut_off = cut_off_at.is_some_and(|time| now.since(time) < REJOIN_DELAY);
            !is_cut_off && should_be_owner(&state, joined)
        };
        if needed {
            join_group(&shared, &member, &mut health).await;
            record_entitlement(&shared, &member);
        } else if joined {
            tracing::info!("group: leaving, so that other VMs own the targets");
            shared.state.borrow_mut().lease.release();
            leave_group(&shared, &member, &mut health).await;
            orders::sync_owned_targets(&shared);
        }
        joined = needed;
        let interval = shared.state.borrow().lease.renewal_interval();
        tokio::time::sleep(interval).await;
    }
    if joined {
        leave_group(&shared, &member, &mut health).await;
    }
}

/// Reads what this VM's previous process was entitled to.
async fn inherit_entitlement(shared: &EntryShared, member: &str) {
    let records = match shared.store.newest(ENTITLEMENT_TOPIC).await {
        Ok(newest) => newest.records,
        Err(error) => {
            tracing::info!(%error, "group: the previous entitlement can't be read");
            return;
        }
    };
    let own = records.into_iter().find(|record| record.key == member);
    let Some(value) = own.and_then(|record| record.value) else {
        return;
    };
    match RecordedEntitlement::decode(value) {
        Ok(recorded) => {
            let RecordedEntitlement {
                generation,
                partitions,
                era,
            } = recorded;
            let generation = GroupGeneration::new(era.into(), generation);
            tracing::info!(
                %generation,
                ?partitions,
                "group: read the previous entitlement"
            );
            let mut state = shared.state.borrow_mut();
            state.lease.inherit(EntitlementRecord {
                generation,
                partitions,
            });
        }
        Err(error) => tracing::warn!(%error, "group: the previous entitlement is invalid"),
    }
}

/// Records what this VM is entitled to, if it has changed, without delaying the next renewal.
fn record_entitlement(shared: &Rc<EntryShared>, member: &str) {
    let now = shared.clock.now();
    let Some(record) = shared.state.borrow().lease.unrecorded_entitlement(now) else {
        return;
    };
    // A failed write is not repeated: the next restart then waits like any new owner.
    shared
        .state
        .borrow_mut()
        .lease
        .mark_recorded(record.clone());
    let (shared, member) = (Rc::clone(shared), member.to_owned());
    tokio::task::spawn_local(async move {
        let value = RecordedEntitlement {
            generation: record.generation.number,
            partitions: record.partitions,
            era: record.generation.era.into(),
        };
        let value = value.encode_to_vec();
        let put = shared.store.put(ENTITLEMENT_TOPIC, &member, Some(&value));
        if let Err(error) = put.await {
            tracing::info!(%error, "group: recording the entitlement failed");
        }
    });
}

/// Whether this VM should own targets. A large fleet needs only as many owners as there are
/// partitions.
fn should_be_owner(state: &EntryState, joined: bool) -> bool {
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
        // The store would take a number of an earlier era for one that this VM has seen.
        generation: match shared.store.era() {
            Some(era) if era == generation.era => generation.number,
            _ => 0,
        },
    };
    let sent_at = shared.clock.now();
    let result = shared.store.join(&join).await;
    let now = shared.clock.now();
    health.record(&result, now);
    let Ok(membership) = result else {
        return;
    };
    observe_era(shared, membership.generation.era, "group", now);
    if membership.generation != generation {
        let partitions = &membership.partitions;
        tracing::info!(
            generation = %membership.generation,
            ?partitions,
            "group: the assignment of partitions has changed"
        );
    }
    let mut state = shared.state.borrow_mut();
    state.lease.renew(membership, sent_at, now);
    drop(state);
    orders::sync_owned_targets(shared);
}

async fn leave_group(shared: &EntryShared, member: &str, health: &mut StoreHealth) {
    let result = shared.store.leave(OWNER_GROUP, member).await;
    health.record(&result, shared.clock.now());
}
