//! A caller that uses an unmodified PostgreSQL driver.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Timeout for the response to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request succeeded. Holds the values of the first column.
    Done(Vec<String>),
    /// The request was refused or failed. Holds the SQLSTATE and the message.
    Error(String, String),
    /// The connection closed, or the timeout passed, without a response.
    NoResponse,
}

impl Outcome {
    /// Returns whether the request is known not to have run.
    pub fn is_known_not_run(&self) -> bool {
        let codes = ["53300", "53400", "57P01", "57P03", "SH002", "0A000"];
        matches!(self, Self::Error(code, _) if codes.contains(&code.as_str()))
    }

    /// Returns whether the request succeeded.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }

    /// Returns the first value as a number, or -1 if it is missing or not a number. Panics if the
    /// request did not succeed.
    pub fn as_i64(&self) -> i64 {
        match self {
            Self::Done(values) => values.first().and_then(|value| value.parse().ok()).unwrap_or(-1),
            other => panic!("the request did not succeed: {other:?}"),
        }
    }
}

/// A caller's connection.
pub struct SqlClient {
    /// Client of the driver.
    pub client: Client,
    connection_task: tokio::task::JoinHandle<()>,
    /// Error with which the daemon closed the connection, if it sent one while no request ran.
    closing_error: Arc<Mutex<Option<(String, String)>>>,
}

impl std::fmt::Debug for SqlClient {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("SqlClient").finish_non_exhaustive()
    }
}

impl Drop for SqlClient {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl SqlClient {
    /// Connects to a group as a workspace, with start-up options for the session.
    pub async fn connect(
        address: SocketAddr,
        workspace: &str,
        key: &str,
        group: &str,
        options: &str,
    ) -> Result<Self, String> {
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(workspace)
            .password(key)
            .dbname(group)
            .connect_timeout(Duration::from_secs(5));
        if !options.is_empty() {
            config.options(options);
        }
        let connecting = tokio::time::timeout(Duration::from_secs(10), config.connect(NoTls)).await;
        let (client, connection) = connecting
            .map_err(|_| "connecting timed out".to_owned())?
            .map_err(|error| describe(&error))?;
        let closing_error = Arc::new(Mutex::new(None));
        let recorded_error = closing_error.clone();
        let connection_task = tokio::spawn(async move {
            let connection_error = connection.await.err();
            if let Some(error) =
                connection_error.as_ref().and_then(tokio_postgres::Error::as_db_error)
            {
                let code_and_message = (error.code().code().to_owned(), error.message().to_owned());
                *recorded_error.lock().expect("the lock is not poisoned") = Some(code_and_message);
            }
        });
        Ok(Self { client, connection_task, closing_error })
    }

    /// Runs a simple query.
    pub async fn run(&self, sql: &str) -> Outcome {
        let responding = self.client.simple_query(sql);
        let Ok(response) = tokio::time::timeout(RESPONSE_TIMEOUT, responding).await else {
            return Outcome::NoResponse;
        };
        match response {
            Ok(messages) => {
                let value = |message: SimpleQueryMessage| match message {
                    SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
                    _ => None,
                };
                Outcome::Done(messages.into_iter().filter_map(value).collect())
            }
            Err(error) => match error.as_db_error() {
                Some(db_error) => {
                    Outcome::Error(db_error.code().code().to_owned(), db_error.message().to_owned())
                }
                None => self.closing_outcome().await,
            },
        }
    }

    /// Returns the outcome of a request on a closed connection: a daemon that drains sends an error
    /// before it closes a connection, and runs no request after that.
    async fn closing_outcome(&self) -> Outcome {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(500);
        while !self.connection_task.is_finished() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        match self.closing_error.lock().expect("the lock is not poisoned").clone() {
            Some((code, message)) => Outcome::Error(code, message),
            None => Outcome::NoResponse,
        }
    }

    /// Runs a simple query that must succeed, and returns the values of the first column.
    pub async fn run_ok(&self, sql: &str) -> Vec<String> {
        match self.run(sql).await {
            Outcome::Done(values) => values,
            other => panic!("{sql} did not succeed: {other:?}"),
        }
    }
}

fn describe(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(db_error) => format!("{} {}", db_error.code().code(), db_error.message()),
        None => error.to_string(),
    }
}
