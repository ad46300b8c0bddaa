//! Tests of token buckets and of the fair queue.

use proptest::prelude::*;
use rstest::rstest;

use snipehead::group::fair_queue::FairQueue;
use snipehead::limit::token_bucket::TokenBucket;
use snipehead::name::Name;

proptest! {
    #[test]
    fn bucket_never_exceeds_rate_and_burst(
        rate in 1.0..500.0_f64,
        burst in 1.0..200.0_f64,
        pauses_ms in prop::collection::vec(0..200_u64, 1..400),
    ) {
        let mut bucket = TokenBucket::new(0);
        bucket.configure(0, rate, burst);
        let mut now_ms = 0;
        let mut taken_at_ms = Vec::new();
        for pause_ms in pauses_ms {
            now_ms += pause_ms;
            if bucket.take(now_ms, 1.0).is_ok() {
                taken_at_ms.push(now_ms);
            }
        }
        for (index, start_ms) in taken_at_ms.iter().enumerate() {
            for (count, end_ms) in taken_at_ms[index..].iter().enumerate() {
                let allowed = burst + rate * (end_ms - start_ms) as f64 / 1_000.0;
                prop_assert!((count + 1) as f64 <= allowed + 1e-6);
            }
        }
    }
}

#[test]
fn bucket_returns_the_time_until_it_has_enough_tokens() {
    let mut bucket = TokenBucket::new(0);
    bucket.configure(0, 10.0, 5.0);
    assert_eq!(bucket.take(0, 1.0), Err(Some(100)));
    assert_eq!(bucket.take(100, 1.0), Ok(()));
    assert_eq!(bucket.take(100, 9.0), Err(None));
    bucket.configure(100, 0.0, 5.0);
    assert_eq!(bucket.take(60_000, 1.0), Err(None));
}

#[rstest]
#[case(10, 1, 1)]
#[case(50, 5, 1)]
fn small_workspace_is_not_starved_by_a_large_one(
    #[case] large_requests: usize,
    #[case] small_requests: usize,
    #[case] max_before: usize,
) {
    let (large_workspace, small_workspace): (Name, Name) = ("large".into(), "small".into());
    let mut queue = FairQueue::default();
    (0..large_requests).for_each(|item| queue.push(&large_workspace, item));
    (0..small_requests).for_each(|item| queue.push(&small_workspace, 1_000 + item));
    let mut large_before_small = 0;
    while let Some((name, _)) = queue.pop(|_| true) {
        queue.charge(&name, 1_000);
        if name == small_workspace {
            break;
        }
        large_before_small += 1;
    }
    assert!(
        large_before_small <= max_before,
        "{large_before_small} requests of the large workspace ran first"
    );
}

#[test]
fn idle_workspace_accumulates_no_credit() {
    let (active, idle): (Name, Name) = ("one".into(), "other".into());
    let mut queue = FairQueue::default();
    for item in 0..100 {
        queue.push(&active, item);
        queue.pop(|_| true);
        queue.charge(&active, 1_000);
    }
    (0..10).for_each(|item| queue.push(&idle, item));
    (0..10).for_each(|item| queue.push(&active, item));
    let mut is_idle_in_order = Vec::new();
    while let Some((name, _)) = queue.pop(|_| true) {
        queue.charge(&name, 1_000);
        is_idle_in_order.push(name == idle);
    }
    let idle_among_first_ten = is_idle_in_order.iter().take(10).filter(|is_idle| **is_idle).count();
    assert!(
        (4..=7).contains(&idle_among_first_ten),
        "the idle workspace got {idle_among_first_ten} of the first ten turns"
    );
}
