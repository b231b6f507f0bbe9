//! HTTP server of a stand-in that can stop and resume at the same address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::HttpServer;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::StopSignal;
use jujuberoad_node::runtime::StopTrigger;
use smol::net::TcpListener;

/// Serves a handler at a fixed address.
pub struct LabServer {
    address: SocketAddr,
    handler: Arc<dyn HttpHandler>,
    stop_trigger: Mutex<Option<StopTrigger>>,
}

impl LabServer {
    /// Binds to a free port on the loopback interface and starts serving.
    pub async fn start(handler: Arc<dyn HttpHandler>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = Arc::new(Self {
            address,
            handler,
            stop_trigger: Mutex::default(),
        });
        server.serve(listener);
        Ok(server)
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listening socket, so that new connections are refused.
    pub fn stop_listening(&self) {
        self.stop_trigger.lock().expect("server lock").take();
    }

    /// Binds to the same address again; does nothing if the server is listening.
    pub async fn resume_listening(self: &Arc<Self>) -> std::io::Result<()> {
        if self.stop_trigger.lock().expect("server lock").is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address).await?;
        self.serve(listener);
        Ok(())
    }

    fn serve(&self, listener: TcpListener) {
        let (trigger, stop) = StopSignal::new();
        *self.stop_trigger.lock().expect("server lock") = Some(trigger);
        runtime::spawn(HttpServer::new(listener, Arc::clone(&self.handler)).run(stop));
    }
}
