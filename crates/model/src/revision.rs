//! Revisions of a store that may come back from an older copy.
//!
//! Such a store loses its last writes, counts on from an earlier revision, and then gives numbers out a second
//! time. It names the era of its answers, which rises with each return. Only era and number together order
//! its writes. Both are packed into one integer, whose order is that of the pair; in era 0 it is the number.

/// Bits that hold the number; the remaining 16 hold the era.
const NUMBER_BITS: u32 = 48;

/// Packs `number` of `era`; `None` if either is too large.
///
/// ```
/// use model::revision::{era, number, pack};
/// let (before, after) = (pack(0, 95).unwrap(), pack(1, 83).unwrap());
/// assert!(before < after);
/// assert_eq!((era(after), number(after)), (1, 83));
/// assert_eq!(pack(1 << 16, 1), None);
/// ```
pub const fn pack(era: u64, number: u64) -> Option<u64> {
    if era >> (u64::BITS - NUMBER_BITS) > 0 || number >> NUMBER_BITS > 0 {
        return None;
    }
    Some(era << NUMBER_BITS | number)
}

/// Returns the era of a packed revision.
pub const fn era(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the number of a packed revision within its era.
pub const fn number(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}

/// Formats a packed revision for operators: `NUMBER` in era 0, then `ERA.NUMBER`.
///
/// ```
/// use model::revision::{pack, text};
/// assert_eq!((text(7), text(pack(2, 7).unwrap())), ("7".to_owned(), "2.7".to_owned()));
/// ```
pub fn text(revision: u64) -> String {
    match era(revision) {
        0 => revision.to_string(),
        era => format!("{era}.{}", number(revision)),
    }
}
