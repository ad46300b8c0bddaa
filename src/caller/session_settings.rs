//! Settings of a caller's session.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::group::log_position::LogPosition;
use crate::traffic::token::TokenContent;
use crate::traffic::token::TokenSigner;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_literal::text_literal;
use crate::wire::sql_state;
use snipehead_core::session_positions::SessionPositions;

/// PostgreSQL settings that a session may change. They are set on each connection that the session
/// uses, and reset before the connection is released.
const FORWARDED: [&str; 11] = [
    "bytea_output",
    "datestyle",
    "extra_float_digits",
    "idle_in_transaction_session_timeout",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "statement_timeout",
    "timezone",
    "transaction_isolation",
    "xmloption",
];

/// Settings that are accepted and ignored, because they don't affect results.
const IGNORED: [&str; 3] = ["application_name", "client_min_messages", "log_statement"];

/// Setting that holds the id of the next request or transaction.
pub const REQUEST_ID_SETTING: &str = "snipehead.request_id";

/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 200;

/// Settings of a caller's session.
#[derive(Clone, Debug, Default)]
pub struct SessionSettings {
    /// Workspace of the session.
    pub workspace: Arc<str>,
    /// Group of the session.
    pub group: Arc<str>,
    /// PostgreSQL settings to set on the member, by name.
    pub member_settings: BTreeMap<String, String>,
    /// Maximum age of what reads return, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Request id of the next request or transaction.
    pub request_id: Option<String>,
    /// Log positions up to which the session has written, in this group and others.
    pub written_positions: SessionPositions,
    /// Log position that includes every write acknowledged before the session's first request, once
    /// known.
    pub initial_floor: Option<LogPosition>,
    /// Whether the session has presented a token with the positions of its earlier writes.
    pub has_token: bool,
}

impl SessionSettings {
    /// Creates the settings of a new session.
    pub fn new(workspace: Arc<str>, group: Arc<str>) -> Self {
        Self { workspace, group, ..Self::default() }
    }

    /// Returns the log position up to which the session has written in its group.
    pub fn written_position(&self) -> LogPosition {
        self.written_positions.position(&self.group).unwrap_or_default()
    }

    /// Records a commit of the session.
    pub fn record_commit(&mut self, commit: LogPosition) {
        self.written_positions.record(&self.group, commit);
    }

    /// Sets or resets a setting.
    ///
    /// # Errors
    ///
    /// Returns 22023 for an invalid value and 0A000 for a setting that is not supported.
    pub fn set(
        &mut self,
        name: &str,
        value: Option<String>,
        signer: &TokenSigner,
    ) -> Result<(), SqlError> {
        match name {
            "snipehead.max_age_ms" => {
                self.max_age_ms = value.map(|text| parse_age(&text)).transpose()?;
            }
            REQUEST_ID_SETTING => {
                self.request_id = value.map(check_request_id).transpose()?;
            }
            "snipehead.token" => self.apply_token(value.as_deref().unwrap_or_default(), signer)?,
            "client_encoding" | "names" => check_encoding(value.as_deref())?,
            "standard_conforming_strings" => check_strings(value.as_deref())?,
            _ if IGNORED.contains(&name) => {}
            _ if FORWARDED.contains(&name) => match value {
                Some(value) => drop(self.member_settings.insert(name.to_owned(), value)),
                None => drop(self.member_settings.remove(name)),
            },
            _ => {
                let message = format!("setting {name} is not supported through the proxy");
                return Err(SqlError::new(sql_state::NOT_SUPPORTED, message));
            }
        }
        Ok(())
    }

    /// Returns the value of one of the `snipehead` settings.
    ///
    /// # Errors
    ///
    /// Returns 22023 for a name that does not exist.
    pub fn show(&self, name: &str, signer: &TokenSigner) -> Result<String, SqlError> {
        match name {
            "snipehead.max_age_ms" => {
                Ok(self.max_age_ms.map(|age_ms| age_ms.to_string()).unwrap_or_default())
            }
            REQUEST_ID_SETTING => Ok(self.request_id.clone().unwrap_or_default()),
            "snipehead.token" => Ok(signer.sign(&TokenContent {
                workspace: self.workspace.to_string(),
                floors: self.written_positions.clone(),
            })),
            _ => {
                let message = format!("setting \"{name}\" does not exist");
                Err(SqlError::new(sql_state::INVALID_PARAMETER, message))
            }
        }
    }

    /// Resets all settings, but keeps the positions of the session's writes.
    pub fn reset_all(&mut self) {
        self.member_settings.clear();
        self.max_age_ms = None;
        self.request_id = None;
    }

    /// Returns the statements that apply the settings to a connection.
    pub fn setup_sql(&self) -> String {
        let set =
            |(name, value): (&String, &String)| format!("SET {name} = {}; ", text_literal(value));
        self.member_settings.iter().map(set).collect()
    }

    fn apply_token(&mut self, token: &str, signer: &TokenSigner) -> Result<(), SqlError> {
        let Some(content) = signer.verify(token, &self.workspace) else {
            let message = "the session token is not valid for this workspace";
            return Err(SqlError::new(sql_state::INVALID_PARAMETER, message));
        };
        self.written_positions.merge(&content.floors);
        self.has_token = true;
        Ok(())
    }
}

fn parse_age(text: &str) -> Result<u64, SqlError> {
    text.parse().map_err(|_| {
        let message = format!("maximum age \"{text}\" is not a whole number of milliseconds");
        SqlError::new(sql_state::INVALID_PARAMETER, message)
    })
}

fn check_request_id(text: String) -> Result<String, SqlError> {
    match text.is_empty() || text.len() > MAX_REQUEST_ID_BYTES {
        false => Ok(text),
        true => {
            let message = format!("a request id must have 1 to {MAX_REQUEST_ID_BYTES} bytes");
            Err(SqlError::new(sql_state::INVALID_PARAMETER, message))
        }
    }
}

/// Accepts only the way to read literals that the proxy itself uses to classify statements.
fn check_strings(value: Option<&str>) -> Result<(), SqlError> {
    let text = value.unwrap_or("on").to_lowercase();
    match ["on", "true", "yes", "1"].contains(&text.as_str()) {
        true => Ok(()),
        false => {
            let message = "standard_conforming_strings must stay on through the proxy";
            Err(SqlError::new(sql_state::NOT_SUPPORTED, message))
        }
    }
}

fn check_encoding(value: Option<&str>) -> Result<(), SqlError> {
    let name = value.unwrap_or("UTF8").to_lowercase().replace('-', "");
    match ["utf8", "unicode"].contains(&name.as_str()) {
        true => Ok(()),
        false => {
            let message = format!("encoding \"{name}\" is not supported; use UTF8");
            Err(SqlError::new(sql_state::NOT_SUPPORTED, message))
        }
    }
}
