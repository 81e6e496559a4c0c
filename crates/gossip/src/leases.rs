//! Quota leases and the retry budget: what a member may spend of a limit that holds for the whole cluster. Each
//! member computes its part from what it knows of all; the parts of all members that exchange messages add up to
//! the limit.

use crate::Micros;

/// The share of a limit that is divided equally, whatever the demand.
const EQUAL_SHARE: f64 = 0.1;
/// A member that exchanges with more than this share of the cluster divides the whole quota. One half, and what the
/// estimated count may be wrong by.
const MAJORITY: f64 = 0.6;
/// Capacity of a token bucket, in seconds of its rate.
const BUCKET_SECONDS: f64 = 0.5;
/// Least capacity of a token bucket: with less, a member with little demand would lose what arrives in bursts.
const MIN_BUCKET_TOKENS: f64 = 3.0;
/// The share of all requests that may be retried once an attempt has failed.
pub const RETRY_SHARE: f64 = 0.1;

/// The local lease of `quota` (all figures per second), for a member with the demand `local` where all members
/// together have the demand `total`, and `reachable` members of `size` exchange messages with this one.
pub fn quota_lease(quota: f64, local: f64, total: f64, reachable: f64, size: f64) -> f64 {
    let isolated = quota / size;
    if reachable <= 1.0 {
        return isolated;
    }
    // Either half of a partitioned cluster would otherwise divide the whole quota, and together they would spend it
    // twice. The price: where many members have died, the remaining ones get no more than their part.
    let pool = if reachable > MAJORITY * size { quota } else { quota * (reachable / size) };
    let total = total.max(local).max(f64::MIN_POSITIVE);
    if total <= pool {
        return (pool * local / total).max(isolated);
    }
    (1.0 - EQUAL_SHARE) * pool * local / total + EQUAL_SHARE * pool / reachable
}

/// Requests per second, and how much of it would be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second.
    pub requests: f64,
    /// Failed attempts per second that a retry might mend.
    pub failed: f64,
}

/// Retries per second that a member may send. The cluster has one retry budget, a share of all requests, which is
/// divided among the members whose attempts fail. A member without a live link has that share of its own requests,
/// so partitions together spend no more than the whole cluster.
///
/// With a budget for each sidecar alone, a fault that hits all of them would spend every budget, and everything
/// saved up in them, at the same moment. The price: while the count of failures is under way, a busy failing sidecar
/// has only its own share.
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

/// A lease as it is spent: a token bucket that is refilled at the rate of the lease.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
    granted: u64,
    denied: u64,
}

impl TokenBucket {
    /// A full bucket with this rate.
    pub fn new(rate_per_s: f64, now: Micros) -> TokenBucket {
        let tokens = TokenBucket::capacity(rate_per_s);
        TokenBucket { rate_per_s, tokens, refilled_at: now, granted: 0, denied: 0 }
    }

    fn capacity(rate_per_s: f64) -> f64 {
        (rate_per_s * BUCKET_SECONDS).max(MIN_BUCKET_TOKENS)
    }

    /// The rate, in tokens per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Tokens handed out since the bucket was created.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Requests for a token that found the bucket empty, since it was created.
    pub fn denied(&self) -> u64 {
        self.denied
    }

    /// Changes the rate from `now` on; tokens beyond the new capacity are dropped.
    pub fn set_rate(&mut self, rate_per_s: f64, now: Micros) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.tokens = self.tokens.min(TokenBucket::capacity(rate_per_s));
    }

    /// Takes one token if there is one; whether there was.
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
