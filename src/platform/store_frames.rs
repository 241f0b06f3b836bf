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
