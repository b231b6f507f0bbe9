//! An answer that has been read as a whole.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use serde::de::DeserializeOwned;

use crate::backends::CallError;
use crate::backends::CallStep;

/// Head and body of an answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Machine that answered.
    pub peer: SocketAddr,
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl HttpReply {
    /// Reads the body of a successful answer as JSON.
    pub fn decode_json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if !self.status.is_success() {
            let message = format!("answer with status {}", self.status);
            return Err(CallError::sent(CallStep::Decode, self.peer, message));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| CallError::sent(CallStep::Decode, self.peer, error))
    }
}
