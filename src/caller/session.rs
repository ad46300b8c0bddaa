//! The session of an authenticated caller.

mod batch;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use pgwire::error::PgWireError;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;
use tokio::io::AsyncWriteExt;

use crate::caller::classify::classify;
use crate::caller::guard::SessionGuard;
use crate::caller::local_statement;
use crate::caller::request_batch::BatchMessage;
use crate::caller::request_batch::RequestBatch;
use crate::caller::request_runner::RequestRunner;
use crate::caller::request_runner::SessionEnd;
use crate::caller::request_runner::flush;
use crate::caller::request_runner::send;
use crate::caller::session_bytes::SessionBytes;
use crate::caller::session_settings::REQUEST_ID_SETTING;
use crate::caller::session_settings::SessionSettings;
use crate::caller::startup::AuthenticatedCaller;
use crate::caller::startup::CallerWire;
use crate::caller::statement_class::StatementClass;
use crate::caller::transaction_block::TransactionBlock;
use crate::traffic::cancel_registry::CancelKey;
use crate::traffic::context::TrafficContext;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;
use snipehead_core::limits::kept_bytes::KeptBytes;
use snipehead_core::limits::report::Applied;

/// PostgreSQL version reported to callers. Drivers choose features by it.
const SERVER_VERSION: &str = "16.0";

/// Maximum size of an incomplete batch, in bytes.
const MAX_BATCH_BYTES: usize = 32 << 20;

/// Maximum number of prepared statements of a session.
const MAX_PREPARED: usize = 2_000;

/// Longest value of a setting, in bytes. A session has a dozen settings.
const MAX_SETTING_BYTES: usize = 16 << 10;

/// Longest wait for a caller to close the connection after its final error.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of query strings whose classification a session caches.
const MAX_CLASSIFIED: usize = 64;

/// Longest query string whose classification is cached, in bytes. Usual ones are shorter.
const MAX_CLASSIFIED_BYTES: usize = 4 << 10;

/// A prepared statement of the caller.
#[derive(Clone, Debug)]
struct PreparedStatement {
    query: String,
    type_oids: Vec<u32>,
    class: StatementClass,
    is_empty: bool,
}

/// Result of handling a message; an error ends the session.
type SessionResult = Result<(), SessionEnd>;

/// Why the rest of a batch is skipped up to its Sync.
enum BatchError {
    /// An error that the caller has not been sent yet.
    Report(SqlError),
    /// The caller has been sent the error.
    Reported,
    /// The session must end.
    End(SessionEnd),
}

impl From<SessionEnd> for BatchError {
    fn from(end: SessionEnd) -> Self {
        Self::End(end)
    }
}

/// The session of an authenticated caller.
pub struct CallerSession {
    context: Arc<TrafficContext>,
    runner: RequestRunner,
    prepared: HashMap<String, Arc<PreparedStatement>>,
    portals: HashMap<String, Arc<PreparedStatement>>,
    batch: Vec<Request>,
    batch_bytes: usize,
    skips_to_sync: bool,
    classified: HashMap<String, Arc<Vec<StatementClass>>>,
    bytes: Arc<SessionBytes>,
    kept: KeptBytes,
}

impl CallerSession {
    /// Serves a caller until it disconnects or its session must end.
    pub async fn serve(context: Arc<TrafficContext>, caller: AuthenticatedCaller) {
        let AuthenticatedCaller { mut wire, bytes, workspace, key_id, group, options } = caller;
        let kept = bytes.limits().kept.open(workspace.clone());
        let (cancel_key, cancel) = context.cancels.add();
        let guard = SessionGuard::new(
            context.snapshot.clone(),
            context.lease.clone(),
            key_id,
            workspace.clone(),
            group.clone(),
        );
        let settings = SessionSettings::new(workspace, group);
        let mut session = Self {
            runner: RequestRunner::new(context.clone(), cancel, settings),
            context: context.clone(),
            prepared: HashMap::new(),
            portals: HashMap::new(),
            batch: Vec::new(),
            batch_bytes: 0,
            skips_to_sync: false,
            classified: HashMap::new(),
            bytes,
            kept,
        };
        let ended = match session.complete_startup(&mut wire, cancel_key, options).await {
            Ok(()) => session.serve_messages(&mut wire, guard).await,
            Err(end) => end,
        };
        context.cancels.remove(cancel_key);
        if let SessionEnd::Fatal(error) = ended {
            let _ = tokio::time::timeout(LINGER_TIME, send_final_error(wire, error)).await;
        }
    }

    /// Applies the settings of the startup message and sends the caller the replies to it.
    async fn complete_startup(
        &mut self,
        wire: &mut CallerWire,
        cancel_key: CancelKey,
        options: BTreeMap<String, String>,
    ) -> SessionResult {
        for (name, value) in options {
            let set = self.runner.settings.set(&name, Some(value), &self.context.signer);
            if let Err(error) = set {
                let fatal = SqlError::fatal(&error.code, error.message);
                return Err(SessionEnd::Fatal(fatal));
            }
        }
        send(wire, Reply::Authentication(Authentication::Ok)).await?;
        let parameters = [
            ("server_version", SERVER_VERSION),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            send(wire, Reply::ParameterStatus(status)).await?;
        }
        let secret = SecretKey::I32(cancel_key.secret);
        let key_data = BackendKeyData::new(cancel_key.process_id, secret);
        send(wire, Reply::BackendKeyData(key_data)).await?;
        self.send_ready(wire).await
    }

    async fn serve_messages(&mut self, wire: &mut CallerWire, guard: SessionGuard) -> SessionEnd {
        loop {
            let message = match self.next_message(wire, &guard).await {
                Ok(message) => message,
                Err(end) => return end,
            };
            if let Some(error) = guard.end_reason() {
                return SessionEnd::Fatal(error);
            }
            let mut waiting_guard = guard.clone();
            let handled = tokio::select! {
                handled = self.handle(message, wire) => handled,
                error = waiting_guard.wait_for_end() => {
                    Err(SessionEnd::Fatal(self.runner.add_request_outcome(error)))
                }
            };
            if let Err(end) = handled {
                self.runner.drop_connection();
                return end;
            }
        }
    }

    /// Waits for the caller's next message. An idle session also ends when the daemon is leaving
    /// service.
    async fn next_message(
        &mut self,
        wire: &mut CallerWire,
        guard: &SessionGuard,
    ) -> Result<Request, SessionEnd> {
        let is_idle =
            self.runner.block.is_none() && !self.runner.has_connection() && self.batch.is_empty();
        let mut waiting_guard = guard.clone();
        let ended = async {
            match is_idle {
                true => waiting_guard.wait_for_idle_end().await,
                false => waiting_guard.wait_for_end().await,
            }
        };
        let next = tokio::select! {
            biased;
            next = wire.next() => next,
            error = ended => return Err(SessionEnd::Fatal(error)),
        };
        match next {
            Some(Ok(message)) => Ok(message),
            Some(Err(PgWireError::IoError(error))) if error.kind() == ErrorKind::TimedOut => {
                let message = format!("not run: {error}");
                Err(SessionEnd::Fatal(SqlError::fatal(sql_state::NO_CAPACITY, message)))
            }
            Some(Err(error)) => {
                let message = format!("the message cannot be decoded: {error}");
                let error = SqlError::fatal(sql_state::PROTOCOL_VIOLATION, message);
                Err(SessionEnd::Fatal(error))
            }
            None => Err(SessionEnd::CallerDisconnected),
        }
    }

    async fn handle(&mut self, message: Request, wire: &mut CallerWire) -> SessionResult {
        match message {
            Request::Terminate(_) => Err(SessionEnd::CallerDisconnected),
            Request::Query(query) => {
                self.run_simple(&query.query, wire).await?;
                self.send_ready(wire).await
            }
            Request::Sync(_) => {
                let is_skipping = std::mem::take(&mut self.skips_to_sync);
                if !is_skipping {
                    self.run_batch(wire, BatchMessage::Sync).await?;
                }
                self.runner.resync().await;
                self.send_ready(wire).await
            }
            Request::Flush(_) => {
                if !self.skips_to_sync {
                    self.run_batch(wire, BatchMessage::Flush).await?;
                }
                flush(wire).await
            }
            Request::CopyData(_) | Request::CopyDone(_) | Request::CopyFail(_) => Ok(()),
            message if message.is_extended_query() => self.buffer_message(message),
            _ => Err(SessionEnd::Fatal(SqlError::fatal(
                sql_state::PROTOCOL_VIOLATION,
                "the message type is not expected in this state",
            ))),
        }
    }

    /// Buffers a message of the extended query protocol until Sync or Flush.
    fn buffer_message(&mut self, message: Request) -> SessionResult {
        if self.skips_to_sync {
            return Ok(());
        }
        let message_bytes = match &message {
            Request::Parse(parse) => parse.query.len(),
            Request::Bind(bind) => bind.parameters.iter().flatten().map(|value| value.len()).sum(),
            _ => 0,
        } + size_of::<Request>();
        self.batch_bytes += message_bytes;
        if !self.bytes.add_waiting(message_bytes) {
            self.bytes.limits().report.record(Applied::LineMemory);
            let message = "not run: no memory for the batch of messages; try again in 1 s";
            return Err(SessionEnd::Fatal(SqlError::fatal(sql_state::NO_CAPACITY, message)));
        }
        if self.batch_bytes > MAX_BATCH_BYTES {
            let message = "a batch of messages without Sync exceeds the size limit";
            let error = SqlError::fatal(sql_state::PROTOCOL_VIOLATION, message);
            return Err(SessionEnd::Fatal(error));
        }
        self.batch.push(message);
        Ok(())
    }

    async fn send_ready(&mut self, wire: &mut CallerWire) -> SessionResult {
        let ready = ReadyForQuery::new(self.runner.status());
        send(wire, Reply::ReadyForQuery(ready)).await?;
        flush(wire).await?;
        self.bytes.release();
        Ok(())
    }

    /// Returns the classes of the statements in a text, from the cache if it has them.
    fn classify_cached(&mut self, sql: &str) -> Arc<Vec<StatementClass>> {
        if let Some(cached) = self.classified.get(sql) {
            return cached.clone();
        }
        let classes = Arc::new(classify(sql));
        if sql.len() > MAX_CLASSIFIED_BYTES {
            return classes;
        }
        if self.classified.len() >= MAX_CLASSIFIED {
            self.classified.clear();
        }
        self.classified.insert(sql.to_owned(), classes.clone());
        classes
    }

    /// Runs the text of a simple query.
    async fn run_simple(&mut self, sql: &str, wire: &mut CallerWire) -> SessionResult {
        let classes = self.classify_cached(sql);
        let refusal = classes.iter().find_map(|class| match class {
            StatementClass::Refused(reason) => Some(reason.clone()),
            _ => None,
        });
        if let Some(reason) = refusal {
            return self.send_error(unsupported(&reason), wire).await;
        }
        match classes.as_slice() {
            [] => send(wire, Reply::EmptyQueryResponse(EmptyQueryResponse::new())).await,
            [class] if self.is_answered_locally(class) => match self.run_local(class, wire).await {
                Ok(()) => Ok(()),
                Err(BatchError::Report(error)) => self.send_error(error, wire).await,
                Err(BatchError::Reported) => Ok(()),
                Err(BatchError::End(end)) => Err(end),
            },
            statement_classes => {
                if let Some(error) = self.unsupported_text_error(statement_classes) {
                    return self.send_error(error, wire).await;
                }
                let mut request_batch = RequestBatch {
                    messages: vec![BatchMessage::Query(sql.to_owned())],
                    statements: statement_classes.len() as u64,
                    ..RequestBatch::default()
                };
                statement_classes.iter().for_each(|class| request_batch.add_requirements(class));
                self.run_on_member(&request_batch, wire).await.map(drop)
            }
        }
    }

    /// Returns an error for a query string that the proxy cannot run: one that mixes statements for
    /// the daemon and for the member, or that contains BEGIN, COMMIT or ROLLBACK while a request id
    /// is set or a block has not been opened on a member.
    fn unsupported_text_error(&self, classes: &[StatementClass]) -> Option<SqlError> {
        let is_local = |class: &StatementClass| {
            class.is_local() && !matches!(class, StatementClass::Begin { .. })
        };
        if classes.iter().any(is_local) {
            let message = "not run: send SET, SHOW and DISCARD as separate queries";
            return Some(SqlError::new(sql_state::NOT_SUPPORTED, message));
        }
        if matches!(classes, [StatementClass::Commit | StatementClass::Rollback]) {
            return None;
        }
        let controls_block = classes.iter().any(StatementClass::controls_block);
        let has_unstarted = self.runner.block.as_ref().is_some_and(|block| !block.is_started);
        if controls_block && (self.runner.settings.request_id.is_some() || has_unstarted) {
            let message = "not run: send BEGIN, COMMIT and ROLLBACK as separate queries here";
            return Some(SqlError::new(sql_state::NOT_SUPPORTED, message));
        }
        None
    }

    /// Marks the caller's block as failed and sends the caller an error.
    async fn send_error(&mut self, error: SqlError, wire: &mut CallerWire) -> SessionResult {
        self.runner.fail_block();
        send(wire, error.into_message()).await
    }

    /// Returns whether the daemon answers a statement without a member.
    fn is_answered_locally(&self, class: &StatementClass) -> bool {
        let block = self.runner.block.as_ref();
        match class {
            StatementClass::Begin { .. } => block.is_none(),
            StatementClass::Commit | StatementClass::Rollback => {
                block.is_none_or(|block| !block.is_started)
            }
            class => class.is_local(),
        }
    }

    /// Answers a statement without a member.
    async fn run_local(
        &mut self,
        class: &StatementClass,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let ends_block = matches!(class, StatementClass::Commit | StatementClass::Rollback);
        if self.runner.is_block_failed() && !ends_block {
            return Err(BatchError::Report(in_failed_block()));
        }
        let tag = match class {
            StatementClass::Begin { sql, is_read_only } => {
                self.runner.block = Some(TransactionBlock::new(sql.clone(), *is_read_only));
                "BEGIN"
            }
            StatementClass::Commit => self.runner.end_unstarted_block(true).await,
            StatementClass::Rollback => self.runner.end_unstarted_block(false).await,
            StatementClass::Set { name, value } => {
                self.set(name, value.clone())?;
                "SET"
            }
            StatementClass::Show { name } => {
                let shown = self.runner.settings.show(name, &self.context.signer);
                let value = shown.map_err(BatchError::Report)?;
                send(wire, local_statement::text_description(name)).await?;
                send(wire, local_statement::text_row(&value)).await?;
                "SHOW"
            }
            _ => {
                self.runner.settings.reset_all();
                "DISCARD ALL"
            }
        };
        send(wire, local_statement::command_complete(tag)).await?;
        Ok(())
    }

    /// Sets or resets a setting of the session.
    fn set(&mut self, name: &str, value: Option<String>) -> Result<(), BatchError> {
        let is_proxy_setting = name.starts_with("snipehead.");
        let is_in_block = self.runner.block.as_ref().is_some_and(|block| block.is_started);
        if value.as_ref().is_some_and(|value| value.len() > MAX_SETTING_BYTES) {
            let message = "not run: the value of the setting is too long";
            return Err(BatchError::Report(SqlError::new(sql_state::INVALID_PARAMETER, message)));
        }
        let refusal = match (is_in_block, is_proxy_setting) {
            (true, false) => Some("not run: inside a transaction use SET LOCAL"),
            // The id is stored when the transaction starts; a repeat would not find it.
            (true, true) if name == REQUEST_ID_SETTING => {
                Some("not run: set the request id before the first statement of the transaction")
            }
            _ => None,
        };
        if let Some(message) = refusal {
            return Err(BatchError::Report(SqlError::new(sql_state::NOT_SUPPORTED, message)));
        }
        self.runner.settings.set(name, value, &self.context.signer).map_err(BatchError::Report)
    }

    /// Runs a batch on a member. Returns `false` when the caller's block has failed or the daemon
    /// reported an error.
    async fn run_on_member(
        &mut self,
        request_batch: &RequestBatch,
        wire: &mut CallerWire,
    ) -> Result<bool, SessionEnd> {
        if self.runner.is_block_failed() && !request_batch.ends_block {
            send(wire, in_failed_block().into_message()).await?;
            return Ok(false);
        }
        self.runner.run(request_batch, wire).await
    }
}

/// Sends a final error and waits for the caller to close the connection.
///
/// Closing it while a request of the caller is still unread would reset the connection, and the
/// caller might never receive the error.
async fn send_final_error(mut wire: CallerWire, error: SqlError) {
    if wire.send(error.into_message()).await.is_err() {
        return;
    }
    let _ = wire.get_mut().shutdown().await;
    while let Some(Ok(_)) = wire.next().await {}
}

/// Returns the error for a statement that the proxy does not support.
fn unsupported(reason: &str) -> SqlError {
    SqlError::new(sql_state::NOT_SUPPORTED, format!("not run: {reason}"))
}

/// Returns the error for a statement in a block that has failed.
fn in_failed_block() -> SqlError {
    let message = "current transaction is aborted, commands ignored until end of transaction block";
    SqlError::new(sql_state::IN_FAILED_TRANSACTION, message)
}
