//! Reads a response body as a whole, within limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::PooledBody;
use smol::Timer;

use crate::body_memory::BodyMemory;
use crate::body_memory::BodyRefusal;
use crate::call_deadline::timeout_at;

/// Maximum number of pieces of a body. A body that is sent in tiny chunks costs far more
/// processor time than its size suggests.
const MAX_PIECES: usize = 65_536;
/// Interval at which an answer without room asks for it again.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Reads `body` to its end by `deadline`, at most `max_bytes`. Its request may have run, so it
/// waits where `memory` has no room.
pub(crate) async fn read_whole(
    memory: &Arc<BodyMemory>,
    mut body: PooledBody,
    max_bytes: usize,
    address: SocketAddr,
    deadline: Instant,
) -> Result<Bytes, CallError> {
    let read = async {
        let hold = memory.begin_answer();
        // Answers that take their room as a whole never wait for each other with a part of it.
        let announced = body.size_hint().exact();
        let announced = announced.and_then(|bytes| usize::try_from(bytes).ok());
        if let Some(bytes) = announced.filter(|bytes| (1..=max_bytes).contains(bytes)) {
            while hold.reserve_whole(bytes) == Err(BodyRefusal::NoRoom) {
                Timer::after(ROOM_CHECK_INTERVAL).await;
            }
        }
        let (mut byte_count, mut piece_count) = (0, 0);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CallError::sent(CallStep::Read, address, error))?;
            let piece = frame.into_data().unwrap_or_default();
            byte_count += piece.len();
            piece_count += 1;
            if byte_count > max_bytes || piece_count > MAX_PIECES {
                let message = format!("the body is longer than {max_bytes} bytes or its pieces");
                return Err(CallError::sent(CallStep::Limit, address, message));
            }
            let mut rest = &piece[..];
            while hold.append(&mut rest) == Err(BodyRefusal::NoRoom) {
                Timer::after(ROOM_CHECK_INTERVAL).await;
            }
        }
        let whole = hold.finish();
        whole.map_err(|refusal| CallError::sent(CallStep::Read, address, refusal))
    };
    let timed_out = CallError::sent(CallStep::Read, address, "deadline passed");
    timeout_at(deadline, read).await.unwrap_or(Err(timed_out))
}
