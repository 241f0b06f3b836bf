//! The adapter to the users' platform.
//!
//! This folder translates between the product's types and what the platform speaks: its store, its
//! settings and the headers of its callers and backend servers. It decides nothing and keeps no
//! state but open connections, and nothing outside it knows the platform's names.

use super::*;

mod answer_headers;
mod http_store;
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
    operator_records::read_operator_record,
    raw_page::RawPage,
    refusals::refusal_response,
    request_headers::{HeadError, READY_PATH, read_arrival, run_headers},
    server_records::read_server_record,
    store_frames::{FrameError, read_frames, read_keyed, write_frame, write_keyed},
    store_paths::{APPEND_PATH, KEYED_PREFIX, NEWEST_PATH, READ_PATH},
};

use rollout_records::{read_rollout_record, rollout_key, write_rollout_record};
