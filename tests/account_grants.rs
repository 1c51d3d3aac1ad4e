//! Tests of account limits that several entry VMs keep together.

mod platform_fixture;

use std::time::Duration;

use platform_fixture::{EntryVm, TestCluster, config_record};

const VMS: usize = 6;
const REQUESTS_PER_VM: usize = 16;
/// What a request without stated tokens costs.
const COST: u64 = 10;
const RATE: u64 = 40;
const BURST: u64 = 200;
/// What an account may get in any 8 s.
const BOUND: f64 = (RATE * 8 + BURST) as f64 * 1.1;
/// After this the VMs own the accounts, and the bucket, which starts empty, is full.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Log lines are written this much later at most.
const LOG_DELAY: Duration = Duration::from_secs(1);

/// Guards against grants that don't reach the VMs that ask for them, so that each VM decides by its copy of
/// the bucket.
#[tokio::test(flavor = "multi_thread")]
async fn surge_at_all_vms_is_granted_within_the_account_rate() {
    let cluster = TestCluster::start().await;
    let mut config = config_record(2, &["key-1"], 2);
    config["tenants"][0]["ratePerS"] = RATE.into();
    config["tenants"][0]["burst"] = BURST.into();
    let text = config.to_string();
    cluster.store.put("keyed.op", "config", text.as_bytes());
    let start = |index: usize| {
        let name = format!("vm-{index}");
        EntryVm::start_edited(&name, cluster.store_address, 2_000, |settings| {
            settings.replace("unknownField = 1", "accountGrants = true")
        })
    };
    let vms: Vec<_> = (0..VMS).map(start).collect();
    for vm in &vms {
        vm.wait_until_ready().await;
    }
    tokio::time::sleep(SETTLE_TIME).await;

    let surge = vms.iter().enumerate().map(|(index, vm)| async move {
        let mut admitted = 0;
        for request in 0..REQUESTS_PER_VM {
            let id = format!("r-{index}-{request}");
            let response = vm
                .send("/look/x", &id, "Authorization: Token key-1\r\n")
                .await;
            match response.status {
                200 => admitted += 1,
                429 => {}
                _ => panic!("{response:?}"),
            }
        }
        admitted
    });
    let admitted: u64 = futures_util::future::join_all(surge).await.iter().sum();

    let units = (admitted * COST) as f64;
    assert!(units <= BOUND, "{units} units of {BOUND}");
    // The bucket is full, and a part of it may be held in advance.
    assert!(units >= (BURST / 2) as f64, "{units} units");
    tokio::time::sleep(LOG_DELAY).await;
    let lines: Vec<_> = vms.iter().flat_map(|vm| vm.log_lines()).collect();
    assert!(lines.iter().any(|line| line["charged"] == "grant"));
}
