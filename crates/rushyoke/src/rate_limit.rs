//! Budgets for calls to the outside: never more than this node's share of what the
//! platform allows, the most urgent first, and a bounded queue.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rushyoke_core::Urgency;

/// Calls that wait; more are refused at once.
const QUEUE: usize = 200;
/// A call that waited for so long is refused.
const PATIENCE: Duration = Duration::from_millis(1500);
/// A user's change that waited for so long takes turns with the records, which pass it before.
const OVERDUE: Duration = Duration::from_millis(300);
/// Queues in the order in which they are served.
const BY_URGENCY: [Urgency; 4] = [Urgency::Leadership, Urgency::Record, Urgency::High, Urgency::Low];
const USERS_FIRST: [Urgency; 4] = [Urgency::Leadership, Urgency::High, Urgency::Record, Urgency::Low];

/// A bucket of tokens that fills steadily.
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: f64, burst: f64, now: Instant) -> Bucket {
        Bucket { rate, burst, level: burst, filled: now }
    }

    fn fill(&mut self, now: Instant) {
        self.level = (self.level + now.duration_since(self.filled).as_secs_f64() * self.rate).min(self.burst);
        self.filled = now;
    }

    /// A cost above the burst passes once the bucket is full.
    fn has(&self, cost: f64) -> bool {
        self.level >= cost.min(self.burst)
    }
}

pub struct Queued<T> {
    pub item: T,
    urgency: Urgency,
    writes: f64,
    since: Instant,
}

/// Requests and writes per second, with a queue per urgency.
pub struct RateLimitedQueue<T> {
    requests: Bucket,
    writes: Bucket,
    queues: [VecDeque<Queued<T>>; 4],
    /// The last change was a user's that was overdue: a record's is next.
    records_turn: bool,
    rps: f64,
    write_rps: f64,
}

impl<T> RateLimitedQueue<T> {
    /// `seconds` worth of calls may go out in a burst.
    pub fn new(rps: f64, write_rps: f64, seconds: f64, now: Instant) -> RateLimitedQueue<T> {
        RateLimitedQueue {
            requests: Bucket::new(rps, (rps * seconds).max(1.0), now),
            writes: Bucket::new(write_rps, (write_rps * seconds).max(1.0), now),
            queues: std::array::from_fn(|_| VecDeque::new()),
            records_turn: false,
            rps,
            write_rps,
        }
    }

    /// Changes what is allowed a second.
    pub fn set_limits(&mut self, rps: f64, write_rps: f64, seconds: f64) {
        (self.rps, self.write_rps) = (rps, write_rps);
        self.requests.burst = (rps * seconds).max(1.0);
        self.writes.burst = (write_rps * seconds).max(1.0);
    }

    /// Sets this node's share of the whole.
    pub fn set_share(&mut self, share: f64) {
        self.requests.rate = self.rps * share;
        self.writes.rate = self.write_rps * share;
    }

    /// Queues a call; gives it back if the queue is full.
    pub fn push(&mut self, item: T, urgency: Urgency, writes: usize, now: Instant) -> Option<T> {
        let queue = &mut self.queues[urgency as usize];
        if queue.len() >= QUEUE {
            return Some(item);
        }
        queue.push_back(Queued { item, urgency, writes: writes as f64, since: now });
        None
    }

    /// The next call that may go out; only leadership's if the calls under way are too many.
    pub fn pop(&mut self, now: Instant, full: bool) -> Option<T> {
        self.requests.fill(now);
        self.writes.fill(now);
        // Leadership never waits; what it uses is paid back by the others. What reads only does
        // not wait behind changes, be they more urgent.
        let mut blocked = false;
        let users_turn = !self.records_turn && self.users_overdue(now);
        for urgency in if users_turn { USERS_FIRST } else { BY_URGENCY } {
            let queue = &mut self.queues[urgency as usize];
            let passes = |q: &Queued<T>| {
                let may_write = q.writes == 0.0 || (!blocked && self.writes.has(q.writes));
                q.urgency == Urgency::Leadership || (!full && self.requests.has(1.0) && may_write)
            };
            let Some(first) = queue.front() else { continue };
            let at = if passes(first) { Some(0) } else { queue.iter().position(|q| q.writes == 0.0 && passes(q)) };
            let Some(at) = at else {
                blocked = true;
                continue;
            };
            let next = queue.remove(at).expect("just found");
            self.requests.level -= 1.0;
            self.writes.level -= next.writes;
            if next.writes > 0.0 {
                self.records_turn = users_turn && urgency == Urgency::High;
            }
            return Some(next.item);
        }
        None
    }

    /// Whether a user's change has waited too long while the leader writes all the time: with few
    /// changes a second its records alone would use them up, and submissions would be refused.
    fn users_overdue(&self, now: Instant) -> bool {
        let first = self.queues[Urgency::High as usize].iter().find(|queued| queued.writes > 0.0);
        first.is_some_and(|queued| now.duration_since(queued.since) >= OVERDUE)
    }

    /// Calls that waited too long.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            while queue.front().is_some_and(|q| now.duration_since(q.since) > PATIENCE) {
                expired.extend(queue.pop_front().map(|q| q.item));
            }
        }
        expired
    }
}

#[cfg(test)]
mod tests;
