use super::*;

#[test]
fn leadership_passes_an_empty_bucket_and_the_rest_waits() {
    let start = Instant::now();
    let mut budget = RateLimitedQueue::new(2.0, 2.0, 1.0, start);
    for n in 0..4 {
        assert!(budget.push(n, Urgency::High, 1, start).is_none());
    }
    assert_eq!(
        (budget.pop(start, false), budget.pop(start, false), budget.pop(start, false)),
        (Some(0), Some(1), None)
    );
    assert!(budget.push(9, Urgency::Leadership, 0, start).is_none());
    assert_eq!(budget.pop(start, true), Some(9));
    assert_eq!(budget.pop(start + Duration::from_millis(600), false), None);
    assert_eq!(budget.pop(start + Duration::from_millis(1100), false), Some(2));
    assert_eq!(budget.take_expired(start + Duration::from_secs(2)), vec![3]);
}

#[test]
fn a_read_does_not_wait_behind_a_change() {
    let start = Instant::now();
    let mut budget = RateLimitedQueue::new(100.0, 2.0, 1.0, start);
    budget.push("first change", Urgency::High, 2, start);
    budget.push("second change", Urgency::High, 2, start);
    budget.push("read", Urgency::High, 0, start);
    assert_eq!(
        (budget.pop(start, false), budget.pop(start, false), budget.pop(start, false)),
        (Some("first change"), Some("read"), None)
    );
    assert_eq!(budget.pop(start + Duration::from_millis(1100), false), Some("second change"));
}

#[test]
fn what_jobs_wait_for_passes_a_flood_of_submissions() {
    let start = Instant::now();
    let mut budget = RateLimitedQueue::new(100.0, 2.0, 1.0, start);
    for n in 0..50 {
        budget.push(n, Urgency::High, 2, start);
    }
    budget.push(99, Urgency::Record, 1, start);
    budget.push(100, Urgency::Record, 2, start);
    budget.push(101, Urgency::Low, 0, start);
    // The second record waits for its turn; no submission passes it, but what reads does.
    assert_eq!(
        (budget.pop(start, false), budget.pop(start, false), budget.pop(start, false)),
        (Some(99), Some(101), None)
    );
}

#[test]
fn a_submission_gets_its_turn_among_records_that_never_end() {
    let start = Instant::now();
    let mut budget = RateLimitedQueue::new(100.0, 10.0, 1.0, start);
    let mut passed = Vec::new();
    for step in 0..150 {
        let now = start + Duration::from_millis(10 * step);
        if step % 5 == 0 {
            budget.push("record", Urgency::Record, 5, now);
        }
        if step % 25 == 0 {
            budget.push("submission", Urgency::High, 2, now);
        }
        passed.extend(std::iter::from_fn(|| budget.pop(now, false)));
        assert!(!budget.take_expired(now).contains(&"submission"), "at {now:?}");
    }
    let submissions = passed.iter().filter(|item| **item == "submission").count();
    let records = passed.len() - submissions;
    assert!(submissions >= 2 && records >= 2, "{submissions} submissions, {records} records");
    assert!(submissions <= records, "records are not held up by a flood");
}

#[test]
fn a_lower_limit_holds_from_the_moment_it_is_set() {
    let start = Instant::now();
    let mut budget = RateLimitedQueue::new(100.0, 40.0, 1.0, start);
    assert!((0..40).all(|n| budget.push(n, Urgency::High, 1, start).is_none()));
    budget.set_limits(100.0, 4.0, 1.0);
    budget.set_share(0.5);
    let later = start + Duration::from_millis(10);
    let passed = (0..40).filter(|_| budget.pop(later, false).is_some()).count();
    assert_eq!(passed, 4, "the burst");
    let passed = (0..40).filter(|_| budget.pop(later + Duration::from_secs(1), false).is_some()).count();
    assert_eq!(passed, 2, "this node's share");
}

#[test]
fn a_full_queue_gives_the_call_back() {
    let start = Instant::now();
    let mut budget = RateLimitedQueue::new(1.0, 1.0, 1.0, start);
    for n in 0..QUEUE {
        assert!(budget.push(n, Urgency::Low, 0, start).is_none());
    }
    assert_eq!(budget.push(QUEUE, Urgency::Low, 0, start), Some(QUEUE));
}
