use super::*;
use cadence::{
    BufferedUdpMetricSink, Counted, CountedExt, Gauged, MetricSink, NopMetricSink,
    QueuingMetricSink, StatsdClient,
};
use std::{io, net::UdpSocket, panic::RefUnwindSafe};

/// Sends metrics to a `StatsD` server, to a [`MetricPage`], or nowhere.
#[derive(Clone, Debug)]
pub struct MetricClient {
    client: Arc<StatsdClient>,
}

impl MetricClient {
    /// Returns a client that sends to the configured `StatsD` server; without settings, metrics are
    /// discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket cannot be opened.
    pub fn new(settings: Option<&MetricSettings>) -> io::Result<Self> {
        let Some(settings) = settings else {
            return Ok(Self::to_sink("guavapass", NopMetricSink));
        };
        let any: SocketAddr = match settings.statsd {
            SocketAddr::V4(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
            SocketAddr::V6(_) => SocketAddr::from(([0_u16; 8], 0)),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink =
            BufferedUdpMetricSink::from(settings.statsd, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self::to_sink(&settings.prefix, sink))
    }

    /// Returns a client that writes to a sink; `prefix` and a dot precede each metric name.
    pub(super) fn to_sink(
        prefix: &str,
        sink: impl MetricSink + Sync + Send + RefUnwindSafe + 'static,
    ) -> Self {
        Self { client: Arc::new(StatsdClient::from_sink(prefix, sink)) }
    }

    /// Increments a counter by one.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Increments a counter by one, with the tag `kind`.
    pub fn count_by(&self, name: &str, kind: &str) {
        let _ = self.client.count_with_tags(name, 1).with_tag("kind", kind).try_send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
