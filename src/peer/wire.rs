//! The frame that carries the messages of all components between entry VMs.

use crate::config::wire::ConfigMessage;
use crate::lease::wire::LeaseMessage;
use crate::ledger::wire::LedgerMessage;
use crate::membership::wire::MembershipMessage;
use crate::pool::wire::PoolMessage;
use crate::quarantine::wire::QuarantineMessage;

/// A request or a reply. A reply has the call number of its request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PeerFrame {
    /// Unique per connection and direction.
    #[prost(uint64, tag = "1")]
    pub(crate) call: u64,
    #[prost(bool, tag = "2")]
    pub(crate) reply: bool,
    #[prost(oneof = "PeerBody", tags = "10, 11, 12, 13, 14, 15")]
    pub(crate) body: Option<PeerBody>,
}

/// The message of one component, which defines and handles it.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum PeerBody {
    #[prost(message, tag = "10")]
    Ledger(LedgerMessage),
    #[prost(message, tag = "11")]
    Pool(PoolMessage),
    #[prost(message, tag = "12")]
    Lease(LeaseMessage),
    #[prost(message, tag = "13")]
    Membership(MembershipMessage),
    #[prost(message, tag = "15")]
    Config(ConfigMessage),
    #[prost(message, tag = "14")]
    Quarantine(QuarantineMessage),
}

impl PeerBody {
    /// The component that the message belongs to, as the value of the metric label `part`.
    pub(super) fn part(&self) -> &'static str {
        match self {
            Self::Ledger(_) => "ledger",
            Self::Pool(_) => "pool",
            Self::Lease(_) => "lease",
            Self::Membership(_) => "membership",
            Self::Config(_) => "config",
            Self::Quarantine(_) => "quarantine",
        }
    }
}
