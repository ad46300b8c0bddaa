//! Leases under random schedules: lost, late and dropped writes, and paused processes.

use proptest::prelude::*;

use snipehead_core::lease_table::Identity;
use snipehead_core::lease_table::LEASE_MS;
use snipehead_core::lease_table::LeaseRecord;
use snipehead_core::lease_table::LeaseTable;
use snipehead_core::lease_table::LeaseWrite;
use snipehead_core::name::Name;
use snipehead_core::store_clock::ClockReading;

/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 50;

fn identity(number: u64) -> Identity {
    Identity {
        node: format!("host-{number}").into(),
        address: format!("127.0.0.1:{}", 7_000 + number).parse().expect("the address is valid"),
        incarnation: number + 1,
    }
}

/// Offset of the store's clock from the clock of the processes, in milliseconds.
const STORE_AHEAD_MS: u64 = 50_000;

fn reading(sent_at_ms: u64, received_at_ms: u64, store_ms: u64) -> ClockReading {
    ClockReading { sent_at_ms, received_at_ms, at_most_ms: store_ms, at_least_ms: store_ms }
}

/// What happens to a write in transit.
#[derive(Clone, Copy, Debug)]
enum WriteFate {
    Answered,
    AnswerLost,
    Late(u64),
    Dropped,
}

fn fate() -> impl Strategy<Value = WriteFate> {
    prop_oneof![
        5 => Just(WriteFate::Answered),
        2 => Just(WriteFate::AnswerLost),
        2 => (1_u64..6_000).prop_map(WriteFate::Late),
        2 => Just(WriteFate::Dropped),
    ]
}

/// A store with one lease, and the writes that are still in transit.
struct Store {
    record: Option<LeaseRecord>,
    version: u64,
    late: Vec<(u64, LeaseWrite)>,
}

impl Store {
    fn write(&mut self, write: &LeaseWrite) -> bool {
        let is_met = write.expected == if self.record.is_some() { self.version } else { 0 };
        if is_met {
            self.version += 1;
            self.record = Some(write.record.clone());
        }
        is_met
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// At most one process acts as owner at a time, and fencing tokens increase from holder to
    /// holder, whichever writes are lost or late and however long processes pause.
    #[test]
    fn one_holder_at_a_time(
        steps in prop::collection::vec((0_usize..3, fate(), prop::bool::weighted(0.05)), 200..600),
        reads in prop::collection::vec(prop::bool::weighted(0.3), 600),
    ) {
        let service: Name = "dispatch".into();
        let mut tables: Vec<LeaseTable> = (0..3).map(|n| LeaseTable::new(identity(n))).collect();
        let mut paused_until_ms = [0_u64; 3];
        let mut store = Store { record: None, version: 10, late: Vec::new() };
        let mut last_holder: Option<(usize, u64)> = None;
        for (index, (chosen, fate, pauses)) in steps.into_iter().enumerate() {
            let now_ms = 1_000 + index as u64 * STEP_MS;
            let due: Vec<LeaseWrite> = {
                let (due, rest) = store.late.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
                store.late = rest;
                let due: Vec<(u64, LeaseWrite)> = due;
                due.into_iter().map(|(_, write)| write).collect()
            };
            for write in due {
                store.write(&write);
            }
            if pauses {
                paused_until_ms[chosen] = now_ms + 4_000;
            }
            for (number, table) in tables.iter_mut().enumerate() {
                if now_ms < paused_until_ms[number] {
                    continue;
                }
                if reads[index] || index < 3 {
                    // The answer took up to 900 ms, and the store read its clock in that time.
                    let took_ms = (index as u64 * 37) % 900;
                    let store_ms = now_ms + STORE_AHEAD_MS - took_ms / (1 + index as u64 % 3);
                    table.record_store_clock(&reading(now_ms - took_ms, now_ms, store_ms));
                    let version = if store.record.is_some() { store.version } else { 0 };
                    table.observe(now_ms, &service, store.record.clone(), version);
                    table.confirm(now_ms, &service);
                }
                let writes = table
                    .due_writes(now_ms, std::slice::from_ref(&service), |_| Some(number as u64));
                for write in writes {
                    match fate {
                        WriteFate::Answered => {
                            if store.write(&write) {
                                let record = Some(write.record.clone());
                                table.observe(now_ms, &service, record, store.version);
                            } else {
                                table
                                    .observe(now_ms, &service, store.record.clone(), store.version);
                            }
                        }
                        WriteFate::AnswerLost => { store.write(&write); }
                        WriteFate::Late(delay_ms) => store.late.push((now_ms + delay_ms, write)),
                        WriteFate::Dropped => {}
                    }
                }
            }
            let acting: Vec<(usize, u64)> = tables
                .iter()
                .enumerate()
                .filter_map(|(number, table)| {
                    let (valid_until_ms, token) = table.active_lease(now_ms, &service)?;
                    (now_ms < valid_until_ms).then_some((number, token))
                })
                .collect();
            prop_assert!(acting.len() <= 1, "at {now_ms}: {acting:?}");
            if let Some((number, token)) = acting.first() {
                if let Some((last, last_token)) = last_holder
                    && last != *number
                {
                    prop_assert!(*token > last_token);
                }
                last_holder = Some((*number, *token));
            }
        }
    }
}

fn record(holder: u64, renewal: u64) -> LeaseRecord {
    let identity = identity(holder);
    LeaseRecord {
        holder: identity.node,
        address: identity.address,
        incarnation: identity.incarnation,
        renewal,
        is_released: false,
        is_former_holder_active: false,
        preferred_owner: None,
        pending_promotion: None,
        term: 0,
        pending_term: 0,
        primary: None,
        checkpoint: None,
        term_start: None,
        sent_at_store_ms: None,
    }
}

#[test]
fn a_restarted_process_takes_its_lease_back_at_once() {
    let service: Name = "dispatch".into();
    let mut restarted = identity(0);
    restarted.incarnation = 77;
    let mut table = LeaseTable::new(restarted);
    table.observe(1_000, &service, Some(record(0, 5)), 12);
    assert_eq!(table.due_writes(1_000, std::slice::from_ref(&service), |_| Some(2)).len(), 1);
}

/// A process that was killed before its predecessor had stopped acted as owner beside it.
#[test]
fn a_restarted_process_waits_for_a_former_holder_that_may_be_active() {
    let service: Name = "dispatch".into();
    let services = std::slice::from_ref(&service);
    let mut killed = LeaseTable::new(identity(1));
    killed.accept_offer(1_000, &service, record(0, 5), 12);
    let write = killed.due_writes(1_000, services, |_| Some(0)).pop().expect("a write is due");
    let mut restarted = identity(1);
    restarted.incarnation = 77;
    let mut table = LeaseTable::new(restarted.clone());
    table.observe(1_300, &service, Some(write.record.clone()), 13);
    table.confirm(1_300 + LEASE_MS, &service);
    assert_eq!(table.due_writes(1_300 + LEASE_MS, services, |_| Some(0)), []);
    table.confirm(1_600 + LEASE_MS, &service);
    assert_eq!(table.due_writes(1_600 + LEASE_MS, services, |_| Some(0)).len(), 1);
    // Once the former holder has stopped, the record says so.
    killed.observe(1_010, &service, Some(write.record), 13);
    killed.activate(&service, 13);
    let renewal = killed.due_writes(1_200, services, |_| Some(0)).pop().expect("a write is due");
    let mut table = LeaseTable::new(restarted);
    table.observe(1_300, &service, Some(renewal.record), 14);
    assert_eq!(table.due_writes(1_300, services, |_| Some(0)).len(), 1);
}

#[test]
fn a_process_on_another_host_waits_until_the_lease_has_expired() {
    let service: Name = "dispatch".into();
    let mut table = LeaseTable::new(identity(1));
    table.observe(1_000, &service, Some(record(0, 5)), 12);
    table.confirm(1_000 + LEASE_MS, &service);
    assert!(
        table.due_writes(1_000 + LEASE_MS, std::slice::from_ref(&service), |_| Some(0)).is_empty()
    );
    table.confirm(1_300 + LEASE_MS, &service);
    assert_eq!(
        table.due_writes(1_300 + LEASE_MS, std::slice::from_ref(&service), |_| Some(0)).len(),
        1
    );
}

/// After an outage of the store or a restart, nodes waited 3.7 s for owners that had stopped long
/// before, as if those had just renewed their leases.
#[test]
fn a_lease_that_expired_before_it_was_observed_is_taken_over_at_once() {
    let service: Name = "dispatch".into();
    let mut table = LeaseTable::new(identity(1));
    table.record_store_clock(&reading(990, 1_000, 60_000));
    let mut old = record(0, 5);
    old.sent_at_store_ms = Some(55_000);
    table.observe(1_000, &service, Some(old), 12);
    table.confirm(1_000, &service);
    assert_eq!(table.due_writes(1_000, std::slice::from_ref(&service), |_| Some(0)).len(), 1);
    assert!(table.due_writes(1_100, std::slice::from_ref(&service), |_| Some(1)).is_empty());
}

#[test]
fn a_lease_that_may_be_valid_by_the_stores_clock_is_not_taken_over() {
    let service: Name = "dispatch".into();
    let mut table = LeaseTable::new(identity(1));
    table.record_store_clock(&reading(990, 1_000, 60_000));
    let mut recent = record(0, 5);
    recent.sent_at_store_ms = Some(58_000);
    table.observe(1_000, &service, Some(recent), 12);
    table.confirm(2_600, &service);
    assert!(table.due_writes(2_600, std::slice::from_ref(&service), |_| Some(0)).is_empty());
    table.confirm(2_720, &service);
    assert_eq!(table.due_writes(2_720, std::slice::from_ref(&service), |_| Some(0)).len(), 1);
}

/// With 68 nodes, those that no longer read the leases tried to take them over every few seconds,
/// based on outdated records.
#[test]
fn a_process_without_a_recent_confirmation_takes_no_lease_over() {
    let service: Name = "dispatch".into();
    let mut table = LeaseTable::new(identity(1));
    table.observe(1_000, &service, Some(record(0, 5)), 12);
    assert!(table.due_writes(30_000, std::slice::from_ref(&service), |_| Some(0)).is_empty());
}

#[test]
fn a_new_holder_inherits_what_is_recorded_about_the_primary() {
    let service: Name = "dispatch".into();
    let mut table = LeaseTable::new(identity(1));
    let mut left = record(0, 5);
    left.is_released = true;
    left.pending_promotion = Some("m2".into());
    left.term = 4;
    left.primary = Some("m1".into());
    table.observe(1_000, &service, Some(left), 12);
    let write = table
        .due_writes(1_000, std::slice::from_ref(&service), |_| Some(0))
        .pop()
        .expect("a write is due");
    assert_eq!(write.record.pending_promotion.as_deref(), Some("m2"));
    assert_eq!((write.record.term, write.record.primary.as_deref()), (4, Some("m1")));
    table.observe(1_010, &service, Some(write.record), 13);
    let leadership = table.leadership(&service);
    assert_eq!(leadership.pending_promotion.as_deref(), Some("m2"));
    assert_eq!((leadership.term, leadership.primary.as_deref()), (4, Some("m1")));
}

#[test]
fn a_new_owner_acts_once_the_previous_one_has_stopped_or_lost_its_lease() {
    let service: Name = "dispatch".into();
    let acquire = || {
        let mut table = LeaseTable::new(identity(1));
        table.accept_offer(1_000, &service, record(0, 5), 12);
        let write = table.due_writes(1_000, std::slice::from_ref(&service), |_| Some(0)).pop();
        table.observe(1_010, &service, Some(write.expect("a write is due").record), 13);
        table
    };
    let mut table = acquire();
    assert_eq!(table.active_lease(1_020, &service), None);
    table.activate(&service, 13);
    assert!(table.active_lease(1_030, &service).is_some());
    let table = acquire();
    assert_eq!(table.active_lease(1_000 + LEASE_MS, &service), None);
    assert!(table.active_lease(1_010 + LEASE_MS, &service).is_some());
}
