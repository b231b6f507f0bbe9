//! Reads a body as a whole, within limits.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Maximum number of pieces of a body. A body in tiny chunks costs far more processor time than
/// its size suggests.
const MAX_PIECES: usize = 65_536;

/// Why a body was not read to its end.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WholeBodyError {
    /// It is longer than the reader allows.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// It has more pieces than any sound body.
    #[error("the body has more than {MAX_PIECES} pieces")]
    TooManyPieces,
    /// The connection failed.
    #[error("{0}")]
    Broken(String),
}

/// Reads `body` to its end, at most `max_bytes`. One that announces more is not read at all.
///
/// Each piece is copied: it is a part of a read buffer, which it keeps, and a list of pieces
/// of one byte takes many times their size.
pub async fn read_whole_body<B>(mut body: B, max_bytes: usize) -> Result<Bytes, WholeBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: ToString,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(WholeBodyError::TooLong(max_bytes));
    }
    let (mut whole, mut piece_count) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| WholeBodyError::Broken(error.to_string()))?;
        let piece = frame.into_data().unwrap_or_default();
        piece_count += 1;
        if piece_count > MAX_PIECES {
            return Err(WholeBodyError::TooManyPieces);
        }
        if whole.len() + piece.len() > max_bytes {
            return Err(WholeBodyError::TooLong(max_bytes));
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}
