//! Tests of records that another writer has left among those of the targets.

mod platform_fixture;

use platform_fixture::TestCluster;

const NO_TARGET: &str = "no target is in service";

/// A record with one field that no target writes.
fn record_with(field: &str, value: &str) -> String {
    let mut fields = vec![
        ("service", "\"llm\""),
        ("address", "\"127.0.0.1:1\""),
        ("zone", "\"a\""),
        ("slots", "1"),
        ("state", "\"draining\""),
        ("sequence", "1"),
        ("born", "1"),
        ("coldRemainingMs", "0"),
        ("models", "[]"),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value));
    let fields = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"));
    format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
}

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Guards against a VM that ends, or stops following the targets, because of a record that can't be
/// one of theirs, whether it finds the record at its start or later.
#[yare::parameterized(
    nested_record = { nested(100_000) },
    nested_objects = { "{\"a\":".repeat(50_000) },
    nested_models = { record_with("models", &nested(100_000)) },
    nested_unknown_field = { record_with("other", &nested(100_000)) },
    cold_forever = { record_with("coldRemainingMs", "18446744073709551615") },
    cold_beyond_any_type = { record_with("coldRemainingMs", "1e400") },
    negative_cold = { record_with("coldRemainingMs", "-1") },
    many_slots = { record_with("slots", "4294967295") },
    too_many_slots = { record_with("slots", "4294967296") },
    last_sequence = { record_with("sequence", "18446744073709551615") },
    late_start = { record_with("born", "18446744073709551615") },
    port_out_of_range = { record_with("address", "\"127.0.0.1:70000\"") },
    negative_port = { record_with("address", "\"127.0.0.1:-1\"") },
    port_zero = { record_with("address", "\"127.0.0.1:0\"") },
    address_of_another_type = { record_with("address", "17") },
    last_version = { record_with("models", "[{\"name\":\"m\",\"adapters\":[\"a1@18446744073709551615\"]}]") },
    no_text = { "\u{0}\u{1}".to_owned() },
)]
#[test_macro(tokio::test)]
async fn odd_record_does_not_stop_a_vm_or_what_it_follows(record: String) {
    let cluster = TestCluster::start().await;
    let mut early = cluster.start_entry_vm("vm-1").await;
    early.send_until("/open/x", "", 200).await;
    cluster
        .store
        .put("keyed.servers", "i-odd", record.as_bytes());
    let ready = record.replace("draining", "ready");
    cluster
        .store
        .put("keyed.servers", "i-odd-2", ready.as_bytes());
    let mut late = cluster.start_entry_vm("vm-2").await;
    for vm in [&early, &late] {
        vm.send_until("/open/x", "", 200).await;
    }
    // Both still follow the records of targets.
    cluster.report_target("draining", 9);
    cluster.store.put("keyed.servers", "i-odd-2", b"");
    for vm in [&early, &late] {
        let last = vm.send_until("/open/x", "", 503).await;
        assert!(last.text.contains(NO_TARGET), "{last:?}");
    }
    for vm in [&mut early, &mut late] {
        assert_eq!(vm.child.try_wait().unwrap(), None);
    }
}
