//! Checks the behaviour of clusters by a hash over all messages, their times and the values computed from them, for a
//! range of seeds.

mod common;
#[path = "common/seeded.rs"]
mod seeded;

/// First seed, end of the seeds, cluster size, and the sum of the hashes of these runs.
const SUMS: [(u64, u64, u32, u64); 3] = [
    (0, 8, 12, 0x0a34_f5ed_52aa_1ed7),
    (8, 16, 24, 0xb315_bd5d_f548_eb38),
    (16, 18, 60, 0xdc14_21fb_cc9a_c160),
];

/// The hashes depend on no names or texts, so a change that preserves the behaviour preserves them.
#[test]
fn seeded_runs_send_the_same_bytes_at_the_same_times() {
    for (from, to, size, expected) in SUMS {
        let hashes = (from..to).map(|seed| seeded::run(seed, Some(size)).hash);
        let sum = hashes.fold(0, u64::wrapping_add);
        assert_eq!(sum, expected, "seeds {from}..{to}: {sum:#018x}");
    }
}
