//! Choice of members and of other servers, with reports that are old and members that are slow,
//! failing or occupied by others.

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use snipehead_core::load_balance::Candidate;
use snipehead_core::load_balance::choose;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberEntry;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;
use snipehead_core::name::Name;
use snipehead_core::service::connection::Connection;
use snipehead_core::service::pool::Pool;
use snipehead_core::service::pool::SlotRequest;
use snipehead_core::service::pool::SlotTarget;
use snipehead_core::service::usable_slots::UsableSlots;

const SERVERS: usize = 30;
const SLOTS: usize = 4;
const SERVICE_MS: u64 = 10;

/// Returns the share of the time in which a server has work for three times its slots while a quarter
/// of the servers has less than half. Servers are used to 60%; each chooser gets a report of all
/// servers every `period_ms`, at a moment of its own.
fn overloaded_share(choosers: usize, period_ms: u64, uses_report_only: bool, seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut servers: Vec<VecDeque<usize>> = vec![VecDeque::new(); SERVERS];
    let mut running: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
    let mut own = vec![[0.0_f64; SERVERS]; choosers];
    let mut reports = vec![([0.0_f64; SERVERS], 0_u64); choosers];
    let offsets: Vec<u64> = (0..choosers).map(|_| random.random_range(0..period_ms)).collect();
    let per_ms = 0.6 * (SERVERS * SLOTS) as f64 / SERVICE_MS as f64;
    let (mut due, mut overloaded, ticks) = (0.0, 0, 6_000_u64);
    for now_ms in 0..ticks {
        for server in 0..SERVERS {
            while running[server].first().is_some_and(|ends_ms| *ends_ms <= now_ms) {
                running[server].remove(0);
                let chooser = servers[server].pop_front().expect("a running statement is listed");
                own[chooser][server] -= 1.0;
            }
            while running[server].len() < SLOTS.min(servers[server].len()) {
                running[server].push(now_ms + SERVICE_MS);
            }
        }
        for chooser in 0..choosers {
            if now_ms % period_ms == offsets[chooser] {
                let others = |server: usize| servers[server].len() as f64 - own[chooser][server];
                reports[chooser] = (std::array::from_fn(others), now_ms);
            }
        }
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let chooser = random.random_range(0..choosers);
            let (report, at_ms) = &reports[chooser];
            let candidates: Vec<Candidate> = (0..SERVERS)
                .map(|server| Candidate {
                    reported_load: report[server],
                    report_age_ms: now_ms - at_ms,
                    own_load: own[chooser][server],
                    slots: SLOTS as f64,
                    unit_ms: SERVICE_MS as f64,
                    extra_ms: 0.0,
                })
                .collect();
            let chosen = match uses_report_only {
                true => (0..SERVERS).min_by(|a, b| report[*a].total_cmp(&report[*b])),
                false => choose(&candidates, 100.0, &mut random),
            };
            let chosen = chosen.expect("there are servers");
            servers[chosen].push_back(chooser);
            own[chooser][chosen] += 1.0;
        }
        let idle = servers.iter().filter(|work| work.len() < SLOTS / 2).count();
        let most = servers.iter().map(VecDeque::len).max().unwrap_or(0);
        overloaded += u64::from(now_ms > 500 && most > 3 * SLOTS && idle > SERVERS / 4);
    }
    overloaded as f64 / ticks as f64
}

/// Load: 7,200 statements a second on 30 servers. Guards against choosers that all send their work to
/// the server that was the least loaded by their old reports.
#[rstest]
fn no_server_is_overloaded_while_others_are_idle(
    #[values(3, 30, 300)] choosers: usize,
    #[values(50, 500, 2_000)] period_ms: u64,
) {
    let share = overloaded_share(choosers, period_ms, false, 7);
    let least_reported = overloaded_share(choosers, period_ms, true, 7);
    println!("{choosers} choosers, {period_ms} ms: {share:.4}, least reported {least_reported:.4}");
    assert!(share < 0.01, "{share}");
    assert!(least_reported > 0.25, "the plain rule must be seen to fail: {least_reported}");
}

struct FakeConnection(Name);

impl Connection for FakeConnection {
    fn tenant(&self) -> &Name {
        &self.0
    }
}

fn key(member: usize) -> MemberKey {
    MemberKey { id: format!("m{member}").into(), incarnation: 1 }
}

/// Load on three members of four slots, reads of 10 ms, for 4 s.
struct Load {
    per_ms: f64,
    /// Slots that others use at a member.
    others: fn(u64, usize) -> usize,
    /// Time that a member takes for a statement, in milliseconds, and whether it fails.
    statement: fn(u64, usize) -> (u64, bool),
    /// Whether the pool is told of busy replies.
    reports_busy: bool,
}

/// Returns how many statements each member ran in the second half, and the share of all that were
/// refused as busy. With seed `seed`.
fn play(load: &Load, seed: u64) -> ([usize; 3], f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pool: Pool<FakeConnection> = Pool::with_seed("a".into(), seed);
    pool.set_limits(56, 0.0);
    let entry = |member| MemberEntry {
        key: key(member),
        service: "dispatch".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: SLOTS,
        is_draining: false,
        cold_ms: 0,
        claims_primary: false,
    };
    drop(pool.set_members(0, (0..3).map(entry).collect(), &|_| false));
    let status = MemberStatus { is_primary: false, term: 1, position: LogPosition::new(1, 1) };
    (0..3).for_each(|member| pool.record_status(0, &key(member), Some(status)));
    let mut running: Vec<(u64, usize, FakeConnection, bool, u64)> = Vec::new();
    let (mut served, mut sent, mut refused, mut due) = ([0; 3], 0, 0, 0.0);
    for now_ms in 0..4_000_u64 {
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
        due += load.per_ms;
        while random.random::<f64>() < due {
            due -= 1.0;
            pool.enqueue(SlotRequest {
                target: SlotTarget::Reader { floor: LogPosition::default(), excluded: None },
                tenant: format!("t{}", random.random_range(0..8)).into(),
                route: "bookings".into(),
                objective_at_ms: now_ms + 100,
                priority: 1,
            });
        }
        for (_, grant) in pool.dispatch(now_ms).0 {
            let member = (0..3).find(|member| key(*member) == grant.member.key).expect("listed");
            let connection = grant.connection.unwrap_or_else(|| FakeConnection("t0".into()));
            let in_use = running.iter().filter(|(_, at, ..)| *at == member).count();
            sent += 1;
            if in_use + (load.others)(now_ms, member) >= SLOTS {
                refused += 1;
                if load.reports_busy {
                    pool.record_busy(now_ms, &key(member));
                }
                pool.release_slot(now_ms, &key(member));
                drop(pool.return_connection(&key(member), connection));
                continue;
            }
            served[member] += usize::from(now_ms >= 2_000);
            let (took_ms, has_failed) = (load.statement)(now_ms, member);
            running.push((now_ms + took_ms, member, connection, has_failed, took_ms));
        }
    }
    (served, f64::from(refused) / f64::from(sent))
}

const CALM: Load =
    Load { per_ms: 0.7, others: |_, _| 0, statement: |_, _| (10, false), reports_busy: true };

/// Load: members used to 60%. Guards against a busiest member by name or by habit.
#[test]
fn members_that_are_alike_get_alike_shares() {
    let (served, refused) = play(&CALM, 3);
    let mean = served.iter().sum::<usize>() as f64 / 3.0;
    let most = *served.iter().max().expect("three members") as f64;
    assert!(most <= 1.15 * mean, "{served:?}");
    assert!(refused < f64::EPSILON);
}

/// Load: nine tenths of the slots, while others occupy a slot of one member for seconds. Guards
/// against statements that the member refuses again and again.
#[test]
fn a_member_that_refuses_as_busy_gets_fewer_statements() {
    let occupied = Load { per_ms: 1.1, others: |_, member| usize::from(member == 1), ..CALM };
    let (_, refused) = play(&occupied, 4);
    let (_, untold) = play(&Load { reports_busy: false, ..occupied }, 4);
    println!("refused {refused:.4}, without the busy replies {untold:.4}");
    assert!(refused < 0.02 && untold > 5.0 * refused, "{refused} {untold}");
}

/// Load: one member takes five times as long, or fails while its probes succeed, until 3 s. Guards
/// against a member that gets as much as the others by the number of its slots, or nothing at all.
#[rstest]
#[case::slow(|now_ms, member| if member == 1 && now_ms < 3_000 { (50, false) } else { (10, false) })]
#[case::failing(|now_ms, member| if member == 1 && now_ms < 3_000 { (1, true) } else { (10, false) })]
fn an_outlier_gets_few_statements(#[case] statement: fn(u64, usize) -> (u64, bool)) {
    let (served, _) = play(&Load { statement, ..CALM }, 5);
    let share = served[1] as f64 / served.iter().sum::<usize>() as f64;
    println!("{served:?}");
    assert!((0.02..0.25).contains(&share), "{served:?}");
}

/// Guards against slots that never come back, and against a member that is left without any.
#[test]
fn usable_slots_fall_at_once_and_come_back_step_by_step() {
    let mut slots = UsableSlots::default();
    assert!(slots.lower(1_000, 6, 6));
    assert!(!slots.lower(1_005, 6, 5), "a reply of the same occasion counts once");
    assert_eq!([1_005, 1_099, 1_100].map(|now_ms| slots.usable(now_ms, 6)), [5, 5, 6]);
    assert!((0..9).all(|round| slots.lower(2_000 + round * 20, 6, 1)));
    assert_eq!(slots.usable(2_160, 6), 1);
    assert_eq!([2_560, 4_160].map(|now_ms| slots.usable(now_ms, 6)), [2, 6]);
}
