//! Random schedules of members that send replies twice, the second time late.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use futures::FutureExt;
use proptest::prelude::*;
use proptest::sample::Index;

use snipehead_core::log_position::LogPosition;
use snipehead_core::member::CommandBody;
use snipehead_core::member::IdleState;
use snipehead_core::member::MemberCommand;
use snipehead_core::member::MemberConnection;
use snipehead_core::member::MemberError;
use snipehead_core::member::MemberReply;
use snipehead_core::member::MemberStatus;
use snipehead_core::outcome::BlockState;
use snipehead_core::outcome::Failure;
use snipehead_core::outcome::Refusal;
use snipehead_core::service::matched_connection::MatchedConnection;

/// What happens on one connection.
#[derive(Clone, Debug)]
enum Event {
    /// A session sets a value and runs a statement, which fails if `fails`.
    Run { is_in_transaction: bool, sets_value: bool, fails: bool },
    /// A probe asks for the status.
    Probe,
    /// One of the earlier replies comes again before the next reply, after `skipped` more replies.
    Repeat { which: Index, skipped: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (any::<bool>(), any::<bool>(), prop::bool::weighted(0.1)).prop_map(
            |(is_in_transaction, sets_value, fails)| {
                Event::Run { is_in_transaction, sets_value, fails }
            }
        ),
        1 => Just(Event::Probe),
        2 => (any::<Index>(), 0..4_usize)
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
    block: Option<BlockState>,
    fails: bool,
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
}

struct RepeatingConnection(Arc<Mutex<Wire>>);

/// Returns the reply of a member to a command, with a signature that is unique to the command's id.
fn reply_to(command: &MemberCommand, wire: &mut Wire) -> MemberReply {
    let signed = |id: &str| Ok(format!("signature-of-{id}").into());
    let block = wire.block.unwrap_or(BlockState::Idle);
    let (rows, result, block) = match command {
        MemberCommand::Run { .. } if std::mem::take(&mut wire.fails) => {
            (Vec::new(), Err(Refusal::new(Failure::Busy, "")), block)
        }
        MemberCommand::Run { id, .. } => (vec![format!("row-of-{id}").into()], signed(id), block),
        MemberCommand::Commit { id } => (Vec::new(), signed(id), BlockState::Idle),
        MemberCommand::Begin { .. } => (Vec::new(), Ok("-".into()), BlockState::Open),
        MemberCommand::Rollback => (Vec::new(), Ok("-".into()), BlockState::Idle),
        MemberCommand::Status => (vec!["status".into()], Ok("-".into()), block),
        _ => (Vec::new(), Ok("-".into()), block),
    };
    wire.block = Some(block);
    MemberReply { rows, result, block, position: Some(LogPosition::new(1, 1)) }
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

    fn idle_state(&mut self) -> IdleState {
        let wire = self.0.lock().expect("the mutex is not poisoned");
        if wire.replies.is_empty() { IdleState::Quiet } else { IdleState::HasInput }
    }

    fn decode_status(&self, _: &MemberReply) -> Option<MemberStatus> {
        None
    }
}

/// The commands of one event, and what the last one must be answered with.
fn commands_of(event: &Event, id: &str) -> Vec<MemberCommand> {
    let Event::Run { is_in_transaction, sets_value, .. } = event else {
        return vec![MemberCommand::Status, MemberCommand::Reset];
    };
    let mut commands = Vec::new();
    if *sets_value {
        commands.push(MemberCommand::Set { name: "v".into(), value: id.into() });
    }
    if *is_in_transaction {
        let begin = format!("{id}b").as_str().into();
        commands.push(MemberCommand::Begin { id: begin, is_read_only: false, floor: None });
    }
    let body = CommandBody::Text("FETCH a".into());
    commands.push(MemberCommand::Run { id: id.into(), body, floor: None });
    commands
}

fn open() -> (Arc<Mutex<Wire>>, MatchedConnection) {
    let wire = Arc::<Mutex<Wire>>::default();
    (wire.clone(), MatchedConnection::new(Box::new(RepeatingConnection(wire))))
}

fn exchange(
    connection: &mut MatchedConnection,
    commands: &[MemberCommand],
) -> Result<Vec<MemberReply>, MemberError> {
    connection.exchange(commands).now_or_never().expect("the member answers at once")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against a repeated reply that is taken as that of another statement, in the same session
    /// or in one that uses the connection later.
    #[test]
    fn each_statement_gets_its_own_reply_or_none(
        events in prop::collection::vec(event(), 1..80),
        checks_idle in any::<bool>(),
    ) {
        let (mut wire, mut connection) = open();
        for (number, event) in events.iter().enumerate() {
            if let Event::Repeat { which, skipped } = event {
                let mut wire = wire.lock().expect("the mutex is not poisoned");
                if !wire.sent.is_empty() {
                    let reply = wire.sent[which.index(wire.sent.len())].clone();
                    wire.repeats.push((*skipped, reply));
                }
                continue;
            }
            if checks_idle && connection.idle_state() != IdleState::Quiet {
                (wire, connection) = open();
            }
            let fails = matches!(event, Event::Run { fails: true, .. });
            wire.lock().expect("the mutex is not poisoned").fails = fails;
            let id = format!("s{number}");
            let commands = commands_of(event, &id);
            let Ok(replies) = exchange(&mut connection, &commands) else {
                (wire, connection) = open();
                continue;
            };
            if !matches!(event, Event::Run { .. }) {
                continue;
            }
            let Some(reply) = replies.last() else { unreachable!("each command has a reply") };
            match &reply.result {
                Ok(signature) => {
                    prop_assert!(!fails);
                    prop_assert_eq!(&**signature, format!("signature-of-{id}"));
                    prop_assert_eq!(&reply.rows, &[format!("row-of-{id}").into()]);
                }
                Err(_) => prop_assert!(fails, "{} ran, but a failure was delivered", id),
            }
            if matches!(event, Event::Run { is_in_transaction: true, .. }) {
                let commit = MemberCommand::Commit { id: format!("{id}c").into() };
                match exchange(&mut connection, &[commit]) {
                    Ok(replies) => {
                        let signature = replies[0].result.as_ref().expect("a commit succeeds");
                        prop_assert_eq!(&**signature, format!("signature-of-{id}c"));
                    }
                    Err(_) => (wire, connection) = open(),
                }
            }
        }
    }
}

/// Guards against a repeat that costs the next statement its answer, although its own reply follows.
#[test]
fn a_recognized_repeat_is_skipped() {
    let (wire, mut connection) = open();
    for number in 0..3 {
        let id = format!("s{number}");
        let run = Event::Run { is_in_transaction: false, sets_value: false, fails: false };
        let replies = exchange(&mut connection, &commands_of(&run, &id)).expect("its own reply");
        assert_eq!(replies[0].rows, [format!("row-of-{id}").into()]);
        let mut wire = wire.lock().expect("the mutex is not poisoned");
        let reply = wire.sent.last().expect("a reply was sent").clone();
        wire.repeats.push((0, reply));
    }
    assert_eq!(connection.repeats(), 2);
    assert!(!connection.is_reusable());
}
