//! Leases that are offered from process to process, under random schedules of processes that are
//! killed and started again at their addresses, and of lost writes, answers and notices.

use std::collections::VecDeque;

use proptest::prelude::*;

use snipehead_core::lease_table::Identity;
use snipehead_core::lease_table::LeaseRecord;
use snipehead_core::lease_table::LeaseTable;
use snipehead_core::lease_table::LeaseWrite;
use snipehead_core::name::Name;
use snipehead_core::store_clock::ClockReading;

const PROCESSES: usize = 3;

/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 50;

/// Offset of the store's clock from the clock of the processes, in milliseconds.
const STORE_AHEAD_MS: u64 = 50_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteFate {
    Answered,
    AnswerLost,
    Dropped,
}

#[derive(Clone, Debug)]
enum Event {
    /// A process reads the lease and writes what is due.
    Poll(usize, WriteFate),
    /// The process that acts as owner offers the lease to another one.
    Offer(usize, WriteFate),
    /// A former owner that hands over has ended its transactions. The notice of that may be late.
    Close { is_late: bool },
    /// The oldest late notice arrives.
    Notice,
    /// A process is killed and starts again at its address.
    Restart(usize),
    /// Nothing happens for a number of steps.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let fate = || {
        prop_oneof![
            6 => Just(WriteFate::Answered),
            1 => Just(WriteFate::AnswerLost),
            1 => Just(WriteFate::Dropped),
        ]
    };
    prop_oneof![
        12 => (0..PROCESSES, fate()).prop_map(|(process, fate)| Event::Poll(process, fate)),
        2 => (0..PROCESSES, fate()).prop_map(|(process, fate)| Event::Offer(process, fate)),
        2 => any::<bool>().prop_map(|is_late| Event::Close { is_late }),
        1 => Just(Event::Notice),
        1 => (0..PROCESSES).prop_map(Event::Restart),
        1 => (1..40_u64).prop_map(Event::Wait),
    ]
}

/// A former owner that still ends its transactions.
struct Ending {
    process: usize,
    valid_until_ms: u64,
    notice: Notice,
}

/// The notice to a new owner that its predecessor has stopped.
struct Notice {
    new_owner: usize,
    version: u64,
}

struct Model {
    now_ms: u64,
    service: Name,
    tables: Vec<LeaseTable>,
    starts: u64,
    record: Option<LeaseRecord>,
    version: u64,
    ending: Option<Ending>,
    late_notices: VecDeque<Notice>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now_ms: 1_000_000,
            service: "dispatch".into(),
            tables: Vec::new(),
            starts: 0,
            record: None,
            version: 10,
            ending: None,
            late_notices: VecDeque::new(),
        };
        for process in 0..PROCESSES {
            let table = model.start(process);
            model.tables.push(table);
        }
        model
    }

    fn start(&mut self, process: usize) -> LeaseTable {
        self.starts += 1;
        LeaseTable::new(Identity {
            node: format!("host-{process}").into(),
            address: format!("127.0.0.1:{}", 7_000 + process).parse().expect("an address"),
            incarnation: self.starts,
        })
    }

    fn read(&mut self, process: usize) {
        let reading = ClockReading {
            sent_at_ms: self.now_ms,
            received_at_ms: self.now_ms,
            at_most_ms: self.now_ms + STORE_AHEAD_MS,
            at_least_ms: self.now_ms + STORE_AHEAD_MS,
        };
        let table = &mut self.tables[process];
        table.record_store_clock(&reading);
        let version = if self.record.is_some() { self.version } else { 0 };
        table.observe(self.now_ms, &self.service, self.record.clone(), version);
        table.confirm(self.now_ms, &self.service);
    }

    /// Carries out a write. Returns whether the process learns that it was written.
    fn write(&mut self, process: usize, write: &LeaseWrite, fate: WriteFate) -> bool {
        let expected = if self.record.is_some() { self.version } else { 0 };
        let is_met = write.expected == expected && fate != WriteFate::Dropped;
        if is_met {
            self.version += 1;
            self.record = Some(write.record.clone());
        }
        if fate == WriteFate::Answered {
            self.read(process);
        }
        is_met && fate == WriteFate::Answered
    }

    fn write_due(&mut self, process: usize, fate: WriteFate) -> bool {
        let services = [self.service.clone()];
        let writes = self.tables[process].due_writes(self.now_ms, &services, |_| Some(0));
        writes.iter().fold(false, |_, write| self.write(process, write, fate))
    }

    fn is_ending(&self, process: usize) -> bool {
        self.ending
            .as_ref()
            .is_some_and(|ending| ending.process == process && self.now_ms < ending.valid_until_ms)
    }

    /// Returns until when a process may act as owner by its own lease.
    fn acts_until(&self, process: usize) -> Option<u64> {
        let (valid_until_ms, _) = self.tables[process].active_lease(self.now_ms, &self.service)?;
        (self.now_ms < valid_until_ms).then_some(valid_until_ms)
    }

    fn offer(&mut self, new_owner: usize, fate: WriteFate) {
        let owner = (0..PROCESSES).find_map(|process| Some((process, self.acts_until(process)?)));
        let Some((process, valid_until_ms)) = owner.filter(|(owner, _)| *owner != new_owner) else {
            return;
        };
        if self.ending.is_some() {
            return;
        }
        let Some((record, version)) = self.tables[process].record(&self.service) else { return };
        let record = record.clone();
        self.tables[process].set_renewal_paused(&self.service, true);
        self.tables[new_owner].accept_offer(self.now_ms, &self.service, record, version);
        match self.write_due(new_owner, fate) {
            true => {
                let notice = Notice { new_owner, version: self.version };
                self.ending = Some(Ending { process, valid_until_ms, notice });
            }
            false => self.tables[process].set_renewal_paused(&self.service, false),
        }
    }

    fn notify(&mut self, notice: &Notice) {
        self.tables[notice.new_owner].activate(&self.service, notice.version);
    }

    fn restart(&mut self, process: usize) {
        self.tables[process] = self.start(process);
        self.ending.take_if(|ending| ending.process == process);
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += STEP_MS;
        match event {
            Event::Poll(process, fate) => {
                self.read(*process);
                self.write_due(*process, *fate);
            }
            Event::Offer(new_owner, fate) => self.offer(*new_owner, *fate),
            Event::Close { is_late } => match self.ending.take() {
                Some(ending) if *is_late => self.late_notices.push_back(ending.notice),
                Some(ending) => self.notify(&ending.notice),
                None => {}
            },
            Event::Notice => {
                if let Some(notice) = self.late_notices.pop_front() {
                    self.notify(&notice);
                }
            }
            Event::Restart(process) => self.restart(*process),
            Event::Wait(steps) => self.now_ms += steps * STEP_MS,
        }
    }

    fn acting(&self) -> Vec<usize> {
        let acts =
            |process: &usize| self.is_ending(*process) || self.acts_until(*process).is_some();
        (0..PROCESSES).filter(acts).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against a process that is killed while its predecessor ends transactions, and acts as owner
    /// beside it when it has started again.
    #[test]
    fn no_process_acts_beside_a_former_owner_that_ends_its_transactions(
        events in prop::collection::vec(event(), 20..200),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
            let acting = model.acting();
            prop_assert!(acting.len() <= 1, "{event:?} at {}: {acting:?} act", model.now_ms);
        }
        model.ending = None;
        for step in 0..400 {
            model.apply(&Event::Poll(step % PROCESSES, WriteFate::Answered));
        }
        prop_assert_eq!(model.acting().len(), 1);
    }
}
