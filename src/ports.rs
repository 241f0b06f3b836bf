//! Interfaces to the platform's services (log, membership list, rating service) and to the engines'
//! load reports and orders.
//!
//! The control core uses only the types of this module; [`HttpPlatform`] and [`HttpOrders`]
//! implement the protocols. Each service is a trait so that tests can use a fake instead.

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
