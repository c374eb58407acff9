use super::*;

#[test]
fn leadership_calls_pass_an_empty_bucket_while_others_wait() {
    let start = Instant::now();
    let mut queue = RateLimitedQueue::new(2.0, 2.0, 1.0, start);
    for n in 0..4 {
        assert!(queue.push(n, Urgency::High, 1, start).is_none());
    }
    assert_eq!((queue.pop(start, false), queue.pop(start, false), queue.pop(start, false)), (Some(0), Some(1), None));
    assert!(queue.push(9, Urgency::Leadership, 0, start).is_none());
    assert_eq!(queue.pop(start, true), Some(9));
    assert_eq!(queue.pop(start + Duration::from_millis(600), false), None);
    assert_eq!(queue.pop(start + Duration::from_millis(1100), false), Some(2));
    assert_eq!(queue.take_expired(start + Duration::from_secs(2)), vec![3]);
}

#[test]
fn a_read_does_not_wait_behind_a_write() {
    let start = Instant::now();
    let mut queue = RateLimitedQueue::new(100.0, 2.0, 1.0, start);
    queue.push("first write", Urgency::High, 2, start);
    queue.push("second write", Urgency::High, 2, start);
    queue.push("read", Urgency::High, 0, start);
    assert_eq!(
        (queue.pop(start, false), queue.pop(start, false), queue.pop(start, false)),
        (Some("first write"), Some("read"), None)
    );
    assert_eq!(queue.pop(start + Duration::from_millis(1100), false), Some("second write"));
}

#[test]
fn record_writes_pass_a_flood_of_submissions() {
    let start = Instant::now();
    let mut queue = RateLimitedQueue::new(100.0, 2.0, 1.0, start);
    for n in 0..50 {
        queue.push(n, Urgency::High, 2, start);
    }
    queue.push(99, Urgency::Record, 1, start);
    queue.push(100, Urgency::Record, 2, start);
    queue.push(101, Urgency::Low, 0, start);
    // The second record write waits for tokens; no submission passes it, but a read does.
    assert_eq!(
        (queue.pop(start, false), queue.pop(start, false), queue.pop(start, false)),
        (Some(99), Some(101), None)
    );
}

#[test]
fn submissions_are_not_starved_by_constant_record_writes() {
    let start = Instant::now();
    let mut queue = RateLimitedQueue::new(100.0, 10.0, 1.0, start);
    let mut sent = Vec::new();
    for step in 0..150 {
        let now = start + Duration::from_millis(10 * step);
        if step % 5 == 0 {
            queue.push("record", Urgency::Record, 5, now);
        }
        if step % 25 == 0 {
            queue.push("submission", Urgency::High, 2, now);
        }
        sent.extend(std::iter::from_fn(|| queue.pop(now, false)));
        assert!(!queue.take_expired(now).contains(&"submission"), "at {now:?}");
    }
    let submissions = sent.iter().filter(|item| **item == "submission").count();
    let records = sent.len() - submissions;
    assert!(submissions >= 2 && records >= 2, "{submissions} submissions, {records} records");
    assert!(submissions <= records, "submissions must not delay record writes");
}

#[test]
fn a_lower_limit_applies_as_soon_as_it_is_set() {
    let start = Instant::now();
    let mut queue = RateLimitedQueue::new(100.0, 40.0, 1.0, start);
    assert!((0..40).all(|n| queue.push(n, Urgency::High, 1, start).is_none()));
    queue.set_limits(100.0, 4.0, 1.0);
    queue.set_share(0.5);
    let later = start + Duration::from_millis(10);
    let sent = (0..40).filter(|_| queue.pop(later, false).is_some()).count();
    assert_eq!(sent, 4, "the burst");
    let sent = (0..40).filter(|_| queue.pop(later + Duration::from_secs(1), false).is_some()).count();
    assert_eq!(sent, 2, "this node's share");
}

#[test]
fn a_full_queue_returns_the_call() {
    let start = Instant::now();
    let mut queue = RateLimitedQueue::new(1.0, 1.0, 1.0, start);
    for n in 0..MAX_QUEUED_PER_URGENCY {
        assert!(queue.push(n, Urgency::Low, 0, start).is_none());
    }
    assert_eq!(queue.push(MAX_QUEUED_PER_URGENCY, Urgency::Low, 0, start), Some(MAX_QUEUED_PER_URGENCY));
}
