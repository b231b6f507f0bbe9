//! A fully buffered HTTP response.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use serde::de::DeserializeOwned;

use crate::backends::CallError;
use crate::backends::CallStep;

/// Status, headers and body of a response.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Address of the peer that responded.
    pub peer: SocketAddr,
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

impl HttpReply {
    /// Decodes the JSON body of a successful response; any other status is an error.
    pub fn decode_json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if !self.status.is_success() {
            let message = format!("response has status {}", self.status);
            return Err(CallError::sent(CallStep::Decode, self.peer, message));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| CallError::sent(CallStep::Decode, self.peer, error))
    }
}
