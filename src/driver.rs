//! The threads of an entry VM.
//!
//! One control thread owns the [`Control`] core. Traffic threads send events to it through a
//! [`ControlHandle`] and carry out the [`Directive`]s that it sends back through the channel of
//! each request. Calls to the platform, to peers and to the load endpoints of backend servers run
//! on a separate Tokio runtime.

use super::*;

mod command_executor;
mod control_handle;
mod control_thread;
mod directive;
mod entry_vm;
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
    command_executor::CommandExecutor,
    control_thread::ControlThread,
    entry_vm::{CALLER_WRITE_BYTES, KEEP_ALIVE_SECONDS, listen},
    gateway_thread::GatewayThread,
    peer_client::PeerClient,
    relay_client::RelayClient,
    server_thread::ServerThread,
};
