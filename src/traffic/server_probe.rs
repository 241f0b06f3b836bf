use super::*;
use std::io::ErrorKind;

/// Opens a connection to find out whether a server process listens at an address.
pub async fn probe_server(address: SocketAddr) -> ProbeResult {
    let timeout = Duration::from_millis(ServerConnection::CONNECT_TIMEOUT_MS);
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(timeout, connect).await.map(|result| result.map_err(|e| e.kind())) {
        // A server at its connection limit resets new connections.
        Ok(Ok(_) | Err(ErrorKind::ConnectionReset)) => ProbeResult::Listens,
        Ok(Err(ErrorKind::ConnectionRefused)) => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::Silent,
    }
}
