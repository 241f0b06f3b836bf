//! The paths of the store, and how its topics are named.

/// The path at which the store takes records.
pub const APPEND_PATH: &str = "/-/log-append";
/// The path at which the store gives records in order.
pub const READ_PATH: &str = "/-/log-read";
/// The path at which the store gives the newest record of each key.
pub const NEWEST_PATH: &str = "/-/log-newest";
/// The start of the names of topics that keep the newest record of each key.
pub const KEYED_PREFIX: &str = "keyed.";
