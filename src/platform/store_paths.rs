//! The paths of the store's HTTP interface and the naming of its topics.

/// The path for appending records.
pub const APPEND_PATH: &str = "/-/log-append";
/// The path for reading records in order.
pub const READ_PATH: &str = "/-/log-read";
/// The path for reading the newest record of each key.
pub const NEWEST_PATH: &str = "/-/log-newest";
/// The name prefix of compacted topics, which keep the newest record of each key.
pub const KEYED_PREFIX: &str = "keyed.";
