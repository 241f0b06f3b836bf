//! The platform's services: log, membership list, rating service, weight store, and the engines'
//! own reports.
//!
//! The control core knows only the types here; [`HttpPlatform`] speaks the protocols. Each service
//! sits behind a trait so that tests can put a fake in its place.

use super::*;

mod error;
mod http_platform;
mod log;
mod members;
mod services;
mod wire;

pub use {
    error::PlatformError,
    http_platform::HttpPlatform,
    log::{LogPage, LogRecord},
    members::{LoadReport, MemberState, MembershipList, ServerMember, VmMember},
    services::{BoxFuture, LoadReports, LogService, MembershipService, RatingService},
};
