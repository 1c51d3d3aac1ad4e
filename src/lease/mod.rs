//! Which node owns a role. Roles with a single owner are held by lease.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use crate::ids::{BaseModel, FencingToken, NodeName};
use crate::platform::{VmEntry, VmListClient, VmState};
use crate::settings::NodeSettings;

/// The number of partitions that accounts are spread over.
pub(crate) const LEDGER_PARTITIONS: u32 = 16;
/// The pause between two reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// How often a waiting request looks for an owner.
const OWNER_POLL: Duration = Duration::from_millis(20);

/// A role that has a single owner at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, derive_more::Display)]
pub(crate) enum RoleName {
    /// The buckets of the accounts in one partition.
    #[display("ledger/{_0}")]
    Ledger(u32),
    /// Admission to the targets of one base model.
    #[display("pool/{_0}")]
    Pool(BaseModel),
    /// Publishing snapshots of the configuration.
    #[display("config/snapshot")]
    Snapshot,
}

/// Who owns a role now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RoleOwner {
    Local {
        fence: FencingToken,
    },
    Remote {
        address: SocketAddr,
        fence: FencingToken,
    },
    Nobody,
}

/// This node's view of the owners.
#[derive(Debug)]
pub(crate) struct LeaseService {
    node: NodeName,
    list: VmListClient,
    vms: Mutex<Vec<VmEntry>>,
}

impl LeaseService {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        Self {
            node: settings.node.clone(),
            list: VmListClient::new(&settings.platform_url),
            vms: Mutex::default(),
        }
    }

    /// The owner of `role`: for now the live VM with the lowest name owns every role.
    pub(crate) fn owner(&self, _role: &RoleName) -> RoleOwner {
        let vms = self.vms.lock().expect("no holder of the lock panics");
        let live = vms.iter().filter(|vm| vm.state == VmState::Live);
        match live.min_by(|a, b| a.name.cmp(&b.name)) {
            Some(vm) if vm.name == self.node => RoleOwner::Local {
                fence: FencingToken::default(),
            },
            Some(vm) => RoleOwner::Remote {
                address: vm.address,
                fence: FencingToken::default(),
            },
            None => RoleOwner::Nobody,
        }
    }

    /// The owner of `role`, waiting up to `limit` while nobody owns it.
    pub(crate) async fn wait_for_owner(&self, role: &RoleName, limit: Duration) -> RoleOwner {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let owner = self.owner(role);
            if owner != RoleOwner::Nobody || tokio::time::Instant::now() >= deadline {
                return owner;
            }
            tokio::time::sleep(OWNER_POLL).await;
        }
    }

    /// Follows the VM list until the future is dropped.
    pub(crate) async fn run(&self) {
        loop {
            match self.list.list().await {
                Ok(vms) => *self.vms.lock().expect("no holder of the lock panics") = vms,
                Err(error) => tracing::warn!("lease: reading the VM list failed: {error}"),
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }
}
