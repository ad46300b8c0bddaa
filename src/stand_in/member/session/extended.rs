//! The extended query protocol of a session.

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
use pgwire::messages::response::EmptyQueryResponse;
use rusqlite::Connection;
use rusqlite::types::Value;

use super::FramedStream;
use super::Session;
use super::control::status_columns;
use super::to_sql_error;
use crate::stand_in::member::parameter::decode_parameter;
use crate::stand_in::member::result_set;
use crate::stand_in::member::statement;
use crate::stand_in::member::statement::MemberStatement;
use crate::stand_in::member::statement::StatementKind;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// A prepared statement. `statement` is `None` for an empty query string.
pub(super) struct PreparedStatement {
    statement: Option<MemberStatement>,
    type_oids: Vec<u32>,
}

/// A prepared statement with bound parameters and result formats.
pub(super) struct Portal {
    statement: Option<MemberStatement>,
    values: Vec<Value>,
    formats: Vec<i16>,
}

impl Session {
    /// Handles a message of the extended query protocol. After an error it skips all messages up to
    /// the next Sync, as the protocol requires. Returns `None` if the connection failed.
    pub(super) async fn handle_extended(
        &mut self,
        framed: &mut FramedStream,
        message: Request,
    ) -> Option<()> {
        let mut replies = Vec::new();
        let outcome = tokio::task::block_in_place(|| self.process_extended(message, &mut replies));
        let failed = outcome.is_err();
        if let Err(error) = outcome {
            self.fail_transaction();
            replies.push(error.into_message());
        }
        for reply in replies {
            framed.feed(reply).await.ok()?;
        }
        if failed {
            framed.flush().await.ok()?;
            while !matches!(framed.next().await?.ok()?, Request::Sync(_)) {}
            framed.send(self.ready()).await.ok()?;
        }
        Some(())
    }

    fn process_extended(
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
                "this message type is not supported by this member",
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
        let prepared =
            PreparedStatement { statement: statements.pop(), type_oids: parse.type_oids };
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
        self.check_data_generation()?;
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
        self.check_data_generation()?;
        let portal = self.portals.get(name).ok_or_else(|| unknown_name(name))?;
        let statement = portal.statement.as_ref();
        replies.push(describe_columns(&self.connection, statement, &portal.formats)?);
        Ok(())
    }
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
        StatementKind::Constant | StatementKind::Read | StatementKind::Write(_) => {
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
        format!("prepared statement or portal \"{name}\" does not exist"),
    )
}
