//! Tests of the measured service times.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use snipehead_core::member::MemberKey;
use snipehead_core::name::Name;
use snipehead_core::service::service_times::DEFAULT_SERVICE_MS;
use snipehead_core::service::service_times::ServiceTimes;

fn member(id: &str) -> MemberKey {
    MemberKey { id: id.into(), incarnation: 1 }
}

/// Members run different routes, and `slow` takes five times as long as the others.
fn measured() -> ServiceTimes {
    let mut times = ServiceTimes::default();
    let (short, long): (Name, Name) = ("short".into(), "long".into());
    for round in 0..200 {
        times.record(round, &member("writes"), &short, 3.0);
        times.record(round, &member("reads"), &long, 15.0);
        times.record(round, &member("reads"), &short, 3.0);
        if round >= 100 {
            times.record(round, &member("slow"), &long, 75.0);
        }
    }
    times
}

/// Guards against taking a member for slow because its routes are expensive.
#[test]
fn a_member_is_compared_by_the_cost_of_its_routes() {
    let times = measured();
    let ratio = |id| times.member_ratio(200, &member(id));
    assert!((0.8..1.25).contains(&ratio("writes")), "{}", ratio("writes"));
    assert!((0.6..1.25).contains(&ratio("reads")), "{}", ratio("reads"));
    assert!(ratio("slow") > 3.0, "{}", ratio("slow"));
}

/// Guards against a member that stays excluded after it has recovered, for want of samples.
#[test]
fn a_ratio_without_samples_returns_to_one() {
    let times = measured();
    let later = times.member_ratio(20_000, &member("slow"));
    assert!((0.99..1.01).contains(&later), "{later}");
}

/// Guards against ratios and averages that move away together while every member takes as long as the
/// others: their product stays right, and all members count as slow.
#[test]
fn equal_members_keep_a_ratio_near_one() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut times = ServiceTimes::default();
    let routes: [(Name, f64); 2] = [("short".into(), 3.0), ("long".into(), 15.0)];
    for now_ms in 0..200_000 {
        let id = ["m1", "m2", "m3"][random.random_range(0..3)];
        let (route, mean_ms) = &routes[random.random_range(0..2)];
        // Most statements are short and a few take several times as long.
        let took_ms = mean_ms * -random.random_range(0.001_f64..1.0).ln();
        times.record(now_ms, &member(id), route, took_ms);
        if now_ms % 1_000 == 999 {
            let ratios = ["m1", "m2", "m3"].map(|id| times.member_ratio(now_ms, &member(id)));
            assert!(ratios.iter().all(|ratio| (0.25..2.5).contains(ratio)), "{now_ms}: {ratios:?}");
            let short_ms = times.route_ms("short");
            assert!((1.0..6.0).contains(&short_ms), "{now_ms}: {short_ms}");
        }
    }
}

#[test]
fn unknown_routes_and_members_have_defaults() {
    let times = ServiceTimes::default();
    assert!(!times.has_samples());
    let expected_ms = times.expected_ms(0, &member("m1"), "short");
    assert!((expected_ms - DEFAULT_SERVICE_MS).abs() < f64::EPSILON);
}

/// Guards against a route that counts as many times more expensive after one statement was stuck, so
/// that statements are refused which could be served.
#[test]
fn one_stuck_statement_changes_the_average_of_a_route_little() {
    let mut times = measured();
    times.record(200, &member("reads"), &"short".into(), 2_000.0);
    let (route_ms, mean_ms) = (times.route_ms("short"), times.mean_ms());
    assert!(route_ms < 6.0, "{route_ms}");
    assert!(mean_ms < 60.0, "{mean_ms}");
}

/// Guards against a first statement that was stuck, as after a failover: the route would count as
/// hundreds of times more expensive for its next hundred statements.
#[test]
fn a_stuck_first_statement_counts_for_little() {
    let mut times = ServiceTimes::default();
    times.record(0, &member("a"), &"short".into(), 2_000.0);
    for round in 0..30 {
        times.record(round, &member("a"), &"short".into(), 3.0);
        times.record(round, &member("b"), &"short".into(), 3.0);
    }
    let (route_ms, mean_ms) = (times.route_ms("short"), times.mean_ms());
    assert!(route_ms < 30.0 && mean_ms < 30.0, "{route_ms} {mean_ms}");
}

/// Guards against an average that stays high after a route has become much cheaper.
#[test]
fn a_route_that_becomes_cheaper_shows_within_its_next_statements() {
    let mut times = measured();
    for round in 200..400 {
        times.record(round, &member("reads"), &"long".into(), 0.3);
        times.record(round, &member("writes"), &"long".into(), 0.3);
    }
    assert!(times.route_ms("long") < 3.0, "{}", times.route_ms("long"));
}
