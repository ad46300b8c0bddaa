//! Random schedules of members that send replies twice, the second time late.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use async_trait::async_trait;
use futures::FutureExt;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::TestCaseError;

use snipehead_core::log_position::LogPosition;
use snipehead_core::member::CommandBody;
use snipehead_core::member::IdleInput;
use snipehead_core::member::MemberCommand;
use snipehead_core::member::MemberConnection;
use snipehead_core::member::MemberError;
use snipehead_core::member::MemberReply;
use snipehead_core::member::MemberStatus;
use snipehead_core::outcome::BlockState;
use snipehead_core::outcome::Failure;
use snipehead_core::outcome::Refusal;
use snipehead_core::service::matched_connection::MatchedConnection;
use snipehead_core::statement::Access;

/// What happens on one connection.
#[derive(Clone, Debug)]
enum Event {
    /// A session sets a value and runs a statement.
    Run { sets_value: bool, fails: bool },
    /// A session starts a transaction, runs statements in it and commits it.
    Transact { statements: usize, begin_fails: bool, fails: bool },
    /// The log of the member grows.
    Commit,
    /// A probe asks for the status.
    Probe,
    /// One of the earlier replies comes again before the next reply, after `skipped` more replies.
    Repeat { which: Index, skipped: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let fails = || prop::bool::weighted(0.1);
    prop_oneof![
        4 => (any::<bool>(), fails())
            .prop_map(|(sets_value, fails)| Event::Run { sets_value, fails }),
        4 => (1..3_usize, prop::bool::weighted(0.3), fails()).prop_map(
            |(statements, begin_fails, fails)| Event::Transact { statements, begin_fails, fails }
        ),
        2 => Just(Event::Commit),
        1 => Just(Event::Probe),
        4 => (any::<Index>(), 0..4_usize)
            .prop_map(|(which, skipped)| Event::Repeat { which, skipped }),
    ]
}

/// A member's side of one connection.
#[derive(Default)]
struct Wire {
    replies: VecDeque<MemberReply>,
    /// All replies so far, for repeats.
    sent: Vec<MemberReply>,
    /// Repeats, with the number of replies that come before them.
    repeats: Vec<(usize, MemberReply)>,
    is_open: bool,
    position: u64,
    begin_fails: bool,
    fails: bool,
    /// Ids of the statements that ran, and whether a transaction was open.
    ran: Vec<(String, bool)>,
}

impl Wire {
    fn push(&mut self, reply: MemberReply) {
        self.push_due();
        self.sent.push(reply.clone());
        self.replies.push_back(reply);
    }

    fn push_due(&mut self) {
        let repeats = std::mem::take(&mut self.repeats);
        for (skipped, reply) in repeats {
            match skipped {
                0 => self.replies.push_back(reply),
                _ => self.repeats.push((skipped - 1, reply)),
            }
        }
    }

    fn block(&self) -> BlockState {
        if self.is_open { BlockState::Open } else { BlockState::Idle }
    }

    fn has_run(&self, id: &str) -> bool {
        self.ran.iter().any(|(ran, _)| ran == id)
    }
}

struct RepeatingConnection(Arc<Mutex<Wire>>);

/// Returns the reply of a member to a command, with a signature that is unique to the command's id.
fn reply_to(command: &MemberCommand, wire: &mut Wire) -> MemberReply {
    let busy = || Err(Refusal::new(Failure::Busy, ""));
    let signed = |id: &str| Ok(format!("signature-of-{id}").into());
    let (rows, result) = match command {
        MemberCommand::Begin { .. } if std::mem::take(&mut wire.begin_fails) => {
            (Vec::new(), busy())
        }
        MemberCommand::Run { .. } if std::mem::take(&mut wire.fails) => (Vec::new(), busy()),
        MemberCommand::Begin { .. } => {
            wire.is_open = true;
            (Vec::new(), Ok("-".into()))
        }
        MemberCommand::Run { id, .. } => {
            wire.ran.push((id.to_string(), wire.is_open));
            (vec![format!("row-of-{id}").into()], signed(id))
        }
        MemberCommand::Commit { id } => {
            wire.is_open = false;
            wire.position += 1;
            wire.ran.push((id.to_string(), true));
            (Vec::new(), signed(id))
        }
        MemberCommand::Status => (vec!["status".into()], Ok("-".into())),
        _ => (Vec::new(), Ok("-".into())),
    };
    let position = Some(LogPosition::new(1, wire.position));
    MemberReply { rows, result, block: wire.block(), position }
}

#[async_trait]
impl MemberConnection for RepeatingConnection {
    async fn send(&mut self, commands: &[MemberCommand]) -> Result<(), MemberError> {
        let mut wire = self.0.lock().expect("the mutex is not poisoned");
        for command in commands {
            let reply = reply_to(command, &mut wire);
            wire.push(reply);
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<MemberReply, MemberError> {
        let mut wire = self.0.lock().expect("the mutex is not poisoned");
        wire.replies.pop_front().ok_or(MemberError::Timeout)
    }

    fn take_input(&mut self) -> IdleInput {
        let mut wire = self.0.lock().expect("the mutex is not poisoned");
        wire.replies.pop_front().map_or(IdleInput::Nothing, IdleInput::Reply)
    }

    fn decode_status(&self, _: &MemberReply) -> Option<MemberStatus> {
        None
    }
}

fn run_command(id: &str) -> MemberCommand {
    let body = CommandBody::Text("FETCH a".into());
    MemberCommand::Run { id: id.into(), access: Access::Read, body, floor: None }
}

/// A connection as its pool and its sessions use it.
struct Client {
    wire: Arc<Mutex<Wire>>,
    connection: MatchedConnection,
    /// Whether replies have arrived by the time at which an idle connection is checked.
    checks_idle: bool,
}

impl Client {
    fn open(checks_idle: bool) -> Self {
        let wire = Arc::<Mutex<Wire>>::default();
        let connection = MatchedConnection::new(Box::new(RepeatingConnection(wire.clone())));
        Self { wire, connection, checks_idle }
    }

    fn wire(&self) -> MutexGuard<'_, Wire> {
        self.wire.lock().expect("the mutex is not poisoned")
    }

    fn is_in_step(&mut self) -> bool {
        !self.checks_idle || self.connection.discard_repeats().is_ok()
    }

    /// Prepares the connection for a session, in place of one that must not be used.
    fn prepare(&mut self, begins: bool) {
        let is_usable = self.is_in_step();
        let position = LogPosition::new(1, self.wire().position);
        if !is_usable
            || !self.connection.is_reusable()
            || (begins && !self.connection.can_begin(position))
        {
            *self = Self::open(self.checks_idle);
        }
    }

    /// Runs commands, of which the last one has an id. Returns whether it was answered with success.
    fn exchange(&mut self, id: &str, commands: &[MemberCommand]) -> Result<bool, TestCaseError> {
        let exchanged = self.connection.exchange(commands);
        let Ok(replies) = exchanged.now_or_never().expect("the member answers at once") else {
            *self = Self::open(self.checks_idle);
            return Ok(false);
        };
        prop_assert_eq!(replies.len(), commands.len());
        let reply = replies.last().expect("there was a command");
        match &reply.result {
            Ok(signature) if &**signature != "-" => {
                prop_assert_eq!(&**signature, format!("signature-of-{id}"));
                let rows = reply.rows.iter().all(|row| **row == *format!("row-of-{id}"));
                prop_assert!(rows, "{} got {:?}", id, reply.rows);
                Ok(true)
            }
            Ok(_) => Ok(true),
            Err(refusal) => {
                prop_assert!(!self.wire().has_run(id), "{} ran, but {:?} came", id, refusal);
                Ok(false)
            }
        }
    }

    fn run(&mut self, id: &str, sets_value: bool) -> Result<(), TestCaseError> {
        self.prepare(false);
        let mut commands = Vec::new();
        if sets_value {
            commands.push(MemberCommand::Set { name: "v".into(), value: id.into() });
        }
        commands.push(run_command(id));
        self.exchange(id, &commands).map(drop)
    }

    fn transact(&mut self, id: &str, statements: usize) -> Result<(), TestCaseError> {
        self.prepare(true);
        let begin = MemberCommand::Begin { id: id.into(), is_read_only: false, floor: None };
        let mut goes_on = self.exchange(id, &[begin])?;
        for number in 0..statements {
            let id = format!("{id}-{number}");
            goes_on = goes_on && self.is_in_step();
            goes_on = goes_on && self.exchange(&id, &[run_command(&id)])?;
            let wire = self.wire();
            let outside = wire.ran.iter().find(|(ran, is_open)| *ran == id && !is_open);
            prop_assert!(outside.is_none(), "{} ran outside its transaction", id);
        }
        let commit_id = format!("{id}-commit");
        goes_on = goes_on && self.is_in_step();
        let commit = MemberCommand::Commit { id: commit_id.as_str().into() };
        if !goes_on || !self.exchange(&commit_id, &[commit])? {
            *self = Self::open(self.checks_idle);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against a repeated reply that is taken as that of another statement, in the same session
    /// or in one that uses the connection later, and against statements outside their transaction.
    #[test]
    fn each_statement_gets_its_own_reply_or_none(
        events in prop::collection::vec(event(), 1..80),
        checks_idle in any::<bool>(),
    ) {
        let mut client = Client::open(checks_idle);
        for (number, event) in events.iter().enumerate() {
            let id = format!("s{number}");
            match event {
                Event::Run { sets_value, fails } => {
                    client.wire().fails = *fails;
                    client.run(&id, *sets_value)?;
                }
                Event::Transact { statements, begin_fails, fails } => {
                    client.wire().begin_fails = *begin_fails;
                    client.wire().fails = *fails;
                    client.transact(&id, *statements)?;
                }
                Event::Commit => client.wire().position += 1,
                Event::Probe => {
                    client.prepare(false);
                    client.exchange(&id, &[MemberCommand::Status, MemberCommand::Reset])?;
                }
                Event::Repeat { which, skipped } => {
                    let mut wire = client.wire();
                    if !wire.sent.is_empty() {
                        let reply = wire.sent[which.index(wire.sent.len())].clone();
                        wire.repeats.push((*skipped, reply));
                    }
                }
            }
        }
    }
}

/// Guards against a repeat that costs the next statement its answer, although its own reply follows.
#[test]
fn a_recognized_repeat_is_skipped() {
    let mut client = Client::open(false);
    for number in 0..3 {
        let id = format!("s{number}");
        let answered = client.exchange(&id, &[run_command(&id)]).expect("its own reply");
        assert!(answered);
        let mut wire = client.wire();
        let reply = wire.sent.last().expect("a reply was sent").clone();
        wire.repeats.push((0, reply));
    }
    assert_eq!(client.connection.repeats(), 2);
    assert!(!client.connection.is_reusable());
}

/// Guards against the repeat of a BEGIN's reply that hides the refusal of the next BEGIN: the statement
/// after it ran outside the transaction, and its caller was told that nothing is kept.
#[test]
fn a_repeated_start_of_a_transaction_is_not_that_of_the_next_one() {
    let mut client = Client::open(false);
    client.transact("t1", 1).expect("its own replies");
    let mut wire = client.wire();
    let begun = wire.sent.first().expect("a transaction was started").clone();
    assert_eq!(begun.block, BlockState::Open);
    wire.repeats.push((0, begun));
    wire.begin_fails = true;
    drop(wire);
    client.transact("t2", 1).expect("nothing ran outside its transaction");
    assert!(!client.wire().has_run("t2-0"));
}
