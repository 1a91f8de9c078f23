//! Generations of the log.

use crate::Offset;

/// Number of times that the log has been restored from a backup.
///
/// A restored log gives out its offsets again. Offsets of this product include the generation, so that those of a later
/// generation are greater than all earlier ones, and so are the fences and incarnations that are made from them.
pub type Generation = u64;

/// Number of bits of an offset that hold the position within its generation.
const POSITION_BITS: u32 = 40;

/// Returns the offset of the first record of a generation.
pub const fn first_offset(generation: Generation) -> Offset {
    (generation << POSITION_BITS) + 1
}

/// Returns the generation that an offset belongs to.
pub const fn generation_of(offset: Offset) -> Generation {
    offset >> POSITION_BITS
}
