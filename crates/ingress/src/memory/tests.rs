//! Tests of the memory that answers take.

use super::Memory;

/// Guards against answers that together take more memory than the node may use.
#[test]
fn leases_never_exceed_the_limit_together() {
    let memory = Memory::default();
    let (mut first, mut second) = (memory.lease(), memory.lease());
    assert!(first.extend(60, 100));
    assert!(!second.extend(41, 100));
    assert!(second.extend(40, 100));
    assert!(!first.extend(usize::MAX, 100));
    first.shrink(60);
    assert!(second.extend(60, 100));
    drop(second);
    assert_eq!(memory.held(), 0);
}

/// Guards against memory that is released while an answer still waits for its caller, or never.
#[test]
fn a_lease_lasts_as_long_as_the_bytes_attached_to_it() {
    let memory = Memory::default();
    let mut lease = memory.lease();
    assert!(lease.extend(4, 100));
    let bytes = lease.attach(b"body".to_vec());
    let part = bytes.slice(1..2);
    drop(bytes);
    assert_eq!((memory.held(), part.as_ref()), (4, b"o".as_slice()));
    drop(part);
    assert_eq!(memory.held(), 0);
}
