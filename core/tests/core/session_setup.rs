//! Session values and prepared statements on a connection that sessions share one after the other.

use std::collections::HashMap;

use async_trait::async_trait;
use proptest::prelude::*;

use snipehead_core::member::CommandBody;
use snipehead_core::member::IdleInput;
use snipehead_core::member::MemberCommand;
use snipehead_core::member::MemberConnection;
use snipehead_core::member::MemberError;
use snipehead_core::member::MemberReply;
use snipehead_core::member::MemberStatus;
use snipehead_core::name::Name;
use snipehead_core::service::connection::PooledConnection;
use snipehead_core::statement::Access;
use snipehead_core::statement::DataStatement;
use snipehead_core::statement::PreparedShape;
use snipehead_core::statement::StatementBody;

const SESSIONS: usize = 4;

/// A connection that is never used: only the commands are looked at.
struct NoConnection;

#[async_trait]
impl MemberConnection for NoConnection {
    async fn send(&mut self, _: &[MemberCommand]) -> Result<(), MemberError> {
        Err(MemberError::Timeout)
    }

    async fn receive(&mut self) -> Result<MemberReply, MemberError> {
        Err(MemberError::Timeout)
    }

    fn take_input(&mut self) -> IdleInput {
        IdleInput::Closed
    }

    fn decode_status(&self, _: &MemberReply) -> Option<MemberStatus> {
        None
    }
}

/// What the member knows of the connection.
#[derive(Default)]
struct Member {
    values: HashMap<Name, Name>,
    prepared: HashMap<u64, PreparedShape>,
}

#[derive(Clone, Debug)]
enum Event {
    /// A session sets a value.
    Set { session: usize, name: u8, value: u8 },
    /// A session runs a statement with a shape.
    Execute { session: usize, shape: PreparedShape, is_in_transaction: bool },
}

fn shape() -> impl Strategy<Value = PreparedShape> {
    let text = prop_oneof![
        2 => "[ab ]{1,4}",
        1 => "q( STORE [ab]){0,2}",
        1 => (0..200_u32).prop_map(|number| format!("q{number}")),
    ];
    (any::<bool>(), text).prop_map(|(is_write, text)| {
        let access = if is_write { Access::Write } else { Access::Read };
        PreparedShape { access, shape: text.into() }
    })
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0..SESSIONS, 0..3_u8, any::<u8>())
            .prop_map(|(session, name, value)| Event::Set { session, name, value }),
        4 => (0..SESSIONS, shape(), any::<bool>()).prop_map(|(session, shape, is_in_transaction)| {
            Event::Execute { session, shape, is_in_transaction }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a prepared statement that runs the shape of another session, and against values
    /// that another session has set.
    #[test]
    fn statements_run_with_the_shape_and_the_values_of_their_session(
        events in prop::collection::vec(event(), 1..300),
    ) {
        let mut connection = PooledConnection::new(Box::new(NoConnection), "families".into());
        let mut member = Member::default();
        let mut sessions: Vec<HashMap<Name, Name>> = vec![HashMap::new(); SESSIONS];
        for event in events {
            let (session, shape, is_in_transaction) = match event {
                Event::Set { session, name, value } => {
                    let (name, value) = (format!("v{name}"), value.to_string());
                    sessions[session].insert(name.into(), value.into());
                    continue;
                }
                Event::Execute { session, shape, is_in_transaction } => {
                    (session, shape, is_in_transaction)
                }
            };
            let values: Vec<(Name, Name)> =
                sessions[session].iter().map(|(name, value)| (name.clone(), value.clone())).collect();
            let body = StatementBody::Execute { shape: shape.clone(), arguments: "1 x".into() };
            let statement = DataStatement { id: "s".into(), access: shape.access, body };
            let mut commands = Vec::new();
            if is_in_transaction {
                commands = connection.setup_commands(&values, Some(&statement), true);
            }
            commands.extend(
                connection.statement_commands(&values, &statement, None, !is_in_transaction),
            );
            for command in commands {
                match command {
                    MemberCommand::Reset => member = Member::default(),
                    MemberCommand::Set { name, value } => drop(member.values.insert(name, value)),
                    MemberCommand::Prepare { prepared, shape } => {
                        prop_assert!(member.prepared.insert(prepared.0, shape).is_none());
                    }
                    MemberCommand::Run { body: CommandBody::Execute { prepared, .. }, .. } => {
                        prop_assert_eq!(member.prepared.get(&prepared.0), Some(&shape));
                        prop_assert_eq!(&member.values, &sessions[session]);
                    }
                    other => prop_assert!(false, "{:?}", other),
                }
            }
        }
    }
}
