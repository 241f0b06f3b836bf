//! End-to-end tests over real sockets: callers, entry VMs, backend servers and the platform.

use {
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
    test_cluster::{TestCluster, document, read_all},
};

mod bad_input;
mod call;
mod calls;
mod once;
mod shutdown;
mod slow_readers;
mod test_cluster;
mod upstream_faults;
