//! Batches of the extended query protocol.

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
use super::Handled;
use super::MAX_PREPARED;
use super::Prepared;
use super::refused;
use crate::caller::local_statement;
use crate::caller::request_batch::BindContent;
use crate::caller::request_batch::STATEMENT_TARGET;
use crate::caller::request_batch::Work;
use crate::caller::request_batch::WorkItem;
use crate::caller::request_runner::send;
use crate::caller::startup::CallerWire;
use crate::caller::statement_class::StatementClass;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

impl CallerSession {
    pub(super) async fn run_batch(&mut self, wire: &mut CallerWire, end: WorkItem) -> Handled {
        let is_sync = end == WorkItem::Sync;
        let batch = std::mem::take(&mut self.batch);
        self.batch_bytes = 0;
        let outcome = self.run_items(batch, wire, end).await;
        match outcome {
            Ok(()) => Ok(()),
            Err(BatchError::End(end)) => Err(end),
            Err(BatchError::Told) => {
                self.skips_to_sync = !is_sync;
                Ok(())
            }
            Err(BatchError::Tell(error)) => {
                self.skips_to_sync = !is_sync;
                self.tell(error, wire).await
            }
        }
    }

    pub(super) async fn run_items(
        &mut self,
        batch: Vec<Request>,
        wire: &mut CallerWire,
        end: WorkItem,
    ) -> Result<(), BatchError> {
        let mut work = Work::default();
        let mut parsed: Option<Arc<Prepared>> = None;
        for message in batch {
            match message {
                Request::Parse(parse) => {
                    parsed = self.add_parse(parse, &mut work, wire).await?;
                }
                Request::Bind(bind) => self.add_bind(bind, &mut work, &mut parsed, wire).await?,
                Request::Describe(describe) => {
                    self.add_describe(describe, &mut work, &mut parsed, wire).await?;
                }
                Request::Execute(execute) => self.add_execute(execute, &mut work, wire).await?,
                Request::Close(close) => self.add_close(close, &mut work, wire).await?,
                _ => {}
            }
        }
        let needs_member = !work.items.is_empty()
            || (end == WorkItem::Sync && self.runner.has_lane() && self.runner.block.is_none());
        if needs_member {
            self.run_segment(&mut work, wire, end).await?;
        }
        Ok(())
    }

    /// Runs what was collected so far, so that a reply of the daemon's own keeps its place.
    pub(super) async fn run_segment(
        &mut self,
        work: &mut Work,
        wire: &mut CallerWire,
        end: WorkItem,
    ) -> Result<(), BatchError> {
        let mut work = std::mem::take(work);
        if work.items.is_empty() && end == WorkItem::Flush {
            return Ok(());
        }
        work.items.push(end);
        match self.run_work(&work, wire).await? {
            true => Ok(()),
            false => Err(BatchError::Told),
        }
    }

    pub(super) async fn add_parse(
        &mut self,
        parse: Parse,
        work: &mut Work,
        wire: &mut CallerWire,
    ) -> Result<Option<Arc<Prepared>>, BatchError> {
        let classes = self.classes_of(&parse.query);
        let class = match classes.as_slice() {
            [] => StatementClass::Read,
            [class] => class.clone(),
            _ => {
                let message = "cannot insert multiple commands into a prepared statement";
                return Err(BatchError::Tell(SqlError::new(sql_state::SYNTAX_ERROR, message)));
            }
        };
        if let StatementClass::Refused(reason) = &class {
            return Err(BatchError::Tell(refused(reason)));
        }
        if self.prepared.len() >= MAX_PREPARED {
            let message = format!("a session has at most {MAX_PREPARED} prepared statements");
            return Err(BatchError::Tell(SqlError::new(sql_state::NO_CAPACITY, message)));
        }
        let prepared = Arc::new(Prepared {
            query: parse.query,
            type_oids: parse.type_oids,
            is_empty: classes.is_empty(),
            class,
        });
        self.prepared.insert(parse.name.unwrap_or_default(), prepared.clone());
        if self.is_local_statement(&prepared) {
            self.run_segment(work, wire, WorkItem::Flush).await?;
            send(wire, Reply::ParseComplete(ParseComplete::new())).await?;
            return Ok(None);
        }
        work.add_needs(&prepared.class);
        work.items.push(parse_item(&prepared, false));
        Ok(Some(prepared))
    }

    pub(super) fn is_local_statement(&self, prepared: &Prepared) -> bool {
        prepared.is_empty
            || prepared.class.is_local()
            || matches!(prepared.class, StatementClass::Commit | StatementClass::Rollback)
    }

    pub(super) fn prepared(&self, name: &str) -> Result<Arc<Prepared>, BatchError> {
        self.prepared.get(name).cloned().ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            BatchError::Tell(SqlError::new(sql_state::UNKNOWN_STATEMENT, message))
        })
    }

    /// Makes sure that the member's unnamed statement is this one.
    pub(super) fn ensure_parsed(
        work: &mut Work,
        parsed: &mut Option<Arc<Prepared>>,
        wanted: &Arc<Prepared>,
    ) {
        let is_parsed = parsed.as_ref().is_some_and(|parsed| Arc::ptr_eq(parsed, wanted));
        if !is_parsed {
            work.items.push(parse_item(wanted, true));
            *parsed = Some(wanted.clone());
        }
        work.add_needs(&wanted.class);
    }

    pub(super) async fn add_bind(
        &mut self,
        bind: Bind,
        work: &mut Work,
        parsed: &mut Option<Arc<Prepared>>,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let prepared = self.prepared(&bind.statement_name.unwrap_or_default())?;
        let portal = bind.portal_name.unwrap_or_default();
        self.portals.insert(portal.clone(), prepared.clone());
        if self.is_local_statement(&prepared) {
            self.run_segment(work, wire, WorkItem::Flush).await?;
            return Ok(send(wire, Reply::BindComplete(BindComplete::new())).await?);
        }
        Self::ensure_parsed(work, parsed, &prepared);
        work.items.push(WorkItem::Bind(BindContent {
            portal,
            parameter_formats: bind.parameter_format_codes,
            parameters: bind.parameters,
            result_formats: bind.result_column_format_codes,
        }));
        Ok(())
    }

    pub(super) async fn add_describe(
        &mut self,
        describe: Describe,
        work: &mut Work,
        parsed: &mut Option<Arc<Prepared>>,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let name = describe.name.unwrap_or_default();
        let is_statement = describe.target_type == STATEMENT_TARGET;
        let prepared = match is_statement {
            true => self.prepared(&name)?,
            false => self.portal(&name)?,
        };
        if self.is_local_statement(&prepared) {
            self.run_segment(work, wire, WorkItem::Flush).await?;
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
            Self::ensure_parsed(work, parsed, &prepared);
            work.items.push(WorkItem::DescribeStatement);
        } else {
            work.items.push(WorkItem::DescribePortal(name));
        }
        Ok(())
    }

    pub(super) fn portal(&self, name: &str) -> Result<Arc<Prepared>, BatchError> {
        self.portals.get(name).cloned().ok_or_else(|| {
            let message = format!("portal \"{name}\" does not exist");
            BatchError::Tell(SqlError::new("34000", message))
        })
    }

    pub(super) async fn add_execute(
        &mut self,
        execute: Execute,
        work: &mut Work,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let name = execute.name.unwrap_or_default();
        let prepared = self.portal(&name)?;
        if !self.is_local_statement(&prepared) {
            work.add_needs(&prepared.class);
            work.statements += 1;
            work.items.push(WorkItem::Execute { portal: name, max_rows: execute.max_rows });
            return Ok(());
        }
        self.run_segment(work, wire, WorkItem::Flush).await?;
        if prepared.is_empty {
            let empty = Reply::EmptyQueryResponse(EmptyQueryResponse::new());
            return Ok(send(wire, empty).await?);
        }
        if self.answers_locally(&prepared.class) {
            return self.execute_local(&prepared.class, wire).await;
        }
        self.execute_block_end(&prepared, wire).await
    }

    pub(super) async fn execute_local(
        &mut self,
        class: &StatementClass,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        if let StatementClass::Show { name } = class {
            // The columns were told in answer to Describe.
            let shown = self.runner.settings.show(name, &self.context.signer);
            send(wire, local_statement::text_row(&shown.map_err(BatchError::Tell)?)).await?;
            return Ok(send(wire, local_statement::command_complete("SHOW")).await?);
        }
        self.run_local(class, wire).await
    }

    /// Runs COMMIT or ROLLBACK, or a BEGIN within a block, as a simple query.
    pub(super) async fn execute_block_end(
        &mut self,
        prepared: &Prepared,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let mut work = Work {
            items: vec![WorkItem::Query(prepared.query.clone())],
            statements: 1,
            ..Work::default()
        };
        work.add_needs(&prepared.class);
        match self.run_work(&work, wire).await? {
            true => Ok(()),
            false => Err(BatchError::Told),
        }
    }

    pub(super) async fn add_close(
        &mut self,
        close: Close,
        work: &mut Work,
        wire: &mut CallerWire,
    ) -> Result<(), BatchError> {
        let name = close.name.unwrap_or_default();
        let is_statement = close.target_type == STATEMENT_TARGET;
        let known = match is_statement {
            true => self.prepared.remove(&name),
            false => self.portals.remove(&name),
        };
        let is_at_member = !is_statement
            && known.is_some_and(|prepared| !self.is_local_statement(&prepared))
            && (self.runner.has_lane() || !work.items.is_empty());
        if is_at_member {
            work.items.push(WorkItem::ClosePortal(name));
            return Ok(());
        }
        self.run_segment(work, wire, WorkItem::Flush).await?;
        Ok(send(wire, Reply::CloseComplete(CloseComplete::new())).await?)
    }
}

fn parse_item(prepared: &Prepared, is_added: bool) -> WorkItem {
    WorkItem::Parse {
        query: prepared.query.clone(),
        type_oids: prepared.type_oids.clone(),
        is_added,
    }
}
