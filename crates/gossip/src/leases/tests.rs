//! Tests of quota leases, the retry budget and the token bucket.

use super::*;

#[test]
fn leases_add_up_to_the_quota_however_uneven_the_demand() {
    for (quota, demand) in [
        (100.0, vec![500.0, 1.0, 1.0, 1.0]),
        (100.0, vec![30.0, 30.0, 30.0, 30.0]),
        (100.0, vec![99.0, 1.0, 0.0, 0.5]),
        (1000.0, (0..300).map(|n| 2000.0 / (1.0 + f64::from(n))).collect()),
    ] {
        let (total, size): (f64, f64) = (demand.iter().sum(), demand.len() as f64);
        let leases = demand.iter().map(|local| quota_lease(quota, *local, total, size, size));
        let spent: f64 = leases.clone().zip(&demand).map(|(l, local)| l.min(*local)).sum();
        assert!(spent <= quota + 1e-6, "{spent}");
        assert!(spent >= 0.9 * quota.min(total), "{spent} of {quota}, demand {total}");
        if total <= quota {
            assert!(
                leases.zip(&demand).all(|(l, local)| l >= *local),
                "a demand below the quota is admitted at every member"
            );
        }
    }
}

#[test]
fn retry_allowances_add_up_to_a_share_of_all_requests_wherever_attempts_fail() {
    for (requests, failing) in [
        (vec![100.0, 1.0, 1.0, 1.0], vec![0.9, 0.9, 0.0, 0.0]),
        (vec![10.0; 300], vec![0.5; 300]),
        ((1..=300).map(|n| 900.0 / f64::from(n)).collect(), vec![0.02; 300]),
    ] {
        let each = requests.iter().zip(&failing);
        let each: Vec<Demand> = each.map(|(r, f)| Demand { requests: *r, failed: r * f }).collect();
        let sum = |of: fn(&Demand) -> f64| each.iter().map(of).sum::<f64>();
        let all = Demand { requests: sum(|d| d.requests), failed: sum(|d| d.failed) };
        let reachable = each.len() as f64;
        let allowances = each.iter().map(|local| retry_allowance(*local, all, reachable));
        let granted: f64 = allowances.clone().sum();
        assert!(granted <= 1.1 * RETRY_SHARE * all.requests + 1e-9, "{granted}");
        let used: f64 = allowances.zip(&each).map(|(a, local)| a.min(local.failed)).sum();
        assert!(used >= 0.9 * all.failed.min(RETRY_SHARE * all.requests), "{used}");
        let isolated: f64 = each.iter().map(|local| retry_allowance(*local, *local, 1.0)).sum();
        assert!(
            (isolated - RETRY_SHARE * all.requests).abs() < 1e-9,
            "the allowances of isolated members add up to the share of all requests"
        );
    }
}

#[test]
fn isolated_member_has_an_equal_part_and_a_partition_has_at_most_the_quota() {
    assert_eq!(quota_lease(100.0, 900.0, 900.0, 1.0, 10.0), 10.0);
    let partition = |members| members * quota_lease(100.0, 50.0, 50.0 * members, members, 10.0);
    assert!((partition(5.0) - 50.0).abs() < 1e-9);
    assert!((partition(7.0) - 100.0).abs() < 1e-9 && (partition(3.0) - 30.0).abs() < 1e-9);
    let idle = quota_lease(100.0, 0.0, 0.0, 5.0, 10.0);
    assert!(idle.is_finite() && idle > 0.0);
}

#[test]
fn token_bucket_grants_its_rate_and_bursts_up_to_its_capacity() {
    let mut bucket = TokenBucket::new(10.0, 0);
    let granted = |bucket: &mut TokenBucket, from: Micros, to: Micros| {
        (from..to).step_by(1000).filter(|at| bucket.try_acquire(*at)).count()
    };
    assert_eq!(granted(&mut bucket, 0, 10_000), 5, "the capacity");
    let count = granted(&mut bucket, 10_000, 10_010_000);
    assert!((99..=101).contains(&count), "{count}");
    bucket.set_rate(0.0, 20_000_000);
    assert_eq!(granted(&mut bucket, 20_000_000, 30_000_000), 3, "the rest of the capacity");
    assert!(bucket.denied() > 9_000);
}
