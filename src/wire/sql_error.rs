//! Errors as they are sent to PostgreSQL clients.

use std::fmt;

use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::ErrorResponse;

use super::sql_state;

/// An SQLSTATE with a message for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// `ERROR` or `FATAL`; a fatal error closes the connection.
    pub severity: &'static str,
    /// Five-character SQLSTATE.
    pub code: String,
    /// What happened, and whether the request has run.
    pub message: String,
    /// What the client can do about it; empty if there is no advice.
    pub hint: String,
}

impl SqlError {
    /// Creates an error that leaves the connection usable.
    pub fn new<M>(code: &str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            severity: "ERROR",
            code: code.to_owned(),
            message: message.into(),
            hint: String::new(),
        }
    }

    /// Creates an error after which the connection is closed.
    pub fn fatal<M>(code: &str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self { severity: "FATAL", ..Self::new(code, message) }
    }

    /// Adds a hint on what the client can do.
    pub fn with_hint<M>(mut self, hint: M) -> Self
    where
        M: Into<String>,
    {
        self.hint = hint.into();
        self
    }

    /// Decodes the error from a server's response.
    pub fn from_response(response: &ErrorResponse) -> Self {
        let field = |tag: u8| {
            let found = response.fields.iter().find(|(key, _)| *key == tag);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        Self {
            severity: if field(b'S') == "FATAL" { "FATAL" } else { "ERROR" },
            code: field(b'C'),
            message: field(b'M'),
            hint: field(b'H'),
        }
    }

    /// Returns whether the SQLSTATE guarantees that the request did not run.
    pub fn guarantees_not_run(&self) -> bool {
        [
            sql_state::NO_CAPACITY,
            sql_state::RATE_EXCEEDED,
            sql_state::STOPPING,
            sql_state::CANNOT_CONNECT,
            sql_state::NOT_RUN,
            sql_state::NOT_SUPPORTED,
        ]
        .contains(&self.code.as_str())
    }

    /// Encodes the error as a protocol message.
    pub fn into_message(self) -> PgWireBackendMessage {
        let mut info = ErrorInfo::new(self.severity.to_owned(), self.code, self.message);
        if !self.hint.is_empty() {
            info.hint = Some(self.hint);
        }
        PgWireBackendMessage::ErrorResponse(info.into())
    }
}

impl fmt::Display for SqlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} (SQLSTATE {})", self.message, self.code)
    }
}

impl std::error::Error for SqlError {}
