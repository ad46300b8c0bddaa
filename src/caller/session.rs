//! The session of an admitted caller.

mod batch;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
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
use crate::caller::request_batch::Work;
use crate::caller::request_batch::WorkItem;
use crate::caller::request_runner::RequestRunner;
use crate::caller::request_runner::SessionEnd;
use crate::caller::request_runner::flush;
use crate::caller::request_runner::send;
use crate::caller::session_settings::SessionSettings;
use crate::caller::startup::AdmittedCaller;
use crate::caller::startup::CallerWire;
use crate::caller::statement_class::StatementClass;
use crate::caller::transaction_block::TransactionBlock;
use crate::traffic::cancel_registry::CancelKey;
use crate::traffic::context::TrafficContext;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Version that callers are told; their drivers choose features by it.
const SERVER_VERSION: &str = "16.0";

/// Most bytes of a batch that is not complete yet.
const MAX_BATCH_BYTES: usize = 32 << 20;

/// Most prepared statements of one session.
const MAX_PREPARED: usize = 2_000;

/// Longest wait for a caller to close after a last message.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Classified texts that a session remembers.
const MAX_CLASSIFIED: usize = 64;

/// A prepared statement of the caller's.
#[derive(Clone, Debug)]
struct Prepared {
    query: String,
    type_oids: Vec<u32>,
    class: StatementClass,
    is_empty: bool,
}

/// How the handling of a message ends.
type Handled = Result<(), SessionEnd>;

/// Why a batch is abandoned up to its Sync.
enum BatchError {
    /// The caller is to be told.
    Tell(SqlError),
    /// The caller has been told.
    Told,
    /// The session ends.
    End(SessionEnd),
}

impl From<SessionEnd> for BatchError {
    fn from(end: SessionEnd) -> Self {
        Self::End(end)
    }
}

/// The session of an admitted caller.
pub struct CallerSession {
    context: Arc<TrafficContext>,
    runner: RequestRunner,
    prepared: HashMap<String, Arc<Prepared>>,
    portals: HashMap<String, Arc<Prepared>>,
    batch: Vec<Request>,
    batch_bytes: usize,
    skips_to_sync: bool,
    classified: HashMap<String, Arc<Vec<StatementClass>>>,
}

impl CallerSession {
    /// Serves an admitted caller until it leaves or must leave.
    pub async fn serve(context: Arc<TrafficContext>, caller: AdmittedCaller) {
        let AdmittedCaller { mut wire, workspace, key_id, group, options } = caller;
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
        };
        let ended = match session.greet(&mut wire, cancel_key, options).await {
            Ok(()) => session.serve_messages(&mut wire, guard).await,
            Err(end) => end,
        };
        context.cancels.remove(cancel_key);
        if let SessionEnd::Fatal(error) = ended {
            let _ = tokio::time::timeout(LINGER_TIME, say_last(wire, error)).await;
        }
    }

    async fn greet(
        &mut self,
        wire: &mut CallerWire,
        cancel_key: CancelKey,
        options: BTreeMap<String, String>,
    ) -> Handled {
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
            if let Some(error) = guard.verdict() {
                return SessionEnd::Fatal(error);
            }
            let mut watching = guard.clone();
            let handled = tokio::select! {
                handled = self.handle(message, wire) => handled,
                error = watching.ended() => {
                    Err(SessionEnd::Fatal(self.runner.qualify_end(error)))
                }
            };
            if let Err(end) = handled {
                self.runner.drop_lane();
                return end;
            }
        }
    }

    /// Waits for the caller's next message. An idle session also ends when the daemon leaves.
    async fn next_message(
        &mut self,
        wire: &mut CallerWire,
        guard: &SessionGuard,
    ) -> Result<Request, SessionEnd> {
        let is_idle =
            self.runner.block.is_none() && !self.runner.has_lane() && self.batch.is_empty();
        let mut watching = guard.clone();
        let ended = async {
            match is_idle {
                true => watching.idle_ended().await,
                false => watching.ended().await,
            }
        };
        let next = tokio::select! {
            biased;
            next = wire.next() => next,
            error = ended => return Err(SessionEnd::Fatal(error)),
        };
        match next {
            Some(Ok(message)) => Ok(message),
            Some(Err(error)) => {
                let message = format!("the message cannot be read: {error}");
                let error = SqlError::fatal(sql_state::PROTOCOL_VIOLATION, message);
                Err(SessionEnd::Fatal(error))
            }
            None => Err(SessionEnd::CallerGone),
        }
    }

    async fn handle(&mut self, message: Request, wire: &mut CallerWire) -> Handled {
        match message {
            Request::Terminate(_) => Err(SessionEnd::CallerGone),
            Request::Query(query) => {
                self.run_simple(&query.query, wire).await?;
                self.send_ready(wire).await
            }
            Request::Sync(_) => {
                let is_skipping = std::mem::take(&mut self.skips_to_sync);
                if !is_skipping {
                    self.run_batch(wire, WorkItem::Sync).await?;
                }
                self.runner.resync().await;
                self.send_ready(wire).await
            }
            Request::Flush(_) => {
                if !self.skips_to_sync {
                    self.run_batch(wire, WorkItem::Flush).await?;
                }
                flush(wire).await
            }
            Request::CopyData(_) | Request::CopyDone(_) | Request::CopyFail(_) => Ok(()),
            message if message.is_extended_query() => self.collect(message),
            _ => Err(SessionEnd::Fatal(SqlError::fatal(
                sql_state::PROTOCOL_VIOLATION,
                "the message is not expected here",
            ))),
        }
    }

    fn collect(&mut self, message: Request) -> Handled {
        if self.skips_to_sync {
            return Ok(());
        }
        self.batch_bytes += match &message {
            Request::Parse(parse) => parse.query.len(),
            Request::Bind(bind) => bind.parameters.iter().flatten().map(|value| value.len()).sum(),
            _ => size_of::<Request>(),
        };
        if self.batch_bytes > MAX_BATCH_BYTES {
            let message = "a batch of messages without Sync is too large";
            let error = SqlError::fatal(sql_state::PROTOCOL_VIOLATION, message);
            return Err(SessionEnd::Fatal(error));
        }
        self.batch.push(message);
        Ok(())
    }

    async fn send_ready(&mut self, wire: &mut CallerWire) -> Handled {
        let ready = ReadyForQuery::new(self.runner.status());
        send(wire, Reply::ReadyForQuery(ready)).await?;
        flush(wire).await
    }

    fn classes_of(&mut self, sql: &str) -> Arc<Vec<StatementClass>> {
        if let Some(known) = self.classified.get(sql) {
            return known.clone();
        }
        let classes = Arc::new(classify(sql));
        if self.classified.len() >= MAX_CLASSIFIED {
            self.classified.clear();
        }
        self.classified.insert(sql.to_owned(), classes.clone());
        classes
    }

    async fn run_simple(&mut self, sql: &str, wire: &mut CallerWire) -> Handled {
        let classes = self.classes_of(sql);
        let refusal = classes.iter().find_map(|class| match class {
            StatementClass::Refused(reason) => Some(reason.clone()),
            _ => None,
        });
        if let Some(reason) = refusal {
            return self.tell(refused(&reason), wire).await;
        }
        match classes.as_slice() {
            [] => send(wire, Reply::EmptyQueryResponse(EmptyQueryResponse::new())).await,
            [class] if self.answers_locally(class) => match self.run_local(class, wire).await {
                Ok(()) => Ok(()),
                Err(BatchError::Tell(error)) => self.tell(error, wire).await,
                Err(BatchError::Told) => Ok(()),
                Err(BatchError::End(end)) => Err(end),
            },
            many => {
                if let Some(error) = self.refuse_mix(many) {
                    return self.tell(error, wire).await;
                }
                let mut work = Work {
                    items: vec![WorkItem::Query(sql.to_owned())],
                    statements: many.len() as u64,
                    ..Work::default()
                };
                many.iter().for_each(|class| work.add_needs(class));
                self.run_work(&work, wire).await.map(drop)
            }
        }
    }

    /// Refuses texts in which statements of the daemon's own stand among others.
    fn refuse_mix(&self, classes: &[StatementClass]) -> Option<SqlError> {
        let is_local = |class: &StatementClass| {
            class.is_local() && !matches!(class, StatementClass::Begin { .. })
        };
        if classes.iter().any(is_local) {
            let message = "not run: send SET, SHOW and DISCARD as texts of their own";
            return Some(SqlError::new(sql_state::NOT_SUPPORTED, message));
        }
        let controls = classes.iter().any(StatementClass::controls_block);
        let has_unstarted = self.runner.block.as_ref().is_some_and(|block| !block.is_started);
        if controls && (self.runner.settings.request_id.is_some() || has_unstarted) {
            let message = "not run: send BEGIN, COMMIT and ROLLBACK as texts of their own here";
            return Some(SqlError::new(sql_state::NOT_SUPPORTED, message));
        }
        None
    }

    async fn tell(&mut self, error: SqlError, wire: &mut CallerWire) -> Handled {
        self.runner.fail_block();
        send(wire, error.into_message()).await
    }

    /// Returns whether the daemon answers a statement without a member.
    fn answers_locally(&self, class: &StatementClass) -> bool {
        let block = self.runner.block.as_ref();
        match class {
            StatementClass::Begin { .. } => block.is_none(),
            StatementClass::Commit | StatementClass::Rollback => {
                block.is_none_or(|block| !block.is_started)
            }
            class => class.is_local(),
        }
    }

    async fn run_local(
        &mut self,
        class: &StatementClass,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let ends_block = matches!(class, StatementClass::Commit | StatementClass::Rollback);
        if self.runner.is_block_failed() && !ends_block {
            return Err(BatchError::Tell(in_failed_block()));
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
                let value = shown.map_err(BatchError::Tell)?;
                send(wire, local_statement::text_description(name)).await?;
                send(wire, local_statement::text_row(&value)).await?;
                "SHOW"
            }
            _ => {
                self.runner.settings.discard();
                "DISCARD ALL"
            }
        };
        send(wire, local_statement::command_complete(tag)).await?;
        Ok(())
    }

    fn set(&mut self, name: &str, value: Option<String>) -> Result<(), BatchError> {
        let is_own = name.starts_with("snipehead.");
        if !is_own && self.runner.block.as_ref().is_some_and(|block| block.is_started) {
            let message = "not run: inside a transaction use SET LOCAL";
            return Err(BatchError::Tell(SqlError::new(sql_state::NOT_SUPPORTED, message)));
        }
        self.runner.settings.set(name, value, &self.context.signer).map_err(BatchError::Tell)
    }

    /// Runs work; returns whether it succeeded.
    async fn run_work(&mut self, work: &Work, wire: &mut CallerWire) -> Result<bool, SessionEnd> {
        if self.runner.is_block_failed() && !work.ends_block {
            send(wire, in_failed_block().into_message()).await?;
            return Ok(false);
        }
        self.runner.run(work, wire).await
    }
}

/// Sends a last message and waits for the caller to close.
///
/// Closing while a request of the caller's is unread would reset the connection, and the caller
/// might never see the message.
async fn say_last(mut wire: CallerWire, error: SqlError) {
    if wire.send(error.into_message()).await.is_err() {
        return;
    }
    let _ = wire.get_mut().shutdown().await;
    while let Some(Ok(_)) = wire.next().await {}
}

fn refused(reason: &str) -> SqlError {
    SqlError::new(sql_state::NOT_SUPPORTED, format!("not run: {reason}"))
}

fn in_failed_block() -> SqlError {
    let message = "current transaction is aborted, commands ignored until end of transaction block";
    SqlError::new(sql_state::IN_FAILED_TRANSACTION, message)
}
