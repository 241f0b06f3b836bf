use super::*;

/// Identifies a configuration in force; entry VMs converge on the greatest stamp.
///
/// The digest breaks ties between two documents with the same revision, which can exist after the
/// log was restored to an older state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigurationStamp {
    /// The revision, which increases by 1 with each accepted change.
    pub revision: Revision,
    /// The XXH3 hash of the document's JSON form.
    pub digest: u64,
}

impl ConfigurationStamp {
    /// Returns the stamp of a document that is in force with this revision.
    #[must_use]
    pub fn of(revision: Revision, document: &ConfigurationDocument) -> Self {
        let bytes = serde_json::to_vec(document).unwrap_or_default();
        Self { revision, digest: xxhash_rust::xxh3::xxh3_64(&bytes) }
    }
}

/// The state that an entry VM sends to a peer that is behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationState {
    /// The stamp of the document.
    pub stamp: ConfigurationStamp,
    /// The document in force.
    pub document: Arc<ConfigurationDocument>,
    /// The offset to read next; none if the sender missed records before it.
    pub next: Option<Offset>,
    /// The latest publications with their outcomes, oldest first.
    pub outcomes: VecDeque<(SmolStr, PublicationOutcome)>,
}
