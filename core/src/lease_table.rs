//! Who may own which service, free of input and output.
//!
//! A lease is a record in the store that its holder renews under a condition. The holder counts
//! from the moment at which it sent the renewal; a taker counts from the moment at which it first
//! saw the record's present version, or from the latest moment by the store's clock at which the
//! record can have been sent, whichever lets it act sooner. Clocks count suspended time, so a taker
//! never overlaps with a holder that checks before it acts.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::store_clock::ClockBounds;
use crate::store_clock::ClockReading;
use crate::store_clock::StoreClock;

/// Validity of a lease after its renewal was sent, in milliseconds: outlasts an outage of the store
/// of nearly three seconds, and bounds how long a service waits when its owner goes dark.
pub const LEASE_MS: u64 = 3_500;

/// Time that a taker waits beyond the validity, in milliseconds: covers the drift of two clocks.
pub const TAKEOVER_MARGIN_MS: u64 = 200;

/// Time between two renewals, in milliseconds: several may fail before the lease lapses.
pub const RENEW_INTERVAL_MS: u64 = 800;

/// Time between two writes of a lease without an answer, in milliseconds: longer than a write at
/// a slow store, so that writes do not pile up there.
const RENEW_RETRY_MS: u64 = 900;

/// Time until another write of a lease after one that was not done, in milliseconds.
const NOT_DONE_RETRY_MS: u64 = 250;

/// Head start of each better placed candidate, in milliseconds: longer than a conditional write.
const RANK_HEAD_START_MS: u64 = 150;

/// Head start of the preferred_owner that a released lease names, in milliseconds.
const PREFERRED_HEAD_START_MS: u64 = 400;

/// Age of the last sight of a lease beyond which this process takes no lease over, in
/// milliseconds: several reads of the leases.
const CONFIRMATION_LIMIT_MS: u64 = 2_000;

/// Renewals whose sending time is remembered.
const REMEMBERED_RENEWALS: usize = 32;

/// The record of a lease in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder's node.
    pub holder: Name,
    /// Where other nodes reach the holder.
    pub address: SocketAddr,
    /// Identity of the holder's process.
    pub incarnation: u64,
    /// Number of the holder's write; each write has its own.
    pub renewal: u64,
    /// Whether the holder has stopped acting.
    pub is_released: bool,
    /// Node that should take a released lease.
    #[serde(rename = "heir")]
    pub preferred_owner: Option<Name>,
    /// Member whose promotion has been ordered and is not known to be over.
    pub pending_promotion: Option<Name>,
    /// What the store's clock showed at most when the record was sent, in milliseconds.
    #[serde(default)]
    pub sent_at_store_ms: Option<u64>,
}

/// A lease, with the time for which its record has not changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLease {
    /// Service whose lease it is.
    pub service: Name,
    /// The record.
    pub record: LeaseRecord,
    /// Its version.
    pub version: u64,
    /// For how long this version has been known, in milliseconds.
    pub unchanged_for_ms: u64,
}

/// The process that keeps a book.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of its node.
    pub node: Name,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Identity of the process.
    pub incarnation: u64,
}

/// A conditional write to make.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseWrite {
    /// Service whose lease it is.
    pub service: Name,
    /// The record to write.
    pub record: LeaseRecord,
    /// Version that the present record must have.
    pub expected: u64,
}

/// A lease as this process knows it.
#[derive(Clone, Debug, Default)]
struct Lease {
    record: Option<LeaseRecord>,
    version: u64,
    /// When this version was first seen.
    observed_at_ms: u64,
    /// When the record was last seen, changed or not.
    confirmed_at_ms: u64,
    /// Version with which this process acquired the lease.
    acquired_version: Option<u64>,
    valid_until_ms: u64,
    sent: VecDeque<(u64, u64)>,
    next_write_at_ms: u64,
    is_renewal_paused: bool,
    is_offered: bool,
    /// Until when the one who offered it may still act.
    inactive_until_ms: u64,
    pending_promotion: Option<Name>,
}

/// All leases, as one process knows them.
#[derive(Debug)]
pub struct LeaseTable {
    identity: Identity,
    leases: HashMap<Name, Lease>,
    next_renewal: u64,
    store_clock: StoreClock,
}

impl LeaseTable {
    /// Creates a book that knows no lease.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            leases: HashMap::new(),
            next_renewal: 1,
            store_clock: StoreClock::default(),
        }
    }

    /// Takes note of a reading of the store's clock.
    pub fn record_store_clock(&mut self, reading: &ClockReading) {
        self.store_clock.record(reading);
    }

    /// Returns what the store's clock shows.
    pub fn store_clock(&self, now_ms: u64) -> Option<ClockBounds> {
        self.store_clock.bounds(now_ms)
    }

    /// Takes note of a record whose present version has been known since `now_ms`.
    pub fn observe(
        &mut self,
        now_ms: u64,
        service: &Name,
        record: Option<LeaseRecord>,
        version: u64,
    ) {
        let is_new = !self.leases.contains_key(service);
        let lease = self.leases.entry(service.clone()).or_default();
        lease.confirmed_at_ms = lease.confirmed_at_ms.max(now_ms);
        if !is_new && version <= lease.version {
            return;
        }
        let is_mine = record.as_ref().is_some_and(|record| {
            record.incarnation == self.identity.incarnation && !record.is_released
        });
        lease.version = version;
        lease.observed_at_ms = now_ms;
        let was_offered = std::mem::take(&mut lease.is_offered);
        lease.next_write_at_ms = 0;
        match (is_mine, &record) {
            (true, Some(record)) => {
                if lease.acquired_version.is_none() {
                    lease.acquired_version = Some(version);
                    lease.inactive_until_ms = if was_offered { now_ms + LEASE_MS } else { 0 };
                    lease.pending_promotion.clone_from(&record.pending_promotion);
                }
                let sent = lease.sent.iter().find(|(renewal, _)| *renewal == record.renewal);
                let sent_at_ms = sent.map_or(0, |(_, at_ms)| *at_ms);
                lease.valid_until_ms = lease.valid_until_ms.max(sent_at_ms + LEASE_MS);
                lease.next_write_at_ms = sent_at_ms + RENEW_INTERVAL_MS;
            }
            _ => {
                lease.acquired_version = None;
                lease.valid_until_ms = 0;
                lease.is_renewal_paused = false;
            }
        }
        lease.record = record;
    }

    /// Takes note that the known record was the present one at `at_ms`.
    pub fn confirm(&mut self, at_ms: u64, service: &Name) {
        if let Some(lease) = self.leases.get_mut(service) {
            lease.confirmed_at_ms = lease.confirmed_at_ms.max(at_ms);
        }
    }

    /// Allows this process to take a lease that its holder offered to it at `version`. It may act
    /// once the holder says that it has stopped, or can act no more.
    pub fn accept_offer(&mut self, now_ms: u64, service: &Name, record: LeaseRecord, version: u64) {
        self.observe(now_ms, service, Some(record), version);
        if let Some(lease) = self.leases.get_mut(service)
            && lease.version == version
        {
            lease.is_offered = true;
            lease.next_write_at_ms = 0;
        }
    }

    /// Returns the writes that are due. `rank` is this node's place among the candidates for a
    /// service, 0 for the best, and `None` if it should not own it.
    pub fn due_writes<Rank>(
        &mut self,
        now_ms: u64,
        services: &[Name],
        rank: Rank,
    ) -> Vec<LeaseWrite>
    where
        Rank: Fn(&Name) -> Option<u64>,
    {
        services.iter().filter_map(|service| self.due_write(now_ms, service, &rank)).collect()
    }

    fn due_write<Rank>(&mut self, now_ms: u64, service: &Name, rank: &Rank) -> Option<LeaseWrite>
    where
        Rank: Fn(&Name) -> Option<u64>,
    {
        let lease = self.leases.get(service)?;
        if now_ms < lease.next_write_at_ms || lease.is_renewal_paused {
            return None;
        }
        let may_write = match &lease.record {
            Some(record)
                if record.incarnation == self.identity.incarnation && !record.is_released =>
            {
                true
            }
            _ if lease.is_offered => true,
            // The holder may have renewed it since.
            _ if now_ms > lease.confirmed_at_ms + CONFIRMATION_LIMIT_MS => false,
            record => {
                let takeover_at_ms = self.takeover_at_ms(now_ms, lease, record.as_ref());
                now_ms >= takeover_at_ms + self.takeover_delay_ms(record.as_ref(), rank(service)?)
            }
        };
        may_write.then(|| self.write(now_ms, service, false, None)).flatten()
    }

    fn takeover_delay_ms(&self, record: Option<&LeaseRecord>, rank: u64) -> u64 {
        let by_rank_ms = rank * RANK_HEAD_START_MS;
        match record {
            None => by_rank_ms,
            // The process that held it ran where this one runs, so it is dead.
            Some(record) if record.address == self.identity.address => 0,
            Some(record) if record.is_released => match &record.preferred_owner {
                Some(preferred_owner) if *preferred_owner == self.identity.node => 0,
                Some(_) => PREFERRED_HEAD_START_MS + by_rank_ms,
                None => by_rank_ms,
            },
            Some(_) => by_rank_ms,
        }
    }

    /// Returns when candidates may start to write a lease, without the head start of others.
    fn takeover_at_ms(&self, now_ms: u64, lease: &Lease, record: Option<&LeaseRecord>) -> u64 {
        let Some(record) = record else { return lease.observed_at_ms };
        if record.is_released || record.address == self.identity.address {
            return lease.observed_at_ms;
        }
        let by_sight_ms = lease.observed_at_ms + LEASE_MS + TAKEOVER_MARGIN_MS;
        match self.lapsed_for_ms(now_ms, record) {
            Some(lapsed_for_ms) => {
                by_sight_ms.min(now_ms.saturating_sub(lapsed_for_ms).max(lease.observed_at_ms))
            }
            None => by_sight_ms,
        }
    }

    /// Returns for how long a lease has certainly lapsed by the store's clock, if it has.
    fn lapsed_for_ms(&self, now_ms: u64, record: &LeaseRecord) -> Option<u64> {
        let lapses_at_ms = record.sent_at_store_ms? + LEASE_MS + TAKEOVER_MARGIN_MS;
        self.store_clock.at_least_ms(now_ms)?.checked_sub(lapses_at_ms)
    }

    fn write(
        &mut self,
        now_ms: u64,
        service: &Name,
        is_released: bool,
        preferred_owner: Option<Name>,
    ) -> Option<LeaseWrite> {
        let renewal = self.next_renewal;
        self.next_renewal += 1;
        let lease = self.leases.get_mut(service)?;
        lease.sent.push_back((renewal, now_ms));
        if lease.sent.len() > REMEMBERED_RENEWALS {
            lease.sent.pop_front();
        }
        lease.next_write_at_ms = now_ms + RENEW_RETRY_MS;
        // A taker inherits an order that its predecessor did not see through.
        let pending_promotion = match lease.acquired_version {
            Some(_) => lease.pending_promotion.clone(),
            None => lease.record.as_ref().and_then(|record| record.pending_promotion.clone()),
        };
        let record = LeaseRecord {
            holder: self.identity.node.clone(),
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            renewal,
            is_released,
            preferred_owner,
            pending_promotion,
            sent_at_store_ms: self.store_clock.at_most_ms(now_ms),
        };
        Some(LeaseWrite { service: service.clone(), record, expected: lease.version })
    }

    /// Sets or clears the promotion that is under way; the next renewal records it. Returns the
    /// write that records it at once.
    pub fn set_pending_promotion(
        &mut self,
        now_ms: u64,
        service: &Name,
        member: Option<Name>,
    ) -> Option<LeaseWrite> {
        let lease = self.leases.get_mut(service)?;
        lease.acquired_version?;
        lease.pending_promotion = member;
        self.write(now_ms, service, false, None)
    }

    /// Returns the promotion that is under way.
    pub fn pending_promotion(&self, service: &Name) -> Option<Name> {
        self.leases.get(service)?.pending_promotion.clone()
    }

    /// Takes note that the one who offered a lease has stopped acting.
    pub fn activate(&mut self, service: &Name) {
        if let Some(lease) = self.leases.get_mut(service) {
            lease.inactive_until_ms = 0;
        }
    }

    /// Stops renewing a lease, or goes on with it.
    pub fn set_renewal_paused(&mut self, service: &Name, is_paused: bool) {
        if let Some(lease) = self.leases.get_mut(service) {
            lease.is_renewal_paused = is_paused;
        }
    }

    /// Returns the write that releases a lease; its holder has stopped acting by then.
    pub fn release(
        &mut self,
        now_ms: u64,
        service: &Name,
        preferred_owner: Option<Name>,
    ) -> Option<LeaseWrite> {
        self.write(now_ms, service, true, preferred_owner)
    }

    /// Returns until when this process may act as owner, and its fencing token.
    pub fn active_lease(&self, now_ms: u64, service: &Name) -> Option<(u64, u64)> {
        let lease = self.leases.get(service)?;
        let token = lease.acquired_version?;
        let may_act = !lease.is_renewal_paused && now_ms >= lease.inactive_until_ms;
        may_act.then_some((lease.valid_until_ms, token))
    }

    /// Allows another write of a lease soon, after one that was not done.
    pub fn schedule_retry(&mut self, now_ms: u64, service: &Name) {
        if let Some(lease) = self.leases.get_mut(service) {
            lease.next_write_at_ms = lease.next_write_at_ms.min(now_ms + NOT_DONE_RETRY_MS);
        }
    }

    /// Returns the known record of a lease with its version.
    pub fn record(&self, service: &Name) -> Option<(&LeaseRecord, u64)> {
        let lease = self.leases.get(service)?;
        Some((lease.record.as_ref()?, lease.version))
    }

    /// Returns the services whose lease the known record gives to this process.
    pub fn held_services(&self) -> Vec<Name> {
        let held = self.leases.iter().filter(|(_, lease)| lease.acquired_version.is_some());
        held.map(|(service, _)| service.clone()).collect()
    }

    /// Returns how many services each node holds, by the known records.
    pub fn services_per_node(&self) -> HashMap<Name, u64> {
        let mut load = HashMap::new();
        for record in self.leases.values().filter_map(|lease| lease.record.as_ref()) {
            *load.entry(record.holder.clone()).or_default() += 1;
        }
        load
    }

    /// Returns all known leases, with the time for which each version has been known.
    pub fn observed_leases(&self, now_ms: u64) -> Vec<ObservedLease> {
        let known = self.leases.iter().filter_map(|(service, lease)| {
            Some(ObservedLease {
                service: service.clone(),
                record: lease.record.clone()?,
                version: lease.version,
                unchanged_for_ms: now_ms.saturating_sub(lease.observed_at_ms),
            })
        });
        known.collect()
    }

    /// Returns whether a lease is due to lapse without its holder having renewed it.
    pub fn is_overdue(&self, now_ms: u64, service: &Name) -> bool {
        self.leases.get(service).is_none_or(|lease| {
            lease.record.as_ref().is_none_or(|record| record.is_released)
                || now_ms > lease.observed_at_ms + LEASE_MS
                || lease.record.as_ref().is_some_and(|r| self.lapsed_for_ms(now_ms, r).is_some())
        })
    }
}
