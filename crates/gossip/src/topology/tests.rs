//! Tests of the topology.

use std::collections::BTreeSet;

use super::*;

#[test]
fn neighbors_are_mutual_and_the_graph_has_a_small_diameter() {
    for size in [1, 2, 9, 17, 18, 24, 300, 1800] {
        let all = neighbors(size);
        for (n, own) in all.iter().enumerate() {
            assert!(own.iter().all(|peer| all[*peer as usize].contains(&(n as u32))), "{size}");
        }
        let (mut visited, mut frontier, mut hops) = (BTreeSet::from([0]), vec![0], 0);
        while !frontier.is_empty() {
            let next: BTreeSet<u32> =
                frontier.iter().flat_map(|n| all[*n as usize].clone()).collect();
            frontier = next.into_iter().filter(|n| visited.insert(*n)).collect();
            hops += 1;
        }
        assert_eq!(visited.len(), size as usize);
        assert!(hops <= 7, "{size}: {hops}");
    }
}
