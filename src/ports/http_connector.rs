use super::*;
use hyper_util::client::legacy::connect::HttpConnector;

/// Returns an HTTP connector with `TCP_NODELAY` and a timeout for opening a connection.
#[must_use]
pub fn http_connector(connect_timeout: Millis) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout.duration()));
    connector
}
