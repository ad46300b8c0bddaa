//! Statements of many tenants at three simulated members, scheduled by the pool.

use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberEntry;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;
use snipehead_core::name::Name;
use snipehead_core::service::connection::Connection;
use snipehead_core::service::pool::Pool;
use snipehead_core::service::pool::SlotRequest;
use snipehead_core::service::pool::SlotTarget;

pub struct FakeConnection(pub Name);

impl Connection for FakeConnection {
    fn tenant(&self) -> &Name {
        &self.0
    }
}

pub fn key(number: usize) -> MemberKey {
    MemberKey { id: format!("m{number}").into(), incarnation: 1 }
}

/// Returns a pool whose members accept 56 connections each; the first one is primary.
pub fn pool(members: usize, slots: usize, seed: u64) -> Pool<FakeConnection> {
    let mut pool = Pool::with_seed("a".into(), seed);
    pool.set_limits(56, 0.0);
    let entry = |number| MemberEntry {
        key: key(number),
        service: "dispatch".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots,
        is_draining: false,
        cold_ms: 0,
        claims_primary: number == 0,
    };
    drop(pool.set_members(0, (0..members).map(entry).collect(), &|_| false));
    let position = LogPosition::default();
    for number in 0..members {
        let status = MemberStatus { is_primary: number == 0, term: 1, position };
        pool.record_status(0, &key(number), Some(status));
    }
    pool.set_primary(0, Some(key(0)));
    pool
}

pub fn request(target: SlotTarget, tenant: usize) -> SlotRequest {
    let tenant = format!("t{tenant}").into();
    SlotRequest { target, tenant, route: "bookings".into(), objective_at_ms: 9_000, priority: 1 }
}

pub struct Load {
    pub until_ms: u64,
    pub slots: usize,
    pub per_ms: f64,
    pub write_share: f64,
    /// Tenant of a statement, by a random number between 0 and 1.
    pub tenant: fn(f64) -> usize,
    /// Slots of a member that others use.
    pub others: fn(usize) -> usize,
    /// Time that a member takes for a statement, in milliseconds, and whether it fails.
    pub statement: fn(u64, usize) -> (u64, bool),
    /// Whether the pool is told of busy replies.
    pub reports_busy: bool,
}

/// What happened in the second half.
#[derive(Debug, Default)]
pub struct Played {
    pub served: [usize; 3],
    pub refused: usize,
    pub opened: usize,
}

impl Played {
    pub fn total(&self) -> f64 {
        self.served.iter().sum::<usize>() as f64
    }
}

pub fn play(load: &Load, seed: u64) -> Played {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pool = pool(3, load.slots, seed);
    let mut tenants: HashMap<u64, Name> = HashMap::new();
    let mut running: Vec<(u64, usize, FakeConnection, bool, u64)> = Vec::new();
    let mut played = Played::default();
    for now_ms in 0..load.until_ms {
        while let Some(ended) = running.iter().position(|(ends_ms, ..)| *ends_ms <= now_ms) {
            let (_, member, connection, has_failed, took_ms) = running.swap_remove(ended);
            pool.record_result(now_ms, &key(member), has_failed);
            if !has_failed {
                let took_us = took_ms * 1_000;
                pool.record_service_time(now_ms, &key(member), &"bookings".into(), took_us);
            }
            pool.release_slot(now_ms, &key(member));
            drop(pool.return_connection(&key(member), connection));
        }
        let arriving = load.per_ms.floor() as usize
            + usize::from(random.random_bool(load.per_ms - load.per_ms.floor()));
        for _ in 0..arriving {
            let target = match random.random_bool(load.write_share) {
                true => SlotTarget::Primary,
                false => SlotTarget::Reader { floor: LogPosition::default(), excluded: None },
            };
            let request = request(target, (load.tenant)(random.random()));
            let tenant = request.tenant.clone();
            tenants.insert(pool.enqueue(request), tenant);
        }
        let counts = usize::from(now_ms >= load.until_ms / 2);
        for (ticket, grant) in pool.dispatch(now_ms).0 {
            let member = (0..3).find(|n| key(*n) == grant.member.key).expect("it is listed");
            let tenant = tenants.remove(&ticket).expect("the statement waited");
            if grant.is_opening {
                pool.end_opening(&key(member));
                played.opened += counts;
            }
            let connection = grant.connection.unwrap_or(FakeConnection(tenant));
            let in_use = running.iter().filter(|(_, at, ..)| *at == member).count();
            if in_use + (load.others)(member) >= load.slots {
                played.refused += counts;
                if load.reports_busy {
                    pool.record_busy(now_ms, &key(member));
                }
                pool.release_slot(now_ms, &key(member));
                drop(pool.return_connection(&key(member), connection));
                continue;
            }
            played.served[member] += counts;
            let (took_ms, has_failed) = (load.statement)(now_ms, member);
            let opening_ms = if grant.is_opening { 12 } else { 0 };
            running.push((now_ms + opening_ms + took_ms, member, connection, has_failed, took_ms));
        }
    }
    played
}
