//! HTTP implementation of [`PlatformStore`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;

use super::CallError;
use super::CallStep;
use super::PlatformStore;
use super::StoreError;
use super::StoredValue;
use crate::http::HttpPool;
use crate::http::HttpReply;
use crate::http::encode_key;

/// Response header with the version of a value, or of the conflicting one.
pub const VERSION_HEADER: &str = "platform-version";

/// Margin between the end of a long poll and the deadline of the call, which leaves
/// time for the response.
const WATCH_MARGIN: Duration = Duration::from_millis(200);

/// HTTP client of the platform's key-value store.
pub struct HttpPlatformStore {
    pool: Arc<HttpPool>,
    address: SocketAddr,
}

impl HttpPlatformStore {
    /// Creates a client of the store at `address`.
    pub fn new(pool: Arc<HttpPool>, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<HttpReply, CallError> {
        self.pool
            .exchange(self.address, method, path, body, deadline)
            .await
    }

    fn decode_version(&self, reply: &HttpReply) -> Result<StoreVersion, CallError> {
        let header = reply
            .headers
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok());
        let version = header.and_then(|text| text.parse().ok());
        version.ok_or_else(|| {
            let message = format!("response has no {VERSION_HEADER} header");
            CallError::sent(CallStep::Decode, self.address, message)
        })
    }

    fn decode_value(&self, reply: HttpReply) -> Result<Option<StoredValue>, CallError> {
        let version = self.decode_version(&reply)?;
        Ok(Some(StoredValue {
            version,
            bytes: reply.body,
        }))
    }

    fn status_error(&self, key: &str, expected: StoreVersion, reply: &HttpReply) -> StoreError {
        let key = key.to_owned();
        if reply.status == StatusCode::CONFLICT {
            let found = self.decode_version(reply).unwrap_or(0);
            return StoreError::Conflict {
                key,
                expected,
                found,
            };
        }
        StoreError::Refused {
            key,
            status: reply.status.as_u16(),
        }
    }
}

#[async_trait]
impl PlatformStore for HttpPlatformStore {
    async fn get(&self, key: &str, deadline: Instant) -> Result<Option<StoredValue>, StoreError> {
        let path = format!("/kv/{}", encode_key(key));
        let reply = self
            .call(Method::GET, &path, Bytes::new(), deadline)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(self.decode_value(reply)?),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.status_error(key, 0, &reply)),
        }
    }

    async fn watch(
        &self,
        key: &str,
        known: StoreVersion,
        deadline: Instant,
    ) -> Result<Option<StoredValue>, StoreError> {
        let wait = deadline.saturating_duration_since(Instant::now());
        let wait_ms = wait.saturating_sub(WATCH_MARGIN).as_millis();
        let path = format!("/watch/{}?known={known}&wait_ms={wait_ms}", encode_key(key));
        let reply = self
            .call(Method::GET, &path, Bytes::new(), deadline)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(self.decode_value(reply)?),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.status_error(key, known, &reply)),
        }
    }

    async fn put(
        &self,
        key: &str,
        expected: StoreVersion,
        value: Bytes,
        lease: Option<u64>,
        deadline: Instant,
    ) -> Result<StoreVersion, StoreError> {
        let mut path = format!("/kv/{}?expected={expected}", encode_key(key));
        if let Some(lease) = lease {
            path.push_str(&format!("&lease={lease}"));
        }
        let reply = self.call(Method::PUT, &path, value, deadline).await?;
        match reply.status {
            StatusCode::OK => Ok(self.decode_version(&reply)?),
            _ => Err(self.status_error(key, expected, &reply)),
        }
    }

    async fn delete(
        &self,
        key: &str,
        expected: StoreVersion,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        let path = format!("/kv/{}?expected={expected}", encode_key(key));
        let reply = self
            .call(Method::DELETE, &path, Bytes::new(), deadline)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(()),
            _ => Err(self.status_error(key, expected, &reply)),
        }
    }

    async fn list(&self, prefix: &str, deadline: Instant) -> Result<Vec<String>, StoreError> {
        let path = format!("/list/{}", encode_key(prefix));
        let reply = self
            .call(Method::GET, &path, Bytes::new(), deadline)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(reply.decode_json()?),
            _ => Err(self.status_error(prefix, 0, &reply)),
        }
    }

    async fn open_lease(&self, ttl_ms: Milliseconds, deadline: Instant) -> Result<u64, StoreError> {
        let path = format!("/lease?ttl_ms={ttl_ms}");
        let reply = self
            .call(Method::POST, &path, Bytes::new(), deadline)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(reply.decode_json()?),
            _ => Err(self.status_error("lease", 0, &reply)),
        }
    }

    async fn renew_lease(&self, lease: u64, deadline: Instant) -> Result<(), StoreError> {
        let path = format!("/lease/{lease}");
        let reply = self
            .call(Method::POST, &path, Bytes::new(), deadline)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::LeaseExpired(lease)),
            _ => Err(self.status_error("lease", 0, &reply)),
        }
    }
}
