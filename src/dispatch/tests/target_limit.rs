use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{at, report};
use crate::clock::Timestamp;
use crate::dispatch::directory::{TargetDirectory, TargetKey};
use crate::dispatch::target_entry::TargetEntry;
use crate::dispatch::target_limit::{RateStatement, TargetLimiter};
use crate::ids::{NodeName, RequestRate};

/// The window in which a target's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after the limit was stated the requests count.
const SETTLE_MS: u64 = 3000;
const LENGTH_MS: u64 = 20_000;
/// How often a waiting request looks for a target again.
const RECHECK_MS: u64 = 60;

fn statement(rate: f64, millis: u64) -> RateStatement {
    RateStatement {
        rate: RequestRate::per_second(rate).unwrap(),
        stated_at: at(millis),
    }
}

/// VMs that tell each other of each request by datagrams, some of which are lost.
struct Fleet {
    limiters: Vec<TargetLimiter>,
    names: Vec<NodeName>,
    /// Messages by the time of their arrival: sender and count.
    messages: BTreeMap<u64, Vec<(usize, u64)>>,
    random: SmallRng,
    /// When requests were sent.
    sent: Vec<u64>,
    /// The fraction of datagrams that is lost.
    loss: f64,
}

impl Fleet {
    fn new(vms: usize, rate: f64, loss: f64, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut limiter = |_| TargetLimiter::new(statement(rate, 0), random.random(), at(0));
        Self {
            limiters: (0..vms).map(&mut limiter).collect(),
            names: (0..vms)
                .map(|vm| format!("vm-{vm}").parse().unwrap())
                .collect(),
            messages: BTreeMap::new(),
            random,
            sent: Vec::new(),
            loss,
        }
    }

    fn deliver(&mut self, now: u64) {
        let later = self.messages.split_off(&(now + 1));
        for (sender, count) in std::mem::replace(&mut self.messages, later)
            .into_values()
            .flatten()
        {
            for receiver in 0..self.limiters.len() {
                if receiver != sender && !self.random.random_bool(self.loss) {
                    let name = self.names[sender].clone();
                    self.limiters[receiver].record_peer(&name, count, at(now));
                }
            }
        }
    }

    /// Sends a request through a VM, if it may. Returns whether it was sent.
    fn try_send(&mut self, vm: usize, now: u64) -> bool {
        if !self.limiters[vm].may_send(at(now)) {
            return false;
        }
        self.limiters[vm].record_send(at(now));
        self.sent.push(now);
        let arrival = now + self.random.random_range(1..6);
        let count = self.limiters[vm].own_sent();
        self.messages.entry(arrival).or_default().push((vm, count));
        true
    }

    fn most_in_window(&self) -> usize {
        let counted: Vec<_> = self
            .sent
            .iter()
            .filter(|time| **time >= SETTLE_MS)
            .collect();
        let window = WINDOW.as_millis() as u64;
        let in_window = |start: u64| {
            counted
                .iter()
                .filter(move |t| (start..start + window).contains(t))
        };
        let counts = counted.iter().map(|start| in_window(**start).count());
        counts.max().unwrap_or(0)
    }
}

/// Replays callers that press on one target: `demand` requests a second arrive at random VMs and wait
/// there for up to a second.
fn play(vms: usize, rate: f64, demand: f64, loss: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, rate, loss, seed);
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    for now in 0..LENGTH_MS {
        fleet.deliver(now);
        // A surge of three times the demand in the middle.
        let surge = if (9000..12_000).contains(&now) {
            3.0
        } else {
            1.0
        };
        let mut expected = demand * surge / 1000.0;
        while expected > 0.0 {
            if fleet.random.random_bool(expected.min(1.0)) {
                waiting.push((fleet.random.random_range(0..vms), now));
            }
            expected -= 1.0;
        }
        waiting.retain(|(vm, since)| {
            let waited = now - since;
            let looks = waited.is_multiple_of(RECHECK_MS);
            waited < 1000 && !(looks && fleet.try_send(*vm, now))
        });
    }
    fleet
}

/// Guards against a rate-limited target that gets more than it states to take: in fleets of any size, at
/// any pressure, and with lost datagrams.
#[yare::parameterized(
    small_fleet = { 6, 4.5, 10.0, 0.0 },
    small_fleet_pressed = { 6, 4.5, 60.0, 0.02 },
    slow_target = { 6, 0.4, 10.0, 0.02 },
    fleet_of_83 = { 83, 2.0, 4.0, 0.02 },
    fleet_of_83_pressed = { 83, 2.0, 30.0, 0.02 },
    fleet_of_195 = { 195, 2.3, 5.0, 0.02 },
    fleet_of_195_pressed = { 195, 2.3, 40.0, 0.02 },
    lossy = { 83, 2.0, 30.0, 0.1 },
    takes_nothing = { 83, 0.0, 10.0, 0.02 },
)]
fn target_gets_no_more_than_it_states(vms: usize, rate: f64, demand: f64, loss: f64) {
    let allowed = (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize;
    for seed in 0..20 {
        let fleet = play(vms, rate, demand, loss, seed);
        let most = fleet.most_in_window();
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
        // What it takes is used.
        let usable = rate.min(demand) * LENGTH_MS as f64 / 1000.0;
        assert!(
            fleet.sent.len() as f64 > 0.7 * usable,
            "seed {seed}: {}",
            fleet.sent.len()
        );
    }
}

fn entry(directory: &mut TargetDirectory, now: Timestamp) -> &mut TargetEntry {
    let name = "i-1".parse().unwrap();
    directory.apply(&name, Some(report("a")), now);
    directory.get_mut(TargetKey::new(&name)).unwrap()
}

/// Guards against a limit that ends because of a response from before the target stated it, and
/// against an outdated message of a peer that restores it.
#[test]
fn limit_ends_only_with_a_later_response() {
    let mut directory = TargetDirectory::default();
    let entry = entry(&mut directory, at(0));
    assert!(entry.apply_stated_rate(statement(2.0, 1000), at(1000)));
    assert!(!entry.end_stated_rate(at(900), at(1100)));
    assert!(entry.end_stated_rate(at(1050), at(1200)));
    assert!(entry.is_within_rate(at(1200)) && !entry.record_send(at(1200)));
    let peer = "vm-2".parse().unwrap();
    assert!(!entry.apply_peer_rate(&peer, statement(2.0, 1100), 7, at(1300)));
    assert!(entry.rate_limiter().is_none());
    assert!(entry.apply_peer_rate(&peer, statement(2.0, 1250), 8, at(1300)));
    assert!(!entry.is_within_rate(at(1300)));
}

/// Guards against the limit of an earlier process, and against a peer's requests that count twice or
/// not at all after it has started again.
#[test]
fn requests_of_a_restarted_peer_count_once() {
    let peer: NodeName = "vm-2".parse().unwrap();
    let mut limiter = TargetLimiter::new(statement(10.0, 0), 0.0, at(0));
    assert!(limiter.may_send(at(500)));
    limiter.record_peer(&peer, 4, at(500));
    limiter.record_peer(&peer, 4, at(500));
    assert!(limiter.may_send(at(600)));
    limiter.record_peer(&peer, 2, at(600));
    assert!(!limiter.may_send(at(600)));
    let mut directory = TargetDirectory::default();
    let entry = entry(&mut directory, at(0));
    entry.apply_stated_rate(statement(2.0, 10), at(10));
    let mut restarted = report("a");
    restarted.started_ms = 9;
    let name = "i-1".parse().unwrap();
    directory.apply(&name, Some(restarted), at(20));
    let entry = directory.get(TargetKey::new(&name)).unwrap();
    assert!(entry.rate_limiter().is_none() && entry.is_within_rate(at(20)));
}

/// Guards against sends that are all made at the moment at which the VMs learn of the limit.
#[test]
fn vms_do_not_start_together() {
    let fleet = play(83, 2.0, 60.0, 0.0, 1);
    let first = fleet.sent.iter().filter(|time| **time < 200).count();
    assert!(first <= 5, "{first}");
}
