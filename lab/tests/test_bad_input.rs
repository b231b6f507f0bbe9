//! Malformed and slow HTTP requests must not affect other callers of a router.

mod testutils;

use std::net::SocketAddr;

use jujube_lab::fleet::LabFleet;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use testutils::call;
use testutils::with_fleet;

/// Sends raw bytes and returns the status line of the response.
async fn send_raw(router: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(router).await.expect("a connection");
    // The router may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn malformed_requests_get_an_error_and_the_router_keeps_serving() {
    with_fleet(3, async |fleet: &mut LabFleet| {
        let router = fleet.nodes[0].http;
        let garbage = send_raw(router, b"\x16\x03\x01 not http at all\r\n\r\n").await;
        assert_eq!(garbage, "HTTP/1.1 400 Bad Request");
        let mut flood = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n".to_vec();
        for index in 0..500 {
            flood.extend_from_slice(format!("x-{index}: y\r\n").as_bytes());
        }
        flood.extend_from_slice(b"\r\n");
        let flood = send_raw(router, &flood).await;
        assert_eq!(flood, "HTTP/1.1 431 Request Header Fields Too Large");
        let long = format!("GET /{} HTTP/1.1\r\nhost: x\r\n\r\n", "a".repeat(200_000));
        let long = send_raw(router, long.as_bytes()).await;
        assert!(long.starts_with("HTTP/1.1 4"), "{long}");
        // An incomplete request line blocks no other caller, and the router closes its
        // connection after a timeout.
        let mut slow = TcpStream::connect(router).await.expect("a connection");
        slow.write_all(b"POST /v1/chat/completions HTT")
            .await
            .expect("the start of a request line is sent");
        let answer = call(router, "GET", "/v1/models", &[], "").await;
        assert_eq!(answer.status, 200);
        let mut rest = Vec::new();
        let _ = slow.read_to_end(&mut rest).await;
        let answer = call(router, "GET", "/readyz", &[], "").await;
        assert_eq!(answer.status, 200);
    });
}
