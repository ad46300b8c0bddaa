//! Request ids, which make requests idempotent: a request with an id runs at most once, however
//! often it is sent.
//!
//! The id is inserted in the same transaction as the request, on the group's primary. A repeat
//! finds the row and is answered from it.

use xxhash_rust::xxh3::xxh3_64;

use crate::wire::sql_literal::text_literal;

/// SQL that creates the table of request ids.
pub const CREATE_TABLE_SQL: &str = "CREATE TABLE IF NOT EXISTS snipehead_requests (\
    workspace TEXT NOT NULL, request_id TEXT NOT NULL, digest TEXT NOT NULL, tag TEXT NOT NULL, \
    repeats INTEGER NOT NULL, at_unix_ms BIGINT NOT NULL, PRIMARY KEY (workspace, request_id))";

/// A request id within a workspace, with a digest of the request's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestId {
    workspace: String,
    id: String,
    digest: String,
}

impl RequestId {
    /// Creates an id for a request whose content is `content`.
    pub fn new(workspace: &str, id: &str, content: &str) -> Self {
        Self {
            workspace: workspace.to_owned(),
            id: id.to_owned(),
            digest: format!("{:016x}", xxh3_64(content.as_bytes())),
        }
    }

    /// Returns the text of the id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the digest of the request's content.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns SQL that inserts the id. It fails with 23505 on a repeat.
    pub fn insert_sql(&self, at_unix_ms: u64) -> String {
        format!(
            "INSERT INTO snipehead_requests VALUES ({}, {}, {}, '', 0, {at_unix_ms})",
            text_literal(&self.workspace),
            text_literal(&self.id),
            text_literal(&self.digest)
        )
    }

    /// Returns SQL that stores the command tag of the request.
    pub fn store_tag_sql(&self, tag: &str) -> String {
        format!(
            "UPDATE snipehead_requests SET tag = {} WHERE {}",
            text_literal(tag),
            self.condition()
        )
    }

    /// Returns SQL that counts a repeat. Its commit has a log position after that of the first run.
    pub fn count_repeat_sql(&self) -> String {
        format!("UPDATE snipehead_requests SET repeats = repeats + 1 WHERE {}", self.condition())
    }

    /// Returns SQL that reads the digest and command tag of the first run.
    pub fn lookup_sql(&self) -> String {
        format!("SELECT digest, tag FROM snipehead_requests WHERE {}", self.condition())
    }

    fn condition(&self) -> String {
        format!(
            "workspace = {} AND request_id = {}",
            text_literal(&self.workspace),
            text_literal(&self.id)
        )
    }
}
