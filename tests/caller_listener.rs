//! What is known of callers' connections when either side closes them.

use guavapass::traffic::{CallerListener, ConnectionTable};
use std::{sync::Arc, time::Duration};
use tokio::io::AsyncWriteExt;
use xitca_server::net::{IntoListener, Listen};

/// Longer than a connection's watch takes to notice anything.
const MOMENT: Duration = Duration::from_millis(200);

struct Connected {
    table: Arc<ConnectionTable>,
    caller: tokio::net::TcpStream,
    // Closing it would end the connection.
    _accepted: xitca_io::net::Stream,
}

async fn connected() -> Connected {
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
async fn request_read_before_a_hang_up_is_a_callers() {
    let Connected { table, mut caller, _accepted } = connected().await;
    caller.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    table.hang_up_idle();
    tokio::time::sleep(MOMENT).await;
    let connection = table.get(&caller.local_addr().unwrap());
    let connection = connection.expect("its request was read and has yet to reach the desk");
    let closed = tokio::time::timeout(MOMENT, connection.closed()).await;
    assert!(closed.is_err(), "the caller has not gone");
}

#[tokio::test]
async fn caller_that_closes_has_gone() {
    let Connected { table, caller, _accepted } = connected().await;
    let connection = table.get(&caller.local_addr().unwrap()).unwrap();
    drop(caller);
    tokio::time::timeout(Duration::from_secs(5), connection.closed()).await.unwrap();
}

#[tokio::test]
async fn connection_with_a_request_is_not_hung_up_as_idle() {
    let Connected { table, mut caller, _accepted } = connected().await;
    let connection = table.get(&caller.local_addr().unwrap()).unwrap();
    connection.begin();
    table.hang_up_idle();
    tokio::time::sleep(MOMENT).await;
    connection.end();
    // A connection that was hung up would not see this.
    caller.shutdown().await.unwrap();
    tokio::time::timeout(Duration::from_secs(5), connection.closed()).await.unwrap();
}
