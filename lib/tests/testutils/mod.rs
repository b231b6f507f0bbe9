//! Helpers shared by several test files.
#![allow(dead_code, missing_docs)]

pub mod choice_sim;
pub mod claim_sim;
pub mod digest_sim;
pub mod fleet_files;
pub mod limit_sim;
pub mod overload_plan;
pub mod overload_sim;
pub mod poison_sim;
pub mod slot_sim;
pub mod view_sim;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;

/// Runs `property` once for each of `count` fixed seeds of `size` random bytes.
pub fn for_seeds(
    count: u64,
    size: u64,
    mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for index in 1..=count {
        // The upper half of an arbtest seed is entropy, the lower half the size.
        let entropy = index.wrapping_mul(0x9e37_79b9) & 0xffff_ffff;
        arbtest::arbtest(&mut property).seed(entropy << 32 | size);
    }
}

/// Draws a number from `low` to `high`, both inclusive.
pub fn draw(u: &mut Unstructured<'_>, low: u64, high: u64) -> arbitrary::Result<u64> {
    u.int_in_range(low..=high)
}

/// Returns true with probability 1 / `odds`, and never once the random bytes are used up.
pub fn once_in(u: &mut Unstructured<'_>, odds: u32) -> arbitrary::Result<bool> {
    Ok(!u.is_empty() && u.int_in_range(1..=odds)? == odds)
}
pub mod pace_sim;
pub mod replica_sim;
