use super::*;

/// A page of a topic in the store's binary format: end, first offset, framed records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawPage {
    /// The offset after the topic's last record, which may be beyond this page.
    pub end: Offset,
    /// The oldest offset that the topic still keeps.
    pub first: Offset,
    /// The records in order of their offsets.
    pub records: Vec<Bytes>,
}

impl RawPage {
    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// Returns a description of the error if the page is truncated.
    pub fn read(body: &Bytes) -> Result<Self, SmolStr> {
        let short = || SmolStr::new("the page is shorter than its header");
        let (end, rest) = body.split_first_chunk::<8>().ok_or_else(short)?;
        let (first, rest) = rest.split_first_chunk::<8>().ok_or_else(short)?;
        let frames = read_frames(rest).map_err(|error| SmolStr::new(error.to_string()))?;
        Ok(Self {
            end: Offset(u64::from_be_bytes(*end)),
            first: Offset(u64::from_be_bytes(*first)),
            records: frames.into_iter().map(|frame| body.slice_ref(frame)).collect(),
        })
    }

    /// Encodes the page.
    #[must_use]
    pub fn write(&self) -> Bytes {
        let mut body = Vec::new();
        body.extend_from_slice(&self.end.0.to_be_bytes());
        body.extend_from_slice(&self.first.0.to_be_bytes());
        for record in &self.records {
            write_frame(&mut body, record);
        }
        body.into()
    }

    /// Returns the offset after this page's last record, if the page starts at `from`.
    #[must_use]
    pub fn next_after(&self, from: Offset) -> Offset {
        Offset(from.0 + self.records.len() as u64)
    }
}
