//! Ports that nodes share, and those that the system chooses.

use rand::{SeedableRng, rngs::SmallRng};

use super::{SHARED_PORTS, free, shared};

/// A soak ends at its start: one of 9 nodes, or of 200, is not there. The upstream beside it was given, at the
/// node's address, the very port that all nodes share for messages between them, and the node could not
/// listen. Both ports were drawn by the system from one range.
#[test]
fn no_upstream_is_given_a_port_that_all_nodes_share() {
    let mut random = SmallRng::seed_from_u64(3_037);
    for _ in 0..50 {
        let shared = shared(&mut random).expect("some port is free");
        assert!(SHARED_PORTS.contains(&shared), "{shared}");
        let chosen = free().expect("some port is free");
        assert!(!SHARED_PORTS.contains(&chosen), "{chosen}");
    }
}
