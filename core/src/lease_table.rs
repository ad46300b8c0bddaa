//! The leases of services as one process knows them: decides which process may own a service.
//! Performs no input or output.
//!
//! A lease is a record in the store that its holder renews by conditional writes. The holder
//! measures its validity from the time at which it sent the renewal. A candidate for takeover
//! measures it from the time at which it first observed the current version of the record, or from
//! the latest time by the store's clock at which the record can have been sent, whichever lets it
//! take over earlier. The clocks count suspended time, so a new holder never overlaps with an old
//! one that checks its lease before it acts.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::commit_checkpoint::CommitCheckpoint;
use crate::name::Name;
use crate::store_clock::ClockBounds;
use crate::store_clock::ClockReading;
use crate::store_clock::StoreClock;
use crate::succession::Leadership;
use crate::term_start::TermStart;

/// Validity of a lease after its renewal was sent, in milliseconds. It survives an outage of the
/// store of nearly three seconds, and bounds how long a service is down when its owner fails.
pub const LEASE_MS: u64 = 3_500;

/// Time that a candidate waits beyond the validity, in milliseconds: covers the drift between two
/// clocks.
pub const TAKEOVER_MARGIN_MS: u64 = 200;

/// Time between two renewals, in milliseconds: several may fail before the lease expires.
pub const RENEW_INTERVAL_MS: u64 = 800;

/// Time until an unanswered write of a lease is repeated, in milliseconds: longer than a write to a
/// slow store takes, so that writes do not pile up there.
const RENEW_RETRY_MS: u64 = 900;

/// Time until a write of a lease that is known not to have been carried out is repeated, in
/// milliseconds.
const NOT_DONE_RETRY_MS: u64 = 250;

/// Head start of a candidate over the next one in rank, in milliseconds: longer than a conditional
/// write usually takes. If two candidates write all the same, the store accepts one of them.
const RANK_HEAD_START_MS: u64 = 50;

/// Head start of the preferred owner that a released lease names, in milliseconds.
const PREFERRED_HEAD_START_MS: u64 = 400;

/// Age of the last confirmation of a lease beyond which this process does not take it over, in
/// milliseconds: long enough for several reads of the leases.
const CONFIRMATION_LIMIT_MS: u64 = 2_000;

/// Time for which a lease that nobody has ever held stays free after it was first observed, in
/// milliseconds: when all nodes start at once, they have heard of each other by then.
const FIRST_TAKEOVER_DELAY_MS: u64 = 1_000;

/// Number of renewals whose send time is kept.
const REMEMBERED_RENEWALS: usize = 32;

/// A lease as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder's node.
    pub holder: Name,
    /// Address of the holder for other nodes.
    pub address: SocketAddr,
    /// Identity of the holder's process.
    pub incarnation: u64,
    /// Sequence number of the holder's write.
    pub renewal: u64,
    /// Whether the holder has given up the lease and no longer acts as owner.
    pub is_released: bool,
    /// Whether the former holder, which offered the lease, may still act as owner. Nobody acts under
    /// this record before the former holder reports that it has stopped or its lease has expired.
    #[serde(default)]
    pub is_former_holder_active: bool,
    /// Node that should acquire a released lease.
    #[serde(rename = "heir")]
    pub preferred_owner: Option<Name>,
    /// Member whose promotion was ordered and is not known to have completed or failed.
    pub pending_promotion: Option<Name>,
    /// Newest term that a holder has served or that an ordered promotion may have begun.
    #[serde(default)]
    pub term: u64,
    /// Least term that the member whose promotion is pending leads once that has taken effect; 0 if
    /// it is `term`.
    #[serde(default)]
    pub pending_term: u64,
    /// Primary that was last served.
    #[serde(default)]
    pub primary: Option<Name>,
    /// Where the commits are that synchronous replicas protect, if there are any.
    #[serde(default)]
    pub checkpoint: Option<CommitCheckpoint>,
    /// Where the newest term began that has served, or that the pending promotion may have begun.
    #[serde(default, rename = "start")]
    pub term_start: Option<TermStart>,
    /// Upper bound of the store's clock when the record was sent, in milliseconds.
    #[serde(default)]
    pub sent_at_store_ms: Option<u64>,
}

impl LeaseRecord {
    fn leadership(&self) -> Leadership {
        Leadership {
            term: self.term,
            primary: self.primary.clone(),
            pending_promotion: self.pending_promotion.clone(),
            pending_term: self.pending_term,
            checkpoint: self.checkpoint.clone(),
            term_start: self.term_start,
        }
    }
}

/// A lease, with the time since its record last changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLease {
    /// Service that the lease is for.
    pub service: Name,
    /// Current record; `None` if nobody has ever held the lease.
    pub record: Option<LeaseRecord>,
    /// Version of the record.
    pub version: u64,
    /// Time since this version was first observed, in milliseconds.
    pub unchanged_for_ms: u64,
}

/// Identity of the process that a lease table belongs to.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of its node.
    pub node: Name,
    /// Address of the process for other nodes.
    pub address: SocketAddr,
    /// Random identity of the process, new at each start.
    pub incarnation: u64,
}

/// A conditional write of a lease record.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseWrite {
    /// Service that the lease is for.
    pub service: Name,
    /// The record to write.
    pub record: LeaseRecord,
    /// Version that the stored record must have.
    pub expected: u64,
}

/// A lease as this process knows it.
#[derive(Clone, Debug, Default)]
struct Lease {
    record: Option<LeaseRecord>,
    version: u64,
    /// When this version was first observed.
    observed_at_ms: u64,
    /// When the record was last known to be current.
    confirmed_at_ms: u64,
    /// Version with which this process acquired the lease, which is its fencing token.
    acquired_version: Option<u64>,
    valid_until_ms: u64,
    /// Sequence numbers of recent writes, with the time at which each was sent.
    sent: VecDeque<(u64, u64)>,
    next_write_at_ms: u64,
    is_renewal_paused: bool,
    /// Whether the holder offered this version to this process.
    is_offered: bool,
    /// Until when the previous holder, which offered the lease, may still act as owner.
    inactive_until_ms: u64,
    leadership: Leadership,
}

/// All leases as one process knows them.
#[derive(Debug)]
pub struct LeaseTable {
    identity: Identity,
    leases: HashMap<Name, Lease>,
    next_renewal: u64,
    store_clock: StoreClock,
}

impl LeaseTable {
    /// Creates an empty table.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            leases: HashMap::new(),
            next_renewal: 1,
            store_clock: StoreClock::default(),
        }
    }

    /// Records a reading of the store's clock.
    pub fn record_store_clock(&mut self, reading: &ClockReading) {
        self.store_clock.record(reading);
    }

    /// Returns the bounds of the store's clock.
    pub fn store_clock(&self, now_ms: u64) -> Option<ClockBounds> {
        self.store_clock.bounds(now_ms)
    }

    /// Records that the record of a lease has this version, which was first observed at `now_ms`. A
    /// version that is not newer than the known one only counts as a confirmation.
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
        lease.is_offered = false;
        lease.next_write_at_ms = 0;
        match (is_mine, &record) {
            (true, Some(record)) => {
                if lease.acquired_version.is_none() {
                    lease.acquired_version = Some(version);
                    lease.inactive_until_ms = match record.is_former_holder_active {
                        true => now_ms + LEASE_MS,
                        false => 0,
                    };
                    lease.leadership = record.leadership();
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

    /// Records that the known record was still current at `at_ms`.
    pub fn confirm(&mut self, at_ms: u64, service: &Name) {
        if let Some(lease) = self.leases.get_mut(service) {
            lease.confirmed_at_ms = lease.confirmed_at_ms.max(at_ms);
        }
    }

    /// Allows this process to acquire a lease that its holder offered to it at `version`. The
    /// process may act as owner once the holder reports that it has stopped, or once the holder's
    /// lease has expired.
    pub fn accept_offer(&mut self, now_ms: u64, service: &Name, record: LeaseRecord, version: u64) {
        self.observe(now_ms, service, Some(record), version);
        if let Some(lease) = self.leases.get_mut(service)
            && lease.version == version
        {
            lease.is_offered = true;
            lease.next_write_at_ms = 0;
        }
    }

    /// Returns the writes that are due, and records them as sent at `now_ms`. `rank` returns this
    /// node's rank among the candidates for a service: 0 for the first, `None` if the node should
    /// not own the service. At most one of the writes takes a lease over from another node, since
    /// the rank changes with each service that the node owns.
    pub fn due_writes<Rank>(
        &mut self,
        now_ms: u64,
        services: &[Name],
        rank: Rank,
    ) -> Vec<LeaseWrite>
    where
        Rank: Fn(&Name) -> Option<u64>,
    {
        let mut takes_over = false;
        let mut writes = Vec::new();
        for service in services {
            let is_takeover = self.is_held_elsewhere(service);
            if is_takeover && takes_over {
                continue;
            }
            if let Some(write) = self.due_write(now_ms, service, &rank) {
                takes_over |= is_takeover;
                writes.push(write);
            }
        }
        writes
    }

    /// Returns whether the record of a lease names neither this process nor its address as the
    /// holder.
    fn is_held_elsewhere(&self, service: &Name) -> bool {
        let record = self.leases.get(service).and_then(|lease| lease.record.as_ref());
        record.is_none_or(|record| record.address != self.identity.address)
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
            // The holder may have renewed the lease since the last confirmation.
            _ if now_ms > lease.confirmed_at_ms + CONFIRMATION_LIMIT_MS => false,
            record => {
                let takeover_at_ms = self.takeover_at_ms(now_ms, lease, record.as_ref());
                now_ms >= takeover_at_ms
                    && now_ms
                        >= takeover_at_ms + self.takeover_delay_ms(record.as_ref(), rank(service)?)
            }
        };
        may_write.then(|| self.write(now_ms, service, false, None)).flatten()
    }

    /// Returns how long after the first candidate this process may take a lease over.
    fn takeover_delay_ms(&self, record: Option<&LeaseRecord>, rank: u64) -> u64 {
        let by_rank_ms = rank * RANK_HEAD_START_MS;
        match record {
            None => by_rank_ms,
            // The holder had the address of this process, so it no longer runs.
            Some(record) if record.address == self.identity.address => 0,
            Some(record) if record.is_released => match &record.preferred_owner {
                Some(preferred_owner) if *preferred_owner == self.identity.node => 0,
                Some(_) => PREFERRED_HEAD_START_MS + by_rank_ms,
                None => by_rank_ms,
            },
            Some(_) => by_rank_ms,
        }
    }

    /// Returns when the first candidate may take a lease over.
    fn takeover_at_ms(&self, now_ms: u64, lease: &Lease, record: Option<&LeaseRecord>) -> u64 {
        let Some(record) = record else { return lease.observed_at_ms + FIRST_TAKEOVER_DELAY_MS };
        let has_own_address = record.address == self.identity.address;
        if record.is_released || (has_own_address && !record.is_former_holder_active) {
            return lease.observed_at_ms;
        }
        let by_observation_ms = lease.observed_at_ms + LEASE_MS + TAKEOVER_MARGIN_MS;
        match self.expired_for_ms(now_ms, record) {
            Some(expired_for_ms) => by_observation_ms
                .min(now_ms.saturating_sub(expired_for_ms).max(lease.observed_at_ms)),
            None => by_observation_ms,
        }
    }

    /// Returns the time since a lease certainly expired by the store's clock, if it did.
    fn expired_for_ms(&self, now_ms: u64, record: &LeaseRecord) -> Option<u64> {
        let expires_at_ms = record.sent_at_store_ms?.saturating_add(LEASE_MS + TAKEOVER_MARGIN_MS);
        self.store_clock.at_least_ms(now_ms)?.checked_sub(expires_at_ms)
    }

    /// Builds a write of a lease and records when it is sent.
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
        let is_former_holder_active = match lease.acquired_version {
            Some(_) => now_ms < lease.inactive_until_ms,
            None => lease.is_offered,
        };
        // A new holder inherits what the previous one has recorded.
        let leadership = match (lease.acquired_version, &lease.record) {
            (None, Some(record)) => record.leadership(),
            _ => lease.leadership.clone(),
        };
        let record = LeaseRecord {
            holder: self.identity.node.clone(),
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            renewal,
            is_released,
            is_former_holder_active,
            preferred_owner,
            pending_promotion: leadership.pending_promotion,
            term: leadership.term,
            pending_term: leadership.pending_term,
            primary: leadership.primary,
            checkpoint: leadership.checkpoint,
            term_start: leadership.term_start,
            sent_at_store_ms: self.store_clock.at_most_ms(now_ms),
        };
        Some(LeaseWrite { service: service.clone(), record, expected: lease.version })
    }

    /// Sets what is recorded about the primary, which every renewal includes. Returns a write that
    /// stores it at once, or `None` if this process does not hold the lease.
    pub fn set_leadership(
        &mut self,
        now_ms: u64,
        service: &Name,
        leadership: Leadership,
    ) -> Option<LeaseWrite> {
        let lease = self.leases.get_mut(service)?;
        lease.acquired_version?;
        lease.leadership = leadership;
        self.write(now_ms, service, false, None)
    }

    /// Takes back what was set about the primary and is not known to be stored.
    pub fn restore_leadership(&mut self, service: &Name, leadership: Leadership) {
        if let Some(lease) = self.leases.get_mut(service) {
            lease.leadership = leadership;
        }
    }

    /// Returns what is recorded about the primary.
    pub fn leadership(&self, service: &Name) -> Leadership {
        self.leases.get(service).map(|lease| lease.leadership.clone()).unwrap_or_default()
    }

    /// Records that the previous holder of the lease, which this process holds since `version`, no
    /// longer acts as owner. The next write, which is due at once, says so to other processes. A notice
    /// of an earlier handover has no effect.
    pub fn activate(&mut self, service: &Name, version: u64) {
        if let Some(lease) = self.leases.get_mut(service)
            && lease.acquired_version.is_some_and(|acquired| acquired <= version)
        {
            lease.inactive_until_ms = 0;
            lease.next_write_at_ms = 0;
        }
    }

    /// Pauses or resumes the renewal of a lease.
    pub fn set_renewal_paused(&mut self, service: &Name, is_paused: bool) {
        if let Some(lease) = self.leases.get_mut(service) {
            lease.is_renewal_paused = is_paused;
        }
    }

    /// Returns the write that releases a lease. This process must have stopped acting as owner.
    pub fn release(
        &mut self,
        now_ms: u64,
        service: &Name,
        preferred_owner: Option<Name>,
    ) -> Option<LeaseWrite> {
        self.write(now_ms, service, true, preferred_owner)
    }

    /// Returns when the lease of this process expires, and its fencing token. The caller must check
    /// that the lease has not expired. Returns `None` if this process does not hold the lease, if
    /// its renewal is paused, or while the previous holder may still act as owner.
    pub fn active_lease(&self, now_ms: u64, service: &Name) -> Option<(u64, u64)> {
        let lease = self.leases.get(service)?;
        let token = lease.acquired_version?;
        let may_act = !lease.is_renewal_paused && now_ms >= lease.inactive_until_ms;
        may_act.then_some((lease.valid_until_ms, token))
    }

    /// Schedules an early retry of a write that was not carried out.
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

    /// Returns the services whose lease this process holds according to the known record, although
    /// it may have expired.
    pub fn held_services(&self) -> Vec<Name> {
        let held = self.leases.iter().filter(|(_, lease)| lease.acquired_version.is_some());
        held.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the known ones of these leases, with the time since each last changed.
    pub fn observed_leases(&self, now_ms: u64, services: &[Name]) -> Vec<ObservedLease> {
        let known = services.iter().filter_map(|service| {
            let lease = self.leases.get(service)?;
            Some(ObservedLease {
                service: service.clone(),
                record: lease.record.clone(),
                version: lease.version,
                unchanged_for_ms: now_ms.saturating_sub(lease.observed_at_ms),
            })
        });
        known.collect()
    }

    /// Returns the newest known version of any lease.
    pub fn newest_version(&self) -> u64 {
        self.leases.values().map(|lease| lease.version).max().unwrap_or(0)
    }

    /// Returns whether a lease is unknown or free, or has expired without a renewal by its holder.
    pub fn is_overdue(&self, now_ms: u64, service: &Name) -> bool {
        self.leases.get(service).is_none_or(|lease| {
            lease.record.as_ref().is_none_or(|record| record.is_released)
                || now_ms > lease.observed_at_ms + LEASE_MS
                || lease.record.as_ref().is_some_and(|r| self.expired_for_ms(now_ms, r).is_some())
        })
    }
}
