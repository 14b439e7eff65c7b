//! Ports that all nodes share, and ports that the system assigns.

use rand::{SeedableRng, rngs::SmallRng};

use super::{SHARED_PORTS, free, shared};

/// Guards against a node that cannot listen because its upstream was assigned the port that all nodes
/// share.
#[test]
fn ports_assigned_by_the_system_never_equal_a_shared_port() {
    let mut random = SmallRng::seed_from_u64(3_037);
    for _ in 0..50 {
        let shared = shared(&mut random).expect("some port is free");
        assert!(SHARED_PORTS.contains(&shared), "{shared}");
        let chosen = free().expect("some port is free");
        assert!(!SHARED_PORTS.contains(&chosen), "{chosen}");
    }
}
