use super::*;

/// A record and its place in its stream, which tells the newer of two records of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptRecord {
    /// The offset.
    pub offset: Offset,
    /// The record.
    pub record: StoreRecord,
}

impl KeptRecord {
    /// Returns the server that the record lists, if it is one of the list of servers.
    #[must_use]
    pub fn listed_server(&self) -> Option<ServerId> {
        match &self.record {
            StoreRecord::Server(ServerChange::Said(entry)) => Some(entry.id.clone()),
            _ => None,
        }
    }
}

/// The newest record of each key, from whichever source it came.
///
/// Records come from pages of newest records, from the streams and from other entry VMs, in any
/// order; what has been known of a key never goes back. Each change gets a number of this process,
/// so that other VMs can ask for what has changed since.
#[derive(Clone, Debug, Default)]
pub struct RecordBook {
    entries: BTreeMap<SmolStr, BookEntry>,
    last_change: u64,
}

#[derive(Clone, Debug)]
struct BookEntry {
    kept: KeptRecord,
    change: u64,
}

impl RecordBook {
    /// Takes in a record; returns whether it is news.
    pub fn take(&mut self, kept: &KeptRecord) -> bool {
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
        let entry = BookEntry { kept: kept.clone(), change: self.last_change };
        self.entries.insert(key, entry);
        true
    }

    /// Returns the number of the last change.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the records that have changed after a change, oldest change first.
    #[must_use]
    pub fn since(&self, change: u64) -> Vec<KeptRecord> {
        let mut entries: Vec<&BookEntry> =
            self.entries.values().filter(|entry| entry.change > change).collect();
        entries.sort_by_key(|entry| entry.change);
        entries.into_iter().map(|entry| entry.kept.clone()).collect()
    }

    /// Forgets the entry of a server that was removed long ago.
    pub fn forget_server(&mut self, server: &ServerId) {
        let record = StoreRecord::Server(ServerChange::Removed(server.clone()));
        if let Some(key) = record.key() {
            self.entries.remove(&key);
        }
    }
}
