//! HTTP/1.1 server and pooled client.

mod connection_bound;
mod connection_headers;
mod connection_mark;
mod http_handler;
mod http_pool;
mod http_reply;
mod http_server;
mod interim_counter;
mod key_encoding;
mod marked_body;
mod marked_stream;
mod pooled_body;
mod reply_body;
mod server_limits;
mod socket_options;
mod whole_body;
mod yielding_stream;

pub use connection_bound::ConnectionBound;
pub use connection_headers::remove_connection_headers;
pub use connection_mark::ConnectionMark;
pub use http_handler::HttpHandler;
pub use http_pool::HttpPool;
pub use http_reply::HttpReply;
pub use http_server::HttpServer;
pub use key_encoding::decode_key;
pub use key_encoding::encode_key;
pub use pooled_body::PooledBody;
pub use reply_body::BodyError;
pub use reply_body::ReplyBody;
pub use reply_body::full_body;
pub use server_limits::ServerLimits;
pub use socket_options::set_liveness_options;
pub use whole_body::WholeBodyError;
pub use whole_body::read_whole_body;
