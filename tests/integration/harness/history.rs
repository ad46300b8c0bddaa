//! Writers that record the outcome of each write, and a check of the outcomes against the database.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::cluster::Cluster;
use super::sql_client::Outcome;
use super::sql_client::SqlClient;

/// Outcomes of writes, by the id of the inserted row.
#[derive(Clone, Default)]
pub struct History {
    outcomes: Arc<Mutex<BTreeMap<i64, Outcome>>>,
    acknowledgement_gaps_ms: Arc<Mutex<Vec<u64>>>,
}

impl History {
    /// Records the outcome of inserting the row with this id.
    pub fn record(&self, id: i64, outcome: Outcome) {
        self.outcomes.lock().expect("the lock is not poisoned").insert(id, outcome);
    }

    /// Returns the outcomes recorded so far.
    pub fn outcomes(&self) -> BTreeMap<i64, Outcome> {
        self.outcomes.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the longest time that any writer waited for its first or next acknowledgement. The
    /// time after its last one does not count.
    pub fn longest_gap_ms(&self) -> u64 {
        self.acknowledgement_gaps_ms
            .lock()
            .expect("the lock is not poisoned")
            .iter()
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of acknowledged writes.
    pub fn acknowledged_count(&self) -> usize {
        self.outcomes().values().filter(|outcome| outcome.is_done()).count()
    }

    /// Returns the outcomes of the writes that were not acknowledged.
    pub fn failures(&self) -> Vec<Outcome> {
        self.outcomes().into_values().filter(|outcome| !outcome.is_done()).collect()
    }

    /// Asserts that each acknowledged row exists exactly once, that no row exists twice, and that
    /// no row exists whose write was reported as not run.
    pub fn assert_consistent(&self, cluster: &Cluster, table: &str) {
        let duplicates_sql = format!(
            "SELECT COUNT(*) FROM (SELECT id FROM {table} GROUP BY id HAVING COUNT(*) > 1)"
        );
        assert_eq!(cluster.count(&duplicates_sql), 0, "a row was inserted more than once");
        for (id, outcome) in self.outcomes() {
            let count = cluster.count(&format!("SELECT COUNT(*) FROM {table} WHERE id = {id}"));
            if outcome.is_done() {
                assert_eq!(count, 1, "row {id} was acknowledged but does not exist exactly once");
            }
            if outcome.is_known_not_run() {
                assert_eq!(
                    count, 0,
                    "row {id} exists, but its write was reported as not run: {outcome:?}"
                );
            }
        }
    }
}

/// Writers through one or more daemons, which run until they are stopped.
pub struct Writers {
    /// Outcomes of their writes.
    pub history: History,
    stop: CancellationToken,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Writers {
    /// Starts writers, each of which inserts rows with ids of its own into the table `notes`.
    pub async fn start(cluster: &Arc<Cluster>, daemons: &[usize], per_daemon: usize) -> Self {
        Self::start_with_id_offset(cluster, daemons, per_daemon, 0).await
    }

    /// Starts writers like [`Self::start`], with `id_offset` added to all their ids.
    pub async fn start_with_id_offset(
        cluster: &Arc<Cluster>,
        daemons: &[usize],
        per_daemon: usize,
        id_offset: i64,
    ) -> Self {
        let history = History::default();
        let stop = CancellationToken::new();
        let mut tasks = Vec::new();
        for daemon in daemons {
            for writer in 0..per_daemon {
                let writer_first_id =
                    id_offset + (*daemon * per_daemon + writer) as i64 * 1_000_000 + 1;
                let writing = run_writer(
                    cluster.clone(),
                    *daemon,
                    writer_first_id,
                    history.clone(),
                    stop.clone(),
                );
                tasks.push(tokio::spawn(writing));
            }
        }
        Self { history, stop, tasks }
    }

    /// Stops the writers and returns the outcomes of their writes.
    pub async fn stop(self) -> History {
        self.stop.cancel();
        for task in self.tasks {
            task.await.expect("the writer does not panic");
        }
        self.history
    }
}

async fn run_writer(
    cluster: Arc<Cluster>,
    daemon: usize,
    first_id: i64,
    history: History,
    stop: CancellationToken,
) {
    let mut connection: Option<SqlClient> = None;
    let mut id = first_id;
    let mut last_acknowledged_at = tokio::time::Instant::now();
    while !stop.is_cancelled() {
        if connection.as_ref().is_none_or(|sql| sql.client.is_closed()) {
            connection = cluster.try_connect(daemon, "").await.ok();
        }
        let Some(sql) = connection.as_ref() else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let outcome = sql.run(&format!("INSERT INTO notes VALUES ({id}, 'x')")).await;
        if outcome.is_done() {
            let gap_ms = last_acknowledged_at.elapsed().as_millis() as u64;
            history.acknowledgement_gaps_ms.lock().expect("the lock is not poisoned").push(gap_ms);
            last_acknowledged_at = tokio::time::Instant::now();
        }
        let is_done = outcome.is_done();
        history.record(id, outcome);
        id += 1;
        let pause_ms = if is_done { 5 } else { 20 };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
