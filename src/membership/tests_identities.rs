//! Tests short heartbeats between processes that restart and take over addresses.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::identities::PeerIdentities;
use super::wire::Heartbeat;

/// The process that now listens at an address.
struct Process {
    heartbeat: Heartbeat,
    identities: PeerIdentities,
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 8000 + index as u16).into()
}

fn process(index: usize, boot: u64, node: u8) -> Process {
    let heartbeat = Heartbeat {
        node: format!("entry-{node}"),
        boot,
        address: Some(address(index).to_string()),
        ..Heartbeat::default()
    };
    Process {
        heartbeat,
        identities: PeerIdentities::default(),
    }
}

/// Sends one heartbeat and its answer as the service does. Returns whether the heartbeat was short
/// and accepted.
fn exchange(processes: &mut [Process], from: usize, to: usize, lost: bool) -> bool {
    let original = processes[from].heartbeat.clone();
    let destination = address(to);
    let request = processes[from]
        .identities
        .heartbeat_for(destination, original.clone());
    let short = request.is_short();
    let received = processes[to].identities.expand(request);
    if let Some(received) = &received {
        assert_eq!(
            *received, original,
            "heartbeat was attributed to another process"
        );
    }
    let own = processes[to].heartbeat.clone();
    let answer = match short && received.is_some() {
        true => own.clone().shortened(),
        false => own.clone(),
    };
    if !lost {
        let identities = &mut processes[from].identities;
        let answered = identities.expand(answer);
        identities.set_recognized(destination, received.is_some() && answered.is_some());
        if let Some(answered) = answered {
            assert_eq!(answered, own, "answer was attributed to another process");
        }
    }
    short && received.is_some()
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), cases: 300, ..Config::default() })]

    /// Guards against heartbeats and promises that are attributed to another process.
    #[test]
    fn a_short_heartbeat_is_attributed_to_its_sender(
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

/// Guards against full heartbeats to a peer that knows the sender, and against a restarted peer
/// that never receives the name.
#[test]
fn names_are_sent_until_the_peer_knows_them() {
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
