//! The data file of a member.

use std::sync::Arc;
use std::time::Duration;

use rusqlite::Connection;
use rusqlite::types::Value;
use tempfile::TempDir;

use super::statement::LoggedStatement;

/// How long a statement waits for a lock in the data file.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// A data file that is removed when the last session on it ends.
pub struct Store {
    folder: Arc<TempDir>,
    applier: Connection,
}

impl Store {
    /// Creates an empty data file.
    ///
    /// # Errors
    ///
    /// Returns the library's error when the file cannot be made.
    pub fn create() -> rusqlite::Result<Self> {
        let folder = tempfile::tempdir().map_err(|_| rusqlite::Error::InvalidQuery)?;
        let applier = open(&folder)?;
        Ok(Self { folder: Arc::new(folder), applier })
    }

    /// Opens a further connection to the data file.
    ///
    /// # Errors
    ///
    /// Returns the library's error when the file cannot be opened.
    pub fn connect(&self) -> rusqlite::Result<Connection> {
        open(&self.folder)
    }

    /// Returns a handle that keeps the data file in being.
    pub fn keep(&self) -> Arc<TempDir> {
        self.folder.clone()
    }

    /// Applies the writes of one transaction.
    ///
    /// # Errors
    ///
    /// Returns the library's error, after which nothing is applied.
    pub fn apply(&mut self, statements: &[LoggedStatement]) -> rusqlite::Result<()> {
        if statements.is_empty() {
            return Ok(());
        }
        let transaction = self.applier.transaction()?;
        for statement in statements {
            execute(&transaction, &statement.sql, &to_values(statement))?;
        }
        transaction.commit()
    }
}

fn to_values(statement: &LoggedStatement) -> Vec<Value> {
    statement.parameters.iter().map(Value::from).collect()
}

/// Binds `$n` parameters and runs a statement to its end.
fn execute(connection: &Connection, sql: &str, values: &[Value]) -> rusqlite::Result<()> {
    let mut prepared = connection.prepare_cached(sql)?;
    bind(&mut prepared, values)?;
    let mut rows = prepared.raw_query();
    while rows.next()?.is_some() {}
    Ok(())
}

/// Binds `$n` parameters by their names.
pub(super) fn bind(
    prepared: &mut rusqlite::Statement<'_>,
    values: &[Value],
) -> rusqlite::Result<()> {
    for (index, value) in values.iter().enumerate() {
        let name = format!("${}", index + 1);
        if let Some(slot) = prepared.parameter_index(&name)? {
            prepared.raw_bind_parameter(slot, value)?;
        }
    }
    Ok(())
}

fn open(folder: &TempDir) -> rusqlite::Result<Connection> {
    let connection = Connection::open(folder.path().join("data"))?;
    connection.busy_timeout(LOCK_TIMEOUT)?;
    connection.pragma_update(None, "journal_mode", "MEMORY")?;
    connection.pragma_update(None, "synchronous", "OFF")?;
    Ok(connection)
}
