//! guavapass routes requests to versions of language models and to plain services.
//!
//! Each guavapass process is an entry VM: it receives callers' requests, selects a version and a
//! backend server for each, and records the cost. All decisions are made by
//! [`control::Control`], which performs no I/O itself.

use {
    bytes::Bytes,
    rustc_hash::{FxHashMap, FxHashSet},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    smol_str::SmolStr,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
        convert::Infallible,
        ffi::OsString,
        fmt::{self, Display, Formatter},
        future::Future,
        net::{IpAddr, SocketAddr},
        ops::ControlFlow,
        path::{Path, PathBuf},
        pin::Pin,
        process::ExitCode,
        str::FromStr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    xitca_web::{
        body::{Body, RequestBody, ResponseBody, StreamDataBody},
        http::RequestExt,
    },
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

pub mod admission;
pub mod billing;
pub mod claim;
pub mod command;
pub mod configuration;
pub mod control;
pub mod document;
pub mod driver;
pub mod gateway;
pub mod health;
pub mod ids;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod ports;
pub mod routing;
pub mod session;
pub mod settings;
pub mod stand_in;
pub mod traffic;
pub mod units;

use {
    admission::*, billing::*, claim::*, configuration::*, control::*, document::*, driver::*,
    gateway::*, health::*, ids::*, peer::*, placement::*, platform::*, ports::*, routing::*,
    session::*, settings::*, traffic::*, units::*,
};

/// Runs the command named by the command-line arguments and returns the process exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    command::run(arguments)
}
