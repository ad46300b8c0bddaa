//! Matches the replies to a control call, and proves that they belong to it.

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::response::TransactionStatus;

use crate::wire::sql_error::SqlError;
use crate::wire::text_row::text_values;

/// What the replies received so far amount to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// More replies must arrive.
    Incomplete,
    /// All replies arrived. Holds the values of the call's row, or the error of the member.
    Complete(Result<Vec<String>, SqlError>),
    /// The member closes the connection with this error.
    Closing(SqlError),
    /// A reply does not belong to the call.
    OutOfStep,
}

/// Next reply that is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Description,
    Row,
    Completion,
    Ready,
}

/// The replies to a control call and to the query of a marker that was sent along.
///
/// The reply to an earlier call looks like the reply to this one. But the marker is new with every
/// call, and its row must follow the only reply to the call.
#[derive(Clone, Debug)]
pub struct CallReplies {
    marker: String,
    expected: Expected,
    row: Vec<String>,
    error: Option<SqlError>,
    /// Outcome of the call, once its reply is complete.
    outcome: Option<Result<Vec<String>, SqlError>>,
}

impl CallReplies {
    /// Expects the replies to a call that was sent with a marker.
    pub fn new(marker: &str) -> Self {
        Self {
            marker: marker.to_owned(),
            expected: Expected::Description,
            row: Vec::new(),
            error: None,
            outcome: None,
        }
    }

    /// Returns the query of the marker, which must be sent right after the call.
    pub fn marker_sql(&self) -> String {
        format!("SELECT '{}'", self.marker)
    }

    /// Takes the next reply.
    pub fn accept(&mut self, reply: &Reply) -> CallProgress {
        let next = match (self.expected, reply) {
            (
                _,
                Reply::NoticeResponse(_)
                | Reply::ParameterStatus(_)
                | Reply::NotificationResponse(_),
            ) => return CallProgress::Incomplete,
            (Expected::Description, Reply::RowDescription(_)) => Expected::Row,
            (Expected::Row, Reply::DataRow(row)) => {
                self.row = text_values(row);
                Expected::Completion
            }
            (Expected::Completion, Reply::CommandComplete(_)) => Expected::Ready,
            (_, Reply::ErrorResponse(response)) => {
                let error = SqlError::from_response(response);
                if error.severity == "FATAL" {
                    return CallProgress::Closing(error);
                }
                if self.expected == Expected::Ready || self.outcome.is_some() {
                    return CallProgress::OutOfStep;
                }
                self.error = Some(error);
                Expected::Ready
            }
            (Expected::Ready, Reply::ReadyForQuery(ready))
                if ready.status == TransactionStatus::Idle =>
            {
                return self.end_reply();
            }
            _ => return CallProgress::OutOfStep,
        };
        self.expected = next;
        CallProgress::Incomplete
    }

    /// Ends the reply to the call, or to the query of the marker.
    fn end_reply(&mut self) -> CallProgress {
        self.expected = Expected::Description;
        let row = std::mem::take(&mut self.row);
        match self.outcome.take() {
            None => {
                self.outcome = Some(self.error.take().map_or(Ok(row), Err));
                CallProgress::Incomplete
            }
            Some(outcome) if row == [self.marker.as_str()] => CallProgress::Complete(outcome),
            Some(_) => CallProgress::OutOfStep,
        }
    }
}
