//! Identities of transactions under random schedules of owners and sessions.

use std::collections::HashMap;

use proptest::prelude::*;

use snipehead_core::name::Name;
use snipehead_core::service::transaction_table::TransactionTable;
use snipehead_core::service::transaction_table::UnknownTransaction;
use snipehead_core::transaction_id::TransactionId;

const ADDRESSES: usize = 2;
const SESSIONS: usize = 5;
const IDLE_LIMIT_MS: u64 = 300;
const STEP_MS: u64 = 50;

#[derive(Clone, Debug)]
enum Event {
    /// A session begins a transaction at the owner with this address.
    Begin { session: usize, address: usize },
    /// A session runs a statement in the last transaction that it knows of.
    Continue { session: usize },
    /// The same, but the reply is lost, and the owner keeps the transaction open.
    LoseReply { session: usize },
    /// A session ends the last transaction that it knows of, and may name it again later.
    End { session: usize },
    /// The connection over which a session's transaction was started ends.
    Disconnect { session: usize },
    /// The owner at an address ends, and a new ownership begins there.
    ReplaceOwner { address: usize },
    /// The owner at an address drops transactions that were idle for too long.
    DropAbandoned { address: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let session = 0..SESSIONS;
    let address = 0..ADDRESSES;
    prop_oneof![
        4 => (session.clone(), address.clone())
            .prop_map(|(session, address)| Event::Begin { session, address }),
        6 => session.clone().prop_map(|session| Event::Continue { session }),
        1 => session.clone().prop_map(|session| Event::LoseReply { session }),
        2 => session.clone().prop_map(|session| Event::End { session }),
        1 => session.prop_map(|session| Event::Disconnect { session }),
        2 => address.clone().prop_map(|address| Event::ReplaceOwner { address }),
        1 => address.prop_map(|address| Event::DropAbandoned { address }),
    ]
}

/// A transaction as the member knows it: the session that began it, and how many it had begun.
type Begun = (usize, u64);

struct Model {
    now_ms: u64,
    next_token: u64,
    owners: Vec<TransactionTable<Begun>>,
    /// What each session remembers of its last transaction: owner, identity, and which it is.
    known: HashMap<usize, (usize, TransactionId, Begun)>,
    /// Transactions that are open, with the time of their last use.
    open: HashMap<Begun, u64>,
    begun: u64,
}

fn tenant(session: usize) -> Name {
    format!("tenant-{}", session % 2).into()
}

impl Model {
    fn new() -> Self {
        let owners = (1..=ADDRESSES as u64).map(TransactionTable::new).collect();
        let next_token = ADDRESSES as u64 + 1;
        Self { now_ms: 0, next_token, owners, known: [].into(), open: [].into(), begun: 0 }
    }

    fn begin(&mut self, session: usize, address: usize) {
        self.begun += 1;
        let begun = (session, self.begun);
        let owner = &mut self.owners[address];
        let id = owner.next_id();
        owner.store(self.now_ms, id, tenant(session), begun);
        self.known.insert(session, (address, id, begun));
        self.open.insert(begun, self.now_ms);
    }

    /// Takes the transaction that a session names, and checks that it is the session's own.
    fn take(&mut self, session: usize) -> Option<(usize, TransactionId, Begun)> {
        let (address, id, begun) = self.known.get(&session).copied()?;
        let taken = self.owners[address].take(id, &tenant(session));
        match self.open.contains_key(&begun) {
            true => assert_eq!(taken, Ok(begun), "session {session} lost its transaction"),
            false => assert!(taken.is_err(), "session {session} got {taken:?}"),
        }
        taken.is_ok().then_some((address, id, begun))
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += STEP_MS;
        match *event {
            Event::Begin { session, address } => self.begin(session, address),
            Event::Continue { session } | Event::LoseReply { session } => {
                if let Some((address, id, begun)) = self.take(session) {
                    self.owners[address].store(self.now_ms, id, tenant(session), begun);
                    self.open.insert(begun, self.now_ms);
                }
            }
            Event::End { session } => {
                if let Some((.., begun)) = self.take(session) {
                    self.open.remove(&begun);
                }
            }
            Event::Disconnect { session } => {
                if let Some((address, id, begun)) = self.known.get(&session).copied() {
                    let removed = self.owners[address].remove(id);
                    let expected = self.open.remove(&begun).map(|_| begun);
                    assert_eq!(removed, expected, "the end of session {session}'s connection");
                }
            }
            Event::ReplaceOwner { address } => {
                let mut former = std::mem::replace(
                    &mut self.owners[address],
                    TransactionTable::new(self.next_token),
                );
                self.next_token += 1;
                for begun in former.take_all() {
                    self.open.remove(&begun);
                }
            }
            Event::DropAbandoned { address } => {
                let limit_ms = self.now_ms.saturating_sub(IDLE_LIMIT_MS);
                for begun in self.owners[address].take_unused_since(limit_ms) {
                    let used_at_ms = self.open.remove(&begun);
                    assert!(used_at_ms.is_some_and(|at_ms| at_ms < limit_ms), "{begun:?}");
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against statements that run in another session's transaction, which happened when a
    /// new owner at the same address numbered its transactions from 1 again.
    #[test]
    fn no_statement_runs_in_the_transaction_of_another_session(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
        }
    }
}

/// Guards against an identity that is passed on to another tenant.
#[test]
fn a_transaction_is_refused_to_another_tenant_and_stays_open() {
    let mut table = TransactionTable::new(7);
    let id = table.next_id();
    table.store(0, id, "families".into(), "transaction");
    assert_eq!(table.take(id, "technicians"), Err(UnknownTransaction::OtherTenant));
    assert_eq!(table.take(id, "families"), Ok("transaction"));
}
