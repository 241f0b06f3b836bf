use super::*;

/// A record of the `configuration` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// The schema version of the record.
    pub schema: u32,
    /// The unique name of the publication; a retried append uses the same name.
    pub publication: SmolStr,
    /// The revision that the change is based on; for a snapshot, the revision that it repeats.
    pub base: Revision,
    /// The change that the record makes.
    pub change: ConfigurationChange,
}

/// The change that a record makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigurationChange {
    /// Replaces the whole document.
    Document(Box<ConfigurationDocument>),
    /// Activates another preset.
    Preset(PresetId),
    /// Repeats the document in force, before retention removes the record that contains it.
    Snapshot {
        /// The offset up to which the author had applied the stream.
        as_of: Offset,
        /// The document in force at that offset.
        document: Box<ConfigurationDocument>,
    },
}

/// The fields that all schema versions of a record have in common.
#[derive(Deserialize)]
struct RecordEnvelope {
    schema: u32,
    publication: SmolStr,
    base: Revision,
    change: BTreeMap<SmolStr, serde_json::Value>,
}

/// The result of parsing a record.
#[derive(Debug)]
pub(super) enum RecordReading {
    /// A record that this program supports.
    Known(Box<ConfigurationRecord>),
    /// A record of a newer version of this program, to be skipped; with what is new in it.
    Newer(SmolStr),
    /// A publication with an invalid change, which every VM rejects; with its name and the error.
    Malformed(SmolStr, SmolStr),
    /// Bytes that are not a record, to be skipped; with the error.
    Garbage(SmolStr),
}

impl ConfigurationRecord {
    const KINDS: [&str; 3] = ["document", "preset", "snapshot"];
    /// The maximum length of a publication's name, in bytes.
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
