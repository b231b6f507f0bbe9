//! Keys of a store as parts of a URL.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

/// All bytes but the unreserved ones of RFC 3986 and the slash, which has no meaning of its own
/// in a query and separates the segments of a path as it does those of a key.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Returns a key, or a prefix of keys, as the value of a query parameter or the end of a path.
pub fn encode_key(key: &str) -> String {
    utf8_percent_encode(key, ENCODED).to_string()
}

/// Returns the key that [`encode_key`] has encoded; `None` if the text encodes no key.
pub fn decode_key(text: &str) -> Option<String> {
    let key = percent_decode_str(text).decode_utf8().ok()?;
    Some(key.into_owned())
}
