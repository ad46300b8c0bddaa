//! Generates load on a set of connections and measures latencies and failures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Table that the load reads and writes.
const TABLE: &str = "snipehead_load";

/// Number of rows in the table.
const ROWS: i64 = 1_000;

/// Upper bound of the histograms, in microseconds. Higher latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Addresses and credentials to connect with.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// Addresses. Connections are spread over them in turn.
    pub addresses: Vec<SocketAddr>,
    /// Name of the workspace, sent as the user name.
    pub workspace: String,
    /// Key of the workspace, sent as the password.
    pub key: String,
    /// Name of the group, sent as the database name.
    pub group: String,
    /// Session settings in the form of a connection string's `options`.
    pub options: String,
}

/// Kind and amount of load.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Connections per workspace.
    pub connections: usize,
    /// How long to generate load.
    pub duration: Duration,
    /// Statements per second and workspace (open loop). With 0, each statement is sent when the
    /// previous one is answered (closed loop).
    pub rate_per_s: u64,
    /// Percentage of statements that write.
    pub write_percent: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Results of one class of statements, `read` or `write`. Only statements that succeeded count
/// towards the latencies.
#[derive(Clone, Debug, Serialize)]
pub struct ClassStats {
    /// Name of the class.
    pub name: &'static str,
    /// Statements that succeeded.
    pub done: u64,
    /// Statements that failed.
    pub failed: u64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency, in microseconds.
    pub p99_us: u64,
    /// Highest latency, in microseconds.
    pub max_us: u64,
}

/// Results of one workspace.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceStats {
    /// Name of the workspace.
    pub workspace: String,
    /// Results per class of statements.
    pub classes: Vec<ClassStats>,
    /// Highest latency of the statements that ended in each tenth of a second, in microseconds,
    /// failed ones included.
    pub worst_us_by_100_ms: Vec<u64>,
}

/// Measurements of one connection, or of several merged ones. Arrays are indexed by class.
struct Samples {
    latency_us: [Histogram<u64>; 2],
    failed: [u64; 2],
    worst_us_by_100_ms: Vec<u64>,
}

impl Samples {
    fn new() -> Result<Self, String> {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(|error| error.to_string());
        Ok(Self {
            latency_us: [histogram()?, histogram()?],
            failed: [0, 0],
            worst_us_by_100_ms: Vec::new(),
        })
    }

    fn record(
        &mut self,
        is_write: bool,
        since_start: Duration,
        latency: Duration,
        succeeded: bool,
    ) {
        let class = usize::from(is_write);
        let latency_us = latency.as_micros() as u64;
        let slot = (since_start.as_millis() / 100) as usize;
        if self.worst_us_by_100_ms.len() <= slot {
            self.worst_us_by_100_ms.resize(slot + 1, 0);
        }
        self.worst_us_by_100_ms[slot] = self.worst_us_by_100_ms[slot].max(latency_us);
        match succeeded {
            true => self.latency_us[class].saturating_record(latency_us),
            false => self.failed[class] += 1,
        }
    }

    fn merge(&mut self, other: &Self) {
        for class in 0..2 {
            // Adding cannot fail because both histograms have the same bounds.
            let _ = self.latency_us[class].add(&other.latency_us[class]);
            self.failed[class] += other.failed[class];
        }
        let longest = self.worst_us_by_100_ms.len().max(other.worst_us_by_100_ms.len());
        self.worst_us_by_100_ms.resize(longest, 0);
        for (worst, theirs) in self.worst_us_by_100_ms.iter_mut().zip(&other.worst_us_by_100_ms) {
            *worst = (*worst).max(*theirs);
        }
    }

    fn stats(&self) -> Vec<ClassStats> {
        let stats = |(class, name): (usize, &'static str)| ClassStats {
            name,
            done: self.latency_us[class].len(),
            failed: self.failed[class],
            p50_us: self.latency_us[class].value_at_quantile(0.5),
            p99_us: self.latency_us[class].value_at_quantile(0.99),
            max_us: self.latency_us[class].max(),
        };
        ["read", "write"].into_iter().enumerate().map(stats).collect()
    }
}

/// A connection to a daemon or a member. Dropping it aborts its driver task.
pub struct Connection {
    client: Client,
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Executes a statement and returns whether it succeeded.
    async fn execute(&self, sql: &str) -> bool {
        self.client.simple_query(sql).await.is_ok()
    }

    async fn query_number(&self, sql: &str) -> Option<i64> {
        let messages = self.client.simple_query(sql).await.ok()?;
        messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
            _ => None,
        })
    }
}

impl LoadTarget {
    /// Sets the session settings.
    pub fn with_options(mut self, options: &str) -> Self {
        options.clone_into(&mut self.options);
        self
    }

    /// Connects to the address at an index, which wraps around.
    ///
    /// # Errors
    ///
    /// Returns a message if the connection fails.
    pub async fn connect(&self, index: usize) -> Result<Connection, String> {
        let address = self.addresses[index % self.addresses.len()];
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&self.workspace)
            .password(&self.key)
            .dbname(&self.group);
        if !self.options.is_empty() {
            config.options(&self.options);
        }
        let (client, connection) = config.connect(NoTls).await.map_err(|error| {
            let reason = error.as_db_error().map(ToString::to_string);
            format!("{address}: {}", reason.unwrap_or_else(|| error.to_string()))
        })?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { client, driver })
    }
}

/// Runs the load of one workspace.
///
/// # Errors
///
/// Returns a message if the table cannot be created or filled, or a connection fails.
pub async fn run_workspace(
    target: Arc<LoadTarget>,
    profile: LoadProfile,
) -> Result<WorkspaceStats, String> {
    prepare_table(&target).await?;
    let start = Instant::now();
    let mut running = Vec::new();
    for index in 0..profile.connections {
        running.push(tokio::spawn(run_connection(target.clone(), profile.clone(), index, start)));
    }
    let mut samples = Samples::new()?;
    for run in running {
        samples.merge(&run.await.map_err(|error| error.to_string())??);
    }
    Ok(WorkspaceStats {
        workspace: target.workspace.clone(),
        classes: samples.stats(),
        worst_us_by_100_ms: samples.worst_us_by_100_ms,
    })
}

async fn prepare_table(target: &LoadTarget) -> Result<(), String> {
    let connection = target.connect(0).await?;
    let create = format!("CREATE TABLE IF NOT EXISTS {TABLE} (id BIGINT PRIMARY KEY, note TEXT)");
    if !connection.execute(&create).await {
        return Err(format!("table {TABLE} cannot be created"));
    }
    let present =
        connection.query_number(&format!("SELECT COUNT(*) FROM {TABLE}")).await.unwrap_or(0);
    if present >= ROWS {
        return Ok(());
    }
    let row = |id: i64| format!("({id}, 'a note of some length, as people write them')");
    let rows: Vec<String> = (0..ROWS).map(row).collect();
    match connection.execute(&format!("INSERT INTO {TABLE} VALUES {}", rows.join(", "))).await {
        true => Ok(()),
        false => Err(format!("table {TABLE} cannot be filled")),
    }
}

async fn run_connection(
    target: Arc<LoadTarget>,
    profile: LoadProfile,
    index: usize,
    start: Instant,
) -> Result<Samples, String> {
    let mut random =
        SmallRng::seed_from_u64(profile.seed.wrapping_mul(1_000).wrapping_add(index as u64));
    let mut samples = Samples::new()?;
    let mut connection = target.connect(index).await?;
    let interval = match profile.rate_per_s {
        0 => None,
        rate => Some(Duration::from_secs_f64(profile.connections as f64 / rate as f64)),
    };
    let mut due = start;
    while start.elapsed() < profile.duration {
        let is_write = random.random_range(0..100) < profile.write_percent;
        let id = random.random_range(0..ROWS);
        let sql = match is_write {
            true => format!("UPDATE {TABLE} SET note = 'changed' WHERE id = {id}"),
            false => format!("SELECT note FROM {TABLE} WHERE id = {id}"),
        };
        // In an open loop, latency is measured from the time at which the statement was due, so
        // that a stall counts towards all statements that it delays.
        let started_at = match interval {
            Some(interval) => {
                due += interval;
                tokio::time::sleep_until(due.into()).await;
                due
            }
            None => Instant::now(),
        };
        let succeeded = connection.execute(&sql).await;
        samples.record(is_write, start.elapsed(), started_at.elapsed(), succeeded);
        if connection.client.is_closed() {
            connection = target.connect(index + 1).await?;
        }
    }
    Ok(samples)
}
