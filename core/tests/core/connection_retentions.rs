//! Which tenants keep their connections at a member, and how many are opened at a time.

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::member_simulation::FakeConnection;
use crate::member_simulation::Load;
use crate::member_simulation::key;
use crate::member_simulation::play;
use crate::member_simulation::pool;
use crate::member_simulation::request;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberError;
use snipehead_core::member::MemberStatus;
use snipehead_core::name::Name;
use snipehead_core::outcome::Failure;
use snipehead_core::outcome::Refusal;
use snipehead_core::service::connection_retention::ConnectionRetention;
use snipehead_core::service::connection_retention::retained_limit;
use snipehead_core::service::pool::SlotTarget;

const TENANTS: usize = 88;
const LIMIT: usize = 54;
const SLOTS: usize = 6;

/// Rule for the connection to close among idle ones, from the oldest to the newest.
type Victim = fn(&ConnectionRetention, &[Name]) -> usize;

const BY_DEMAND: Victim = |retention, idle| retention.victim(idle.iter()).expect("some are idle");
const OLDEST: Victim = |_, _| 0;

/// Returns the number of new connections in 20 s, after 10 s, at one member with 400 statements of
/// 10 ms a second. `tenant` returns that of a statement at a time, from a number between 0 and 1.
fn opened(tenant: fn(u64, f64) -> usize, retained: usize, victim: Victim) -> usize {
    let mut random = SmallRng::seed_from_u64(11);
    let mut retention = ConnectionRetention::default();
    let mut idle: Vec<Name> = Vec::new();
    let mut in_use: VecDeque<(u64, Name)> = VecDeque::new();
    let mut opened = 0;
    for now_ms in 0..30_000_u64 {
        while in_use.front().is_some_and(|(until_ms, _)| *until_ms <= now_ms) {
            idle.extend(in_use.pop_front().map(|(_, tenant)| tenant));
            if idle.len() + in_use.len() > retained {
                idle.remove(victim(&retention, &idle));
            }
        }
        if in_use.len() < SLOTS && random.random_bool(0.4) {
            let name: Name = format!("t{}", tenant(now_ms, random.random())).into();
            retention.record_use(now_ms, &name);
            match idle.iter().rposition(|owner| *owner == name) {
                Some(position) => drop(idle.remove(position)),
                None => {
                    opened += usize::from(now_ms >= 10_000);
                    if idle.len() + in_use.len() >= LIMIT {
                        idle.remove(victim(&retention, &idle));
                    }
                }
            }
            in_use.push_back((now_ms + 10, name));
        }
    }
    opened
}

/// The former rule: two thirds of the limit are kept, and the oldest connection is closed.
fn opened_before(tenant: fn(u64, f64) -> usize) -> usize {
    opened(tenant, LIMIT * 2 / 3, OLDEST)
}

/// Load: 88 tenants with uneven demand on 54 connections. Guards against each return closing a
/// connection that is needed again at once.
#[test]
fn tenants_with_demand_keep_their_connections() {
    let uneven = |_, random: f64| (random.powi(3) * TENANTS as f64) as usize;
    let (now, before) =
        (opened(uneven, retained_limit(LIMIT, SLOTS), BY_DEMAND), opened_before(uneven));
    println!("uneven: {now} new connections, {before} with the former rule");
    assert!(now * 3 < before * 2, "{now} {before}");
}

/// Load: as before, but each two seconds a tenant, otherwise idle, sends half of all statements for
/// 0.4 s. Guards against the connections of others that its burst takes for good.
#[test]
fn a_burst_of_one_tenant_leaves_the_others_their_connections() {
    let bursts = |now_ms: u64, random: f64| match now_ms % 2_000 < 400 && random < 0.5 {
        true => TENANTS + (now_ms / 2_000) as usize,
        false => (random.powi(3) * TENANTS as f64) as usize,
    };
    let (now, before) =
        (opened(bursts, retained_limit(LIMIT, SLOTS), BY_DEMAND), opened_before(bursts));
    println!("bursts: {now} new connections, {before} with the former rule");
    assert!(now * 5 < before * 4, "{now} {before}");
}

/// Guards against the loss of the only connection of a tenant while another one has a spare one.
#[test]
fn a_spare_connection_is_closed_before_the_only_one_of_another_tenant() {
    let mut retention = ConnectionRetention::default();
    let names: Vec<Name> = ["busy", "rare", "busy", "other"].map(Name::from).into();
    (0..40).for_each(|n| retention.record_use(n * 100, &names[0]));
    (0..20).for_each(|n| retention.record_use(n * 200, &names[3]));
    retention.record_use(3_900, &names[1]);
    assert_eq!(retention.victim(names[1..].iter()), Some(0), "the least demanded one");
    (0..20).for_each(|n| retention.record_use(4_000 + n * 10, &names[1]));
    assert_eq!(retention.victim(names.iter()), Some(0), "the older of two");
    assert_eq!(retention.victim([].iter()), None);
}

/// Load: 20 tenants wait for a member that answers again. Guards against a member whose slots are
/// all taken by new connections while a tenant with a connection waits.
#[test]
fn a_reopened_member_keeps_slots_for_tenants_with_connections() {
    let mut pool = pool(1, SLOTS, 0);
    drop(pool.record_probe_failure(0, &key(0), true));
    for tenant in 0..20 {
        pool.enqueue(request(SlotTarget::Primary, tenant));
    }
    assert!(pool.dispatch(10).0.is_empty());
    let position = LogPosition::default();
    pool.record_status(20, &key(0), Some(MemberStatus { is_primary: true, term: 1, position }));
    // No tenant has a connection yet.
    let first = pool.dispatch(20).0;
    assert_eq!(first.len(), SLOTS);
    for (_, grant) in first {
        assert!(grant.is_opening && grant.connection.is_none());
        pool.end_opening(&key(0));
        pool.release_slot(32, &key(0));
    }
    assert!(pool.return_connection(&key(0), FakeConnection("t0".into())).is_none());
    assert_eq!(pool.dispatch(32).0.len(), SLOTS / 2);
    pool.enqueue(request(SlotTarget::Primary, 0));
    assert!(pool.dispatch(33).0.iter().all(|(_, grant)| grant.connection.is_some()));
    pool.end_opening(&key(0));
    assert_eq!(pool.dispatch(34).0.len(), 1);
}

/// Load: a member still holds connections of a dead owner. Guards against further attempts that it
/// refuses, while an idle connection could be replaced.
#[test]
fn a_member_that_accepts_no_more_connections_gets_no_more_for_a_while() {
    let mut pool = pool(1, SLOTS, 0);
    for tenant in 0..2 {
        pool.enqueue(request(SlotTarget::Primary, tenant));
    }
    assert_eq!(pool.dispatch(0).0.len(), 2);
    pool.end_opening(&key(0));
    pool.release_slot(5, &key(0));
    drop(pool.return_connection(&key(0), FakeConnection("t0".into())));
    pool.end_opening(&key(0));
    pool.release_slot(5, &key(0));
    pool.connection_closed(&key(0));
    let refusal = Refusal::new(Failure::TooManyConnections, "full");
    pool.record_connect_failure(5, &key(0), &MemberError::Refused(refusal));
    pool.enqueue(request(SlotTarget::Primary, 2));
    assert!(pool.dispatch(100).0.is_empty());
    let (granted, closed) = pool.dispatch(200);
    assert_eq!((granted.len(), closed.len(), pool.connections(&key(0)).0), (1, 1, 1));
    pool.enqueue(request(SlotTarget::Primary, 3));
    assert!(pool.dispatch(900).0.is_empty());
    assert_eq!(pool.dispatch(1_005).0.len(), 1);
}

/// Load: 88 tenants with uneven demand, 600 statements of 10 ms a second, a quarter of them writes, on
/// three members with 56 connections each. Guards against connections that are closed and opened all
/// the time although reads fit on those that are open, and against a busiest member.
#[test]
fn reads_go_where_their_tenants_have_connections() {
    let load = Load {
        until_ms: 20_000,
        slots: SLOTS,
        per_ms: 0.6,
        write_share: 0.25,
        tenant: |random| (random.powi(3) * TENANTS as f64) as usize,
        others: |_| 0,
        statement: |_, _| (10, false),
        reports_busy: true,
    };
    let played = play(&load, 12);
    let most = *played.served.iter().max().expect("three members") as f64;
    println!("three members: {played:?}");
    assert!((played.opened as f64) < 0.1 * played.total(), "{played:?}");
    assert!(most <= 1.15 * played.total() / 3.0, "{played:?}");
}
