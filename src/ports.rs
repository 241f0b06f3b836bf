//! The platform's services: log, membership list, rating service, weight store, and the engines'
//! own reports.
//!
//! The control core knows only the types here; [`HttpPlatform`] speaks the protocols. Each service
//! sits behind a trait so that tests can put a fake in its place.

use super::*;

mod error;
mod http_connector;
mod http_orders;
mod http_platform;
mod log;
mod members;
mod order_error;
mod services;
mod wire;

pub use {
    error::PlatformError,
    http_connector::http_connector,
    http_orders::HttpOrders,
    http_platform::HttpPlatform,
    log::{LogPage, LogRecord},
    members::{LoadReport, MemberState, MembershipList, ServerMember, VmMember},
    order_error::OrderError,
    services::{
        BoxFuture, EngineOrders, LoadReports, LogService, MembershipService, RatingService,
    },
};
