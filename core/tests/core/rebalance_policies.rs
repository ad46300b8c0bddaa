//! Choice of the nodes that are asked to take a service.

use std::collections::HashMap;

use snipehead_core::name::Name;
use snipehead_core::rebalance_policy::candidates;
use snipehead_core::rebalance_policy::is_imbalanced;

fn names(count: u64) -> Vec<Name> {
    (0..count).map(|number| format!("host-{number}").into()).collect()
}

#[test]
fn a_service_that_would_move_back_does_not_move() {
    assert!(!is_imbalanced(1, 0));
    assert!(!is_imbalanced(2, 1));
    assert!(is_imbalanced(2, 0));
    assert!(is_imbalanced(3, 1));
}

#[test]
fn the_least_loaded_nodes_are_asked_first_and_others_in_the_next_round() {
    let nodes = names(20);
    let loads: HashMap<Name, u64> = (0..10).map(|n| (nodes[n].clone(), n as u64 % 3 + 1)).collect();
    let asked = |round| candidates(&nodes[2], &nodes, &loads, round);
    assert_eq!(asked(0).len(), 3);
    assert!(asked(0).iter().all(|name| !loads.contains_key(name)));
    assert_ne!(asked(0), asked(1));
    assert!(candidates(&nodes[0], &nodes, &loads, 0).is_empty());
}
