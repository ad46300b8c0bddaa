//! A PostgreSQL session on a member.

mod control;

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
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::ParseComplete;
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

use self::control::status_columns;
use crate::stand_in::member::Member;
use crate::stand_in::member::parameter::decode_parameter;
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

/// Parameter by which a member reports the position of a commit, as `term/position`.
pub const COMMIT_PARAMETER: &str = "group.commit";

const MAX_MESSAGE_BYTES: usize = 64 << 20;
const STEP_DOWN_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

type Wire = Framed<TcpStream, FrontendCodec>;

struct Prepared {
    statement: Option<MemberStatement>,
    type_oids: Vec<u32>,
}

struct Portal {
    statement: Option<MemberStatement>,
    values: Vec<Value>,
    formats: Vec<i16>,
}

struct OpenTransaction {
    is_explicit: bool,
    writes: Option<Vec<LoggedStatement>>,
    term: u64,
}

/// One session.
pub struct Session {
    member: Arc<Member>,
    connection: Connection,
    _data_folder: Arc<TempDir>,
    data_generation: u64,
    process_id: i32,
    is_cancelled: Arc<AtomicBool>,
    transaction: Option<OpenTransaction>,
    is_failed: bool,
    is_obsolete: bool,
    prepared: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.abandon();
        self.member.registry.remove(self.process_id);
    }
}

impl Session {
    /// Serves one connection until it ends.
    pub async fn serve(member: Arc<Member>, stream: TcpStream, process_id: i32) {
        let mut wire = Framed::new(stream, FrontendCodec::new(MAX_MESSAGE_BYTES));
        let Some(mut session) = Self::start(&member, &mut wire, process_id).await else {
            return;
        };
        while let Some(Ok(message)) = wire.next().await {
            if matches!(message, Request::Terminate(_)) {
                return;
            }
            if session.answer(&mut wire, message).await.is_none() || session.is_obsolete {
                return;
            }
        }
    }

    async fn start(member: &Arc<Member>, wire: &mut Wire, process_id: i32) -> Option<Self> {
        let startup = loop {
            match wire.next().await?.ok()? {
                Request::SslNegotiation(pgwire::messages::SslNegotiationMetaMessage::None) => {
                    wire.codec_mut().expect_startup();
                }
                Request::SslNegotiation(_) => {
                    wire.send(Reply::SslResponse(SslResponse::Refuse)).await.ok()?;
                }
                Request::CancelRequest(cancel) => {
                    member.registry.cancel(cancel.pid, &cancel.secret_key);
                    return None;
                }
                Request::Startup(startup) => break startup,
                _ => return None,
            }
        };
        wire.codec_mut().expect_messages();
        let ask = Reply::Authentication(Authentication::CleartextPassword);
        wire.send(ask).await.ok()?;
        let Request::PasswordMessageFamily(password) = wire.next().await?.ok()? else {
            return None;
        };
        let password = password.into_password().ok()?.password;
        let user = startup.parameters.get("user").cloned().unwrap_or_default();
        if user != member.options.user || password != member.options.password {
            let error = SqlError::fatal(sql_state::INVALID_KEY, "wrong user or password");
            wire.send(error.into_message()).await.ok()?;
            return None;
        }
        if member.registry.len() >= member.options.max_connections {
            let error = SqlError::fatal(sql_state::NO_CAPACITY, "too many connections");
            wire.send(error.into_message()).await.ok()?;
            return None;
        }
        let session = Self::open(member.clone(), process_id).ok()?;
        let secret = process_id ^ 0x5eed;
        session.register(secret);
        wire.feed(Reply::Authentication(Authentication::Ok)).await.ok()?;
        for (name, value) in [("server_version", "16.0"), ("client_encoding", "UTF8")] {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            wire.feed(Reply::ParameterStatus(status)).await.ok()?;
        }
        let key = BackendKeyData::new(process_id, SecretKey::I32(secret));
        wire.feed(Reply::BackendKeyData(key)).await.ok()?;
        wire.send(session.ready()).await.ok()?;
        Some(session)
    }

    fn open(member: Arc<Member>, process_id: i32) -> rusqlite::Result<Self> {
        let data_generation = lock(&member.core).data_generation;
        let is_cancelled = Arc::new(AtomicBool::new(false));
        let (connection, data_folder) = open_data(&member, &is_cancelled)?;
        Ok(Self {
            member,
            connection,
            _data_folder: data_folder,
            data_generation,
            process_id,
            is_cancelled,
            transaction: None,
            is_failed: false,
            is_obsolete: false,
            prepared: HashMap::new(),
            portals: HashMap::new(),
        })
    }

    fn register(&self, secret: i32) {
        let handle = CancelHandle {
            secret,
            is_cancelled: self.is_cancelled.clone(),
            interrupt: self.connection.get_interrupt_handle(),
        };
        self.member.registry.add(self.process_id, handle);
    }

    fn ready(&self) -> Reply {
        let status = match (&self.transaction, self.is_failed) {
            (_, true) => TransactionStatus::Error,
            (Some(open), false) if open.is_explicit => TransactionStatus::Transaction,
            _ => TransactionStatus::Idle,
        };
        Reply::ReadyForQuery(ReadyForQuery::new(status))
    }

    /// Answers one message; `None` ends the session.
    async fn answer(&mut self, wire: &mut Wire, message: Request) -> Option<()> {
        self.is_cancelled.store(false, Ordering::SeqCst);
        match message {
            Request::Query(query) => {
                let replies = tokio::task::block_in_place(|| self.run_simple(&query.query));
                for reply in replies {
                    wire.feed(reply).await.ok()?;
                }
                wire.send(self.ready()).await.ok()
            }
            Request::Sync(_) => {
                let mut replies = Vec::new();
                let outcome = tokio::task::block_in_place(|| self.end_implicit(&mut replies));
                if let Err(error) = outcome {
                    replies.push(error.into_message());
                }
                replies.push(self.ready());
                for reply in replies {
                    wire.feed(reply).await.ok()?;
                }
                wire.flush().await.ok()
            }
            Request::Flush(_) => wire.flush().await.ok(),
            other => self.answer_extended(wire, other).await,
        }
    }

    async fn answer_extended(&mut self, wire: &mut Wire, message: Request) -> Option<()> {
        let mut replies = Vec::new();
        let outcome = tokio::task::block_in_place(|| self.step_extended(message, &mut replies));
        let failed = outcome.is_err();
        if let Err(error) = outcome {
            self.fail();
            replies.push(error.into_message());
        }
        for reply in replies {
            wire.feed(reply).await.ok()?;
        }
        if failed {
            wire.flush().await.ok()?;
            while !matches!(wire.next().await?.ok()?, Request::Sync(_)) {}
            wire.send(self.ready()).await.ok()?;
        }
        Some(())
    }

    fn step_extended(
        &mut self,
        message: Request,
        replies: &mut Vec<Reply>,
    ) -> Result<(), SqlError> {
        match message {
            Request::Parse(parse) => self.parse(parse, replies),
            Request::Bind(bind) => self.bind(bind, replies),
            Request::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                match describe.target_type {
                    b'S' => self.describe_statement(&name, replies),
                    _ => self.describe_portal(&name, replies),
                }
            }
            Request::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let portal = self.portals.get(&name).ok_or_else(|| unknown_name(&name))?;
                let Some(statement) = portal.statement.clone() else {
                    replies.push(Reply::EmptyQueryResponse(EmptyQueryResponse::new()));
                    return Ok(());
                };
                let (values, formats) = (portal.values.clone(), portal.formats.clone());
                self.execute(&statement, &values, &formats, false, replies)
            }
            Request::Close(close) => {
                let name = close.name.unwrap_or_default();
                match close.target_type {
                    b'S' => drop(self.prepared.remove(&name)),
                    _ => drop(self.portals.remove(&name)),
                }
                replies.push(Reply::CloseComplete(CloseComplete::new()));
                Ok(())
            }
            _ => Err(SqlError::new(
                sql_state::NOT_SUPPORTED,
                "message is not supported by this member",
            )),
        }
    }

    fn parse(&mut self, parse: Parse, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        let mut statements = statement::parse(&parse.query)?;
        if statements.len() > 1 {
            return Err(SqlError::new(
                sql_state::SYNTAX_ERROR,
                "cannot insert multiple commands into a prepared statement",
            ));
        }
        let prepared = Prepared { statement: statements.pop(), type_oids: parse.type_oids };
        self.prepared.insert(parse.name.unwrap_or_default(), prepared);
        replies.push(Reply::ParseComplete(ParseComplete::new()));
        Ok(())
    }

    fn bind(&mut self, bind: Bind, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.prepared.get(&name).ok_or_else(|| unknown_name(&name))?;
        let decode = |(index, bytes): (usize, &Option<bytes::Bytes>)| {
            let format = match bind.parameter_format_codes.as_slice() {
                [] => 0,
                [all] => *all,
                each => each.get(index).copied().unwrap_or(0),
            };
            let oid = prepared.type_oids.get(index).copied().unwrap_or(0);
            decode_parameter(bytes.as_deref(), format, oid)
        };
        let values = bind.parameters.iter().enumerate().map(decode).collect();
        let portal = Portal {
            statement: prepared.statement.clone(),
            values,
            formats: bind.result_column_format_codes,
        };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        replies.push(Reply::BindComplete(BindComplete::new()));
        Ok(())
    }

    fn describe_statement(&mut self, name: &str, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        self.check_data()?;
        let prepared = self.prepared.get(name).ok_or_else(|| unknown_name(name))?;
        let types = match &prepared.statement {
            Some(statement) => parameter_types(&self.connection, statement, &prepared.type_oids)?,
            None => Vec::new(),
        };
        replies.push(Reply::ParameterDescription(ParameterDescription::new(types)));
        replies.push(describe_columns(&self.connection, prepared.statement.as_ref(), &[])?);
        Ok(())
    }

    fn describe_portal(&mut self, name: &str, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        self.check_data()?;
        let portal = self.portals.get(name).ok_or_else(|| unknown_name(name))?;
        let statement = portal.statement.as_ref();
        replies.push(describe_columns(&self.connection, statement, &portal.formats)?);
        Ok(())
    }

    fn run_simple(&mut self, sql: &str) -> Vec<Reply> {
        let mut replies = Vec::new();
        if let Err(error) = self.run_statements(sql, &mut replies) {
            self.fail();
            replies.push(error.into_message());
        }
        replies
    }

    fn run_statements(&mut self, sql: &str, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        let statements = statement::parse(sql)?;
        if statements.is_empty() {
            replies.push(Reply::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        let count = statements.len();
        for (index, statement) in statements.iter().enumerate() {
            let is_last = index + 1 == count;
            let mut own = Vec::new();
            self.execute(statement, &[], &[], true, &mut own)?;
            if is_last {
                let tag = own.pop();
                replies.append(&mut own);
                self.end_implicit(replies)?;
                replies.extend(tag);
            } else {
                replies.append(&mut own);
            }
        }
        Ok(())
    }

    fn execute(
        &mut self,
        statement: &MemberStatement,
        values: &[Value],
        formats: &[i16],
        with_columns: bool,
        replies: &mut Vec<Reply>,
    ) -> Result<(), SqlError> {
        let ends_block = matches!(statement.kind, StatementKind::Commit | StatementKind::Rollback);
        if self.is_failed && !ends_block {
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
            StatementKind::Control(call) => self.control(call, replies)?,
            StatementKind::Read => {
                self.check_data()?;
                let rows = self.run_sql(statement, values, formats, with_columns, replies)?;
                format!("SELECT {rows}")
            }
            StatementKind::Write(word) => {
                self.write(statement, word, values, formats, with_columns, replies)?
            }
        };
        replies.push(Reply::CommandComplete(CommandComplete::new(tag)));
        Ok(())
    }

    fn write(
        &mut self,
        statement: &MemberStatement,
        word: &str,
        values: &[Value],
        formats: &[i16],
        with_columns: bool,
        replies: &mut Vec<Reply>,
    ) -> Result<String, SqlError> {
        if self.transaction.is_none() {
            self.begin(false, true)?;
        }
        let open = self.transaction.as_ref();
        if open.is_none_or(|open| open.writes.is_none()) {
            return Err(read_only());
        }
        let rows = self.run_sql(statement, values, formats, with_columns, replies)?;
        let changed = self.connection.changes().max(rows as u64);
        let logged = LoggedStatement {
            sql: statement.sql.clone(),
            parameters: values.iter().map(to_logged).collect(),
        };
        if let Some(writes) = self.transaction.as_mut().and_then(|open| open.writes.as_mut()) {
            writes.push(logged);
        }
        Ok(match word {
            "INSERT 0" | "UPDATE" | "DELETE" => format!("{word} {changed}"),
            _ => word.to_owned(),
        })
    }

    fn run_sql(
        &self,
        statement: &MemberStatement,
        values: &[Value],
        formats: &[i16],
        with_columns: bool,
        replies: &mut Vec<Reply>,
    ) -> Result<usize, SqlError> {
        let mut prepared = self.connection.prepare_cached(&statement.sql).map_err(to_sql_error)?;
        let result = result_set::run(&mut prepared, values, formats).map_err(to_sql_error)?;
        if with_columns && !result.columns.is_empty() {
            replies.push(result_set::row_description(&result.columns));
        }
        let count = result.rows.len();
        replies.extend(result.rows);
        Ok(count)
    }

    fn begin(&mut self, is_explicit: bool, may_write: bool) -> Result<(), SqlError> {
        if let Some(open) = self.transaction.as_mut() {
            open.is_explicit |= is_explicit;
            return Ok(());
        }
        self.check_data()?;
        let may_write = may_write && self.enter_write(is_explicit)?;
        let sql = if may_write { "BEGIN IMMEDIATE" } else { "BEGIN" };
        if let Err(error) = self.connection.execute_batch(sql) {
            if may_write {
                lock(&self.member.core).open_writes -= 1;
            }
            return Err(to_sql_error(error));
        }
        let term = lock(&self.member.core).accepted_term();
        self.transaction =
            Some(OpenTransaction { is_explicit, writes: may_write.then(Vec::new), term });
        Ok(())
    }

    /// Counts a transaction that writes; a block on a replica is opened for reading only.
    fn enter_write(&self, is_explicit: bool) -> Result<bool, SqlError> {
        let mut core = lock(&self.member.core);
        if core.is_primary() && !core.is_stepping_down {
            core.open_writes += 1;
            return Ok(true);
        }
        if is_explicit && !core.is_primary() {
            return Ok(false);
        }
        Err(read_only())
    }

    fn end_implicit(&mut self, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        match &self.transaction {
            Some(open) if !open.is_explicit => self.commit(replies),
            _ => Ok(()),
        }
    }

    fn commit(&mut self, replies: &mut Vec<Reply>) -> Result<(), SqlError> {
        let Some(open) = self.transaction.take() else {
            return Ok(());
        };
        let Some(writes) = open.writes else {
            return self.connection.execute_batch("COMMIT").map_err(to_sql_error);
        };
        let mut core = lock(&self.member.core);
        core.open_writes -= 1;
        let is_current = core.is_primary()
            && core.accepted_term() == open.term
            && core.data_generation == self.data_generation;
        if !is_current {
            let _ = self.connection.execute_batch("ROLLBACK");
            return Err(SqlError::new(
                sql_state::SERIALIZATION_FAILURE,
                "the member is no longer primary; the transaction was rolled back",
            ));
        }
        if let Err(error) = self.connection.execute_batch("COMMIT") {
            let _ = self.connection.execute_batch("ROLLBACK");
            return Err(to_sql_error(error));
        }
        if writes.is_empty() {
            return Ok(());
        }
        let position = core.append_own(writes);
        drop(core);
        self.member.changed.notify_waiters();
        let value = format!("{}/{position}", open.term);
        let status = ParameterStatus::new(COMMIT_PARAMETER.to_owned(), value);
        replies.push(Reply::ParameterStatus(status));
        Ok(())
    }

    fn rollback(&mut self) -> String {
        self.abandon();
        self.is_failed = false;
        "ROLLBACK".to_owned()
    }

    fn fail(&mut self) {
        let is_explicit = self.transaction.as_ref().is_some_and(|open| open.is_explicit);
        self.abandon();
        self.is_failed = is_explicit || self.is_failed;
    }

    fn abandon(&mut self) {
        if let Some(open) = self.transaction.take() {
            let _ = self.connection.execute_batch("ROLLBACK");
            if open.writes.is_some() {
                lock(&self.member.core).open_writes -= 1;
            }
        }
    }

    /// Ends the session's use of data that the member has since made anew.
    fn check_data(&mut self) -> Result<(), SqlError> {
        if lock(&self.member.core).data_generation == self.data_generation {
            return Ok(());
        }
        self.is_obsolete = true;
        Err(SqlError::fatal(
            sql_state::CANNOT_CONNECT,
            "the member has made its data anew; connect again",
        ))
    }
}

fn open_data(
    member: &Member,
    is_cancelled: &Arc<AtomicBool>,
) -> rusqlite::Result<(Connection, Arc<TempDir>)> {
    let store = lock(&member.store);
    let connection = store.connect()?;
    add_functions(&connection, is_cancelled.clone())?;
    Ok((connection, store.keep()))
}

/// Adds `pg_sleep(seconds)`, which ends early when the session is cancelled.
fn add_functions(connection: &Connection, is_cancelled: Arc<AtomicBool>) -> rusqlite::Result<()> {
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

fn parameter_types(
    connection: &Connection,
    statement: &MemberStatement,
    declared: &[u32],
) -> Result<Vec<u32>, SqlError> {
    let prepared = connection.prepare_cached(&statement.sql).map_err(to_sql_error)?;
    let count = prepared.parameter_count().max(declared.len());
    let type_of = |index: usize| match declared.get(index) {
        None | Some(0) => result_set::TEXT_OID,
        Some(oid) => *oid,
    };
    Ok((0..count).map(type_of).collect())
}

fn describe_columns(
    connection: &Connection,
    statement: Option<&MemberStatement>,
    formats: &[i16],
) -> Result<Reply, SqlError> {
    let Some(statement) = statement else {
        return Ok(Reply::NoData(NoData::new()));
    };
    let columns = match statement.kind {
        StatementKind::Read | StatementKind::Write(_) => {
            let prepared = connection.prepare_cached(&statement.sql).map_err(to_sql_error)?;
            result_set::describe(&prepared, formats)
        }
        StatementKind::Control(_) => status_columns(),
        _ => Vec::new(),
    };
    Ok(match columns.is_empty() {
        true => Reply::NoData(NoData::new()),
        false => result_set::row_description(&columns),
    })
}

fn unknown_name(name: &str) -> SqlError {
    SqlError::new(
        sql_state::UNKNOWN_STATEMENT,
        format!("prepared statement \"{name}\" does not exist"),
    )
}

fn read_only() -> SqlError {
    SqlError::new(
        sql_state::READ_ONLY,
        "cannot execute in a read-only transaction: the member is not the primary",
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
