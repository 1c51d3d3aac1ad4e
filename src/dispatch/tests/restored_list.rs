use super::at;
use crate::dispatch::restored_list::RestoredList;
use crate::ids::{LogPosition, StoreEra};

/// Guards against a zone that is put back into service because a restored store lacks the order, and
/// against one that stays out for good although the order was taken back.
#[test]
fn list_of_a_restored_store_is_whole_only_after_the_grace() {
    let position = |era: u64| LogPosition::new(StoreEra::from(era), 10.into());
    let mut list = RestoredList::default();
    assert!(list.record_read(position(1), true, at(0)));
    assert!(!list.record_read(position(1), false, at(10)));
    assert!(!list.record_read(position(2), true, at(1000)));
    assert!(!list.record_read(position(2), true, at(5000)));
    assert!(!list.is_due(at(10_900)));
    assert!(list.is_due(at(11_000)));
    assert!(list.record_read(position(2), true, at(11_000)));
    assert!(!list.is_due(at(20_000)));
}
