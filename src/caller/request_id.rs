//! Request ids: a request that carries one runs at most once, however often it is sent.
//!
//! The id is written in the same transaction as the work, on the group's primary. A repeat finds
//! the row and is answered from it.

use xxhash_rust::xxh3::xxh3_64;

/// SQL that makes the table of request ids.
pub const CREATE_TABLE_SQL: &str = "CREATE TABLE IF NOT EXISTS snipehead_requests (\
    workspace TEXT NOT NULL, request_id TEXT NOT NULL, digest TEXT NOT NULL, tag TEXT NOT NULL, \
    repeats INTEGER NOT NULL, at_unix_ms BIGINT NOT NULL, PRIMARY KEY (workspace, request_id))";

/// A request id within a workspace, with a digest of what is asked.
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

    /// Returns the id's text.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the digest of the request's content.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns SQL that writes the id; it fails with 23505 on a repeat.
    pub fn insert_sql(&self, at_unix_ms: u64) -> String {
        format!(
            "INSERT INTO snipehead_requests VALUES ({}, {}, {}, '', 0, {at_unix_ms})",
            quoted(&self.workspace),
            quoted(&self.id),
            quoted(&self.digest)
        )
    }

    /// Returns SQL that notes the command tag of the work.
    pub fn finish_sql(&self, tag: &str) -> String {
        format!("UPDATE snipehead_requests SET tag = {} WHERE {}", quoted(tag), self.condition())
    }

    /// Returns SQL that counts a repeat, so that its commit has a place after the first run's.
    pub fn repeat_sql(&self) -> String {
        format!("UPDATE snipehead_requests SET repeats = repeats + 1 WHERE {}", self.condition())
    }

    /// Returns SQL that reads digest and tag of the first run.
    pub fn lookup_sql(&self) -> String {
        format!("SELECT digest, tag FROM snipehead_requests WHERE {}", self.condition())
    }

    fn condition(&self) -> String {
        format!("workspace = {} AND request_id = {}", quoted(&self.workspace), quoted(&self.id))
    }
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
