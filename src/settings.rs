//! A process's own settings: its addresses, its data centre, the platform and its secrets.
//!
//! They are read once, from a file of JSON with comments. What all entry VMs share is not here but
//! in the [`configuration`](crate::configuration).

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
