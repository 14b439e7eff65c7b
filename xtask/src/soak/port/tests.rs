//! Ports that all nodes share, and ports that the system assigns.

use rand::{SeedableRng, rngs::SmallRng};
use std::collections::HashSet;

use super::{SHARED_PORTS, free, shared};

/// Guards against a node that cannot listen because its upstream was assigned the port that all nodes
/// share.
#[test]
fn ports_assigned_by_the_system_never_equal_a_shared_port() {
    let mut random = SmallRng::seed_from_u64(3_037);
    for _ in 0..50 {
        let shared = shared(&mut random).expect("some port is free");
        assert!(SHARED_PORTS.contains(&shared), "{shared}");
        let [chosen] = free().expect("some port is free");
        assert!(!SHARED_PORTS.contains(&chosen), "{chosen}");
    }
}

/// Guards against a node that cannot listen because two of its listeners were assigned one port.
#[test]
fn ports_assigned_together_are_different() {
    let ports: [u16; 500] = free().expect("some ports are free");
    let distinct: HashSet<u16> = ports.into_iter().collect();
    assert_eq!(distinct.len(), ports.len());
}
