//! Tests of the limits on clients, without a network.

use std::time::Duration;

use futures::FutureExt;
use proptest::prelude::*;

use snipehead_core::limits::byte_budget::ByteBudget;
use snipehead_core::limits::connection_table::Admission;
use snipehead_core::limits::connection_table::ConnectionId;
use snipehead_core::limits::connection_table::ConnectionLimits;
use snipehead_core::limits::connection_table::ConnectionTable;
use snipehead_core::limits::connection_table::Phase;
use snipehead_core::limits::frame_progress::FrameLayout;
use snipehead_core::limits::frame_progress::FrameProgress;
use snipehead_core::limits::host_limits::HostLimits;
use snipehead_core::limits::kept_bytes::Kept;
use snipehead_core::limits::kept_bytes::KeptLedger;
use snipehead_core::limits::line_budget::COPIES;
use snipehead_core::limits::line_budget::LineBudget;
use snipehead_core::limits::line_budget::LineReservation;
use snipehead_core::limits::pace::Pace;
use snipehead_core::limits::pace::TooSlow;
use snipehead_core::name::Name;

const LIMITS: ConnectionLimits = ConnectionLimits { total: 6, unstarted: 3, tenant: 4 };

fn admitted(table: &mut ConnectionTable, now_ms: u64) -> (ConnectionId, Option<ConnectionId>) {
    match table.admit(now_ms) {
        Admission::Accept { id, closes } => (id, closes),
        Admission::Wait => panic!("the connection should be accepted at {now_ms}"),
    }
}

/// Fills a table with sessions of two tenants, the first with three. Returns their connections.
fn filled() -> (ConnectionTable, Vec<ConnectionId>) {
    let mut table = ConnectionTable::new(LIMITS);
    let mut ids = Vec::new();
    for (at_ms, tenant) in [(0, "b"), (1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "c")] {
        let (id, closes) = admitted(&mut table, at_ms);
        assert_eq!(closes, None);
        assert_eq!(table.start(id, &tenant.into(), at_ms), (true, None));
        ids.push(id);
    }
    (table, ids)
}

/// Guards against the end of a transaction for the sake of a new connection.
#[test]
fn sessions_at_work_are_never_closed_for_others() {
    let (mut table, ids) = filled();
    for id in &ids {
        table.set_phase(*id, Phase::Working, 10);
    }
    assert_eq!(table.admit(60_000), Admission::Wait);
    table.set_phase(ids[2], Phase::Idle, 60_000);
    assert_eq!(admitted(&mut table, 60_001).1, Some(ids[2]));
}

/// Guards against idle sessions that are closed while connections without a session could be, and
/// against a tenant with few sessions that pays for one with many.
#[test]
fn connections_without_session_go_first_then_blocked_replies_then_the_largest_tenant() {
    let (mut table, ids) = filled();
    table.set_phase(ids[4], Phase::Replying, 10);
    let (silent, closes) = admitted(&mut table, 1_000);
    assert_eq!(closes, Some(ids[4]), "a blocked reply goes before idle sessions");
    let (other, closes) = admitted(&mut table, 1_001);
    assert_eq!(closes, Some(ids[1]), "the tenant with the most sessions loses its oldest");
    assert_eq!(admitted(&mut table, 2_000).1, Some(silent), "silent connections go first");
    assert_eq!(admitted(&mut table, 2_001).1, Some(other));
}

/// Guards against a wave of new connections that close each other before they could send anything.
#[test]
fn new_connections_are_not_closed_before_they_could_start() {
    let mut table = ConnectionTable::new(LIMITS);
    let ids: Vec<ConnectionId> = (0..3).map(|at_ms| admitted(&mut table, at_ms).0).collect();
    assert_eq!(table.admit(100), Admission::Wait);
    assert_eq!(table.start(ids[0], &"a".into(), 110), (true, None));
    assert_eq!(admitted(&mut table, 120).1, None);
    assert_eq!(admitted(&mut table, 600).1, Some(ids[1]));
}

/// Guards against one tenant that takes all connections.
#[test]
fn a_tenant_at_its_limit_pays_with_its_own_idle_sessions() {
    let mut table = ConnectionTable::new(LIMITS);
    let tenant: Name = "a".into();
    let mut ids = Vec::new();
    for at_ms in 0..4 {
        ids.push(admitted(&mut table, at_ms).0);
        assert_eq!(table.start(ids[at_ms as usize], &tenant, at_ms), (true, None));
    }
    table.set_phase(ids[0], Phase::Working, 5);
    let (next, _) = admitted(&mut table, 10);
    assert_eq!(table.start(next, &tenant, 10), (true, Some(ids[1])));
    for id in [ids[2], ids[3], next] {
        table.set_phase(id, Phase::Working, 11);
    }
    let (last, _) = admitted(&mut table, 12);
    assert_eq!(table.start(last, &tenant, 12), (false, None));
    assert_eq!(table.start(last, &"b".into(), 12), (true, None));
}

proptest! {
    /// Guards against counts that drift: the limits hold in any order of events, and an empty table
    /// counts nothing.
    #[test]
    fn the_limits_on_connections_hold(events in prop::collection::vec((0..5_u8, 0..8_usize), 1..300)) {
        let mut table = ConnectionTable::new(LIMITS);
        let mut open: Vec<ConnectionId> = Vec::new();
        for (step, (event, pick)) in events.into_iter().enumerate() {
            let now_ms = step as u64 * 100;
            let picked = (!open.is_empty()).then(|| open[pick % open.len()]);
            match (event, picked) {
                (0 | 1, _) => {
                    if let Admission::Accept { id, closes } = table.admit(now_ms) {
                        open.retain(|other| Some(*other) != closes);
                        open.push(id);
                    }
                }
                (2, Some(id)) => {
                    let (_, closes) = table.start(id, &format!("t{}", pick % 2).into(), now_ms);
                    open.retain(|other| Some(*other) != closes);
                }
                (3, Some(id)) => table.set_phase(id, Phase::Working, now_ms),
                (4, Some(id)) => {
                    table.remove(id);
                    open.retain(|other| *other != id);
                }
                _ => {}
            }
            prop_assert_eq!(table.len(), open.len());
            prop_assert!(table.len() <= LIMITS.total);
        }
    }

    /// Guards against bytes that are counted twice or not given back, whatever is cancelled.
    #[test]
    fn reserved_bytes_stay_within_the_bound(steps in prop::collection::vec((0..4_u8, 1..60_usize), 1..200)) {
        let budget = ByteBudget::new(100);
        let mut held = Vec::new();
        let mut waiting = Vec::new();
        for (step, bytes) in steps {
            match step {
                0 => waiting.push(Box::pin(budget.clone().reserve(bytes))),
                1 => held.extend(budget.try_reserve(bytes)),
                2 if !held.is_empty() => drop(held.remove(bytes % held.len())),
                3 if !waiting.is_empty() => drop(waiting.remove(bytes % waiting.len())),
                _ => {}
            }
            for _ in 0..2 {
                let mut index = 0;
                while index < waiting.len() {
                    match waiting[index].as_mut().now_or_never() {
                        Some(reservation) => {
                            held.push(reservation);
                            drop(waiting.remove(index));
                        }
                        None => index += 1,
                    }
                }
            }
            prop_assert!(budget.used_bytes() <= 100);
            prop_assert!(waiting.is_empty() || !held.is_empty(), "all wait and nothing is held");
        }
        held.clear();
        waiting.clear();
        prop_assert_eq!(budget.used_bytes(), 0);
    }

    /// Guards against a message that is not recognized as large because its header arrives in parts.
    #[test]
    fn frames_are_followed_in_any_pieces(sizes in prop::collection::vec(0..40_u32, 1..8), piece in 1..9_usize) {
        let mut stream = Vec::new();
        for size in &sizes {
            stream.extend_from_slice(&size.to_be_bytes());
            stream.resize(stream.len() + *size as usize, 7);
        }
        let mut progress = FrameProgress::default();
        let mut typed = FrameProgress::new(FrameLayout { type_bytes: 1, counts_itself: true });
        typed.record(b"Q\0\0\0\x0cSEL");
        prop_assert_eq!((typed.frame_bytes(), typed.left_bytes()), (8, 5));
        for bytes in stream.chunks(piece) {
            progress.record(bytes);
        }
        prop_assert_eq!(progress.left_bytes(), 0);
        progress.record(&500_u32.to_be_bytes());
        progress.record(&[7; 20]);
        prop_assert_eq!((progress.frame_bytes(), progress.left_bytes()), (500, 480));
    }
}

/// Guards against charged bytes after which a reservation is granted too early.
#[tokio::test]
async fn reservations_wait_until_an_excess_is_gone() {
    let budget = ByteBudget::new(100);
    let excess = budget.charge(250);
    assert!(budget.is_short() && budget.try_reserve(1).is_none());
    let waiting = tokio::spawn(budget.clone().reserve(40));
    tokio::time::sleep(Duration::from_millis(10)).await;
    let more = budget.charge(50);
    drop(excess);
    tokio::time::timeout(Duration::from_secs(1), waiting)
        .await
        .expect("granted")
        .expect("no panic");
    drop(more);
    assert_eq!((budget.used_bytes(), budget.waiting()), (0, 0));
}

/// Guards against lines that each hold a part of the budget and wait for each other for ever.
#[tokio::test]
async fn lines_that_all_grow_end_one_after_the_other() {
    let budget = std::sync::Arc::new(LineBudget::new(16 << 20));
    let lines = (0..200).map(|_| {
        let budget = budget.clone();
        tokio::spawn(async move {
            let mut held: Option<LineReservation> = None;
            for length in [9 << 10, 17 << 10, 65 << 10, 300 << 10] {
                tokio::task::yield_now().await;
                if held.as_ref().is_none_or(|held| held.line_bytes < length) {
                    held = Some(budget.reserve(length).await);
                }
            }
            tokio::task::yield_now().await;
            held.map(|held| held.line_bytes)
        })
    });
    for line in lines.collect::<Vec<_>>() {
        let ended = tokio::time::timeout(Duration::from_secs(20), line).await;
        let permitted = ended.expect("no line waits for ever").expect("no panic");
        assert!(permitted.is_some_and(|bytes| bytes > 1 << 20));
    }
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against limits that an ordinary client meets: 5,100 sessions at 256 MB, 40 at once with
/// messages of 16 KiB on the smallest host, and one message of 1 MiB.
#[test]
fn ordinary_clients_do_not_meet_the_limits() {
    let target = HostLimits::for_host(256, 8_192);
    assert!(target.caller_connections.total >= 5_100, "{target:?}");
    let smallest = HostLimits::for_host(112, 3_010);
    assert!(smallest.caller_connections.total >= 1_800, "{smallest:?}");
    assert!(smallest.peer_connections.total >= 295, "{smallest:?}");
    assert!(smallest.line_bytes / 2 >= 40 * (16 << 10) * COPIES, "{smallest:?}");
    assert!(smallest.line_bytes / 2 >= ((1 << 20) + 2) * COPIES, "{smallest:?}");
    assert!(smallest.session_kept_bytes > (1 << 20) + 200, "{smallest:?}");
    let shares = smallest.line_bytes + smallest.reply_bytes + smallest.relay_bytes;
    assert!(shares + smallest.kept_bytes < 2 * (112 << 20) / 3, "{smallest:?}");
}

/// Guards against sessions and tenants that keep more than their part, and against an account that
/// does not get its bytes back.
#[test]
fn what_sessions_keep_is_limited_by_session_and_tenant() {
    let limits = HostLimits {
        kept_bytes: 1_000_000,
        tenant_kept_bytes: 700_000,
        session_kept_bytes: 500_000,
        ..HostLimits::default()
    };
    let ledger = KeptLedger::new(&limits);
    let mut first = ledger.open("a".into());
    assert_eq!(first.replace(Kept::Shape, 0, 400_000), Ok(()));
    assert!(first.replace(Kept::Value, 0, 200_000).is_err(), "beyond the session's part");
    assert_eq!(first.replace(Kept::Shape, 400_000, 450_000), Ok(()));
    let mut second = ledger.open("a".into());
    assert!(second.replace(Kept::Shape, 0, 300_000).is_err(), "beyond the tenant's part");
    let mut other = ledger.open("b".into());
    assert_eq!(other.replace(Kept::Value, 0, 300_000), Ok(()));
    assert_eq!(other.values_bytes(), 300_000);
    drop(first);
    assert_eq!(second.replace(Kept::Shape, 0, 300_000), Ok(()));
    drop((second, other));
    assert_eq!(ledger.used_bytes(), 0);
}

/// Guards against a host that stalled for 6 s, or a slow link, which would be taken for a client that
/// stopped; and against a client that stopped and is given time for ever.
#[test]
fn slow_clients_get_time_and_stopped_ones_do_not() {
    let mut pace = Pace::new(1_000, 15_000);
    pace.record(1_100, 100);
    assert_eq!(pace.check(13_000, false), Ok(()), "a stall of 12 s");
    assert_eq!(pace.check(17_000, false), Err(TooSlow::Slow), "nothing for more than 15 s");
    let mut trickle = Pace::new(0, 15_000);
    for now_ms in (0..20_000).step_by(100) {
        trickle.record(now_ms, 1);
    }
    assert_eq!(trickle.check(20_000, false), Err(TooSlow::Slow), "one byte each 100 ms");
    let mut reading = Pace::new(0, 15_000);
    reading.record(1_000, 300_000);
    assert_eq!(reading.check(1_200, true), Ok(()), "2.4 Mbit/s while others wait");
    assert_eq!(Pace::new(0, 15_000).check(200, true), Ok(()), "the first 300 ms");
    assert_eq!(Pace::new(0, 15_000).check(400, true), Err(TooSlow::Holding));
}
