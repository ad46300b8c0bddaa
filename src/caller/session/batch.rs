//! Batches of messages of the extended query protocol.

use std::sync::Arc;

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::EmptyQueryResponse;

use super::BatchError;
use super::CallerSession;
use super::MAX_PREPARED;
use super::PreparedStatement;
use super::SessionResult;
use super::unsupported;
use crate::caller::local_statement;
use crate::caller::request_batch::BatchMessage;
use crate::caller::request_batch::BindContent;
use crate::caller::request_batch::RequestBatch;
use crate::caller::request_batch::STATEMENT_TARGET;
use crate::caller::request_runner::send;
use crate::caller::startup::CallerWire;
use crate::caller::statement_class::StatementClass;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;
use snipehead_core::limits::kept_bytes::Kept;
use snipehead_core::limits::kept_bytes::entry_bytes;
use snipehead_core::limits::report::Applied;

impl CallerSession {
    /// Runs the buffered messages, up to a Sync or Flush.
    pub(super) async fn run_batch(
        &mut self,
        wire: &mut CallerWire,
        end: BatchMessage,
    ) -> SessionResult {
        let is_sync = end == BatchMessage::Sync;
        let batch = std::mem::take(&mut self.batch);
        self.batch_bytes = 0;
        let outcome = self.run_messages(batch, wire, end).await;
        match outcome {
            Ok(()) => Ok(()),
            Err(BatchError::End(end)) => Err(end),
            Err(BatchError::Reported) => {
                self.skips_to_sync = !is_sync;
                Ok(())
            }
            Err(BatchError::Report(error)) => {
                self.skips_to_sync = !is_sync;
                self.send_error(error, wire).await
            }
        }
    }

    /// Collects messages for the member and runs them. Replies of the daemon itself are sent in
    /// between, in the order of the messages.
    pub(super) async fn run_messages(
        &mut self,
        batch: Vec<Request>,
        wire: &mut CallerWire,
        end: BatchMessage,
    ) -> Result<(), BatchError> {
        let mut request_batch = RequestBatch::default();
        let mut parsed: Option<Arc<PreparedStatement>> = None;
        for message in batch {
            match message {
                Request::Parse(parse) => {
                    parsed = self.add_parse(parse, &mut request_batch, wire).await?;
                }
                Request::Bind(bind) => {
                    self.add_bind(bind, &mut request_batch, &mut parsed, wire).await?
                }
                Request::Describe(describe) => {
                    self.add_describe(describe, &mut request_batch, &mut parsed, wire).await?;
                }
                Request::Execute(execute) => {
                    self.add_execute(execute, &mut request_batch, wire).await?
                }
                Request::Close(close) => self.add_close(close, &mut request_batch, wire).await?,
                _ => {}
            }
        }
        // After a Flush outside a block, the member commits the statements only at the Sync.
        let needs_member = !request_batch.messages.is_empty()
            || (end == BatchMessage::Sync
                && self.runner.has_connection()
                && self.runner.block.is_none());
        if needs_member {
            self.run_collected(&mut request_batch, wire, end).await?;
        }
        Ok(())
    }

    /// Runs the messages collected so far, so that the daemon's next own reply is sent in order.
    pub(super) async fn run_collected(
        &mut self,
        request_batch: &mut RequestBatch,
        wire: &mut CallerWire,
        end: BatchMessage,
    ) -> Result<(), BatchError> {
        let mut request_batch = std::mem::take(request_batch);
        if request_batch.messages.is_empty() && end == BatchMessage::Flush {
            return Ok(());
        }
        request_batch.messages.push(end);
        match self.run_on_member(&request_batch, wire).await? {
            true => Ok(()),
            false => Err(BatchError::Reported),
        }
    }

    /// Adds a Parse. Returns the statement if it becomes the member's unnamed statement.
    pub(super) async fn add_parse(
        &mut self,
        parse: Parse,
        request_batch: &mut RequestBatch,
        wire: &mut CallerWire,
    ) -> Result<Option<Arc<PreparedStatement>>, BatchError> {
        let classes = self.classify_cached(&parse.query);
        let class = match classes.as_slice() {
            [] => StatementClass::Read,
            [class] => class.clone(),
            _ => {
                let message = "cannot insert multiple commands into a prepared statement";
                return Err(BatchError::Report(SqlError::new(sql_state::SYNTAX_ERROR, message)));
            }
        };
        if let StatementClass::Refused(reason) = &class {
            return Err(BatchError::Report(unsupported(reason)));
        }
        if self.prepared.len() >= MAX_PREPARED {
            let message = format!("a session may have at most {MAX_PREPARED} prepared statements");
            return Err(BatchError::Report(SqlError::new(sql_state::NO_CAPACITY, message)));
        }
        let name = parse.name.unwrap_or_default();
        let old_bytes = self.prepared.get(&name).map_or(0, |old| statement_bytes(&name, old));
        let prepared = Arc::new(PreparedStatement {
            query: parse.query,
            type_oids: parse.type_oids,
            is_empty: classes.is_empty(),
            class,
        });
        self.keep(old_bytes, statement_bytes(&name, &prepared))?;
        let replaced = self.prepared.insert(name, prepared.clone());
        // The unnamed portal would keep a statement that is not counted any more.
        if let (Some(replaced), Some(portal)) = (replaced, self.portals.get(""))
            && Arc::ptr_eq(portal, &replaced)
        {
            self.portals.remove("");
        }
        if self.is_local_statement(&prepared) {
            self.run_collected(request_batch, wire, BatchMessage::Flush).await?;
            send(wire, Reply::ParseComplete(ParseComplete::new())).await?;
            return Ok(None);
        }
        request_batch.add_requirements(&prepared.class);
        request_batch.messages.push(parse_message(&prepared, false));
        Ok(Some(prepared))
    }

    /// Counts a prepared statement or portal that replaces one of `old_bytes`.
    fn keep(&mut self, old_bytes: usize, new_bytes: usize) -> Result<(), BatchError> {
        self.kept.replace(Kept::Shape, old_bytes, new_bytes).map_err(|reason| {
            self.bytes.limits().report.record(Applied::KeptMemory);
            let message = format!("not run: {reason}");
            BatchError::Report(SqlError::new(sql_state::NO_CAPACITY, message))
        })
    }

    /// Stops counting a statement that was closed, and closes its portals, as PostgreSQL does.
    fn drop_statement(
        &mut self,
        name: &str,
        statement: &Arc<PreparedStatement>,
    ) -> Result<(), BatchError> {
        let is_of_statement =
            |_: &String, portal: &mut Arc<PreparedStatement>| Arc::ptr_eq(portal, statement);
        let closed: Vec<_> = self.portals.extract_if(is_of_statement).collect();
        for (portal, prepared) in closed {
            self.keep(portal_bytes(&portal, &prepared), 0)?;
        }
        self.keep(statement_bytes(name, statement), 0)
    }

    /// Returns whether a statement is not prepared on the member. COMMIT and ROLLBACK are among
    /// these: if the member has to run them, they are sent as simple queries.
    pub(super) fn is_local_statement(&self, prepared: &PreparedStatement) -> bool {
        prepared.is_empty
            || prepared.class.is_local()
            || matches!(prepared.class, StatementClass::Commit | StatementClass::Rollback)
    }

    /// Returns a prepared statement by name.
    pub(super) fn prepared(&self, name: &str) -> Result<Arc<PreparedStatement>, BatchError> {
        self.prepared.get(name).cloned().ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            BatchError::Report(SqlError::new(sql_state::UNKNOWN_STATEMENT, message))
        })
    }

    /// Adds a Parse unless the member's unnamed statement is already this one.
    pub(super) fn ensure_parsed(
        request_batch: &mut RequestBatch,
        parsed: &mut Option<Arc<PreparedStatement>>,
        wanted: &Arc<PreparedStatement>,
    ) {
        let is_parsed = parsed.as_ref().is_some_and(|parsed| Arc::ptr_eq(parsed, wanted));
        if !is_parsed {
            request_batch.messages.push(parse_message(wanted, true));
            *parsed = Some(wanted.clone());
        }
        request_batch.add_requirements(&wanted.class);
    }

    /// Adds a Bind.
    pub(super) async fn add_bind(
        &mut self,
        bind: Bind,
        request_batch: &mut RequestBatch,
        parsed: &mut Option<Arc<PreparedStatement>>,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let prepared = self.prepared(&bind.statement_name.unwrap_or_default())?;
        let portal = bind.portal_name.unwrap_or_default();
        let old_bytes = self.portals.get(&portal).map_or(0, |old| portal_bytes(&portal, old));
        self.keep(old_bytes, portal_bytes(&portal, &prepared))?;
        self.portals.insert(portal.clone(), prepared.clone());
        if self.is_local_statement(&prepared) {
            self.run_collected(request_batch, wire, BatchMessage::Flush).await?;
            return Ok(send(wire, Reply::BindComplete(BindComplete::new())).await?);
        }
        Self::ensure_parsed(request_batch, parsed, &prepared);
        request_batch.messages.push(BatchMessage::Bind(BindContent {
            portal,
            parameter_formats: bind.parameter_format_codes,
            parameters: bind.parameters,
            result_formats: bind.result_column_format_codes,
        }));
        Ok(())
    }

    /// Adds a Describe.
    pub(super) async fn add_describe(
        &mut self,
        describe: Describe,
        request_batch: &mut RequestBatch,
        parsed: &mut Option<Arc<PreparedStatement>>,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let name = describe.name.unwrap_or_default();
        let is_statement = describe.target_type == STATEMENT_TARGET;
        let prepared = match is_statement {
            true => self.prepared(&name)?,
            false => self.portal(&name)?,
        };
        if self.is_local_statement(&prepared) {
            self.run_collected(request_batch, wire, BatchMessage::Flush).await?;
            if is_statement {
                let none = ParameterDescription::new(Vec::new());
                send(wire, Reply::ParameterDescription(none)).await?;
            }
            let columns = match &prepared.class {
                StatementClass::Show { name } => local_statement::text_description(name),
                _ => Reply::NoData(NoData::new()),
            };
            return Ok(send(wire, columns).await?);
        }
        if is_statement {
            Self::ensure_parsed(request_batch, parsed, &prepared);
            request_batch.messages.push(BatchMessage::DescribeStatement);
        } else {
            request_batch.messages.push(BatchMessage::DescribePortal(name));
        }
        Ok(())
    }

    /// Returns the statement of a portal.
    pub(super) fn portal(&self, name: &str) -> Result<Arc<PreparedStatement>, BatchError> {
        self.portals.get(name).cloned().ok_or_else(|| {
            let message = format!("portal \"{name}\" does not exist");
            BatchError::Report(SqlError::new("34000", message))
        })
    }

    /// Adds an Execute.
    pub(super) async fn add_execute(
        &mut self,
        execute: Execute,
        request_batch: &mut RequestBatch,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let name = execute.name.unwrap_or_default();
        let prepared = self.portal(&name)?;
        if !self.is_local_statement(&prepared) {
            request_batch.add_requirements(&prepared.class);
            request_batch.statements += 1;
            request_batch
                .messages
                .push(BatchMessage::Execute { portal: name, max_rows: execute.max_rows });
            return Ok(());
        }
        self.run_collected(request_batch, wire, BatchMessage::Flush).await?;
        if prepared.is_empty {
            let empty = Reply::EmptyQueryResponse(EmptyQueryResponse::new());
            return Ok(send(wire, empty).await?);
        }
        if self.is_answered_locally(&prepared.class) {
            return self.execute_local(&prepared.class, wire).await;
        }
        self.execute_block_control(&prepared, wire).await
    }

    /// Executes a statement that the daemon answers without a member.
    pub(super) async fn execute_local(
        &mut self,
        class: &StatementClass,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        if let StatementClass::Show { name } = class {
            // The columns were sent in reply to Describe.
            let shown = self.runner.settings.show(name, &self.context.signer);
            send(wire, local_statement::text_row(&shown.map_err(BatchError::Report)?)).await?;
            return Ok(send(wire, local_statement::command_complete("SHOW")).await?);
        }
        self.run_local(class, wire).await
    }

    /// Runs COMMIT or ROLLBACK, or a BEGIN within a block, on the member as a simple query.
    pub(super) async fn execute_block_control(
        &mut self,
        prepared: &PreparedStatement,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let mut request_batch = RequestBatch {
            messages: vec![BatchMessage::Query(prepared.query.clone())],
            statements: 1,
            ..RequestBatch::default()
        };
        request_batch.add_requirements(&prepared.class);
        match self.run_on_member(&request_batch, wire).await? {
            true => Ok(()),
            false => Err(BatchError::Reported),
        }
    }

    /// Adds a Close.
    pub(super) async fn add_close(
        &mut self,
        close: Close,
        request_batch: &mut RequestBatch,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let name = close.name.unwrap_or_default();
        let is_statement = close.target_type == STATEMENT_TARGET;
        let removed = match is_statement {
            true => self.prepared.remove(&name),
            false => self.portals.remove(&name),
        };
        if let Some(removed) = &removed {
            match is_statement {
                true => self.drop_statement(&name, removed)?,
                false => self.keep(portal_bytes(&name, removed), 0)?,
            }
        }
        let is_at_member = !is_statement
            && removed.is_some_and(|prepared| !self.is_local_statement(&prepared))
            && (self.runner.has_connection() || !request_batch.messages.is_empty());
        if is_at_member {
            request_batch.messages.push(BatchMessage::ClosePortal(name));
            return Ok(());
        }
        self.run_collected(request_batch, wire, BatchMessage::Flush).await?;
        Ok(send(wire, Reply::CloseComplete(CloseComplete::new())).await?)
    }
}

/// Returns the bytes that count for a prepared statement.
fn statement_bytes(name: &str, prepared: &PreparedStatement) -> usize {
    entry_bytes(name, &prepared.query) + 4 * prepared.type_oids.len()
}

/// Returns the bytes that count for a portal: it may hold a statement that was replaced. The unnamed one is
/// dropped when its statement is replaced.
fn portal_bytes(name: &str, prepared: &PreparedStatement) -> usize {
    if name.is_empty() { 0 } else { statement_bytes(name, prepared) }
}

/// Returns the Parse of a prepared statement.
fn parse_message(prepared: &PreparedStatement, is_added: bool) -> BatchMessage {
    BatchMessage::Parse {
        query: prepared.query.clone(),
        type_oids: prepared.type_oids.clone(),
        is_added,
    }
}
