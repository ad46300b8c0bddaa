//! A PostgreSQL session on a member.

mod control;
mod extended;
mod transaction;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::SinkExt;
use futures::StreamExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::SslResponse;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;
use rusqlite::Connection;
use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use self::extended::Portal;
use self::extended::PreparedStatement;
use self::transaction::OpenTransaction;
use crate::stand_in::member::Member;
use crate::stand_in::member::parameter::to_logged;
use crate::stand_in::member::result_set;
use crate::stand_in::member::session_registry::CancelHandle;
use crate::stand_in::member::statement;
use crate::stand_in::member::statement::LoggedStatement;
use crate::stand_in::member::statement::MemberStatement;
use crate::stand_in::member::statement::StatementKind;
use crate::sync::lock;
use crate::wire::frontend_codec::FrontendCodec;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Parameter with which a member reports the log position of a commit, as `term/position`.
pub const COMMIT_PARAMETER: &str = "group.commit";

/// Maximum size of a message from a client.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Timeout for open write transactions to end before a planned failover.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks of a condition that is not signalled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

type FramedStream = Framed<TcpStream, FrontendCodec>;

/// State of a session.
pub struct Session {
    member: Arc<Member>,
    connection: Connection,
    /// Keeps the data file from being removed while the session uses it.
    _data_directory: Arc<TempDir>,
    /// Generation of the data file that the session uses.
    data_generation: u64,
    process_id: i32,
    is_cancelled: Arc<AtomicBool>,
    transaction: Option<OpenTransaction>,
    /// Whether a statement of the transaction block failed, so that only its end is accepted.
    is_failed: bool,
    /// Whether the member has recreated its data file, so that the session must end.
    has_stale_data: bool,
    prepared: HashMap<String, PreparedStatement>,
    portals: HashMap<String, Portal>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.discard_transaction();
        self.member.registry.remove(self.process_id);
    }
}

impl Session {
    /// Serves one connection until it ends.
    pub async fn serve(member: Arc<Member>, stream: TcpStream, process_id: i32) {
        let mut framed = Framed::new(stream, FrontendCodec::new(MAX_MESSAGE_BYTES));
        let Some(mut session) = Self::start(&member, &mut framed, process_id).await else {
            return;
        };
        while let Some(Ok(message)) = framed.next().await {
            if matches!(message, Request::Terminate(_)) {
                return;
            }
            if session.handle_message(&mut framed, message).await.is_none()
                || session.has_stale_data
            {
                return;
            }
        }
    }

    /// Handles the start-up of a connection; returns `None` if no session results from it.
    async fn start(
        member: &Arc<Member>,
        framed: &mut FramedStream,
        process_id: i32,
    ) -> Option<Self> {
        let startup = loop {
            match framed.next().await?.ok()? {
                Request::SslNegotiation(pgwire::messages::SslNegotiationMetaMessage::None) => {
                    framed.codec_mut().expect_startup();
                }
                Request::SslNegotiation(_) => {
                    framed.send(Reply::SslResponse(SslResponse::Refuse)).await.ok()?;
                }
                Request::CancelRequest(cancel) => {
                    member.registry.cancel(cancel.pid, &cancel.secret_key);
                    return None;
                }
                Request::Startup(startup) => break startup,
                _ => return None,
            }
        };
        framed.codec_mut().expect_messages();
        let password_request = Reply::Authentication(Authentication::CleartextPassword);
        framed.send(password_request).await.ok()?;
        let Request::PasswordMessageFamily(password) = framed.next().await?.ok()? else {
            return None;
        };
        let password = password.into_password().ok()?.password;
        let user = startup.parameters.get("user").cloned().unwrap_or_default();
        if user != member.options.user || password != member.options.password {
            let error = SqlError::fatal(sql_state::INVALID_KEY, "wrong user or password");
            framed.send(error.into_message()).await.ok()?;
            return None;
        }
        if member.registry.len() >= member.options.max_connections {
            let error = SqlError::fatal(sql_state::NO_CAPACITY, "too many connections");
            framed.send(error.into_message()).await.ok()?;
            return None;
        }
        let session = Self::open(member.clone(), process_id).ok()?;
        let secret = process_id ^ 0x5eed;
        session.register_session(secret);
        framed.feed(Reply::Authentication(Authentication::Ok)).await.ok()?;
        for (name, value) in [("server_version", "16.0"), ("client_encoding", "UTF8")] {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            framed.feed(Reply::ParameterStatus(status)).await.ok()?;
        }
        let key = BackendKeyData::new(process_id, SecretKey::I32(secret));
        framed.feed(Reply::BackendKeyData(key)).await.ok()?;
        framed.send(session.ready()).await.ok()?;
        Some(session)
    }

    fn open(member: Arc<Member>, process_id: i32) -> rusqlite::Result<Self> {
        let data_generation = lock(&member.core).data_generation;
        let is_cancelled = Arc::new(AtomicBool::new(false));
        let (connection, data_directory) = open_data(&member, &is_cancelled)?;
        Ok(Self {
            member,
            connection,
            _data_directory: data_directory,
            data_generation,
            process_id,
            is_cancelled,
            transaction: None,
            is_failed: false,
            has_stale_data: false,
            prepared: HashMap::new(),
            portals: HashMap::new(),
        })
    }

    fn register_session(&self, secret: i32) {
        let handle = CancelHandle {
            secret,
            is_cancelled: self.is_cancelled.clone(),
            interrupt: self.connection.get_interrupt_handle(),
        };
        self.member.registry.add(self.process_id, handle);
    }

    /// Returns the message that the session is ready for the next request.
    fn ready(&self) -> Reply {
        let status = match (&self.transaction, self.is_failed) {
            (_, true) => TransactionStatus::Error,
            (Some(open), false) if open.is_explicit => TransactionStatus::Transaction,
            _ => TransactionStatus::Idle,
        };
        Reply::ReadyForQuery(ReadyForQuery::new(status))
    }

    /// Handles a message; returns `None` if the connection failed, which ends the session.
    async fn handle_message(&mut self, framed: &mut FramedStream, message: Request) -> Option<()> {
        self.is_cancelled.store(false, Ordering::SeqCst);
        match message {
            Request::Query(query) => {
                let replies = tokio::task::block_in_place(|| self.run_simple_query(&query.query));
                for reply in replies {
                    framed.feed(reply).await.ok()?;
                }
                framed.send(self.ready()).await.ok()
            }
            Request::Sync(_) => {
                let mut replies = Vec::new();
                let outcome = tokio::task::block_in_place(|| self.commit_implicit(&mut replies));
                if let Err(error) = outcome {
                    replies.push(error.into_message());
                }
                replies.push(self.ready());
                for reply in replies {
                    framed.feed(reply).await.ok()?;
                }
                framed.flush().await.ok()
            }
            Request::Flush(_) => framed.flush().await.ok(),
            other => self.handle_extended(framed, other).await,
        }
    }

    fn run_simple_query(&mut self, sql: &str) -> Vec<Reply> {
        let mut replies = Vec::new();
        if let Err(error) = self.run_statements(sql, &mut replies) {
            self.fail_transaction();
            replies.push(error.into_message());
        }
        replies
    }

    /// Runs the statements of a query string. The last one commits an implicit transaction before
    /// its command tag is sent, so that the tag acknowledges the commit.
    fn run_statements(&mut self, sql: &str, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        let statements = statement::parse(sql)?;
        if statements.is_empty() {
            replies.push(Reply::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        let count = statements.len();
        for (index, statement) in statements.iter().enumerate() {
            let is_last = index + 1 == count;
            let mut statement_replies = Vec::new();
            self.execute(statement, &[], &[], true, &mut statement_replies)?;
            if is_last {
                let tag = statement_replies.pop();
                replies.append(&mut statement_replies);
                self.commit_implicit(replies)?;
                replies.extend(tag);
            } else {
                replies.append(&mut statement_replies);
            }
        }
        Ok(())
    }

    fn execute(
        &mut self,
        statement: &MemberStatement,
        values: &[Value],
        formats: &[i16],
        describes_rows: bool,
        replies: &mut Vec<Reply>,
    ) -> Result<(), SqlError> {
        let ends_transaction =
            matches!(statement.kind, StatementKind::Commit | StatementKind::Rollback);
        if self.is_failed && !ends_transaction {
            return Err(SqlError::new(
                sql_state::IN_FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        let tag = match &statement.kind {
            StatementKind::Begin { is_read_only } => {
                self.begin(true, !is_read_only)?;
                "BEGIN".to_owned()
            }
            StatementKind::Commit => match self.is_failed {
                true => self.rollback(),
                false => {
                    self.commit(replies)?;
                    "COMMIT".to_owned()
                }
            },
            StatementKind::Rollback => self.rollback(),
            StatementKind::Setting(tag) => (*tag).to_owned(),
            StatementKind::Control(call) => self.run_control_call(call, replies)?,
            StatementKind::Constant | StatementKind::Read => {
                if statement.kind == StatementKind::Read {
                    self.check_data_generation()?;
                }
                let rows = self.run_sql(statement, values, formats, describes_rows, replies)?;
                format!("SELECT {rows}")
            }
            StatementKind::Write(tag_prefix) => {
                self.write(statement, tag_prefix, values, formats, describes_rows, replies)?
            }
        };
        replies.push(Reply::CommandComplete(CommandComplete::new(tag)));
        Ok(())
    }

    /// Runs a write in the open transaction, or in an implicit one, and adds it to the writes to
    /// log.
    fn write(
        &mut self,
        statement: &MemberStatement,
        tag_prefix: &str,
        values: &[Value],
        formats: &[i16],
        describes_rows: bool,
        replies: &mut Vec<Reply>,
    ) -> Result<String, SqlError> {
        if self.transaction.is_none() {
            self.begin(false, true)?;
        }
        let open = self.transaction.as_ref();
        if open.is_none_or(|open| open.writes.is_none()) {
            return Err(read_only());
        }
        let rows = self.run_sql(statement, values, formats, describes_rows, replies)?;
        let changed = self.connection.changes().max(rows as u64);
        let logged = LoggedStatement {
            sql: statement.sql.clone(),
            parameters: values.iter().map(to_logged).collect(),
        };
        if let Some(writes) = self.transaction.as_mut().and_then(|open| open.writes.as_mut()) {
            writes.push(logged);
        }
        Ok(match tag_prefix {
            "INSERT 0" | "UPDATE" | "DELETE" => format!("{tag_prefix} {changed}"),
            _ => tag_prefix.to_owned(),
        })
    }

    fn run_sql(
        &self,
        statement: &MemberStatement,
        values: &[Value],
        formats: &[i16],
        describes_rows: bool,
        replies: &mut Vec<Reply>,
    ) -> Result<usize, SqlError> {
        let mut prepared = self.connection.prepare_cached(&statement.sql).map_err(to_sql_error)?;
        let result = result_set::run(&mut prepared, values, formats).map_err(to_sql_error)?;
        if describes_rows && !result.columns.is_empty() {
            replies.push(result_set::row_description(&result.columns));
        }
        let count = result.rows.len();
        replies.extend(result.rows);
        Ok(count)
    }

    /// Returns an error, and marks the session as stale, if the member has recreated its data file
    /// since the session started.
    fn check_data_generation(&mut self) -> Result<(), SqlError> {
        if lock(&self.member.core).data_generation == self.data_generation {
            return Ok(());
        }
        self.has_stale_data = true;
        Err(SqlError::fatal(
            sql_state::CANNOT_CONNECT,
            "the member has recreated its data file; connect again",
        ))
    }
}

fn open_data(
    member: &Member,
    is_cancelled: &Arc<AtomicBool>,
) -> rusqlite::Result<(Connection, Arc<TempDir>)> {
    let store = lock(&member.store);
    let connection = store.connect()?;
    add_pg_sleep(&connection, is_cancelled.clone())?;
    Ok((connection, store.directory()))
}

/// Adds the function `pg_sleep(seconds)`, which fails when its request is cancelled.
fn add_pg_sleep(connection: &Connection, is_cancelled: Arc<AtomicBool>) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8;
    connection.create_scalar_function("pg_sleep", 1, flags, move |context| {
        let seconds: f64 = context.get(0)?;
        let deadline = Instant::now() + Duration::from_secs_f64(seconds.max(0.0));
        while Instant::now() < deadline {
            if is_cancelled.load(Ordering::SeqCst) {
                return Err(rusqlite::Error::UserFunctionError("cancelled".into()));
            }
            std::thread::sleep(POLL_INTERVAL.min(deadline - Instant::now()));
        }
        Ok("")
    })
}

fn read_only() -> SqlError {
    SqlError::new(
        sql_state::READ_ONLY,
        "cannot write: read-only transaction, or the member is not primary or is stepping down",
    )
}

fn to_sql_error(error: rusqlite::Error) -> SqlError {
    let code = match error.sqlite_error_code() {
        Some(rusqlite::ErrorCode::ConstraintViolation) => "23505",
        Some(rusqlite::ErrorCode::OperationInterrupted) => sql_state::CANCELLED,
        Some(rusqlite::ErrorCode::DatabaseBusy | rusqlite::ErrorCode::DatabaseLocked) => "55P03",
        _ if error.to_string().contains("cancelled") => sql_state::CANCELLED,
        _ if error.to_string().contains("no such table") => "42P01",
        _ => "XX000",
    };
    SqlError::new(code, error.to_string())
}
