use serde_json::{Value, json};
use yare::parameterized;

use super::model::{KeyDigest, SectionName as S};
use super::state::{ChangeError, ConfigChange, ConfigEdit, ConfigState, SectionRevisions};
use crate::ids::LogOffset;

mod peers;
mod simulation;
mod snapshots;

pub(super) fn put(section: S, name: &str, value: Value) -> ConfigEdit {
    ConfigEdit::Put {
        section,
        name: name.to_owned(),
        value,
    }
}

pub(super) fn delete(section: S, name: &str) -> ConfigEdit {
    ConfigEdit::Delete {
        section,
        name: name.to_owned(),
    }
}

pub(super) fn change(base: &SectionRevisions, edits: Vec<ConfigEdit>) -> ConfigChange {
    ConfigChange {
        nonce: "n".to_owned(),
        base: base.clone(),
        edits,
    }
}

/// Edits that create a small valid configuration with an entry in each section.
pub(super) fn first_edits() -> Vec<ConfigEdit> {
    let digest = KeyDigest::of_key("secret").to_string();
    let target = json!({"address": "127.0.0.1:1", "zone": "a", "base_model": "gemma"});
    let adapter = json!({"account": "acme", "base_model": "gemma", "current": "v1"});
    vec![
        put(S::BaseModels, "gemma", json!({"loads_in_flight": 6})),
        put(S::Zones, "a", json!({})),
        put(S::Targets, "t1", target),
        put(S::Services, "bookings", json!({"prefix": "/bookings"})),
        put(S::Accounts, "acme", json!({})),
        put(
            S::Rates,
            "acme",
            json!({"tokens_per_second": 5, "burst": 9}),
        ),
        put(S::Keys, "k1", json!({"account": "acme", "sha256": digest})),
        put(S::Adapters, "shop", adapter),
        put(S::Versions, "shop@v1", json!({})),
    ]
}

/// The state after one change with [`first_edits`] at offset 0.
pub(super) fn first_state() -> ConfigState {
    let mut state = ConfigState::new();
    let first = change(&SectionRevisions::new(), first_edits());
    state.apply(LogOffset::from(0), &first).unwrap();
    state
}

/// Applies `edits` as the next record, based on the current revisions.
pub(super) fn apply_next(
    state: &mut ConfigState,
    edits: Vec<ConfigEdit>,
) -> Result<(), ChangeError> {
    let base = state.revisions().clone();
    state.apply(state.next_offset(), &change(&base, edits))
}

/// Guards against a restarted reader that applies old records again and so reverts an entry.
#[test]
fn records_below_the_applied_offset_are_ignored() {
    let mut state = first_state();
    let base = state.revisions().clone();
    let disable = put(S::Zones, "a", json!({"in_service": false}));
    apply_next(&mut state, vec![disable]).unwrap();
    let enable = put(S::Zones, "a", json!({"in_service": true}));
    state
        .apply(LogOffset::from(0), &change(&base, vec![enable]))
        .unwrap();
    assert!(!state.zones[&"a".parse().unwrap()].in_service);
    assert_eq!(state.next_offset(), LogOffset::from(2));
}

/// Guards against a revoked key that is still accepted because the digest index keeps it.
#[test]
fn a_deleted_key_is_not_found_by_its_digest() {
    let mut state = first_state();
    let digest = KeyDigest::of_key("secret");
    assert!(state.key_by_digest(&digest).is_some());
    apply_next(&mut state, vec![delete(S::Keys, "k1")]).unwrap();
    assert!(state.key_by_digest(&digest).is_none());
}

/// Guards against a rejected change whose edits before the invalid one remain applied.
#[test]
fn a_rejected_change_changes_nothing() {
    let mut state = first_state();
    let before = dump(&state);
    let edits = vec![
        put(S::Accounts, "other", json!({})),
        put(
            S::Rates,
            "acme",
            json!({"tokens_per_second": 7, "burst": 9}),
        ),
        delete(S::Keys, "k1"),
        put(
            S::Rates,
            "other",
            json!({"tokens_per_second": 0, "burst": 9}),
        ),
    ];
    let error = apply_next(&mut state, edits).unwrap_err();
    assert_eq!(
        error.to_string(),
        "rates \"other\": tokens_per_second must not be 0"
    );
    assert_eq!(dump(&state), before);
    assert!(state.key_by_digest(&KeyDigest::of_key("secret")).is_some());
    // The reference counts are restored too: the account still counts as used.
    apply_next(&mut state, vec![delete(S::Accounts, "acme")]).unwrap_err();
}

/// Guards against a lost update: two operators edit an entry from the same base revision, and the
/// second change overwrites the first.
#[test]
fn the_second_of_two_conflicting_changes_is_rejected() {
    let mut state = first_state();
    let base = state.revisions().clone();
    let rate = |rate: u64| {
        let value = json!({"tokens_per_second": rate, "burst": 9});
        change(&base, vec![put(S::Rates, "acme", value)])
    };
    state.apply(LogOffset::from(1), &rate(6)).unwrap();
    let error = state.apply(LogOffset::from(2), &rate(7)).unwrap_err();
    let expected = ChangeError::Conflict {
        section: S::Rates,
        name: "acme".to_owned(),
        revision: LogOffset::from(1),
    };
    assert_eq!(error, expected);
    assert_eq!(
        u64::from(state.rates[&"acme".parse().unwrap()].tokens_per_second),
        6
    );
}

/// Guards against a false conflict between concurrent changes to different entries of a section.
#[test]
fn concurrent_changes_to_different_entries_are_both_accepted() {
    let mut state = first_state();
    let base = state.revisions().clone();
    for (offset, name) in [(1, "one"), (2, "two")] {
        let edit = put(S::Accounts, name, json!({}));
        state
            .apply(LogOffset::from(offset), &change(&base, vec![edit]))
            .unwrap();
    }
}

/// Guards against a revoked key that is recreated by a change based on a revision before the
/// deletion.
#[test]
fn a_stale_change_cannot_recreate_a_deleted_entry() {
    let mut state = first_state();
    let base = state.revisions().clone();
    apply_next(&mut state, vec![delete(S::Keys, "k1")]).unwrap();
    let error = state.apply(
        LogOffset::from(2),
        &change(&base, first_edits()[6..7].to_vec()),
    );
    assert!(
        matches!(
            error,
            Err(ChangeError::Conflict {
                section: S::Keys,
                ..
            })
        ),
        "{error:?}"
    );
}

/// Guards against a change that avoids all conflict checks by stating a future base revision.
#[test]
fn a_base_revision_in_the_future_is_rejected() {
    let mut state = first_state();
    let base = SectionRevisions::from([(S::Rates, LogOffset::from(1))]);
    let error = state.apply(LogOffset::from(1), &change(&base, Vec::new()));
    assert!(
        matches!(error, Err(ChangeError::FutureBase { .. })),
        "{error:?}"
    );
}

fn target(zone: &str, kind: Value) -> Value {
    let mut value = json!({"address": "127.0.0.1:2", "zone": zone});
    value
        .as_object_mut()
        .unwrap()
        .extend(kind.as_object().unwrap().clone());
    value
}

/// Guards against changes that make the configuration invalid, and against an error message that
/// names the wrong entry.
#[parameterized(
    zero_rate = {
        put(S::Rates, "acme", json!({"tokens_per_second": 0, "burst": 9})),
        "rates \"acme\": tokens_per_second must not be 0" },
    rate_of_unknown_account = {
        put(S::Rates, "ghost", json!({"tokens_per_second": 1, "burst": 9})),
        "rates \"ghost\": there is no entry \"ghost\" in accounts" },
    zone_without_target = {
        put(S::Zones, "b", json!({})),
        "zones \"b\": the zone is in service but has no target" },
    last_target_of_a_zone = {
        delete(S::Targets, "t1"),
        "targets \"t1\": zone \"a\" is in service and would have no target" },
    target_with_both = {
        put(S::Targets, "t2", target("a", json!({"base_model": "gemma", "service": "bookings"}))),
        "targets \"t2\": it has both base_model and service; give one of them" },
    target_with_neither = {
        put(S::Targets, "t2", target("a", json!({}))),
        "targets \"t2\": it has neither base_model nor service; give one of them" },
    target_in_unknown_zone = {
        put(S::Targets, "t2", target("x", json!({"base_model": "gemma"}))),
        "targets \"t2\": there is no entry \"x\" in zones" },
    missing_current_version = {
        put(S::Adapters, "shop",
            json!({"account": "acme", "base_model": "gemma", "current": "v9"})),
        "adapters \"shop\": its current version \"shop@v9\" does not exist" },
    deleted_current_version = {
        delete(S::Versions, "shop@v1"),
        "versions \"shop@v1\": it is the current version of its adapter" },
    version_of_unknown_adapter = {
        put(S::Versions, "ghost@v1", json!({})),
        "versions \"ghost@v1\": there is no entry \"ghost\" in adapters" },
    adapter_with_versions = {
        delete(S::Adapters, "shop"),
        "adapters \"shop\": its version \"shop@v1\" still exists" },
    used_account = {
        delete(S::Accounts, "acme"),
        "accounts \"acme\": 3 entries still refer to it" },
    used_base_model = {
        delete(S::BaseModels, "gemma"),
        "base_models \"gemma\": 2 entries still refer to it" },
    unknown_entry = {
        delete(S::Accounts, "ghost"),
        "accounts \"ghost\": there is no such entry" },
    sum_of_load_limits = {
        put(S::BaseModels, "llama", json!({"loads_in_flight": 3})),
        "base_models \"llama\": loads_in_flight of all base models is 9 together, but the weight \
         store allows 8" },
    same_digest = {
        put(S::Keys, "k2",
            json!({"account": "acme", "sha256": KeyDigest::of_key("secret").to_string()})),
        "keys \"k2\": key \"k1\" has the same digest" },
    same_prefix = {
        put(S::Services, "other", json!({"prefix": "/bookings"})),
        "services \"other\": service \"bookings\" has the same prefix" },
    unknown_field = {
        put(S::Zones, "a", json!({"in_servise": true})),
        "zones \"a\": unknown field `in_servise`, expected `in_service`" },
)]
fn an_invalid_change_is_rejected(edit: ConfigEdit, message: &str) {
    let mut state = first_state();
    let before = dump(&state);
    let error = apply_next(&mut state, vec![edit]).unwrap_err();
    assert_eq!(error.to_string(), message);
    assert_eq!(dump(&state), before);
}

/// All entries with their revisions, as text.
pub(super) fn dump(state: &ConfigState) -> String {
    format!(
        "{:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?}",
        state.base_models,
        state.zones,
        state.targets,
        state.services,
        state.accounts,
        state.rates,
        state.keys,
        state.adapters,
        state.versions,
        state.revisions(),
    )
}
