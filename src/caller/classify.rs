//! Classifies statements by their syntax trees.
//!
//! The rule for reads on replicas is deliberately narrow: a plain query without locking clauses,
//! without writes in its WITH clauses, and with only functions that are known to have no side
//! effects. A statement that is not recognised runs on the primary, and its connection is closed
//! afterwards.

use std::ops::ControlFlow;

use sqlparser::ast::DiscardObject;
use sqlparser::ast::Expr;
use sqlparser::ast::Function;
use sqlparser::ast::ObjectName;
use sqlparser::ast::Query;
use sqlparser::ast::Reset;
use sqlparser::ast::Set;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::ast::TableFactor;
use sqlparser::ast::Visit;
use sqlparser::ast::Visitor;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::safe_functions;
use super::statement_class::StatementClass;

/// Maximum nesting depth of expressions that the parser accepts.
const RECURSION_LIMIT: usize = 100;

/// Classifies each statement of a query string.
///
/// A text that cannot be parsed counts as one unrecognised statement, which the member accepts or
/// rejects.
pub fn classify(sql: &str) -> Vec<StatementClass> {
    let dialect = PostgreSqlDialect {};
    let parser = Parser::new(&dialect).with_recursion_limit(RECURSION_LIMIT);
    let parsed = parser.try_with_sql(sql).and_then(|mut parser| parser.parse_statements());
    match parsed {
        Ok(statements) => statements.iter().map(classify_one).collect(),
        Err(_) => vec![StatementClass::Unrecognised],
    }
}

fn classify_one(statement: &Statement) -> StatementClass {
    let contents = StatementContents::of(statement);
    if let Some(reason) = contents.refusal {
        return StatementClass::Refused(reason);
    }
    match statement {
        Statement::Query(_) if contents.is_read_only => StatementClass::Read,
        Statement::Query(_) => StatementClass::Write,
        Statement::StartTransaction { modes, .. } => StatementClass::Begin {
            sql: statement.to_string(),
            is_read_only: modes.iter().any(|mode| mode.to_string() == "READ ONLY"),
        },
        Statement::Commit { chain: false, .. } => StatementClass::Commit,
        Statement::Rollback { chain: false, savepoint: None } => StatementClass::Rollback,
        Statement::Commit { .. } => refused("AND CHAIN"),
        Statement::Rollback { savepoint, .. } => match savepoint {
            Some(_) => StatementClass::Write,
            None => refused("AND CHAIN"),
        },
        Statement::Savepoint { .. } | Statement::ReleaseSavepoint { .. } => StatementClass::Write,
        Statement::Set(set) => classify_set(set),
        Statement::Reset(reset) => match &reset.reset {
            Reset::ALL => StatementClass::DiscardAll,
            Reset::ConfigurationParameter(name) => {
                StatementClass::Set { name: name.to_string().to_lowercase(), value: None }
            }
            Reset::SessionAuthorization => refused("RESET SESSION AUTHORIZATION"),
        },
        Statement::Discard { object_type } => match object_type {
            DiscardObject::ALL => StatementClass::DiscardAll,
            _ => refused("DISCARD"),
        },
        Statement::ShowVariable { variable } => classify_show(variable),
        Statement::Insert(_) | Statement::Update(_) | Statement::Delete(_) => StatementClass::Write,
        Statement::Merge { .. } | Statement::Truncate { .. } => StatementClass::Write,
        Statement::CreateTable(table) if table.temporary => refused("CREATE TEMPORARY TABLE"),
        Statement::CreateTable(_) | Statement::CreateIndex(_) => StatementClass::Write,
        Statement::AlterTable { .. } | Statement::Drop { .. } => StatementClass::Write,
        Statement::CreateView { .. } | Statement::Analyze { .. } => StatementClass::Write,
        Statement::Explain { .. } => StatementClass::Write,
        Statement::Copy { .. } => refused("COPY"),
        Statement::LISTEN { .. } => refused("LISTEN"),
        Statement::UNLISTEN { .. } => refused("UNLISTEN"),
        Statement::Prepare { .. } => refused("PREPARE as a statement"),
        Statement::Execute { .. } => refused("EXECUTE as a statement"),
        Statement::Deallocate { .. } => refused("DEALLOCATE"),
        Statement::Declare { .. } => refused("DECLARE"),
        Statement::Fetch { .. } | Statement::Close { .. } => refused("a cursor"),
        _ => StatementClass::Unrecognised,
    }
}

/// Returns whether a setting changes how the member reads literals. The parser would then take them
/// for something else than the member does.
fn is_string_setting(name: &ObjectName) -> bool {
    let name = name.to_string().to_lowercase().replace('"', "");
    name == "standard_conforming_strings"
}

fn refused(what: &str) -> StatementClass {
    StatementClass::Refused(format!("{what} is not supported through the proxy"))
}

/// Returns whether a query neither locks rows nor writes, its WITH clauses included.
fn is_read_only_query(query: &Query) -> bool {
    let ctes = query.with.iter().flat_map(|with| &with.cte_tables);
    let has_read_only_ctes = ctes.into_iter().all(|cte| is_read_only_query(&cte.query));
    query.locks.is_empty() && has_read_only_ctes && is_read_only_body(&query.body)
}

fn is_read_only_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(query) => is_read_only_query(query),
        SetExpr::SetOperation { left, right, .. } => {
            is_read_only_body(left) && is_read_only_body(right)
        }
        SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}

fn classify_show(variable: &[sqlparser::ast::Ident]) -> StatementClass {
    let words: Vec<String> = variable.iter().map(|word| word.value.to_lowercase()).collect();
    let name = words.join(".");
    match name.starts_with("snipehead") {
        true => StatementClass::Show { name },
        false => StatementClass::Write,
    }
}

fn classify_set(set: &Set) -> StatementClass {
    match set {
        Set::SingleAssignment {
            scope: Some(sqlparser::ast::ContextModifier::Local),
            variable,
            ..
        } => match is_string_setting(variable) {
            true => refused("SET LOCAL standard_conforming_strings"),
            false => StatementClass::Write,
        },
        Set::SingleAssignment { variable, values, .. } => StatementClass::Set {
            name: variable.to_string().to_lowercase(),
            value: setting_value(values),
        },
        Set::SetTimeZone { local: false, value } => StatementClass::Set {
            name: "timezone".to_owned(),
            value: setting_value(std::slice::from_ref(value)),
        },
        Set::SetNames { charset_name, .. } => StatementClass::Set {
            name: "client_encoding".to_owned(),
            value: Some(charset_name.value.clone()),
        },
        Set::SetTransaction { session: false, .. } | Set::SetTimeZone { .. } => {
            StatementClass::Write
        }
        _ => refused("this form of SET"),
    }
}

/// Returns the text of a setting's value, or `None` for DEFAULT.
fn setting_value(values: &[Expr]) -> Option<String> {
    let text = |value: &Expr| match value {
        Expr::Value(literal) => match literal.value.clone().into_string() {
            Some(text) => text,
            None => literal.to_string(),
        },
        other => other.to_string(),
    };
    let joined = values.iter().map(text).collect::<Vec<_>>().join(", ");
    match joined.eq_ignore_ascii_case("default") {
        true => None,
        false => Some(joined),
    }
}

/// Properties of a statement that depend on the queries and functions within it.
struct StatementContents {
    is_read_only: bool,
    refusal: Option<String>,
}

impl StatementContents {
    fn of(statement: &Statement) -> Self {
        let mut contents = Self { is_read_only: true, refusal: None };
        if let Statement::Call(function) = statement {
            contents.add_function(&function.name);
        }
        let _ = statement.visit(&mut contents);
        contents
    }

    /// Takes a call of a function into account.
    fn add_function(&mut self, name: &ObjectName) {
        let name = name.to_string().to_lowercase().replace('"', "");
        let name = name.strip_prefix("pg_catalog.").unwrap_or(&name);
        self.is_read_only &= safe_functions::is_read_only(name);
        let last = name.rsplit('.').next().unwrap_or(name);
        self.refusal = self.refusal.take().or_else(|| safe_functions::refusal_reason(last));
    }
}

impl Visitor for StatementContents {
    type Break = ();

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        if let Expr::Function(Function { name, .. }) = expression {
            self.add_function(name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        self.is_read_only &= is_read_only_query(query);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. } => {}
            TableFactor::Table { name, .. } | TableFactor::Function { name, .. } => {
                self.add_function(name)
            }
            _ => self.is_read_only = false,
        }
        ControlFlow::Continue(())
    }
}
