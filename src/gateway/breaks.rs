//! Decisions on requests that break: those whose server or data centre does not answer, and those
//! that arrive before a VM that has just started can serve them.

use super::*;

mod centre_reach;
mod server_progress;
mod start_wait;

pub(super) use {
    centre_reach::CentreReach, server_progress::ServerProgress, start_wait::StartWait,
};
