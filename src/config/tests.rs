use serde_json::json;

use super::model::{KeyDigest, SectionName};
use super::state::{ConfigChange, ConfigEdit, ConfigState};
use crate::ids::LogOffset;

fn put(section: SectionName, name: &str, value: serde_json::Value) -> ConfigChange {
    let edit = ConfigEdit::Put {
        section,
        name: name.to_owned(),
        value,
    };
    ConfigChange {
        nonce: "n".to_owned(),
        base: Default::default(),
        edits: vec![edit],
    }
}

/// Guards against a restarted reader that applies old records again and so reverts an entry.
#[test]
fn records_below_the_applied_offset_are_ignored() {
    let mut state = ConfigState::new();
    let open = put(SectionName::Zones, "a", json!({"in_service": true}));
    let shut = put(SectionName::Zones, "a", json!({"in_service": false}));
    state.apply(LogOffset::from(0), &open).unwrap();
    state.apply(LogOffset::from(1), &shut).unwrap();
    state.apply(LogOffset::from(0), &open).unwrap();
    assert!(!state.zones[&"a".parse().unwrap()].in_service);
    assert_eq!(state.next_offset(), LogOffset::from(2));
}

/// Guards against a revoked key that is still found by its digest.
#[test]
fn a_deleted_key_is_not_found_by_its_digest() {
    let digest = KeyDigest::of_key("secret");
    let mut state = ConfigState::new();
    let value = json!({"account": "acme", "sha256": digest.to_string()});
    state
        .apply(LogOffset::from(0), &put(SectionName::Keys, "k1", value))
        .unwrap();
    assert!(state.key_by_digest(&digest).is_some());
    let edit = ConfigEdit::Delete {
        section: SectionName::Keys,
        name: "k1".to_owned(),
    };
    let delete = ConfigChange {
        nonce: "d".to_owned(),
        base: Default::default(),
        edits: vec![edit],
    };
    state.apply(LogOffset::from(1), &delete).unwrap();
    assert!(state.key_by_digest(&digest).is_none());
}
