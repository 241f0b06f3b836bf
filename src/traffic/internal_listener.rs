use super::*;
use std::{
    io,
    net::{IpAddr, Ipv4Addr, TcpListener},
};
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// A listener for the load balancer, operators and other entry VMs.
///
/// Its connections carry an address that no caller can have, so that the [`GatewayHandler`] does
/// not take their requests for those of a caller with the same remote address.
pub struct InternalListener(pub TcpListener);

/// An [`InternalListener`] that is registered with the Tokio runtime of xitca-web.
pub struct InternalConnections(tokio::net::TcpListener);

impl InternalListener {
    /// No connection comes from port 0.
    const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
}

impl IntoListener for InternalListener {
    type Listener = InternalConnections;

    fn into_listener(self) -> io::Result<InternalConnections> {
        self.0.set_nonblocking(true)?;
        Ok(InternalConnections(tokio::net::TcpListener::from_std(self.0)?))
    }
}

impl Listen for InternalConnections {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, _) = self.0.accept().await?;
        Ok(Stream::Tcp(stream.into_std()?, InternalListener::ADDRESS))
    }
}
