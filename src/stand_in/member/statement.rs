//! Classification of statements, and their form in the log.

use rusqlite::types::Value;
use serde::Deserialize;
use serde::Serialize;
use sqlparser::ast::Expr;
use sqlparser::ast::Query;
use sqlparser::ast::SelectItem;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::ast::Value as AstValue;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::Tokenizer;

use super::control_call::ControlCall;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// A parameter value in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoggedValue {
    /// SQL NULL.
    Null,
    /// A 64-bit integer.
    Integer(i64),
    /// A 64-bit float.
    Real(f64),
    /// A text.
    Text(String),
    /// A byte string.
    Blob(Vec<u8>),
}

impl From<&LoggedValue> for Value {
    fn from(value: &LoggedValue) -> Self {
        match value {
            LoggedValue::Null => Self::Null,
            LoggedValue::Integer(number) => Self::Integer(*number),
            LoggedValue::Real(number) => Self::Real(*number),
            LoggedValue::Text(text) => Self::Text(text.clone()),
            LoggedValue::Blob(bytes) => Self::Blob(bytes.clone()),
        }
    }
}

/// A write statement with its parameters, as stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedStatement {
    /// Text of the statement.
    pub sql: String,
    /// Values of `$1`, `$2` and so on.
    pub parameters: Vec<LoggedValue>,
}

/// Kind of a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind {
    /// Opens a transaction block.
    Begin {
        /// Whether the transaction block is read-only.
        is_read_only: bool,
    },
    /// Commits the transaction block.
    Commit,
    /// Rolls the transaction block back.
    Rollback,
    /// Changes or resets settings of the session; accepted without effect. Holds the command tag.
    Setting(&'static str),
    /// Calls a procedure of the control interface of the member.
    Control(ControlCall),
    /// Returns a text that the statement contains, and reads no data.
    Constant,
    /// Reads data.
    Read,
    /// Writes data or changes the schema. Holds the start of the command tag.
    Write(&'static str),
}

/// A parsed statement.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatement {
    /// Text of the statement.
    pub sql: String,
    /// Kind of the statement.
    pub kind: StatementKind,
}

/// Parses the statements of a query string.
///
/// # Errors
///
/// Returns SQLSTATE 42601 if the text is not valid SQL or a control call is invalid, and 0A000 if a
/// statement is not supported.
pub fn parse(sql: &str) -> Result<Vec<MemberStatement>, SqlError> {
    let dialect = PostgreSqlDialect {};
    let syntax_error = |reason: String| SqlError::new(sql_state::SYNTAX_ERROR, reason);
    let tokens = Tokenizer::new(&dialect, sql)
        .tokenize()
        .map_err(|error| syntax_error(error.to_string()))?;
    // SQLite has no literals with escapes.
    let plain = |token: Token| match token {
        Token::EscapedStringLiteral(text) => Token::SingleQuotedString(text),
        other => other,
    };
    let parsed = Parser::new(&dialect)
        .with_tokens(tokens.into_iter().map(plain).collect())
        .parse_statements()
        .map_err(|error| syntax_error(error.to_string()))?;
    parsed.iter().map(classify).collect()
}

fn classify(statement: &Statement) -> Result<MemberStatement, SqlError> {
    let kind = match statement {
        Statement::StartTransaction { modes, .. } => StatementKind::Begin {
            is_read_only: modes.iter().any(|mode| mode.to_string() == "READ ONLY"),
        },
        Statement::Commit { .. } => StatementKind::Commit,
        Statement::Rollback { .. } => StatementKind::Rollback,
        Statement::Set(_) | Statement::Reset(_) => StatementKind::Setting("SET"),
        Statement::Discard { .. } => StatementKind::Setting("DISCARD ALL"),
        Statement::Call(function) => StatementKind::Control(ControlCall::parse(function)?),
        Statement::Query(query) if is_constant(query) => StatementKind::Constant,
        Statement::Query(_) => StatementKind::Read,
        Statement::Insert(_) => StatementKind::Write("INSERT 0"),
        Statement::Update { .. } => StatementKind::Write("UPDATE"),
        Statement::Delete(_) => StatementKind::Write("DELETE"),
        Statement::CreateTable(_) => StatementKind::Write("CREATE TABLE"),
        Statement::CreateIndex(_) => StatementKind::Write("CREATE INDEX"),
        Statement::Drop { .. } => StatementKind::Write("DROP TABLE"),
        other => {
            let keyword = other.to_string();
            let keyword = keyword.split(' ').next().unwrap_or_default().to_owned();
            return Err(SqlError::new(
                sql_state::NOT_SUPPORTED,
                format!("{keyword} is not supported by this member"),
            ));
        }
    };
    Ok(MemberStatement { sql: statement.to_string(), kind })
}

/// Returns whether a query consists of one text only, such as `SELECT 'text'`.
fn is_constant(query: &Query) -> bool {
    let SetExpr::Select(select) = query.body.as_ref() else {
        return false;
    };
    let [SelectItem::UnnamedExpr(Expr::Value(value))] = select.projection.as_slice() else {
        return false;
    };
    select.from.is_empty() && matches!(value.value, AstValue::SingleQuotedString(_))
}
