use super::*;

/// A store record with its offset in its stream, by which the newer of two records with the same
/// key is found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Offset of the record in its stream.
    pub offset: Offset,
    /// Contents of the record.
    pub record: StoreRecord,
}

impl StreamRecord {
    /// Returns the id of the server that the record lists. `None` if it is not an entry of the
    /// server list, or a removal.
    #[must_use]
    pub fn listed_server(&self) -> Option<ServerId> {
        match &self.record {
            StoreRecord::Server(ServerChange::Said(entry)) => Some(entry.id.clone()),
            _ => None,
        }
    }

    /// Returns the data centre for which the record lists an order, be it unreadable. `None` if it
    /// is no order to evacuate.
    #[must_use]
    pub fn listed_evacuation(&self) -> Option<DataCentreId> {
        match &self.record {
            StoreRecord::Evacuation(EvacuationOrder::TakeBack(_)) => None,
            StoreRecord::Evacuation(order) => Some(order.data_centre().clone()),
            _ => None,
        }
    }
}

/// The newest record of each key, from any source.
///
/// Records come from pages of newest records, from the streams and from other entry VMs, in any
/// order. An older record never replaces a newer one. Each change gets a sequence number that is
/// local to this process, so that other VMs can request what has changed since.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    entries: BTreeMap<SmolStr, CacheEntry>,
    last_change: u64,
}

#[derive(Clone, Debug)]
struct CacheEntry {
    kept: StreamRecord,
    change: u64,
}

impl RecordCache {
    /// Stores a record if it is the newest of its key. Returns whether its contents are new;
    /// records without a key are never stored.
    pub fn insert(&mut self, kept: &StreamRecord) -> bool {
        let Some(key) = kept.record.key() else { return false };
        if let Some(known) = self.entries.get_mut(&key) {
            if known.kept.offset >= kept.offset {
                return false;
            }
            if known.kept.record == kept.record {
                known.kept.offset = kept.offset;
                return false;
            }
        }
        self.last_change += 1;
        let entry = CacheEntry { kept: kept.clone(), change: self.last_change };
        self.entries.insert(key, entry);
        true
    }

    /// Returns the sequence number of the last change.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the records changed after the change with the given number, oldest change first.
    #[must_use]
    pub fn since(&self, change: u64) -> Vec<StreamRecord> {
        let mut entries: Vec<&CacheEntry> =
            self.entries.values().filter(|entry| entry.change > change).collect();
        entries.sort_by_key(|entry| entry.change);
        entries.into_iter().map(|entry| entry.kept.clone()).collect()
    }

    /// Drops the record of a server that was removed long ago.
    pub fn forget_server(&mut self, server: &ServerId) {
        let record = StoreRecord::Server(ServerChange::Removed(server.clone()));
        if let Some(key) = record.key() {
            self.entries.remove(&key);
        }
    }
}
