//! Client for statsd metrics.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;

/// Sends metrics to a statsd collector, if one is configured.
pub struct MetricSink {
    client: StatsdClient,
}

impl MetricSink {
    /// Creates a sink that sends to `collector`; without one, metrics are discarded. All
    /// metric names get `prefix`.
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

    /// Increments a counter by one.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, milliseconds: u64) {
        let _ = self.client.time(name, milliseconds);
    }
}
