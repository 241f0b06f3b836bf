//! The framing of records: each has its length as four bytes, high byte first.

/// Why frames cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes end inside a frame.
    #[error("the bytes end inside a record")]
    Short,
}

/// Appends a record with its length.
pub fn write_frame(frames: &mut Vec<u8>, record: &[u8]) {
    frames.extend_from_slice(&(record.len() as u32).to_be_bytes());
    frames.extend_from_slice(record);
}

/// Splits bytes into records.
///
/// # Errors
///
/// Returns an error if the last record is not whole.
pub fn read_frames(mut bytes: &[u8]) -> Result<Vec<&[u8]>, FrameError> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>().ok_or(FrameError::Short)?;
        let length = u32::from_be_bytes(*length) as usize;
        let (record, rest) = rest.split_at_checked(length).ok_or(FrameError::Short)?;
        records.push(record);
        bytes = rest;
    }
    Ok(records)
}

/// Splits the content of a record of a keyed topic into its key and its value.
#[must_use]
pub fn read_keyed(content: &[u8]) -> Option<(&str, &[u8])> {
    let (length, rest) = content.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((std::str::from_utf8(key).ok()?, value))
}

/// Returns the content of a record of a keyed topic; keys have at most 255 bytes.
#[must_use]
pub fn write_keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut content = vec![key.len() as u8];
    content.extend_from_slice(key.as_bytes());
    content.extend_from_slice(value);
    content
}
