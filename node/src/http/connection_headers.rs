//! Hop-by-hop headers, which are never forwarded.

use hyper::HeaderMap;
use hyper::header::HeaderName;

/// Hop-by-hop headers of HTTP/1.1, and `Expect`, which the local server handles itself.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Removes the hop-by-hop headers and those that the `Connection` header lists.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all("connection") {
        let Ok(value) = value.to_str() else {
            continue;
        };
        named.extend(value.split(',').map(|name| name.trim().to_owned()));
    }
    for name in named {
        if let Ok(name) = HeaderName::from_bytes(name.as_bytes()) {
            headers.remove(name);
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
