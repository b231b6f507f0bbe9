//! HTTP implementation of [`VmDirectory`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;

use super::CallError;
use super::VmDirectory;
use super::VmListing;
use crate::http::HttpPool;

/// Fetches the platform's list of VMs as JSON.
pub struct HttpVmDirectory {
    pool: Arc<HttpPool>,
    address: SocketAddr,
}

impl HttpVmDirectory {
    /// Creates a client of the platform at `address`.
    pub fn new(pool: Arc<HttpPool>, address: SocketAddr) -> Self {
        Self { pool, address }
    }
}

#[async_trait]
impl VmDirectory for HttpVmDirectory {
    async fn list(&self, deadline: Instant) -> Result<Vec<VmListing>, CallError> {
        let (pool, address) = (&self.pool, self.address);
        let reply = pool
            .exchange(address, Method::GET, "/vms", Bytes::new(), deadline)
            .await?;
        reply.decode_json()
    }
}
