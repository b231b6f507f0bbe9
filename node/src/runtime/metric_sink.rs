//! Metrics of a process.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;

/// Sends metrics to a statsd collector, or nowhere.
pub struct MetricSink {
    client: StatsdClient,
}

impl MetricSink {
    /// Opens a sink to `collector`; without one, metrics are dropped.
    pub fn open(prefix: &str, collector: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(collector) = collector else {
            return Ok(Self {
                client: StatsdClient::from_sink(prefix, NopMetricSink),
            });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(collector, socket)
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self {
            client: StatsdClient::from_sink(prefix, sink),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a span of time, in milliseconds.
    pub fn time(&self, name: &str, milliseconds: u64) {
        let _ = self.client.time(name, milliseconds);
    }
}
