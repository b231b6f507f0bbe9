//! Connections that are opened only to find out whether a peer is reached.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_lite::AsyncReadExt;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::runtime;
use smol::net::TcpListener;

/// Time within which a trial ends.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against trials that fill an endpoint's limit on open connections.
#[test]
fn trials_leave_no_connection_open() {
    runtime::run(1, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("its address");
        let pool = HttpPool::new();
        for _ in 0..3 {
            assert_eq!(try_once(&pool, address).await, Ok(()));
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut byte = [0];
            let read = stream.read(&mut byte).await;
            assert_eq!(read.expect("an orderly end"), 0);
        }
        assert!(pool.opened_at(address).is_some());
        drop(listener);
        assert!(try_once(&pool, address).await.is_err());
    });
}

async fn try_once(pool: &HttpPool, address: SocketAddr) -> Result<(), String> {
    let deadline = Instant::now() + TRIAL_TIMEOUT;
    let tried = pool.try_connect(address, deadline).await;
    tried.map_err(|error| error.to_string())
}
