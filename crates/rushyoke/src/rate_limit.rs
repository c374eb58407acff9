//! Rate-limited, bounded priority queue for calls to the state service and the cloud. It keeps this node
//! within its share of the platform's limits and serves the most urgent calls first.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rushyoke_core::Urgency;

/// Largest number of queued calls per urgency; further calls are rejected at once.
const MAX_QUEUED_PER_URGENCY: usize = 200;
/// Longest time that a call waits in a queue before it is rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(1500);
/// Waiting time after which users' writes alternate with record writes, which otherwise go first.
const USER_WRITE_OVERDUE: Duration = Duration::from_millis(300);
/// Order in which the queues are served.
const BY_URGENCY: [Urgency; 4] = [Urgency::Leadership, Urgency::Record, Urgency::High, Urgency::Low];
/// Order in which the queues are served when an overdue write of a user goes next.
const USER_WRITES_FIRST: [Urgency; 4] = [Urgency::Leadership, Urgency::High, Urgency::Record, Urgency::Low];

/// Token bucket that refills at a constant rate. Leadership calls may take it below zero.
struct TokenBucket {
    tokens_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(tokens_per_s: f64, capacity: f64, now: Instant) -> TokenBucket {
        TokenBucket { tokens_per_s, capacity, tokens: capacity, refilled_at: now }
    }

    /// Adds the tokens earned since the last refill.
    fn refill(&mut self, now: Instant) {
        self.tokens =
            (self.tokens + now.duration_since(self.refilled_at).as_secs_f64() * self.tokens_per_s).min(self.capacity);
        self.refilled_at = now;
    }

    /// Whether the bucket has enough tokens. A cost above its capacity passes once it is full.
    fn allows(&self, cost: f64) -> bool {
        self.tokens >= cost.min(self.capacity)
    }
}

/// Call that waits in a queue.
pub struct Queued<T> {
    pub item: T,
    urgency: Urgency,
    /// Number of writes in the call; 0 for a read.
    writes: f64,
    queued_at: Instant,
}

/// Limits the requests and the writes per second, with one queue per urgency.
pub struct RateLimitedQueue<T> {
    requests: TokenBucket,
    writes: TokenBucket,
    queues: [VecDeque<Queued<T>>; 4],
    /// Whether a record write goes before users' writes, since the last write was an overdue one of a user.
    record_write_due: bool,
    /// Requests per second that all nodes together may send.
    rps: f64,
    /// Writes per second that all nodes together may send.
    write_rps: f64,
}

impl<T> RateLimitedQueue<T> {
    /// Creates a queue whose buckets hold `burst_s` seconds' worth of calls.
    pub fn new(rps: f64, write_rps: f64, burst_s: f64, now: Instant) -> RateLimitedQueue<T> {
        RateLimitedQueue {
            requests: TokenBucket::new(rps, (rps * burst_s).max(1.0), now),
            writes: TokenBucket::new(write_rps, (write_rps * burst_s).max(1.0), now),
            queues: std::array::from_fn(|_| VecDeque::new()),
            record_write_due: false,
            rps,
            write_rps,
        }
    }

    /// Changes the limits per second. The new rates apply from the next call of `set_share` on.
    pub fn set_limits(&mut self, rps: f64, write_rps: f64, burst_s: f64) {
        (self.rps, self.write_rps) = (rps, write_rps);
        self.requests.capacity = (rps * burst_s).max(1.0);
        self.writes.capacity = (write_rps * burst_s).max(1.0);
    }

    /// Sets this node's share of the limits.
    pub fn set_share(&mut self, share: f64) {
        self.requests.tokens_per_s = self.rps * share;
        self.writes.tokens_per_s = self.write_rps * share;
    }

    /// Queues a call. Returns it if the queue is full.
    pub fn push(&mut self, item: T, urgency: Urgency, writes: usize, now: Instant) -> Option<T> {
        let queue = &mut self.queues[urgency as usize];
        if queue.len() >= MAX_QUEUED_PER_URGENCY {
            return Some(item);
        }
        queue.push_back(Queued { item, urgency, writes: writes as f64, queued_at: now });
        None
    }

    /// Removes and returns the next call that may be sent. If `at_capacity`, the limit of calls in flight is reached,
    /// and only a leadership call is returned.
    pub fn pop(&mut self, now: Instant, at_capacity: bool) -> Option<T> {
        self.requests.refill(now);
        self.writes.refill(now);
        // Leadership calls are never delayed; other calls then wait until the tokens that those took have refilled.
        // A read does not wait behind writes, even if these are more urgent.
        let mut writes_blocked = false;
        let user_write_due = !self.record_write_due && self.user_write_overdue(now);
        for urgency in if user_write_due { USER_WRITES_FIRST } else { BY_URGENCY } {
            let queue = &mut self.queues[urgency as usize];
            let passes = |queued: &Queued<T>| {
                let may_write = queued.writes == 0.0 || (!writes_blocked && self.writes.allows(queued.writes));
                queued.urgency == Urgency::Leadership || (!at_capacity && self.requests.allows(1.0) && may_write)
            };
            let Some(first) = queue.front() else { continue };
            let position = if passes(first) {
                Some(0)
            } else {
                queue.iter().position(|queued| queued.writes == 0.0 && passes(queued))
            };
            let Some(position) = position else {
                writes_blocked = true;
                continue;
            };
            let next = queue.remove(position).expect("the position is in the queue");
            self.requests.tokens -= 1.0;
            self.writes.tokens -= next.writes;
            if next.writes > 0.0 {
                self.record_write_due = user_write_due && urgency == Urgency::High;
            }
            return Some(next.item);
        }
        None
    }

    /// Whether a user's write has waited for too long. A leader that constantly writes records could use up a low write
    /// limit alone, and submissions would be rejected.
    fn user_write_overdue(&self, now: Instant) -> bool {
        let first = self.queues[Urgency::High as usize].iter().find(|queued| queued.writes > 0.0);
        first.is_some_and(|queued| now.duration_since(queued.queued_at) >= USER_WRITE_OVERDUE)
    }

    /// Removes and returns the calls that waited for too long.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            while queue.front().is_some_and(|queued| now.duration_since(queued.queued_at) > MAX_QUEUE_TIME) {
                expired.extend(queue.pop_front().map(|queued| queued.item));
            }
        }
        expired
    }
}

#[cfg(test)]
mod tests;
