//! Calls with which daemons query the state of a member, and control it during a failover.

use sqlparser::ast::Expr;
use sqlparser::ast::Function;
use sqlparser::ast::FunctionArg;
use sqlparser::ast::FunctionArgExpr;
use sqlparser::ast::FunctionArguments;
use sqlparser::ast::Value;

use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// A procedure call in the control interface of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// `CALL group_status()`
    Status,
    /// `CALL group_accept_term(term, promoter)`
    AcceptTerm {
        /// Term to accept.
        term: u64,
        /// Promoter that requests it.
        promoter: String,
    },
    /// `CALL group_promote(term, promoter)`
    Promote {
        /// Term that was granted.
        term: u64,
        /// Promoter to which it was granted.
        promoter: String,
    },
    /// `CALL group_step_down(term)`
    StepDown {
        /// Term in which the member is primary.
        term: u64,
    },
    /// `CALL group_resume(term)`
    Resume {
        /// Term in which the member is primary.
        term: u64,
    },
    /// `CALL group_wait_applied(term, position, timeout_ms)`
    WaitApplied {
        /// Term that must be reached.
        term: u64,
        /// Position that must be reached.
        position: u64,
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
}

impl ControlCall {
    /// Parses a call.
    ///
    /// # Errors
    ///
    /// Returns SQLSTATE 42601 if the procedure is unknown or its arguments are invalid.
    pub fn parse(function: &Function) -> Result<Self, SqlError> {
        let name = function.name.to_string();
        let arguments = arguments_of(function);
        let text =
            |index: usize| arguments.get(index).cloned().ok_or_else(|| unknown_procedure(&name));
        let number =
            |index: usize| text(index)?.parse::<u64>().map_err(|_| unknown_procedure(&name));
        match name.as_str() {
            "group_status" => Ok(Self::Status),
            "group_accept_term" => Ok(Self::AcceptTerm { term: number(0)?, promoter: text(1)? }),
            "group_promote" => Ok(Self::Promote { term: number(0)?, promoter: text(1)? }),
            "group_step_down" => Ok(Self::StepDown { term: number(0)? }),
            "group_resume" => Ok(Self::Resume { term: number(0)? }),
            "group_wait_applied" => Ok(Self::WaitApplied {
                term: number(0)?,
                position: number(1)?,
                timeout_ms: number(2)?,
            }),
            _ => Err(unknown_procedure(&name)),
        }
    }
}

fn unknown_procedure(name: &str) -> SqlError {
    SqlError::new(
        sql_state::SYNTAX_ERROR,
        format!("procedure {name} with these arguments does not exist"),
    )
}

fn arguments_of(function: &Function) -> Vec<String> {
    let FunctionArguments::List(list) = &function.args else {
        return Vec::new();
    };
    list.args.iter().filter_map(argument_text).collect()
}

fn argument_text(argument: &FunctionArg) -> Option<String> {
    let FunctionArg::Unnamed(FunctionArgExpr::Expr(Expr::Value(value))) = argument else {
        return None;
    };
    match &value.value {
        Value::Number(number, _) => Some(number.clone()),
        Value::SingleQuotedString(text) => Some(text.clone()),
        _ => None,
    }
}
