//! The framing of records: each record follows its length, a 4-byte big-endian integer.

/// Why bytes cannot be split into frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes end within a frame.
    #[error("the bytes end inside a record")]
    Short,
}

/// Appends a record, preceded by its length, to a buffer.
pub fn write_frame(frames: &mut Vec<u8>, record: &[u8]) {
    frames.extend_from_slice(&(record.len() as u32).to_be_bytes());
    frames.extend_from_slice(record);
}

/// Splits framed bytes into records.
///
/// # Errors
///
/// Returns an error if the last record is truncated.
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

/// Splits a record of a keyed topic into key and value.
///
/// The key follows its length, one byte. Returns none if the record is truncated or the key is not
/// UTF-8.
#[must_use]
pub fn read_keyed(content: &[u8]) -> Option<(&str, &[u8])> {
    let (length, rest) = content.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((std::str::from_utf8(key).ok()?, value))
}

/// Encodes a record of a keyed topic; the key must have at most 255 bytes.
#[must_use]
pub fn write_keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut content = vec![key.len() as u8];
    content.extend_from_slice(key.as_bytes());
    content.extend_from_slice(value);
    content
}
