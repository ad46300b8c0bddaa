//! Token buckets and fair order.

use proptest::prelude::*;
use rstest::rstest;

use snipehead::group::fair_queue::FairQueue;
use snipehead::limit::token_bucket::TokenBucket;
use snipehead::name::Name;

proptest! {
    #[test]
    fn bucket_never_gives_more_than_rate_and_burst(
        rate in 1.0..500.0_f64,
        burst in 1.0..200.0_f64,
        takes in prop::collection::vec(0..200_u64, 1..400),
    ) {
        let mut bucket = TokenBucket::new(0);
        bucket.configure(0, rate, burst);
        let mut now_ms = 0;
        let mut given_at = Vec::new();
        for pause_ms in takes {
            now_ms += pause_ms;
            if bucket.take(now_ms, 1.0).is_ok() {
                given_at.push(now_ms);
            }
        }
        for (index, start_ms) in given_at.iter().enumerate() {
            for (count, end_ms) in given_at[index..].iter().enumerate() {
                let allowed = burst + rate * (end_ms - start_ms) as f64 / 1_000.0;
                prop_assert!((count + 1) as f64 <= allowed + 1e-6);
            }
        }
    }
}

#[test]
fn bucket_tells_how_long_to_wait() {
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
fn small_workspace_waits_for_few_of_a_large_one(
    #[case] large: usize,
    #[case] small: usize,
    #[case] most_before: usize,
) {
    let (big, little): (Name, Name) = ("large".into(), "small".into());
    let mut queue = FairQueue::default();
    (0..large).for_each(|item| queue.push(&big, item));
    (0..small).for_each(|item| queue.push(&little, 1_000 + item));
    let mut before = 0;
    while let Some((name, _)) = queue.pop(|_| true) {
        queue.charge(&name, 1_000);
        if name == little {
            break;
        }
        before += 1;
    }
    assert!(before <= most_before, "{before} of the large workspace went first");
}

#[test]
fn idle_workspace_saves_up_nothing() {
    let (one, other): (Name, Name) = ("one".into(), "other".into());
    let mut queue = FairQueue::default();
    for item in 0..100 {
        queue.push(&one, item);
        queue.pop(|_| true);
        queue.charge(&one, 1_000);
    }
    (0..10).for_each(|item| queue.push(&other, item));
    (0..10).for_each(|item| queue.push(&one, item));
    let mut order = Vec::new();
    while let Some((name, _)) = queue.pop(|_| true) {
        queue.charge(&name, 1_000);
        order.push(name == other);
    }
    let first = order.iter().take(10).filter(|is_other| **is_other).count();
    assert!((4..=7).contains(&first), "the idle workspace took {first} of the first ten");
}
