//! The ledger's section of the operator dump.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::bucket::{AccountBucket, MILLITOKENS_PER_TOKEN};
use super::owner::PartitionOwner;
use crate::ids::AccountName;

impl PartitionOwner {
    /// The state for the operator dump, in tokens. Each bucket is shown as of its last use, without
    /// later refills.
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
        "level_tokens": bucket.level / MILLITOKENS_PER_TOKEN,
        "granted_tokens": bucket.outstanding / MILLITOKENS_PER_TOKEN,
        "burst_tokens": bucket.burst() / MILLITOKENS_PER_TOKEN,
    })
}
