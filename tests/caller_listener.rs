//! Tests that disconnects of callers are detected, and are told apart from connections closed by
//! the entry VM.

use guavapass::traffic::{CallerListener, ConnectionTable};
use std::{sync::Arc, time::Duration};
use tokio::io::AsyncWriteExt;
use xitca_server::net::{IntoListener, Listen};

/// Longer than the task that watches a connection takes to react.
const SETTLE_TIME: Duration = Duration::from_millis(200);

struct Connected {
    table: Arc<ConnectionTable>,
    caller: tokio::net::TcpStream,
    // Kept open, as dropping it would close the connection.
    _accepted: xitca_io::net::Stream,
}

async fn connect() -> Connected {
    let table = Arc::new(ConnectionTable::default());
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let listener = CallerListener { listener: socket, connections: Arc::clone(&table) };
    let listener = listener.into_listener().unwrap();
    let (caller, accepted) =
        tokio::join!(tokio::net::TcpStream::connect(address), listener.accept());
    Connected { table, caller: caller.unwrap(), _accepted: accepted.unwrap() }
}

#[tokio::test]
async fn closing_idle_connection_does_not_report_caller_as_disconnected() {
    let Connected { table, mut caller, _accepted } = connect().await;
    caller.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    table.close_idle();
    tokio::time::sleep(SETTLE_TIME).await;
    let connection = table.get(&caller.local_addr().unwrap());
    let connection =
        connection.expect("a request that was already read must still find its connection");
    let closed = tokio::time::timeout(SETTLE_TIME, connection.closed()).await;
    assert!(closed.is_err(), "the caller has not disconnected");
}

#[tokio::test]
async fn closed_connection_is_reported() {
    let Connected { table, caller, _accepted } = connect().await;
    let connection = table.get(&caller.local_addr().unwrap()).unwrap();
    drop(caller);
    tokio::time::timeout(Duration::from_secs(5), connection.closed()).await.unwrap();
}

#[tokio::test]
async fn connection_with_open_request_is_not_closed_as_idle() {
    let Connected { table, mut caller, _accepted } = connect().await;
    let connection = table.get(&caller.local_addr().unwrap()).unwrap();
    let open = Arc::clone(&connection).open_request();
    table.close_idle();
    tokio::time::sleep(SETTLE_TIME).await;
    drop(open);
    // If the connection had been closed as idle, this disconnect would not be detected.
    caller.shutdown().await.unwrap();
    tokio::time::timeout(Duration::from_secs(5), connection.closed()).await.unwrap();
}
