//! End-to-end tests over real sockets: callers, entry VMs, backend servers and the platform.

use {
    bench::{Bench, document, read_all},
    call::{Answer, Call},
    guavapass::{
        billing::*, claim::*, configuration::*, control::*, document::*, driver::*, ids::*,
        ports::*, settings::*, stand_in::*, traffic::*, units::*,
    },
    http::Method,
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

mod bad_input;
mod bench;
mod call;
mod calls;
mod once;
mod shutdown;
mod upstream_faults;
