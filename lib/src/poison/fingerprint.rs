//! Identifies requests with the same target, caller and body, whatever their ids and headers.

use smol_str::format_smolstr;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::Fingerprint;

/// First character of every fingerprint; ids of parts of prompts are hexadecimal.
const MARK: char = '=';

/// Returns whether a part stands for a whole request.
pub(super) fn is_fingerprint(part: &str) -> bool {
    part.starts_with(MARK)
}

/// Returns the fingerprint of a request. It is the same at all routers for requests with the
/// same target, caller and body.
pub fn fingerprint(
    method: &str,
    host: &str,
    target: &str,
    caller: &str,
    body: &[u8],
) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for field in [
        method.as_bytes(),
        host.as_bytes(),
        target.as_bytes(),
        caller.as_bytes(),
        body,
    ] {
        // The length keeps the end of one field apart from the start of the next one.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    format_smolstr!("{MARK}{:016x}", hasher.digest())
}
