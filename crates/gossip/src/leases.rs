//! What a member may spend of a quota that is one for the whole tier. Each works it out for itself, from what it
//! knows of all; the sum over all that hear one another is the quota.

use crate::Micros;

/// The share of a quota that everyone has in equal parts, whatever is asked.
const EQUAL: f64 = 0.1;
/// Who shares with more than this of the tier has the whole quota. Half, and what the count may be wrong by.
const MAJORITY: f64 = 0.6;
/// The depth of a bucket, in seconds of its lease, and in requests at the least: with less, who is asked little would
/// lose what comes unevenly.
const DEPTH: f64 = 0.5;
const LEAST: f64 = 3.0;
/// The share of all requests that may be repeated once an attempt has failed.
pub const REPEATED: f64 = 0.1;

/// A lease, a second: of `quota`, for a member that is asked `own` where all together are asked `total`, as far as
/// `reach` members of `size` share what they know.
pub fn lease(quota: f64, own: f64, total: f64, reach: f64, size: f64) -> f64 {
    let alone = quota / size;
    if reach <= 1.0 {
        return alone;
    }
    // Danger: either half of a tier that is cut in two would think that it is all, and both together would spend
    // the quota twice. Harmful where many have died: the rest then have no more than their part.
    let pot = if reach > MAJORITY * size { quota } else { quota * (reach / size) };
    let total = total.max(own).max(f64::MIN_POSITIVE);
    if total <= pot {
        return (pot * own / total).max(alone);
    }
    (1.0 - EQUAL) * pot * own / total + EQUAL * pot / reach
}

/// What is asked, and what of it wants to be repeated since an attempt has failed; a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests.
    pub requests: f64,
    /// Attempts that failed.
    pub failed: f64,
}

/// How many repeats a second a member may send, of the one budget that the tier has for them: a share of all
/// that is asked, divided by who needs them. Who hears nobody has that share of its own requests, so parts that
/// are cut off spend no more together than the whole.
///
/// Danger: in a storm every sidecar's own budget is spent, and the sum of what each may have saved comes at one
/// instant. Harmful where the count of failures comes late: for as long a busy failing sidecar has its own share.
pub fn repeats(own: Demand, all: Demand, reach: f64) -> f64 {
    let alone = REPEATED * own.requests;
    if reach <= 1.0 {
        return alone;
    }
    let pot = REPEATED * all.requests.max(own.requests);
    let failed = all.failed.max(own.failed).max(f64::MIN_POSITIVE);
    if failed <= pot {
        return (pot * own.failed / failed).max(EQUAL * alone);
    }
    (1.0 - EQUAL) * pot * own.failed / failed + EQUAL * alone
}

/// A lease as it is spent: a bucket that fills as fast as the lease says.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    per_s: f64,
    filled: f64,
    at: Micros,
    spent: u64,
    beyond: u64,
}

impl Lease {
    /// One of so much a second, full.
    pub fn new(per_s: f64, now: Micros) -> Lease {
        Lease { per_s, filled: Lease::depth(per_s), at: now, spent: 0, beyond: 0 }
    }

    fn depth(per_s: f64) -> f64 {
        (per_s * DEPTH).max(LEAST)
    }

    /// How much it is a second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// What was spent of it, and what was asked beyond it, so far.
    pub fn spent(&self) -> (u64, u64) {
        (self.spent, self.beyond)
    }

    /// From now on it is so much a second.
    pub fn set(&mut self, per_s: f64, now: Micros) {
        self.fill(now);
        self.per_s = per_s;
        self.filled = self.filled.min(Lease::depth(per_s));
    }

    /// Spends one, if there is one.
    pub fn spend(&mut self, now: Micros) -> bool {
        self.fill(now);
        let can = self.filled >= 1.0;
        if can {
            self.filled -= 1.0;
            self.spent += 1;
        } else {
            self.beyond += 1;
        }
        can
    }

    fn fill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.filled = (self.filled + passed * self.per_s).min(Lease::depth(self.per_s));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn leases_of_all_that_hear_one_another_are_the_quota_however_uneven_they_ask() {
        for (quota, asked) in [
            (100.0, vec![500.0, 1.0, 1.0, 1.0]),
            (100.0, vec![30.0, 30.0, 30.0, 30.0]),
            (100.0, vec![99.0, 1.0, 0.0, 0.5]),
            (1000.0, (0..300).map(|n| 2000.0 / (1.0 + f64::from(n))).collect()),
        ] {
            let (total, size): (f64, f64) = (asked.iter().sum(), asked.len() as f64);
            let leases = asked.iter().map(|own| lease(quota, *own, total, size, size));
            let spent: f64 = leases.clone().zip(&asked).map(|(l, own)| l.min(*own)).sum();
            assert!(spent <= quota + 1e-6, "{spent}");
            assert!(spent >= 0.9 * quota.min(total), "{spent} of {quota}, asked {total}");
            if total <= quota {
                assert!(
                    leases.zip(&asked).all(|(l, own)| l >= *own),
                    "nobody is turned away for it"
                );
            }
        }
    }

    #[test]
    fn repeats_of_all_are_a_share_of_what_all_ask_wherever_attempts_fail() {
        for (asked, failing) in [
            (vec![100.0, 1.0, 1.0, 1.0], vec![0.9, 0.9, 0.0, 0.0]),
            (vec![10.0; 300], vec![0.5; 300]),
            ((1..=300).map(|n| 900.0 / f64::from(n)).collect(), vec![0.02; 300]),
        ] {
            let each = asked.iter().zip(&failing);
            let each: Vec<Demand> =
                each.map(|(a, f)| Demand { requests: *a, failed: a * f }).collect();
            let sum = |of: fn(&Demand) -> f64| each.iter().map(of).sum::<f64>();
            let all = Demand { requests: sum(|d| d.requests), failed: sum(|d| d.failed) };
            let reach = each.len() as f64;
            let granted: f64 = each.iter().map(|own| repeats(*own, all, reach)).sum();
            assert!(granted <= 1.1 * REPEATED * all.requests + 1e-9, "{granted}");
            let used: f64 = each.iter().map(|own| repeats(*own, all, reach).min(own.failed)).sum();
            assert!(used >= 0.9 * all.failed.min(REPEATED * all.requests), "{used}");
            let alone: f64 = each.iter().map(|own| repeats(*own, *own, 1.0)).sum();
            assert!((alone - REPEATED * all.requests).abs() < 1e-9, "cut off, all together");
        }
    }

    #[test]
    fn who_hears_nobody_has_its_part_and_halves_have_no_more_than_the_whole() {
        assert_eq!(lease(100.0, 900.0, 900.0, 1.0, 10.0), 10.0);
        let half = |reach| reach * lease(100.0, 50.0, 50.0 * reach, reach, 10.0);
        assert!((half(5.0) - 50.0).abs() < 1e-9);
        assert!((half(7.0) - 100.0).abs() < 1e-9 && (half(3.0) - 30.0).abs() < 1e-9);
        let any = lease(100.0, 0.0, 0.0, 5.0, 10.0);
        assert!(any.is_finite() && any > 0.0);
    }

    #[test]
    fn a_bucket_gives_its_lease_a_second_and_no_more_than_its_depth_at_once() {
        let mut lease = Lease::new(10.0, 0);
        let spent = |lease: &mut Lease, from: Micros, to: Micros| {
            (from..to).step_by(1000).filter(|at| lease.spend(*at)).count()
        };
        assert_eq!(spent(&mut lease, 0, 10_000), 5, "its depth");
        let count = spent(&mut lease, 10_000, 10_010_000);
        assert!((99..=101).contains(&count), "{count}");
        lease.set(0.0, 20_000_000);
        assert_eq!(spent(&mut lease, 20_000_000, 30_000_000), 3, "what is left of its depth");
        assert!(lease.spent().1 > 9_000);
    }
}
