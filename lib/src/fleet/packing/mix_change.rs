//! A change of the mix of one domain.

/// Another mix of groups for a domain.
pub(super) struct MixChange<'a> {
    /// Index of the domain.
    pub(super) domain: usize,
    /// Its present number of groups by model.
    pub(super) old: &'a [usize],
    /// The other number of groups by model.
    pub(super) new: &'a [usize],
}
