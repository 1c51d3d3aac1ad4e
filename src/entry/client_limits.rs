//! The limits on what untrusted clients may occupy, derived from the VM's memory and descriptors.

use crate::ids::ByteSize;

/// Used if the settings state no memory: that of the largest VMs, so that such deployments are
/// served as before.
const DEFAULT_MEMORY: ByteSize = ByteSize::from_megabytes(512);
/// Used if the settings state no descriptors.
const DEFAULT_DESCRIPTORS: u32 = 4096;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u32 = 200;
/// The fewest sockets for the listeners, the store, other VMs and the internal endpoints.
const MIN_OWN_SOCKETS: u32 = 24;
/// The receive buffer requested for a caller's connection. The kernel doubles it. Ordinary requests
/// fit into its window.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;
/// The send buffer requested for a caller's connection, doubled by the kernel. It bounds what the
/// kernel holds of a response that the caller doesn't read.
pub(crate) const SEND_BUFFER_BYTES: u32 = 64 * 1024;
/// The receive buffer requested for a connection whose large body is being read.
pub(crate) const LARGE_BODY_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// The memory for a connection that is not read: its receive buffer and what was read ahead.
const UNREAD_CONNECTION_BYTES: u64 = 2 * RECEIVE_BUFFER_BYTES as u64 + 32 * 1024;
/// The memory for an incomplete head of the longest usual length, with the growth of its buffer.
const HEAD_BYTES: u64 = 32 * 1024;

/// The limits of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClientLimits {
    /// For callers' bodies and their encoded copies: a quarter of the memory.
    pub(crate) body_memory: ByteSize,
    /// The part of `body_memory` that large bodies may take.
    pub(crate) large_body_memory: ByteSize,
    /// Connections with an incomplete head: together a sixteenth of the memory.
    pub(crate) max_incomplete_heads: usize,
    /// Connections that are not read, since their body is held back or their read-ahead is full:
    /// together a sixteenth of the memory each.
    pub(crate) max_unread_connections: usize,
    /// Callers' connections. Together with `max_requests` and `max_own_sockets` they fit into the
    /// descriptors that are not for files.
    pub(crate) max_callers: usize,
    /// For responses of targets that are held: an eighth of the memory. The same again for those of
    /// the store and the control service, which faulty targets must not keep out.
    pub(crate) response_memory: ByteSize,
    /// For what is kept of streams that callers may take up: a sixty-fourth of the memory.
    pub(crate) stream_memory: ByteSize,
    /// Requests that are served at a time, and connections to targets.
    pub(crate) max_requests: usize,
    /// Connections to each internal endpoint.
    pub(crate) max_endpoint_connections: usize,
}

impl ClientLimits {
    pub(crate) fn new(memory: Option<ByteSize>, descriptors: Option<u32>) -> Self {
        let memory = u64::from(memory.unwrap_or(DEFAULT_MEMORY));
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let own_sockets = (sockets / 8).max(MIN_OWN_SOCKETS);
        let for_requests = sockets.saturating_sub(own_sockets).max(3) as usize;
        let max_callers = for_requests * 2 / 3;
        let parts = |part: u64| usize::try_from((memory / 16 / part).max(4)).unwrap_or(usize::MAX);
        Self {
            body_memory: ByteSize::from(memory / 4),
            large_body_memory: ByteSize::from(memory / 16 * 3),
            max_incomplete_heads: parts(HEAD_BYTES),
            max_unread_connections: parts(UNREAD_CONNECTION_BYTES),
            max_callers,
            response_memory: ByteSize::from(memory / 8),
            stream_memory: ByteSize::from(memory / 64),
            max_requests: for_requests - max_callers,
            max_endpoint_connections: own_sockets as usize / 4,
        }
    }

    /// The limits of a gateway, which may have one connection to a target for each caller's.
    pub(crate) fn for_gateway(self) -> Self {
        Self {
            max_callers: usize::midpoint(self.max_callers, self.max_requests),
            ..self
        }
    }

    /// The limits of an internal endpoint.
    pub(crate) fn for_endpoint(self) -> Self {
        Self {
            max_callers: self.max_endpoint_connections,
            ..self
        }
    }
}
