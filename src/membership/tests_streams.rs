use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures_util::FutureExt;

use super::MembershipService;
use super::table::ConfirmedTail;
use crate::clock::{Clock, Timestamp};
use crate::config::service::ConfigService;
use crate::entry::response_memory::ResponseMemory;
use crate::ids::{BootId, LogOffset};
use crate::platform_client::{LogClient, VmListClient};
use crate::settings::NodeSettings;

/// Guards against a paused process that continues streams because of a check from before the pause,
/// and against waiting tasks that are not woken when streams must end.
#[test]
fn streams_continue_only_after_a_recent_check_allowed_them() {
    let url = "http://127.0.0.1:1";
    let millis = Arc::new(AtomicU64::new(1000));
    let clock = Clock::Manual(Arc::clone(&millis));
    let settings = NodeSettings::new("b".parse().unwrap(), "a".parse().unwrap(), url, "t");
    let memory = ResponseMemory::for_tests();
    let vm_list = VmListClient::new(url, &memory);
    let service = MembershipService::new(&settings, BootId::from(2), clock.clone(), vm_list);
    let config = ConfigService::new(LogClient::new(url, &memory), clock);
    assert!(
        !service.may_continue_stream(&config),
        "nothing is confirmed yet"
    );
    service.table().record_tail(ConfirmedTail {
        offset: LogOffset::default(),
        confirmed_at: Timestamp::from_millis(1000),
    });
    service.check_streams(&config);
    assert!(service.may_continue_stream(&config));
    assert!(service.wait_until_stale(&config).now_or_never().is_none());
    millis.store(4600, Ordering::Relaxed);
    assert!(
        !service.may_continue_stream(&config),
        "the process was paused"
    );
    service.check_streams(&config);
    assert!(service.wait_until_stale(&config).now_or_never().is_some());
}
