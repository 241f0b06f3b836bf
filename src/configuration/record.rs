use super::*;

/// A record of the `configuration` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// The number of the record's schema.
    pub schema: u32,
    /// A unique name of the publication; a repeated append has the same one.
    pub publication: SmolStr,
    /// The revision that the change was made against; of a snapshot, its own revision.
    pub base: Revision,
    /// What changes.
    pub change: ConfigurationChange,
}

/// What a record changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigurationChange {
    /// The whole document is replaced.
    Document(Box<ConfigurationDocument>),
    /// Another preset comes into force.
    Preset(PresetId),
    /// Nothing changes: the document in force is repeated before retention removes it.
    Snapshot {
        /// The position in the stream up to which the author had folded.
        as_of: Offset,
        /// The document in force there.
        document: Box<ConfigurationDocument>,
    },
}

/// The part of a record that every schema shares.
#[derive(Deserialize)]
struct RecordEnvelope {
    schema: u32,
    publication: SmolStr,
    base: Revision,
    change: BTreeMap<SmolStr, serde_json::Value>,
}

/// What the bytes of a record turned out to be.
#[derive(Debug)]
pub(super) enum RecordReading {
    /// A record that this program knows.
    Known(Box<ConfigurationRecord>),
    /// A record of a newer program, to be passed over.
    Newer(SmolStr),
    /// A publication with a fault, rejected by every VM alike.
    Malformed(SmolStr, SmolStr),
    /// Not a record at all.
    Garbage(SmolStr),
}

impl ConfigurationRecord {
    const KINDS: [&str; 3] = ["document", "preset", "snapshot"];
    /// The longest name of a publication, in bytes.
    pub const MAX_PUBLICATION_BYTES: usize = 128;

    pub(super) fn read(bytes: &[u8]) -> RecordReading {
        let envelope: RecordEnvelope = match serde_json::from_slice(bytes) {
            Ok(envelope) => envelope,
            Err(error) => return RecordReading::Garbage(error.to_string().into()),
        };
        if envelope.schema > ConfigurationDocument::SCHEMA {
            return RecordReading::Newer(format!("schema {}", envelope.schema).into());
        }
        let malformed = |reason: String| {
            RecordReading::Malformed(envelope.publication.clone(), SmolStr::new(reason))
        };
        if envelope.publication.len() > Self::MAX_PUBLICATION_BYTES {
            return RecordReading::Garbage("the name of the publication is too long".into());
        }
        let mut changes = envelope.change.into_iter();
        let (Some((kind, value)), None) = (changes.next(), changes.next()) else {
            return malformed("The record must have exactly one change.".into());
        };
        if !Self::KINDS.contains(&kind.as_str()) {
            return RecordReading::Newer(format!("change kind {kind:?}").into());
        }
        let document = if kind == "snapshot" { value.get("document") } else { Some(&value) };
        let schema = document.and_then(|document| document.get("schema")?.as_u64());
        if schema.is_some_and(|schema| schema > u64::from(ConfigurationDocument::SCHEMA)) {
            return RecordReading::Newer("a document of a newer schema".into());
        }
        let object = serde_json::Value::Object(std::iter::once((kind.into(), value)).collect());
        match serde_json::from_value(object) {
            Ok(change) => RecordReading::Known(Box::new(Self {
                schema: envelope.schema,
                publication: envelope.publication,
                base: envelope.base,
                change,
            })),
            Err(error) => malformed(format!("The change cannot be read: {error}.")),
        }
    }
}
