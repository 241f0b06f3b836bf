//! The threads of an entry VM.
//!
//! One thread owns the [`Control`] core. Traffic threads send it events through a
//! [`ControlHandle`] and obey the [`Directive`]s that come back through each request's mailbox.
//! Calls to the platform, to peers and to backend servers' reports run on a runtime of their own.

use super::*;

mod control_handle;
mod control_thread;
mod directive;
mod entry_vm;
mod errands;
mod metrics;
mod peer_client;

pub use {
    control_handle::{ControlHandle, ControlInput},
    directive::{Directive, RequestMailbox},
    entry_vm::{EntryVm, VmError},
    metrics::MetricClient,
};

use {control_thread::ControlThread, errands::ErrandRunner, peer_client::PeerClient};
