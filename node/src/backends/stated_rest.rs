//! The rest that a refusal asks for.

use jujuberoad::ids::Milliseconds;

/// Time for which an endpoint wants no requests from this router, by a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedRest {
    /// The response asks for no rest.
    #[default]
    None,
    /// The endpoint wants nothing for so long.
    For(Milliseconds),
    /// The response asks for a rest that is no time.
    Invalid,
}
