//! Where the other entry VMs receive datagrams, and how many VMs share the limits over all of them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{NodeName, ZoneName};

/// How long a VM that falls silent keeps its share of limits over all VMs. VMs that don't hear each
/// other may all go on serving, so the shares of the others must not grow at once.
const SHARE_RETENTION: Duration = Duration::from_secs(3600);
/// The same for a VM that is registered in the store and has sent nothing so far: the store keeps the
/// records of VMs that were replaced long ago.
const REGISTERED_SHARE_RETENTION: Duration = Duration::from_secs(60);

/// Where a peer receives datagrams.
#[derive(Debug)]
struct PeerContact {
    address: SocketAddr,
    /// Unknown until a report from the peer includes it.
    zone: Option<ZoneName>,
    /// Until when the peer counts among those that share limits, unless it sends a message.
    shares_until: Timestamp,
}

impl PeerContact {
    fn set_address(&mut self, node: &NodeName, address: SocketAddr) {
        if self.address != address {
            tracing::info!(peer = %node, %address, "peers: a peer's address has changed");
            self.address = address;
        }
    }
}

/// All peers that were ever found. Silent ones are kept, since they may be only temporarily
/// unreachable.
#[derive(Debug, Default)]
pub(crate) struct PeerContacts {
    contacts: FastMap<NodeName, PeerContact>,
    /// The peers that shared the limits over all VMs at the last count.
    sharing: usize,
}

impl PeerContacts {
    /// Records that a peer has sent a message from `address`.
    pub(crate) fn record_message(&mut self, node: &NodeName, address: SocketAddr, now: Timestamp) {
        let shares_until = now + SHARE_RETENTION;
        match self.contacts.get_mut(node) {
            Some(contact) => {
                contact.shares_until = shares_until;
                contact.set_address(node, address);
            }
            None => self.add(node, address, shares_until, now),
        }
    }

    /// Records that a peer is registered in the store. Returns whether it is new.
    pub(crate) fn add_registered(
        &mut self,
        node: &NodeName,
        address: SocketAddr,
        now: Timestamp,
    ) -> bool {
        if let Some(contact) = self.contacts.get_mut(node) {
            contact.set_address(node, address);
            return false;
        }
        self.add(node, address, now + REGISTERED_SHARE_RETENTION, now);
        true
    }

    fn add(
        &mut self,
        node: &NodeName,
        address: SocketAddr,
        shares_until: Timestamp,
        now: Timestamp,
    ) {
        tracing::info!(peer = %node, %address, "peers: found a new peer");
        let contact = PeerContact {
            address,
            zone: None,
            shares_until,
        };
        self.contacts.insert(node.clone(), contact);
        self.expire_shares(now);
    }

    /// Counts the peers that share limits now.
    pub(crate) fn expire_shares(&mut self, now: Timestamp) {
        let contacts = self.contacts.values();
        self.sharing = contacts
            .filter(|contact| now < contact.shares_until)
            .count();
    }

    /// The number of VMs that share the limits over all VMs, this one included.
    pub(crate) fn share_count(&self) -> usize {
        self.sharing + 1
    }

    pub(crate) fn set_zone(&mut self, node: &NodeName, zone: ZoneName) {
        if let Some(contact) = self.contacts.get_mut(node) {
            contact.zone = Some(zone);
        }
    }

    pub(crate) fn zone_of(&self, node: &NodeName) -> Option<&ZoneName> {
        self.contacts.get(node)?.zone.as_ref()
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let contacts = self.contacts.values();
        contacts.map(|contact| contact.address).collect()
    }

    /// The addresses of the peers in `zone`, or of all peers not known to be in it.
    pub(crate) fn addresses_in_zone(&self, zone: &ZoneName, is_in_zone: bool) -> Vec<SocketAddr> {
        let contacts = self.contacts.values();
        let contacts =
            contacts.filter(|contact| (contact.zone.as_ref() == Some(zone)) == is_in_zone);
        contacts.map(|contact| contact.address).collect()
    }
}
