//! Tests of the scheduler for slots and connections of a service's members.

use proptest::prelude::*;

use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberEntry;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;
use snipehead_core::name::Name;
use snipehead_core::service::connection::Connection;
use snipehead_core::service::pool::Grant;
use snipehead_core::service::pool::Pool;
use snipehead_core::service::pool::SlotRequest;
use snipehead_core::service::pool::SlotTarget;

pub struct FakeConnection {
    tenant: Name,
}

impl FakeConnection {
    pub fn new(tenant: Name) -> Self {
        Self { tenant }
    }
}

impl Connection for FakeConnection {
    fn tenant(&self) -> &Name {
        &self.tenant
    }
}

pub fn key(id: &str) -> MemberKey {
    MemberKey { id: id.into(), incarnation: 1 }
}

pub fn entry(id: &str) -> MemberEntry {
    MemberEntry {
        key: key(id),
        service: "dispatch".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "almaty-a".into(),
        slots: 3,
        is_draining: false,
        cold_ms: 0,
        claims_primary: false,
    }
}

pub fn pool(entries: Vec<MemberEntry>) -> Pool<FakeConnection> {
    let mut pool = Pool::new("almaty-a".into());
    pool.set_limits(8, 2.0);
    let keys: Vec<MemberKey> = entries.iter().map(|entry| entry.key.clone()).collect();
    drop(pool.set_members(0, entries, &|_| false));
    for key in &keys {
        let is_primary = &*key.id == "m1";
        let position = LogPosition::new(1, 10);
        pool.record_status(0, key, Some(MemberStatus { is_primary, term: 1, position }));
    }
    pool.set_primary(0, Some(key("m1")));
    pool
}

fn request(target: SlotTarget, tenant: &str, objective_at_ms: u64) -> SlotRequest {
    let (tenant, route) = (tenant.into(), "bookings".into());
    SlotRequest { target, tenant, route, objective_at_ms, priority: 1 }
}

fn reader(floor: u64) -> SlotTarget {
    SlotTarget::Reader { floor: LogPosition::new(1, floor), excluded: None }
}

fn dispatch(pool: &mut Pool<FakeConnection>, now_ms: u64) -> Vec<(u64, Grant<FakeConnection>)> {
    pool.dispatch(now_ms).0
}

#[test]
fn no_member_gets_more_statements_than_it_has_slots() {
    let mut pool = pool(vec![entry("m1"), entry("m2")]);
    for _ in 0..20 {
        pool.enqueue(request(reader(0), "families", 100));
    }
    let grants = dispatch(&mut pool, 0);
    assert_eq!(grants.len(), 6);
    assert_eq!(pool.waiting(), 14);
    pool.release_slot(1, &key("m2"));
    assert_eq!(dispatch(&mut pool, 1).len(), 1);
}

#[test]
fn open_transactions_go_first_then_the_earliest_objective() {
    let mut pool = pool(vec![entry("m1")]);
    for _ in 0..3 {
        pool.enqueue(request(SlotTarget::Primary, "families", 100));
    }
    assert_eq!(dispatch(&mut pool, 0).len(), 3);
    let later = pool.enqueue(request(SlotTarget::Primary, "families", 900));
    let sooner = pool.enqueue(request(SlotTarget::Primary, "families", 500));
    let in_transaction =
        pool.enqueue(request(SlotTarget::Transaction(key("m1")), "families", 2_000));
    let mut order = Vec::new();
    for _ in 0..3 {
        pool.release_slot(1, &key("m1"));
        order.extend(dispatch(&mut pool, 1).into_iter().map(|(ticket, _)| ticket));
    }
    assert_eq!(order, [in_transaction, sooner, later]);
}

#[test]
fn a_lagging_replica_is_skipped_until_it_may_have_caught_up() {
    let mut pool = pool(vec![entry("m1"), entry("m2")]);
    pool.record_lag(1_000, &key("m2"));
    for _ in 0..2 {
        pool.enqueue(request(reader(11), "families", 5_000));
    }
    let members: Vec<Name> = dispatch(&mut pool, 1_010)
        .into_iter()
        .map(|(_, grant)| grant.member.key.id.clone())
        .collect();
    assert_eq!(members, ["m1".into(), "m1".into()] as [Name; 2]);
    pool.enqueue(request(reader(11), "families", 5_000));
    assert_eq!(&*dispatch(&mut pool, 1_200)[0].1.member.key.id, "m2");
}

#[test]
fn members_that_leave_or_fail_get_nothing_new() {
    let mut draining = entry("m2");
    draining.is_draining = true;
    let mut pool = pool(vec![entry("m1"), draining, entry("m3")]);
    pool.suspect(0, &key("m3"));
    for _ in 0..9 {
        pool.enqueue(request(reader(0), "families", 100));
    }
    let grants = dispatch(&mut pool, 0);
    assert!(grants.iter().all(|(_, grant)| &*grant.member.key.id == "m1"));
}

#[test]
fn a_paused_primary_gets_no_new_work_but_its_transactions_continue() {
    let mut pool = pool(vec![entry("m1")]);
    pool.set_primary_paused(true);
    pool.enqueue(request(SlotTarget::Primary, "families", 100));
    let in_transaction = pool.enqueue(request(SlotTarget::Transaction(key("m1")), "families", 100));
    let tickets: Vec<u64> = dispatch(&mut pool, 0).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(tickets, [in_transaction]);
}

#[test]
fn a_cold_member_gets_few_statements_a_second() {
    let mut cold = entry("m1");
    cold.cold_ms = 10_000;
    let mut pool = pool(vec![cold]);
    for _ in 0..3 {
        pool.enqueue(request(SlotTarget::Primary, "families", 100));
    }
    assert_eq!(dispatch(&mut pool, 0).len(), 2);
    assert!(dispatch(&mut pool, 900).is_empty());
    assert_eq!(dispatch(&mut pool, 1_001).len(), 1);
}

#[test]
fn idle_connections_leave_room_for_the_next_owner() {
    let mut pool = pool(vec![entry("m1")]);
    let mut closed = 0;
    for round in 0..6 {
        let tenant = format!("tenant-{round}");
        pool.enqueue(request(SlotTarget::Primary, &tenant, 100));
        let (_, grant) = dispatch(&mut pool, round).pop().expect("a grant");
        assert!(grant.connection.is_none());
        pool.release_slot(round, &key("m1"));
        let connection = FakeConnection { tenant: tenant.as_str().into() };
        closed += usize::from(pool.return_connection(&key("m1"), connection).is_some());
    }
    assert_eq!(pool.connections(&key("m1")), (4, 4));
    assert_eq!(closed, 2);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The slots and connections in use never exceed the limits of a member, and the pool's counts
    /// match the grants that have not been returned.
    #[test]
    fn limits_hold_under_random_use(
        steps in prop::collection::vec((0_u8..4, 0_usize..5, 0_u64..40), 50..400),
    ) {
        let mut pool = pool(vec![entry("m1"), entry("m2"), entry("m3")]);
        let mut borrowed: Vec<(MemberKey, FakeConnection)> = Vec::new();
        let mut now_ms = 0;
        for (action, tenant, gap_ms) in steps {
            now_ms += gap_ms;
            let tenant = format!("tenant-{tenant}");
            match action {
                0 => { pool.enqueue(request(reader(0), &tenant, now_ms + 100)); }
                1 => { pool.enqueue(request(SlotTarget::Primary, &tenant, now_ms + 50)); }
                2 if !borrowed.is_empty() => {
                    let (key, connection) = borrowed.remove(0);
                    pool.release_slot(now_ms, &key);
                    drop(pool.return_connection(&key, connection));
                }
                3 if !borrowed.is_empty() => {
                    let (key, _) = borrowed.remove(0);
                    pool.release_slot(now_ms, &key);
                    pool.connection_closed(&key);
                }
                _ => {}
            }
            let (grants, _) = pool.dispatch(now_ms);
            for (_, grant) in grants {
                let tenant: Name = tenant.as_str().into();
                let connection = grant.connection.unwrap_or(FakeConnection { tenant });
                borrowed.push((grant.member.key.clone(), connection));
            }
            for (key, member) in pool.members() {
                let in_flight = borrowed.iter().filter(|(owner, _)| owner == key).count();
                prop_assert_eq!(member.in_flight, in_flight);
                prop_assert!(in_flight <= 3);
                let (open, idle) = pool.connections(key);
                prop_assert!(open <= 6, "{} open", open);
                prop_assert_eq!(open, idle + in_flight);
            }
        }
    }
}

/// Pattern: reads that are spread evenly over the data centres of the members pay for bandwidth
/// although slots next door are free.
#[test]
fn reads_leave_the_data_centre_only_once_its_member_is_half_busy() {
    let elsewhere = |id| MemberEntry { zone: "almaty-b".into(), ..entry(id) };
    let mut pool = pool(vec![entry("m1"), elsewhere("m2"), elsewhere("m3")]);
    let read = || SlotTarget::Reader { floor: LogPosition::default(), excluded: None };
    let mut chosen = Vec::new();
    for _ in 0..4 {
        pool.enqueue(request(read(), "families", 1_000));
        let (grants, _) = pool.dispatch(10);
        chosen.extend(grants.into_iter().map(|(_, grant)| grant.member.key.id.to_string()));
    }
    // The primary keeps a slot for writes.
    assert_eq!(chosen.iter().filter(|id| *id == "m1").count(), 2, "{chosen:?}");
}
