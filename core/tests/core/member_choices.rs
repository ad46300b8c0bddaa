//! Choice of members and of other servers, with reports that are old and members that are slow,
//! failing or occupied by others.

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::member_simulation::Load;
use crate::member_simulation::play;
use snipehead_core::load_balance::Candidate;
use snipehead_core::load_balance::choose;
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

/// Reads on three members of four slots.
const CALM: Load = Load {
    until_ms: 4_000,
    slots: SLOTS,
    per_ms: 0.7,
    write_share: 0.0,
    tenant: |random| (random * 8.0) as usize,
    others: |_| 0,
    statement: |_, _| (10, false),
    reports_busy: true,
};

/// Load: members used to 60%. Guards against a busiest member by name or by habit.
#[test]
fn members_that_are_alike_get_alike_shares() {
    let load = Load { write_share: 0.2, ..CALM };
    let played = play(&load, 3);
    let most = *played.served.iter().max().expect("three members") as f64;
    assert!(most <= 1.15 * played.total() / 3.0 && played.refused == 0, "{played:?}");
}

/// Load: nine tenths of the slots, while others occupy a slot of one member for seconds. Guards
/// against statements that the member refuses repeatedly.
#[test]
fn a_member_that_refuses_as_busy_gets_fewer_statements() {
    let occupied = Load { per_ms: 1.1, others: |member| usize::from(member == 1), ..CALM };
    let share = |load: &Load| {
        let played = play(load, 4);
        played.refused as f64 / (played.refused as f64 + played.total())
    };
    let (refused, untold) = (share(&occupied), share(&Load { reports_busy: false, ..occupied }));
    println!("refused {refused:.4}, without the busy replies {untold:.4}");
    assert!(refused < 0.01 && untold > 0.1, "{refused} {untold}");
}

/// Load: one member takes five times as long, or fails while its probes succeed, until 3 s. Guards
/// against a member that gets as much as the others by the number of its slots, or nothing at all.
#[rstest]
#[case::slow(|now_ms, member| if member == 1 && now_ms < 3_000 { (50, false) } else { (10, false) })]
#[case::failing(|now_ms, member| if member == 1 && now_ms < 3_000 { (1, true) } else { (10, false) })]
fn an_outlier_gets_few_statements(#[case] statement: fn(u64, usize) -> (u64, bool)) {
    let played = play(&Load { statement, ..CALM }, 5);
    let share = played.served[1] as f64 / played.total();
    assert!((0.02..0.25).contains(&share), "{played:?}");
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
