//! A caller with an unmodified PostgreSQL driver.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Longest time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered, with these values of the first column.
    Done(Vec<String>),
    /// It was refused or failed with an SQLSTATE.
    Refused(String, String),
    /// The connection ended without an answer.
    Lost,
}

impl Outcome {
    /// Returns whether the request is known not to have run.
    pub fn says_not_run(&self) -> bool {
        let codes = ["53300", "53400", "57P01", "57P03", "SH002", "0A000"];
        matches!(self, Self::Refused(code, _) if codes.contains(&code.as_str()))
    }

    /// Returns whether the request was done.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }

    /// Returns the only value, as a number.
    pub fn number(&self) -> i64 {
        match self {
            Self::Done(values) => values.first().and_then(|value| value.parse().ok()).unwrap_or(-1),
            other => panic!("no answer: {other:?}"),
        }
    }
}

/// A caller's connection.
pub struct Sql {
    /// The driver's connection.
    pub client: Client,
    driver: tokio::task::JoinHandle<()>,
    /// Error by which the daemon ended the connection, if it did, while no request ran.
    last_word: Arc<Mutex<Option<(String, String)>>>,
}

impl std::fmt::Debug for Sql {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Sql").finish_non_exhaustive()
    }
}

impl Drop for Sql {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Sql {
    /// Connects.
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
            .map_err(|_| "connecting took too long".to_owned())?
            .map_err(|error| describe(&error))?;
        let last_word = Arc::new(Mutex::new(None));
        let heard = last_word.clone();
        let driver = tokio::spawn(async move {
            let ended = connection.await.err();
            if let Some(error) = ended.as_ref().and_then(tokio_postgres::Error::as_db_error) {
                let word = (error.code().code().to_owned(), error.message().to_owned());
                *heard.lock().expect("no panic") = Some(word);
            }
        });
        Ok(Self { client, driver, last_word })
    }

    /// Runs a simple query.
    pub async fn run(&self, sql: &str) -> Outcome {
        let answering = self.client.simple_query(sql);
        let Ok(answer) = tokio::time::timeout(ANSWER_TIMEOUT, answering).await else {
            return Outcome::Lost;
        };
        match answer {
            Ok(messages) => {
                let value = |message: SimpleQueryMessage| match message {
                    SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
                    _ => None,
                };
                Outcome::Done(messages.into_iter().filter_map(value).collect())
            }
            Err(error) => match error.as_db_error() {
                Some(known) => {
                    Outcome::Refused(known.code().code().to_owned(), known.message().to_owned())
                }
                None => self.ended().await,
            },
        }
    }

    /// Tells how the connection ended: a daemon that leaves says so, and then takes no request.
    async fn ended(&self) -> Outcome {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(500);
        while !self.driver.is_finished() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        match self.last_word.lock().expect("no panic").clone() {
            Some((code, message)) => Outcome::Refused(code, message),
            None => Outcome::Lost,
        }
    }

    /// Runs a simple query that must succeed; returns the first column's values.
    pub async fn done(&self, sql: &str) -> Vec<String> {
        match self.run(sql).await {
            Outcome::Done(values) => values,
            other => panic!("{sql}: {other:?}"),
        }
    }
}

fn describe(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(known) => format!("{} {}", known.code().code(), known.message()),
        None => error.to_string(),
    }
}
