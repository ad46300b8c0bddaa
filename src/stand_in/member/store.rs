//! SQLite data file of a member.

use std::sync::Arc;
use std::time::Duration;

use rusqlite::Connection;
use rusqlite::types::Value;
use tempfile::TempDir;

use super::statement::LoggedStatement;

/// Timeout for a lock on the data file.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// A data file, which is removed when neither the store nor a session uses it any more.
pub struct Store {
    directory: Arc<TempDir>,
    apply_connection: Connection,
}

impl Store {
    /// Creates an empty data file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created.
    pub fn create() -> rusqlite::Result<Self> {
        let directory = tempfile::tempdir().map_err(|_| rusqlite::Error::InvalidQuery)?;
        let apply_connection = open(&directory)?;
        Ok(Self { directory: Arc::new(directory), apply_connection })
    }

    /// Opens another connection to the data file.
    ///
    /// # Errors
    ///
    /// Returns SQLite's error if the file cannot be opened.
    pub fn connect(&self) -> rusqlite::Result<Connection> {
        open(&self.directory)
    }

    /// Returns the temporary directory of the data file, which exists as long as a handle to it.
    pub fn directory(&self) -> Arc<TempDir> {
        self.directory.clone()
    }

    /// Applies the writes of one transaction.
    ///
    /// # Errors
    ///
    /// Returns SQLite's error if a write fails; then none is applied.
    pub fn apply(&mut self, statements: &[LoggedStatement]) -> rusqlite::Result<()> {
        if statements.is_empty() {
            return Ok(());
        }
        let transaction = self.apply_connection.transaction()?;
        for statement in statements {
            execute(&transaction, &statement.sql, &to_values(statement))?;
        }
        transaction.commit()
    }
}

fn to_values(statement: &LoggedStatement) -> Vec<Value> {
    statement.parameters.iter().map(Value::from).collect()
}

/// Runs a statement with `$n` parameters to completion.
fn execute(connection: &Connection, sql: &str, values: &[Value]) -> rusqlite::Result<()> {
    let mut prepared = connection.prepare_cached(sql)?;
    bind(&mut prepared, values)?;
    let mut rows = prepared.raw_query();
    while rows.next()?.is_some() {}
    Ok(())
}

/// Binds the values to the parameters `$1`, `$2` and so on. The names are looked up because SQLite
/// numbers them in the order in which they occur.
pub(super) fn bind(
    prepared: &mut rusqlite::Statement<'_>,
    values: &[Value],
) -> rusqlite::Result<()> {
    for (index, value) in values.iter().enumerate() {
        let name = format!("${}", index + 1);
        if let Some(parameter) = prepared.parameter_index(&name)? {
            prepared.raw_bind_parameter(parameter, value)?;
        }
    }
    Ok(())
}

fn open(directory: &TempDir) -> rusqlite::Result<Connection> {
    let connection = Connection::open(directory.path().join("data"))?;
    connection.busy_timeout(LOCK_TIMEOUT)?;
    connection.pragma_update(None, "journal_mode", "MEMORY")?;
    connection.pragma_update(None, "synchronous", "OFF")?;
    Ok(connection)
}
