//! Writers that record what they were told, and a check of it against the database.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::cluster::Cluster;
use super::sql::Outcome;
use super::sql::Sql;

/// What writers were told of each record, by the record's id.
#[derive(Clone, Default)]
pub struct History {
    outcomes: Arc<Mutex<BTreeMap<i64, Outcome>>>,
    gaps_ms: Arc<Mutex<Vec<u64>>>,
}

impl History {
    /// Notes the outcome of writing a record.
    pub fn note(&self, id: i64, outcome: Outcome) {
        self.outcomes.lock().expect("no panic").insert(id, outcome);
    }

    /// Returns what was told so far.
    pub fn outcomes(&self) -> BTreeMap<i64, Outcome> {
        self.outcomes.lock().expect("no panic").clone()
    }

    /// Returns the longest time for which one writer waited for an acknowledgement.
    pub fn longest_gap_ms(&self) -> u64 {
        self.gaps_ms.lock().expect("no panic").iter().copied().max().unwrap_or(0)
    }

    /// Returns how many writes were acknowledged.
    pub fn done(&self) -> usize {
        self.outcomes().values().filter(|outcome| outcome.is_done()).count()
    }

    /// Returns the outcomes that are not acknowledgements.
    pub fn failures(&self) -> Vec<Outcome> {
        self.outcomes().into_values().filter(|outcome| !outcome.is_done()).collect()
    }

    /// Checks that each acknowledged record is there once, that none is there twice, and that
    /// none is there of which "not run" was said.
    pub fn check(&self, cluster: &Cluster, table: &str) {
        let doubled = format!(
            "SELECT COUNT(*) FROM (SELECT id FROM {table} GROUP BY id HAVING COUNT(*) > 1)"
        );
        assert_eq!(cluster.count(&doubled), 0, "a record was written twice");
        for (id, outcome) in self.outcomes() {
            let count = cluster.count(&format!("SELECT COUNT(*) FROM {table} WHERE id = {id}"));
            if outcome.is_done() {
                assert_eq!(count, 1, "record {id} was acknowledged and is lost");
            }
            if outcome.says_not_run() {
                assert_eq!(count, 0, "record {id} is there: {outcome:?}");
            }
        }
    }
}

/// Writers through one daemon that run until they are stopped.
pub struct Writers {
    /// What they were told.
    pub history: History,
    stop: CancellationToken,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Writers {
    /// Starts writers; each writes records with ids of its own into `table (id, note)`.
    pub async fn start(cluster: &Arc<Cluster>, daemons: &[usize], per_daemon: usize) -> Self {
        Self::start_as(cluster, daemons, per_daemon, 0).await
    }

    /// Starts writers whose ids start at a number.
    pub async fn start_as(
        cluster: &Arc<Cluster>,
        daemons: &[usize],
        per_daemon: usize,
        first_id: i64,
    ) -> Self {
        let history = History::default();
        let stop = CancellationToken::new();
        let mut tasks = Vec::new();
        for daemon in daemons {
            for writer in 0..per_daemon {
                let start = first_id + (*daemon * per_daemon + writer) as i64 * 1_000_000 + 1;
                let writing = write(cluster.clone(), *daemon, start, history.clone(), stop.clone());
                tasks.push(tokio::spawn(writing));
            }
        }
        Self { history, stop, tasks }
    }

    /// Stops the writers and returns what they were told.
    pub async fn stop(self) -> History {
        self.stop.cancel();
        for task in self.tasks {
            task.await.expect("the writer ends");
        }
        self.history
    }
}

async fn write(
    cluster: Arc<Cluster>,
    daemon: usize,
    first_id: i64,
    history: History,
    stop: CancellationToken,
) {
    let mut connection: Option<Sql> = None;
    let mut id = first_id;
    let mut last_done = tokio::time::Instant::now();
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
            let gap_ms = last_done.elapsed().as_millis() as u64;
            history.gaps_ms.lock().expect("no panic").push(gap_ms);
            last_done = tokio::time::Instant::now();
        }
        let is_done = outcome.is_done();
        history.note(id, outcome);
        id += 1;
        let pause_ms = if is_done { 5 } else { 20 };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
