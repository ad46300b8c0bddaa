//! Reads of the log of configuration changes.

use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use rstest::rstest;

use snipehead::fleet::change::Change;
use snipehead::fleet::change::Operation;
use snipehead::fleet::change_log::ChangeLog;
use snipehead::fleet::key::Key;
use snipehead::platform::Platform;
use snipehead::platform::error::PlatformError;
use snipehead::platform::rpc::HostEntry;
use snipehead::platform::rpc::Row;
use snipehead::platform::rpc::WriteOutcome;

/// A table in memory.
#[derive(Default)]
struct Table(Mutex<Vec<Row>>);

#[async_trait]
impl Platform for Table {
    async fn read(&self, _: &str) -> Result<Option<Row>, PlatformError> {
        Ok(None)
    }

    async fn read_after(&self, _: &str, after: &str, _: u32) -> Result<Vec<Row>, PlatformError> {
        let rows = self.0.lock().expect("the mutex is not poisoned");
        Ok(rows.iter().filter(|row| &*row.key > after).cloned().collect())
    }

    async fn write(&self, _: &str, _: u64, _: String) -> Result<WriteOutcome, PlatformError> {
        Err(PlatformError::Unavailable("not used".to_owned()))
    }

    async fn put_object(&self, _: &str, _: String) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable("not used".to_owned()))
    }

    async fn get_object(&self, _: &str) -> Result<Option<String>, PlatformError> {
        Ok(None)
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        Ok(Vec::new())
    }
}

fn row(version: u64) -> Row {
    let (key, _) = Key::issue("families");
    let change = Change {
        version,
        change_id: version.to_string(),
        who: "test".to_owned(),
        why: "test".to_owned(),
        at_unix_ms: 0,
        operation: Operation::IssueKey { key },
    };
    let value = serde_json::to_string(&change).expect("changes can be encoded");
    Row { key: format!("change/{version:012}"), version: 1, value }
}

async fn read(rows: Vec<Row>) -> Result<Vec<u64>, PlatformError> {
    let log = ChangeLog::new(Arc::new(Table(Mutex::new(rows))));
    let changes = log.read_after(1).await?;
    Ok(changes.into_iter().map(|change| change.version).collect())
}

#[tokio::test]
async fn the_changes_after_a_version_are_read_in_order() {
    assert_eq!(read((1..=5).map(row).collect()).await, Ok(vec![2, 3, 4, 5]));
}

/// A row that could not be parsed counted as the end of the log, so that the lease was renewed
/// without the later changes, a withdrawn key for example.
#[rstest]
#[case::unreadable(vec![row(1), row(2), Row { value: "{".to_owned(), ..row(3) }, row(4)])]
#[case::missing(vec![row(1), row(2), row(4)])]
#[case::of_another_version(vec![row(1), row(2), Row { value: row(4).value, ..row(3) }])]
#[tokio::test]
async fn a_log_that_cannot_be_read_to_its_end_is_an_error(#[case] rows: Vec<Row>) {
    let outcome = read(rows).await;
    assert!(matches!(outcome, Err(PlatformError::Unreadable(_))), "{outcome:?}");
}
