//! The state of owned partitions as operators see it in the dump.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::bucket::{AccountBucket, MILLIS};
use super::owner::PartitionOwner;
use crate::ids::AccountName;

impl PartitionOwner {
    /// The buckets in tokens, as of each bucket's last use.
    pub(super) fn dump(&self) -> Value {
        let accounts = self.accounts.iter();
        let accounts: BTreeMap<&AccountName, Value> = accounts
            .map(|(name, ledger)| (name, dump_bucket(&ledger.bucket)))
            .collect();
        json!({"fence": self.fence, "accounts": accounts})
    }
}

fn dump_bucket(bucket: &AccountBucket) -> Value {
    json!({
        "level_tokens": bucket.level / MILLIS,
        "granted_tokens": bucket.outstanding / MILLIS,
        "burst_tokens": bucket.burst() / MILLIS,
    })
}
