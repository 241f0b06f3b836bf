//! The settings of one process: its addresses, data centre, platform address and secrets.
//!
//! They are read once at startup from a file of JSON with comments. Settings that all entry VMs
//! share are in the [`configuration`](crate::configuration).

use super::*;

mod callers;
mod gateway_settings;
mod listener;
mod logging;
mod secret;
mod settings_error;
mod settings_file;

pub use {
    callers::CallerSettings,
    gateway_settings::{GatewaySettings, RelayListener, RouteListener, StatusListener},
    listener::ListenerSettings,
    logging::{LogFormat, LogSettings},
    secret::Secret,
    settings_error::SettingsError,
    settings_file::{EntrySettings, MetricSettings, PlatformSettings, ShutdownSettings},
};
