//! Checks the behaviour of clusters by a hash over all messages, their times and the values computed from them, for a
//! range of seeds.

mod common;
#[path = "common/seeded.rs"]
mod seeded;

/// First seed, end of the seeds, cluster size, and the sum of the hashes of these runs.
const SUMS: [(u64, u64, u32, u64); 3] = [
    (0, 8, 12, 0x7e0b_6208_b6da_16a9),
    (8, 16, 24, 0xecff_5587_3c47_7d1a),
    (16, 18, 60, 0xcc38_13ca_965f_ecb4),
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
