//! A generated configuration of adjustable size, for benchmarks.

use serde_json::json;

use super::change::{ConfigChange, ConfigEdit};
use super::model::SectionName;
use super::snapshot::{build_part, part_count};
use super::state::ConfigState;

/// The number of accounts that the adapters are distributed over.
const ACCOUNTS: usize = 200;
/// The number of edits in each change that builds the configuration.
const EDITS_PER_CHANGE: usize = 500;

/// A configuration with generated entries.
#[derive(Debug, Clone, Default)]
pub struct SyntheticConfig {
    state: ConfigState,
}

impl SyntheticConfig {
    /// Creates a configuration with `count` adapters of one version each.
    pub fn with_adapters(count: usize) -> Self {
        let mut config = Self::default();
        let mut edits = vec![put(SectionName::BaseModels, "gemma", json!({}))];
        for index in 0..ACCOUNTS {
            edits.push(put(SectionName::Accounts, &account(index), json!({})));
        }
        config.apply(std::mem::take(&mut edits));
        for index in 0..count {
            let entry = json!({"account": account(index), "base_model": "gemma", "current": "v1"});
            // As in real configurations, the names are not inserted in sorted order.
            let name = adapter(index);
            edits.push(put(SectionName::Adapters, &name, entry));
            edits.push(put(SectionName::Versions, &format!("{name}@v1"), json!({})));
            if edits.len() >= EDITS_PER_CHANGE {
                config.apply(std::mem::take(&mut edits));
            }
        }
        config.apply(edits);
        config
    }

    /// Creates a new version of one adapter and makes it the current one.
    pub fn change_adapter(&mut self, index: usize) {
        let tag = format!("v{}", u64::from(self.state.next_offset()) % 7 + 2);
        let name = adapter(index);
        let entry = json!({"account": account(index), "base_model": "gemma", "current": tag});
        let version = format!("{name}@{tag}");
        self.apply(vec![
            put(SectionName::Adapters, &name, entry),
            put(SectionName::Versions, &version, json!({})),
        ]);
    }

    /// The number of parts of a snapshot, and their total size as JSON in bytes.
    pub fn snapshot_size(&self) -> (u32, usize) {
        let parts = part_count(&self.state);
        let size = |part| {
            let part = build_part(&self.state, "bench", part);
            serde_json::to_string(&part).map_or(0, |text| text.len())
        };
        (parts, (0..parts).map(size).sum())
    }

    fn apply(&mut self, edits: Vec<ConfigEdit>) {
        let change = ConfigChange {
            nonce: String::new(),
            base: self.state.revisions().clone(),
            edits,
        };
        let applied = self.state.apply(self.state.next_offset(), &change);
        applied.expect("the generated entries are valid");
    }
}

fn account(index: usize) -> String {
    format!("account-{}", index % ACCOUNTS)
}

fn adapter(index: usize) -> String {
    let mixed = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    format!("shop-{mixed:010x}")
}

fn put(section: SectionName, name: &str, value: serde_json::Value) -> ConfigEdit {
    ConfigEdit::Put {
        section,
        name: name.to_owned(),
        value,
    }
}
