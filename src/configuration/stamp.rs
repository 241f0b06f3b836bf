use super::*;

/// Identifies a configuration in force; the greater of two prevails.
///
/// The digest decides only between two documents with the same revision, which exist after the
/// log has been restored to an older state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigurationStamp {
    /// The revision.
    pub revision: Revision,
    /// The hash of the document.
    pub digest: u64,
}

impl ConfigurationStamp {
    /// Returns the stamp of a document.
    #[must_use]
    pub fn of(revision: Revision, document: &ConfigurationDocument) -> Self {
        let bytes = serde_json::to_vec(document).unwrap_or_default();
        Self { revision, digest: xxhash_rust::xxh3::xxh3_64(&bytes) }
    }
}

/// What an entry VM hands to a peer that is behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationState {
    /// Identifies the document.
    pub stamp: ConfigurationStamp,
    /// The document.
    pub document: Arc<ConfigurationDocument>,
    /// The offset to read next, if the sender has folded without a gap up to it.
    pub next: Option<Offset>,
    /// The latest publications and what became of them, oldest first.
    pub outcomes: VecDeque<(SmolStr, PublicationOutcome)>,
}
