//! guavapass routes requests to versions of language models and to plain services.
//!
//! A process of guavapass is an entry VM: it takes callers' requests, chooses a version and a
//! backend server for each, and bills it. All decisions are made by [`control::Control`], which
//! does no input or output of its own.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    smol_str::SmolStr,
    std::{
        collections::BTreeMap,
        ffi::OsString,
        fmt::{self, Display, Formatter},
        process::ExitCode,
        str::FromStr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub mod command;
pub mod configuration;
pub mod ids;
pub mod units;

use {ids::*, units::*};

/// Runs the program with its arguments and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    command::run(arguments)
}
