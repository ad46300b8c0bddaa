//! Transactions of one ownership that are open at a member and wait for their next statement.
//! Performs no input or output.

use std::collections::HashMap;
use std::fmt;

use crate::name::Name;
use crate::transaction_id::TransactionId;

/// Why a transaction is not in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownTransaction {
    /// It was started in another ownership of the service.
    OtherOwnership,
    /// It was started by another tenant.
    OtherTenant,
    /// It has ended, or one of its statements is running.
    NotIdle,
}

impl fmt::Display for UnknownTransaction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::OtherOwnership => "it was started in another ownership",
            Self::OtherTenant => "it was started by another tenant",
            Self::NotIdle => "it has ended",
        })
    }
}

#[derive(Debug)]
struct Entry<Transaction> {
    tenant: Name,
    used_at_ms: u64,
    transaction: Transaction,
}

/// The idle transactions of one ownership.
#[derive(Debug)]
pub struct TransactionTable<Transaction> {
    fencing_token: u64,
    next_number: u64,
    idle: HashMap<u64, Entry<Transaction>>,
}

impl<Transaction> TransactionTable<Transaction> {
    /// Creates an empty table for the ownership with this fencing token.
    pub fn new(fencing_token: u64) -> Self {
        Self { fencing_token, next_number: 1, idle: HashMap::new() }
    }

    /// Returns the identity of a new transaction.
    pub fn next_id(&mut self) -> TransactionId {
        let number = self.next_number;
        self.next_number += 1;
        TransactionId { fencing_token: self.fencing_token, number }
    }

    /// Keeps a transaction of a tenant until its next statement.
    pub fn store(
        &mut self,
        now_ms: u64,
        id: TransactionId,
        tenant: Name,
        transaction: Transaction,
    ) {
        self.idle.insert(id.number, Entry { tenant, used_at_ms: now_ms, transaction });
    }

    /// Removes a transaction in order to run a statement of `tenant` in it.
    ///
    /// # Errors
    ///
    /// Returns why the statement must not run. The transactions in the table stay as they are.
    pub fn take(
        &mut self,
        id: TransactionId,
        tenant: &str,
    ) -> Result<Transaction, UnknownTransaction> {
        if id.fencing_token != self.fencing_token {
            return Err(UnknownTransaction::OtherOwnership);
        }
        match self.idle.get(&id.number) {
            None => Err(UnknownTransaction::NotIdle),
            Some(entry) if &*entry.tenant != tenant => Err(UnknownTransaction::OtherTenant),
            Some(_) => self.remove(id).ok_or(UnknownTransaction::NotIdle),
        }
    }

    /// Removes a transaction, if it is in the table.
    pub fn remove(&mut self, id: TransactionId) -> Option<Transaction> {
        let is_own = id.fencing_token == self.fencing_token;
        let entry = is_own.then(|| self.idle.remove(&id.number)).flatten()?;
        Some(entry.transaction)
    }

    /// Removes the transactions that were last used before `limit_ms`.
    pub fn take_unused_since(&mut self, limit_ms: u64) -> Vec<Transaction> {
        let unused = self.idle.extract_if(|_, entry| entry.used_at_ms < limit_ms);
        unused.map(|(_, entry)| entry.transaction).collect()
    }

    /// Removes the transactions for which `is_match` holds.
    pub fn take_if<Match>(&mut self, is_match: Match) -> Vec<Transaction>
    where
        Match: Fn(&Transaction) -> bool,
    {
        let matching = self.idle.extract_if(|_, entry| is_match(&entry.transaction));
        matching.map(|(_, entry)| entry.transaction).collect()
    }

    /// Returns the number of transactions for which `is_match` holds.
    pub fn count_if<Match>(&self, is_match: Match) -> usize
    where
        Match: Fn(&Transaction) -> bool,
    {
        self.idle.values().filter(|entry| is_match(&entry.transaction)).count()
    }

    /// Removes all transactions.
    pub fn take_all(&mut self) -> Vec<Transaction> {
        self.idle.drain().map(|(_, entry)| entry.transaction).collect()
    }

    /// Returns the number of transactions.
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Returns whether there is no transaction.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}
