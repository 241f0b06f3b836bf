use super::*;
use std::io::ErrorKind;

/// The time in which the system closes all sockets of a process that ends. It may close the
/// connections before the listener.
const EXIT_TIME: Duration = Duration::from_millis(20);

/// Opens a connection to find out whether the process of a server that has just closed one still
/// listens.
pub async fn probe_server(address: SocketAddr) -> ProbeResult {
    tokio::time::sleep(EXIT_TIME).await;
    let timeout = Duration::from_millis(ServerConnection::CONNECT_TIMEOUT_MS);
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(timeout, connect).await.map(|result| result.map_err(|e| e.kind())) {
        // A server at its connection limit resets new connections.
        Ok(Ok(_) | Err(ErrorKind::ConnectionReset)) => ProbeResult::Listens,
        Ok(Err(ErrorKind::ConnectionRefused)) => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::Silent,
    }
}
