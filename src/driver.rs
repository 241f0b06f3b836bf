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
mod gateway_directive;
mod gateway_handle;
mod gateway_thread;
mod gateway_vm;
mod metric_page;
mod metrics;
mod peer_client;
mod relay_client;
mod server_thread;

pub use {
    control_handle::{ControlHandle, ControlInput},
    directive::{Directive, RequestMailbox},
    entry_vm::{EntryVm, VmError},
    gateway_directive::{GatewayDirective, GatewayMailbox},
    gateway_handle::{GatewayHandle, GatewayInput},
    gateway_vm::GatewayVm,
    metric_page::MetricPage,
    metrics::MetricClient,
};

use {
    control_thread::ControlThread,
    entry_vm::{KEEP_ALIVE_SECONDS, listen},
    errands::ErrandRunner,
    gateway_thread::GatewayThread,
    peer_client::PeerClient,
    relay_client::RelayClient,
    server_thread::ServerThread,
};
