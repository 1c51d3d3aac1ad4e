//! The open requests of this node's process, for its reports of pins.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use super::service::{PoolRequest, RequestPin};
use super::wire::{PinEntry, PinReport};
use crate::collections::FastMap;
use crate::ids::{AccountName, BaseModel, FencingToken, TokenCount};

/// One attempt that waits or has a pin.
#[derive(Debug)]
pub(super) struct OpenEntry {
    base_model: BaseModel,
    account: AccountName,
    tokens: TokenCount,
    suspect: bool,
    streaming: bool,
    pin: Option<RequestPin>,
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
        }
    }
}

#[derive(Debug, Default)]
struct OpenTable {
    /// The last serial given. An entry is made with its serial, so that a report made at any
    /// time lists every open serial up to this one.
    serial: u64,
    sequence: u64,
    entries: BTreeMap<u64, OpenEntry>,
    fences: FastMap<BaseModel, FencingToken>,
}

/// The attempts that have not ended.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    table: Mutex<OpenTable>,
}

impl OpenRequests {
    /// Enters an attempt and gives it its serial.
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

    pub(super) fn pin(&self, pin: &RequestPin) {
        if let Some(entry) = self.locked().entries.get_mut(&pin.pin) {
            entry.pin = Some(pin.clone());
        }
    }

    pub(super) fn note_first_token(&self, serial: u64) {
        if let Some(entry) = self.locked().entries.get_mut(&serial) {
            entry.streaming = true;
        }
    }

    pub(super) fn end(&self, serial: u64) {
        self.locked().entries.remove(&serial);
    }

    /// Whether `fence` is the newest one known for the pool; a newer one is noted.
    pub(super) fn knows_fence(&self, model: &BaseModel, fence: FencingToken) -> bool {
        let mut table = self.locked();
        let newest = table.fences.entry(model.clone()).or_default();
        *newest = fence.max(*newest);
        fence == *newest
    }

    /// The open attempts of one pool.
    pub(super) fn report(&self, model: &BaseModel) -> PinReport {
        let mut table = self.locked();
        table.sequence += 1;
        let of_pool = table.entries.iter();
        let of_pool = of_pool.filter(|(_, entry)| entry.base_model == *model);
        let waiting = of_pool.clone().filter(|(_, entry)| entry.pin.is_none());
        let pins = of_pool.filter_map(|(serial, entry)| {
            let pin = entry.pin.as_ref()?;
            Some(PinEntry {
                serial: *serial,
                target: pin.target.to_string(),
                generation: pin.generation.clone(),
                account: entry.account.to_string(),
                tokens: entry.tokens.into(),
                suspect: entry.suspect,
                streaming: entry.streaming,
            })
        });
        PinReport {
            base_model: model.to_string(),
            sequence: table.sequence,
            highest_serial: table.serial,
            waiting: waiting.map(|(serial, _)| *serial).collect(),
            pins: pins.collect(),
            ..PinReport::default()
        }
    }

    fn locked(&self) -> MutexGuard<'_, OpenTable> {
        self.table.lock().expect("no holder of the lock panics")
    }
}
