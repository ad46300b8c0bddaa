//! Values at the ends of their range in what the store and other nodes send: none ends the process
//! (tests check arithmetic), and none gives a lease away early.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use crate::test_cluster::TestCluster;
use crate::test_cluster::configuration;
use crate::test_cluster::run;
use snipehead_core::lease_table::Identity;
use snipehead_core::lease_table::LEASE_MS;
use snipehead_core::lease_table::LeaseRecord;
use snipehead_core::lease_table::LeaseTable;
use snipehead_core::name::Name;
use snipehead_core::placement::may_move_for_zone;
use snipehead_core::placement::share_with_one_more;
use snipehead_core::placement::should_move;
use snipehead_core::store_clock::ClockReading;
use snipehead_core::store_clock::StoreClock;
use snipehead_core::succession::Leadership;
use snipehead_core::succession::Succession;
use snipehead_core::token_cache::MAX_FETCH;
use snipehead_core::token_cache::TokenCache;
use snipehead_core::token_grant::TokenGrant;

/// Returns numbers of which most are near an end of the range.
fn extreme() -> impl Strategy<Value = u64> {
    prop_oneof![0..10_u64, Just(u64::MAX), (u64::MAX - 10_000)..u64::MAX, any::<u64>()]
}

fn reading() -> impl Strategy<Value = ClockReading> {
    (0..20_000_u64, 0..5_000_u64, extreme(), extreme()).prop_map(
        |(sent_at_ms, took_ms, at_most_ms, at_least_ms)| ClockReading {
            sent_at_ms,
            received_at_ms: sent_at_ms + took_ms,
            at_most_ms,
            at_least_ms,
        },
    )
}

fn record(incarnation: u64, renewal: u64, term: u64, sent_at_store_ms: Option<u64>) -> LeaseRecord {
    LeaseRecord {
        holder: "host-2".into(),
        address: "127.0.0.1:2".parse().expect("an address"),
        incarnation,
        renewal,
        is_released: false,
        is_former_holder_active: false,
        preferred_owner: None,
        pending_promotion: None,
        term,
        pending_term: 0,
        primary: None,
        checkpoint: None,
        term_start: None,
        sent_at_store_ms,
    }
}

fn table() -> LeaseTable {
    LeaseTable::new(Identity {
        node: "host-1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation: 7,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn any_clock_reading_is_recorded(
        readings in prop::collection::vec(reading(), 1..6),
        later_ms in extreme(),
    ) {
        let mut clock = StoreClock::default();
        readings.iter().for_each(|reading| clock.record(reading));
        prop_assert!(clock.bounds(later_ms).is_some());
    }

    /// The holder of a record with any numbers keeps its lease for the whole validity, as long as the
    /// store's clock is sane.
    #[test]
    fn any_lease_record_is_respected(
        (incarnation, renewal, term) in (extreme(), extreme(), extreme()),
        sent_at_store_ms in prop::option::of((u64::MAX - 10_000)..=u64::MAX),
        version in extreme(),
        rank in 0..3_u64,
        checked_after_ms in 0..LEASE_MS,
    ) {
        let service: Name = "dispatch".into();
        let mut table = table();
        table.record_store_clock(&ClockReading {
            sent_at_ms: 10_000,
            received_at_ms: 10_010,
            at_most_ms: 500_010,
            at_least_ms: 500_000,
        });
        let record = record(incarnation, renewal, term, sent_at_store_ms);
        table.observe(10_100, &service, Some(record), version);
        let now_ms = 10_100 + checked_after_ms;
        table.confirm(now_ms, &service);
        let writes = table.due_writes(now_ms, &[service], |_| Some(rank));
        prop_assert!(incarnation == 7 || writes.is_empty(), "{:?}", writes);
    }

    #[test]
    fn any_term_can_be_followed_by_a_promotion(
        (recorded, pending_term) in (extreme(), extreme()),
        reported in extreme(),
        served in extreme(),
    ) {
        let pending_promotion = Some("m1".into());
        let leadership = Leadership {
            term: recorded,
            pending_promotion,
            pending_term,
            ..Leadership::default()
        };
        let mut succession = Succession::new(recorded, leadership);
        succession.set_served_term(served);
        let promotion = succession.promotion_of(&"m2".into(), reported);
        prop_assert!(promotion.term >= served.max(reported));
    }

    #[test]
    fn any_token_grant_and_capacity_is_accepted(
        (granted, retry_ms) in (any::<u32>(), extreme()),
        (mine, theirs) in (extreme(), extreme()),
        (my_capacity, their_capacity) in (any::<u32>(), any::<u32>()),
    ) {
        let mut cache = TokenCache::default();
        let grant = TokenGrant { granted, retry_after_ms: retry_ms, is_scarce: true };
        cache.add_fetched(1_000, &"families".into(), 0, &grant);
        let _ = share_with_one_more(mine, my_capacity);
        let _ = should_move(mine, my_capacity, theirs, their_capacity);
        let _ = may_move_for_zone(mine, my_capacity, theirs, their_capacity);
    }
}

/// A node that asks for any number of tokens neither takes the whole burst of a tenant nor holds the
/// owner up while it counts them.
#[tokio::test]
async fn a_node_gets_few_tokens_at_once() {
    let cluster = TestCluster::start(1).await;
    // The rate is 1,000/s.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let node = &cluster.hosts[0].node;
    let grant = node.grant_tokens(&"families".into(), 1, u32::MAX).expect("it counts the tenant");
    assert_eq!(grant.granted, MAX_FETCH);
}

/// A time limit without end is a mistake of an operator; statements run all the same.
#[tokio::test]
async fn a_route_with_an_endless_time_limit_serves_statements() {
    let cluster = TestCluster::start(2).await;
    cluster.store.change(|present| {
        *present = configuration();
        present.version += 1;
        for route in present.routes.values_mut() {
            let route = Arc::make_mut(route);
            (route.timeout_ms, route.objective_ms) = (u64::MAX, u64::MAX);
        }
    });
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for host in 0..2 {
        let mut session = cluster.open(host, "bookings");
        run(&mut session, &format!("w{host}"), "STORE a 1").await.expect("written");
        run(&mut session, &format!("r{host}"), "FETCH a").await.expect("read");
        run(&mut session, &format!("b{host}"), "BEGIN").await.expect("begun");
        run(&mut session, &format!("t{host}"), "STORE a 2").await.expect("written");
        run(&mut session, &format!("c{host}"), "COMMIT").await.expect("committed");
    }
}
