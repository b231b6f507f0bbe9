//! Reads a response body as a whole, within limits.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::PooledBody;

use crate::call_deadline::timeout_at;

/// Maximum number of pieces of a body. A body that is sent in tiny chunks costs far more
/// processor time than its size suggests.
const MAX_PIECES: usize = 65_536;

/// Reads `body` to its end by `deadline`, at most `max_bytes`.
pub(crate) async fn read_whole(
    mut body: PooledBody,
    max_bytes: usize,
    address: SocketAddr,
    deadline: Instant,
) -> Result<Bytes, CallError> {
    let read = async {
        let mut whole = BytesMut::new();
        let mut piece_count = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CallError::sent(CallStep::Read, address, error))?;
            whole.extend_from_slice(&frame.into_data().unwrap_or_default());
            piece_count += 1;
            if whole.len() > max_bytes || piece_count > MAX_PIECES {
                let message = format!("the body is longer than {max_bytes} bytes or its pieces");
                return Err(CallError::sent(CallStep::Limit, address, message));
            }
        }
        Ok(whole.freeze())
    };
    let timed_out = CallError::sent(CallStep::Read, address, "deadline passed");
    timeout_at(deadline, read).await.unwrap_or(Err(timed_out))
}
