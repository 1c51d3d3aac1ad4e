//! The open requests of this node's process, from which its pin reports are made.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use super::service::{PoolRequest, RequestPin};
use super::wire::{PinEntry, PinReport, SessionTag, delta_encode};
use crate::collections::FastMap;
use crate::ids::{AccountName, BaseModel, FencingToken, TokenCount};

/// An attempt that is waiting or pinned.
#[derive(Debug)]
pub(super) struct OpenEntry {
    base_model: BaseModel,
    account: AccountName,
    tokens: TokenCount,
    suspect: bool,
    streaming: bool,
    pin: Option<RequestPin>,
    /// The fencing token of the coordinator that granted the pin.
    fence: FencingToken,
}

impl OpenEntry {
    pub(super) fn new(request: &PoolRequest) -> Self {
        Self {
            base_model: request.base_model.clone(),
            account: request.account.clone(),
            tokens: request.tokens,
            suspect: request.suspect,
            streaming: false,
            pin: None,
            fence: FencingToken::default(),
        }
    }

    fn pin_entry(&self, serial: u64, pin: &RequestPin) -> PinEntry {
        PinEntry {
            serial,
            target: pin.target.to_string(),
            generation: pin.generation.clone(),
            account: self.account.to_string(),
            tokens: self.tokens.into(),
            suspect: self.suspect,
            streaming: self.streaming,
        }
    }
}

#[derive(Debug, Default)]
struct OpenTable {
    /// The last serial assigned. Serial and entry are created together, so that every report
    /// lists all open serials up to this one.
    serial: u64,
    sequence: u64,
    entries: BTreeMap<u64, OpenEntry>,
    newest_fences: FastMap<BaseModel, FencingToken>,
}

/// The attempts that have not ended.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    table: Mutex<OpenTable>,
}

impl OpenRequests {
    /// Adds an attempt and returns its serial.
    pub(super) fn begin(&self, entry: OpenEntry) -> u64 {
        let mut table = self.locked();
        table.serial += 1;
        let serial = table.serial;
        table.entries.insert(serial, entry);
        serial
    }

    pub(super) fn len(&self) -> usize {
        self.locked().entries.len()
    }

    pub(super) fn pin(&self, pin: &RequestPin, fence: FencingToken) {
        if let Some(entry) = self.locked().entries.get_mut(&pin.serial) {
            entry.pin = Some(pin.clone());
            entry.fence = fence;
        }
    }

    pub(super) fn mark_streaming(&self, serial: u64) {
        if let Some(entry) = self.locked().entries.get_mut(&serial) {
            entry.streaming = true;
        }
    }

    pub(super) fn end(&self, serial: u64) {
        self.locked().entries.remove(&serial);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.locked().entries.is_empty()
    }

    /// Records `fence` if it is the pool's newest; returns `false` if a newer one is known.
    pub(super) fn observe_fence(&self, model: &BaseModel, fence: FencingToken) -> bool {
        let mut table = self.locked();
        let newest = table.newest_fences.entry(model.clone()).or_default();
        *newest = fence.max(*newest);
        fence == *newest
    }

    /// Reports the open attempts of one pool. A coordinator that knows the session's id needs no
    /// details of the pins that it granted itself.
    pub(super) fn report(&self, model: &BaseModel, session: SessionTag) -> PinReport {
        let mut table = self.locked();
        table.sequence += 1;
        let mut report = PinReport {
            sequence: table.sequence,
            highest_serial: table.serial,
            ..PinReport::default()
        };
        let by_id = session.id != 0;
        let (mut waiting, mut held) = (Vec::new(), Vec::new());
        let of_pool = table.entries.iter();
        for (serial, entry) in of_pool.filter(|(_, entry)| entry.base_model == *model) {
            match &entry.pin {
                None => waiting.push(*serial),
                Some(_) if by_id && u64::from(entry.fence) == session.fence => {
                    held.push(*serial << 1 | u64::from(entry.streaming));
                }
                Some(pin) => report.pins.push(entry.pin_entry(*serial, pin)),
            }
        }
        report.waiting = delta_encode(waiting);
        report.held = delta_encode(held);
        report.session = Some(session);
        report
    }

    fn locked(&self) -> MutexGuard<'_, OpenTable> {
        self.table.lock().expect("no holder of the lock panics")
    }
}
