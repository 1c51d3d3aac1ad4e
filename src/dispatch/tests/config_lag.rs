use super::at;
use crate::dispatch::config_lag::{ConfigLag, ConfigView};
use crate::ids::{LogPosition, StoreEra};

fn view(version: u64, era: u64, offset: u64) -> ConfigView {
    ConfigView {
        version,
        next: LogPosition::new(StoreEra::from(era), offset.into()),
    }
}

/// Guards against a process that starts after a restore and uses the older configuration of the copy.
#[yare::parameterized(
    peer_of_the_new_era = {view(9, 2, 4)},
    peer_of_the_old_era = {view(9, 1, 80)},
)]
fn configuration_that_a_restored_log_lacks_is_missing_until_it_is_read(peer: ConfigView) {
    let mut lag = ConfigLag::default();
    assert!(lag.compare(view(7, 2, 4), peer, at(100)));
    assert!(!lag.compare(view(7, 2, 4), peer, at(200)));
    assert!(lag.is_behind(7, at(300)));
    assert!(!lag.is_behind(9, at(300)));
    assert!(!lag.is_behind(7, at(10_100)), "no VM refuses for ever");
}

/// Guards against refusals at each change of the configuration, which some VMs read before others.
#[test]
fn configuration_that_is_still_to_be_read_is_not_missing() {
    let mut lag = ConfigLag::default();
    assert!(!lag.compare(view(7, 2, 4), view(9, 2, 5), at(100)));
    assert!(!lag.compare(view(7, 1, 80), view(9, 2, 4), at(100)));
    assert!(!lag.is_behind(7, at(100)));
}

/// Guards against a peer's statement that is lost because it arrives before the first configuration.
#[test]
fn configuration_that_peers_stated_early_is_compared_with_the_first_one() {
    let mut lag = ConfigLag::default();
    for peer in [view(8, 1, 70), view(9, 1, 80), view(7, 2, 4)] {
        lag.keep_early(peer);
    }
    assert_eq!(lag.compare_early(view(7, 2, 4), at(100)), Some(9));
    assert!(lag.is_behind(7, at(100)));
    assert_eq!(lag.compare_early(view(7, 2, 4), at(100)), None);
}
