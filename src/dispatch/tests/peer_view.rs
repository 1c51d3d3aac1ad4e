use std::time::Duration;

use super::{at, ms};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::peer_view::{PeerReport, PeerView};
use crate::ids::{BootId, NodeName};

fn node(index: u16) -> NodeName {
    format!("vm-{index}").parse().unwrap()
}

fn report(index: u16, sequence: u64, load: u32, now: Timestamp) -> PeerReport {
    PeerReport {
        boot: BootId::from(1),
        address: ([10, 0, 0, 1], 7600 + index).into(),
        sequence,
        loads: [(TargetKey::from(7), load)].into_iter().collect(),
        generation: 3,
        partitions: vec![u32::from(index)],
        report_interval: ms(300),
        received_at: now,
    }
}

/// Guards against totals that include a peer's superseded reports or the reports of an absent peer.
#[test]
fn totals_follow_the_newest_reports_of_live_peers() {
    let mut view = PeerView::default();
    view.apply_report(node(1), report(1, 1, 4, at(0)));
    view.apply_report(node(2), report(2, 1, 5, at(0)));
    view.apply_report(node(2), report(2, 2, 2, at(1000)));
    assert!(!view.apply_report(node(2), report(2, 1, 9, at(1001))));
    assert_eq!((view.load(TargetKey::from(7)), view.member_count()), (6, 3));
    assert!(view.expire(at(1600)).is_empty());
    assert_eq!((view.load(TargetKey::from(7)), view.member_count()), (2, 2));
    assert_eq!((view.owner_of(1), view.owner_of(2).is_some()), (None, true));
    view.apply_report(node(1), report(1, 2, 1, at(1700)));
    assert_eq!((view.load(TargetKey::from(7)), view.member_count()), (3, 3));
    assert!(view.owner_of(1).is_some());
    assert_eq!(view.expire(at(9_500)).len(), 1);
}

/// Guards against peers in other zones counting as absent between two of their rare reports.
#[test]
fn peer_with_rare_reports_stays_live() {
    let mut view = PeerView::default();
    let report_interval = Duration::from_millis(1100);
    view.apply_report(
        node(1),
        PeerReport {
            report_interval,
            ..report(1, 1, 4, at(0))
        },
    );
    view.expire(at(3_200));
    assert_eq!(view.member_count(), 2);
    view.expire(at(3_400));
    assert_eq!(view.member_count(), 1);
}

/// Guards against VMs disagreeing on which VMs read the store, so that all or none of them do.
#[test]
fn all_vms_agree_on_the_ranking_of_vms() {
    const VMS: u16 = 20;
    let mut ranks = Vec::new();
    for own in 0..VMS {
        let mut view = PeerView::default();
        for peer in (0..VMS).filter(|peer| *peer != own) {
            view.apply_report(node(peer), report(peer, 1, 0, at(0)));
        }
        let rank = view.rank_of(&node(own));
        ranks.push(rank);
        let first = view.first_addresses(3);
        assert_eq!(first.len(), 3);
    }
    ranks.sort_unstable();
    assert!(ranks.into_iter().eq(0..usize::from(VMS)));
}
