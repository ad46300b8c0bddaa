//! Memory of a call of another node, and of its reply.

use crate::outcome::Answer;
use crate::relay::Call;
use crate::relay::CallAction;
use crate::statement::StatementBody;

/// Memory of a call beyond its texts, in bytes: the task that runs it, its place in the queue and the
/// entry of its transaction.
const CALL_BYTES: usize = 8 << 10;

/// Copies of a call's texts while it runs: the decoded one, and the line that is written to a member.
const COPIES: usize = 2;

/// Returns the memory of a running call.
pub fn call_bytes(call: &Call) -> usize {
    let body_bytes = match &call.action {
        CallAction::Run(statement) => match &statement.body {
            StatementBody::Text(text) => text.len(),
            StatementBody::Execute { shape, arguments } => shape.shape.len() + arguments.len(),
        },
        CallAction::Commit { .. } | CallAction::Rollback => 0,
    };
    let values = call.values.iter().map(|(name, value)| name.len() + value.len());
    CALL_BYTES + COPIES * (body_bytes + values.sum::<usize>())
}

/// Returns whether a call may be refused for lack of memory: it belongs to no open transaction.
pub fn may_refuse(call: &Call) -> bool {
    call.transaction.is_none()
}

/// Returns the bytes of an answer's rows.
pub fn answer_bytes(answer: &Answer) -> usize {
    answer.rows.iter().map(|row| row.len() + size_of_val(row)).sum()
}
