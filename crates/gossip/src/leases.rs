//! Quota leases and the retry budget: the part of a cluster-wide limit that one member may use. Each member computes
//! its part from its estimates of the cluster-wide sums; the parts of all members that exchange messages add up to the
//! limit.

use crate::Micros;

/// The share of a limit that is divided equally, regardless of demand.
const EQUAL_SHARE: f64 = 0.1;
/// A member that exchanges values with more than this share of the cluster divides the whole quota. This is one half
/// plus the error margin of the estimated member count.
const MAJORITY: f64 = 0.6;
/// Capacity of a token bucket, in seconds of its rate.
const BUCKET_SECONDS: f64 = 0.5;
/// Minimum capacity of a token bucket, in tokens. With less, a member with little demand would reject requests that
/// arrive in bursts.
const MIN_BUCKET_TOKENS: f64 = 3.0;
/// Retries that may be sent, as a share of all requests.
pub const RETRY_SHARE: f64 = 0.1;

/// Returns a member's lease of `quota`, for a demand of `local` at this member and of `total` at all members together,
/// where `reachable` members out of `size`, this one included, exchange messages. All rates are per second.
pub fn quota_lease(quota: f64, local: f64, total: f64, reachable: f64, size: f64) -> f64 {
    let isolated = quota / size;
    if reachable <= 1.0 {
        return isolated;
    }
    // Otherwise each half of a partitioned cluster would divide the whole quota, and both together would spend it
    // twice. The drawback: after many members have died, the remaining ones only get their proportional part.
    let pool = if reachable > MAJORITY * size { quota } else { quota * (reachable / size) };
    let total = total.max(local).max(f64::MIN_POSITIVE);
    if total <= pool {
        return (pool * local / total).max(isolated);
    }
    (1.0 - EQUAL_SHARE) * pool * local / total + EQUAL_SHARE * pool / reachable
}

/// Rate of requests, and rate of failed attempts that could be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second.
    pub requests: f64,
    /// Failed attempts per second that a retry might fix.
    pub failed: f64,
}

/// Returns the retries per second that a member may send.
///
/// The cluster has one retry budget, a share of all requests, which is divided among the members whose attempts fail. A
/// member without a live link may use that share of its own requests, so partitions together spend no more than the
/// whole cluster would.
///
/// With a separate budget for each sidecar, a fault that hits all of them would use up every budget, with all retries
/// saved in it, at the same moment. The drawback: until its failure rate has spread, a busy sidecar with failures only
/// has its own share.
pub fn retry_allowance(local: Demand, total: Demand, reachable: f64) -> f64 {
    let isolated = RETRY_SHARE * local.requests;
    if reachable <= 1.0 {
        return isolated;
    }
    let pool = RETRY_SHARE * total.requests.max(local.requests);
    let failed = total.failed.max(local.failed).max(f64::MIN_POSITIVE);
    if failed <= pool {
        return (pool * local.failed / failed).max(EQUAL_SHARE * isolated);
    }
    (1.0 - EQUAL_SHARE) * pool * local.failed / failed + EQUAL_SHARE * isolated
}

/// A token bucket that is refilled at the rate of a lease.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
    granted: u64,
    denied: u64,
}

impl TokenBucket {
    /// Creates a full bucket with this rate.
    pub fn new(rate_per_s: f64, now: Micros) -> TokenBucket {
        let tokens = TokenBucket::capacity(rate_per_s);
        TokenBucket { rate_per_s, tokens, refilled_at: now, granted: 0, denied: 0 }
    }

    fn capacity(rate_per_s: f64) -> f64 {
        (rate_per_s * BUCKET_SECONDS).max(MIN_BUCKET_TOKENS)
    }

    /// Returns the rate, in tokens per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the number of tokens granted since the bucket was created.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the number of requests for a token that were denied since the bucket was created.
    pub fn denied(&self) -> u64 {
        self.denied
    }

    /// Changes the rate from `now` on; tokens beyond the new capacity are dropped.
    pub fn set_rate(&mut self, rate_per_s: f64, now: Micros) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.tokens = self.tokens.min(TokenBucket::capacity(rate_per_s));
    }

    /// Takes one token if one is available, and returns whether it was.
    pub fn try_acquire(&mut self, now: Micros) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
            self.granted += 1;
        } else {
            self.denied += 1;
        }
        available
    }

    fn refill(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        let capacity = TokenBucket::capacity(self.rate_per_s);
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(capacity);
    }
}

#[cfg(test)]
mod tests;
