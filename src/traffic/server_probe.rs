use super::*;
use std::io::ErrorKind;

/// Finds out whether a server's process listens at an address.
pub async fn probe_server(address: SocketAddr) -> ProbeResult {
    let timeout = Duration::from_millis(ServerLink::CONNECT_TIMEOUT_MS);
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(timeout, connect).await.map(|result| result.map_err(|e| e.kind())) {
        // A server that takes no more connections resets them.
        Ok(Ok(_) | Err(ErrorKind::ConnectionReset)) => ProbeResult::Listens,
        Ok(Err(ErrorKind::ConnectionRefused)) => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::Silent,
    }
}
