//! Helpers for HTTP requests and responses.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use serde::Serialize;

/// Returns a plain-text response.
pub(super) fn text_response(status: StatusCode, body: &str) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(body.to_owned()));
    *response.status_mut() = status;
    response
}

/// Returns a JSON response.
pub(super) fn json_response<T: Serialize>(value: &T) -> Response<ReplyBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::new(full_body(body))
}

/// Returns the parameter `name` of a query string, if it is a number.
pub(super) fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    for pair in query?.split('&') {
        if let Some((key, value)) = pair.split_once('=')
            && key == name
        {
            return value.parse().ok();
        }
    }
    None
}

/// Reads the whole body of a request; returns an empty one if the connection fails.
pub(super) async fn read_body(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default()
}
