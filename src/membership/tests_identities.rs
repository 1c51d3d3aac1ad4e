//! Heartbeats without names, between processes that restart and take over addresses.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::identities::PeerIdentities;
use super::wire::Heartbeat;

/// The process that now listens at an address.
struct Process {
    beat: Heartbeat,
    identities: PeerIdentities,
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 8000 + index as u16).into()
}

fn process(index: usize, boot: u64, node: u8) -> Process {
    let beat = Heartbeat {
        node: format!("entry-{node}"),
        boot,
        address: Some(address(index).to_string()),
        ..Heartbeat::default()
    };
    Process {
        beat,
        identities: PeerIdentities::default(),
    }
}

/// One heartbeat as the service sends, answers and takes it; tells whether it was short.
fn exchange(processes: &mut [Process], from: usize, to: usize, lost: bool) -> bool {
    let meant = processes[from].beat.clone();
    let asked = address(to);
    let ask = processes[from].identities.addressed(asked, meant.clone());
    let short = ask.is_short();
    let seen = processes[to].identities.completed(ask);
    if let Some(seen) = &seen {
        assert_eq!(*seen, meant, "the sender is who it is");
    }
    let own = processes[to].beat.clone();
    let answer = match short && seen.is_some() {
        true => own.clone().shortened(),
        false => own.clone(),
    };
    if !lost {
        let identities = &mut processes[from].identities;
        let answered = identities.completed(answer);
        identities.note_introduced(asked, seen.is_some() && answered.is_some());
        if let Some(answered) = answered {
            assert_eq!(answered, own, "the answer comes from who it is");
        }
    }
    short && seen.is_some()
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), cases: 300, ..Config::default() })]

    /// Guards against heartbeats and promises that are taken for those of another process.
    #[test]
    fn a_short_heartbeat_is_its_senders(
        steps in prop::collection::vec((0usize..3, 0usize..3, 0u8..4, any::<bool>()), 1..60),
    ) {
        let mut processes: Vec<_> = (0..3).map(|i| process(i, i as u64 + 1, i as u8)).collect();
        let mut boot = 10;
        for (from, to, node, lost) in steps {
            if from == to {
                boot += 1;
                processes[to] = process(to, boot, node);
            } else {
                exchange(&mut processes, from, to, lost);
            }
        }
    }
}

/// Guards against names in every heartbeat, and against a restarted peer that never gets them.
#[test]
fn names_travel_until_the_peer_knows_them() {
    let mut processes = vec![process(0, 1, 0), process(1, 2, 1)];
    let short: Vec<_> = (0..3)
        .map(|_| exchange(&mut processes, 0, 1, false))
        .collect();
    assert_eq!(short, [false, true, true]);
    processes[1] = process(1, 3, 1);
    let short: Vec<_> = (0..3)
        .map(|_| exchange(&mut processes, 0, 1, false))
        .collect();
    assert_eq!(short, [false, false, true]);
}
