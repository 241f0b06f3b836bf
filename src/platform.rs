//! The adapter to the platform that the entry VMs run on.
//!
//! This module translates between the crate's types and the platform's formats: the records of its
//! store, and the headers of its callers and backend servers. It makes no decisions and keeps no
//! state other than open connections. The platform's names appear only in this module.

use super::*;

mod answer_headers;
mod http_store;
mod operator_advice;
mod operator_records;
mod raw_page;
mod refusals;
mod request_headers;
mod rollout_records;
mod server_records;
mod store_frames;
mod store_paths;

pub use {
    answer_headers::{AnswerFacts, read_answer},
    http_store::HttpStore,
    operator_advice::advise_operator_document,
    operator_records::read_operator_record,
    raw_page::RawPage,
    refusals::refusal_response,
    request_headers::{HeadError, READY_PATH, read_arrival, run_headers},
    server_records::read_server_record,
    store_frames::{FrameError, read_frames, read_keyed, write_frame, write_keyed},
    store_paths::{APPEND_PATH, KEYED_PREFIX, NEWEST_PATH, READ_PATH},
};

use rollout_records::{read_rollout_record, rollout_key, write_rollout_record};
