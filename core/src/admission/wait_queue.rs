//! Statements that wait for a slot of a service's members.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Bound;

use crate::admission::admission_rules::AdmissionRules;
use crate::admission::capacity::Capacity;
use crate::admission::capacity::MIN_SHARE;
use crate::admission::level_counters::LevelCounters;
use crate::admission::level_queue::LevelQueue;
use crate::admission::rank::Rank;
use crate::admission::refusal::AdmissionRefusal;
use crate::admission::refusal::RefusalReason;
use crate::admission::slot_class::SlotClass;
use crate::admission::slot_overhead::SlotOverhead;
use crate::admission::waiting_statement::KeptPlace;
use crate::admission::waiting_statement::WaitingStatement;
use crate::admission::work::Work;
use crate::pressure::LevelPressure;
use crate::pressure::ServicePressure;

/// Share of the time until its latest start that a statement may be expected to wait. The rest is
/// left for more urgent statements that arrive later.
const MAX_WAIT_SHARE: f64 = 0.75;

/// Interval between two checks for displaced statements, in milliseconds. A check looks at all
/// waiting statements.
const CHECK_INTERVAL_MS: u64 = 4;

/// Bounds of the time after which a refused caller should try again, in milliseconds.
const MIN_RETRY_MS: u64 = 10;
const MAX_RETRY_MS: u64 = 1_000;

/// Share of the permitted wait after which callers try again that cannot be served within it. Callers
/// try about three times: later attempts outlast a longer burst, but leave less time to be served.
const LATE_RETRY_SHARE: f64 = 0.6;

/// A waiting statement with its place.
#[derive(Clone, Debug)]
struct Entry {
    statement: WaitingStatement,
    rank: Rank,
    latest_start_ms: u64,
    /// What its tenant was charged in the fair queueing of its level; rates may change later.
    charge: u64,
}

/// Statements that go before others.
#[derive(Clone, Copy, Default)]
struct Ahead {
    /// Statements of open transactions and of more urgent levels.
    urgent: Work,
    /// Statements of the same level.
    same_level: Work,
    /// Rate at which more urgent statements arrive.
    rate: (f64, f64),
    /// Number of less urgent levels that wait.
    lower_levels: usize,
}

/// Statements that wait for a slot of a service's members.
///
/// With several levels, a level goes before all less urgent ones, but for the minimum share of
/// those. Otherwise all statements form one level, ordered by the end of the objective, and none is
/// refused.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    rules: AdmissionRules,
    statements: HashMap<u64, Entry>,
    transactions: LevelQueue,
    levels: BTreeMap<u32, LevelQueue>,
    counters: BTreeMap<u32, LevelCounters>,
    overhead: SlotOverhead,
    last_ticket: u64,
    checked_at_ms: u64,
}

impl WaitQueue {
    /// Replaces the rules. Waiting statements are ordered again if another order applies.
    pub fn set_rules(&mut self, rules: AdmissionRules) {
        let is_reordered = rules.has_levels() != self.rules.has_levels();
        self.rules = rules;
        if is_reordered {
            self.levels.clear();
            self.transactions = LevelQueue::default();
            let mut entries: Vec<(u64, Entry)> = self.statements.drain().collect();
            entries.sort_unstable_by_key(|(ticket, _)| *ticket);
            for (ticket, entry) in entries {
                self.insert(ticket, entry.statement);
            }
        }
    }

    /// Returns the number of waiting statements.
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Returns whether no statement waits.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the counters of each level.
    pub fn counters(&self) -> &BTreeMap<u32, LevelCounters> {
        &self.counters
    }

    /// Returns the place of a waiting statement, which it keeps if it is repeated.
    pub fn place(&self, ticket: u64) -> Option<KeptPlace> {
        let entry = self.statements.get(&ticket)?;
        Some(KeptPlace { ticket, tag: entry.rank.tag })
    }

    /// Refuses a statement if it could not be served in time. Without a `capacity` nothing is refused.
    pub fn check(
        &mut self,
        now_ms: u64,
        statement: &WaitingStatement,
        capacity: Option<&Capacity>,
    ) -> Option<AdmissionRefusal> {
        let capacity = capacity?;
        if !self.is_refusable(statement) {
            return None;
        }
        self.sort_out_late(now_ms);
        let rank = self.next_rank(statement, u64::MAX);
        let ahead = self.ahead(now_ms, statement.level, rank);
        let wait_ms = self.wait_ms(statement, ahead, capacity);
        // One that has already waited, for a primary or a token, is not refused by its objective.
        let max_wait_ms = match now_ms <= statement.displaceable_until_ms() {
            true => slack_ms(now_ms, statement) * MAX_WAIT_SHARE,
            false => f64::INFINITY,
        };
        let reason = find_reason(now_ms, statement, wait_ms, max_wait_ms)?;
        Some(self.refuse(now_ms, statement, reason, wait_ms, Some(capacity)))
    }

    /// Queues a statement. Returns its ticket.
    pub fn push(&mut self, now_ms: u64, statement: WaitingStatement) -> u64 {
        let ticket = match statement.kept_place {
            Some(place) if !self.statements.contains_key(&place.ticket) => place.ticket,
            _ => {
                self.last_ticket += 1;
                self.last_ticket
            }
        };
        if statement.kept_place.is_none() {
            let WaitingStatement { class, cost_us, level, .. } = statement;
            self.counters.entry(level).or_default().admitted += 1;
            if class != SlotClass::Transaction {
                let level = self.levels.entry(self.level_key(&statement)).or_default();
                level.rate.add(now_ms, class, cost_us);
                if level.shares.start_tag(&statement.tenant) == level.shares.served_tag() {
                    level.light_rate.add(now_ms, class, cost_us);
                }
            }
        }
        self.insert(ticket, statement);
        ticket
    }

    fn insert(&mut self, ticket: u64, statement: WaitingStatement) {
        let rank = self.next_rank(&statement, ticket);
        let WaitingStatement { class, cost_us, .. } = statement;
        let latest_start_ms = match self.is_ordered_by_objective(class) {
            true => statement.objective_at_ms,
            false => statement.latest_start_ms(),
        };
        let weight = self.rules.weight(&statement.tenant);
        let has_levels = self.rules.has_levels();
        let is_charged =
            has_levels && class != SlotClass::Transaction && statement.kept_place.is_none();
        let level = self.queue_of(&statement);
        let charge = match is_charged {
            true => level.shares.charge(&statement.tenant, rank.tag, cost_us, weight),
            false => 0,
        };
        level.insert(rank, latest_start_ms, class, cost_us);
        self.statements.insert(ticket, Entry { statement, rank, latest_start_ms, charge });
    }

    /// Returns the tickets in the order in which slots are offered: statements of open transactions,
    /// levels that are owed their minimum share, then all levels.
    pub fn order(&mut self, now_ms: u64) -> Vec<u64> {
        self.sort_out_late(now_ms);
        let mut tickets = Vec::with_capacity(self.statements.len());
        tickets.extend(self.transactions.ranks().map(|rank| rank.ticket));
        let waiting = || self.levels.values().filter(|level| !level.is_empty());
        let (owed, others): (Vec<&LevelQueue>, Vec<&LevelQueue>) =
            waiting().partition(|level| self.is_owed(level));
        for level in owed.into_iter().chain(others) {
            tickets.extend(level.ranks().map(|rank| rank.ticket));
        }
        tickets
    }

    fn sort_out_late(&mut self, now_ms: u64) {
        self.transactions.sort_out_late(now_ms);
        self.levels.values_mut().for_each(|level| level.sort_out_late(now_ms));
    }

    fn is_owed(&self, level: &LevelQueue) -> bool {
        let head = level.ranks().next().and_then(|rank| self.statements.get(&rank.ticket));
        self.rules.has_levels() && head.is_some_and(|entry| level.is_owed(entry.statement.cost_us))
    }

    /// Removes a statement that was granted a slot, which it should hold for `held_us` microseconds.
    /// Returns its place.
    pub fn granted(&mut self, now_ms: u64, ticket: u64, held_us: u64) -> Option<KeptPlace> {
        let entry = self.statements.get(&ticket)?;
        let place = KeptPlace { ticket, tag: entry.rank.tag };
        let WaitingStatement { cost_us, class, level, arrived_at_ms, .. } = entry.statement;
        let key = self.level_key(&entry.statement);
        self.overhead.grant(now_ms, held_us);
        let is_new = class != SlotClass::Transaction;
        let is_owed = self.levels.get(&key).is_some_and(|queue| queue.is_owed(cost_us));
        if is_new && is_owed {
            self.levels.entry(key).or_default().pay_owed(cost_us);
        }
        self.levels.values_mut().for_each(|waiting| waiting.accrue(cost_us));
        if is_new {
            let queue = self.levels.entry(key).or_default();
            if !is_owed {
                queue.pay_in_turn(cost_us);
            }
            if self.rules.has_levels() {
                queue.shares.serve(place.tag);
            }
        }
        let waited_ms = now_ms.saturating_sub(arrived_at_ms);
        if waited_ms > 0 {
            let counters = self.counters.entry(level).or_default();
            counters.waited += 1;
            counters.waited_ms += waited_ms;
        }
        self.take(ticket);
        Some(place)
    }

    /// Returns the mean time for which statements hold a slot beyond the time that members take for
    /// them, in microseconds.
    pub fn overhead_us(&self) -> u64 {
        self.overhead.extra_us()
    }

    /// Records that a slot was released.
    pub fn released(&mut self, now_ms: u64) {
        self.overhead.release(now_ms);
    }

    /// Removes a statement that waits no longer. Returns whether it was still waiting.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let Some(Entry { statement, charge, .. }) = self.statements.get(&ticket) else {
            return false;
        };
        let (statement, charge) = (statement.clone(), *charge);
        self.queue_of(&statement).shares.refund(&statement.tenant, charge);
        self.take(ticket);
        true
    }

    fn take(&mut self, ticket: u64) {
        if let Some(Entry { statement, rank, latest_start_ms, .. }) =
            self.statements.remove(&ticket)
        {
            let WaitingStatement { class, cost_us, .. } = statement;
            self.queue_of(&statement).remove(rank, latest_start_ms, class, cost_us);
        }
    }

    /// Returns the statements to refuse now, because more urgent ones arrived after them. They are
    /// removed. A statement that has waited for a tenth of its objective is kept.
    pub fn overdue(
        &mut self,
        now_ms: u64,
        capacity: Option<&Capacity>,
    ) -> Vec<(u64, AdmissionRefusal)> {
        let is_due = now_ms >= self.checked_at_ms + CHECK_INTERVAL_MS;
        let Some(capacity) = capacity.filter(|_| is_due && self.rules.has_levels()) else {
            return Vec::new();
        };
        self.checked_at_ms = now_ms;
        self.sort_out_late(now_ms);
        let mut displaced = Vec::new();
        let mut ahead = Ahead { urgent: self.transactions.work(), ..Ahead::default() };
        ahead.lower_levels = self.levels.values().filter(|level| !level.is_empty()).count();
        for level in self.levels.values().filter(|level| !level.is_empty()) {
            ahead.lower_levels -= 1;
            ahead.same_level = Work::default();
            let mut kept = level.work();
            for rank in level.on_time() {
                let Some(entry) = self.statements.get(&rank.ticket) else { continue };
                let statement = &entry.statement;
                if now_ms <= statement.displaceable_until_ms() && self.is_refusable(statement) {
                    let wait_ms = self.wait_ms(statement, ahead, capacity);
                    let slack_ms = slack_ms(now_ms, statement);
                    if find_reason(now_ms, statement, wait_ms, slack_ms).is_some() {
                        displaced.push((rank.ticket, wait_ms));
                        kept.remove(statement.class, statement.cost_us);
                        continue;
                    }
                }
                ahead.same_level.add(statement.class, statement.cost_us);
            }
            ahead.urgent = ahead.urgent.plus(kept);
            ahead.rate = add(ahead.rate, level.rate.at(now_ms));
        }
        let mut refusals = Vec::with_capacity(displaced.len());
        for (ticket, wait_ms) in displaced {
            let Some(entry) = self.statements.get(&ticket) else { continue };
            let statement = entry.statement.clone();
            let reason = RefusalReason::Displaced;
            let refusal = self.refuse(now_ms, &statement, reason, wait_ms, Some(capacity));
            self.remove(ticket);
            refusals.push((ticket, refusal));
        }
        refusals
    }

    /// Refuses a statement that has waited for as long as it may. It is removed by its caller.
    pub fn expire(
        &mut self,
        now_ms: u64,
        statement: &WaitingStatement,
        capacity: Option<&Capacity>,
    ) -> AdmissionRefusal {
        let waited_ms = now_ms.saturating_sub(statement.arrived_at_ms) as f64;
        self.refuse(now_ms, statement, RefusalReason::Expired, waited_ms, capacity)
    }

    /// Returns the wait that a statement of each level can expect which arrives now, of a tenant
    /// without waiting statements.
    pub fn pressure(&self, now_ms: u64, capacity: Option<&Capacity>) -> ServicePressure {
        let Some(capacity) = capacity.filter(|_| self.rules.has_levels()) else {
            return ServicePressure::default();
        };
        let mut pressure = ServicePressure::default();
        for (level, queue) in &self.levels {
            let tag = queue.shares.served_tag();
            let rank = Rank { tag, priority: *level, ticket: u64::MAX };
            let ahead = self.ahead(now_ms, *level, rank);
            let expected_wait_ms = self.class_wait_ms(SlotClass::Reader, 0, ahead, capacity);
            if expected_wait_ms >= 1.0 {
                let expected_wait_ms = expected_wait_ms as u32;
                pressure.levels.push(LevelPressure { level: *level, expected_wait_ms });
            }
        }
        pressure
    }

    fn ahead(&self, now_ms: u64, level: u32, rank: Rank) -> Ahead {
        let mut ahead = Ahead { urgent: self.transactions.work(), ..Ahead::default() };
        for queue in self.levels.range(..level).map(|(_, queue)| queue) {
            ahead.urgent = ahead.urgent.plus(queue.work());
            ahead.rate = add(ahead.rate, queue.rate.at(now_ms));
        }
        if let Some(queue) = self.levels.get(&level) {
            if rank.tag > queue.shares.served_tag() {
                ahead.rate = add(ahead.rate, queue.light_rate.at(now_ms));
                let catch_up_us = queue.shares.catch_up_us(rank.tag, &self.rules);
                ahead.same_level.add(SlotClass::Reader, catch_up_us);
            }
            for before in queue.before(rank) {
                if let Some(entry) = self.statements.get(&before.ticket) {
                    ahead.same_level.add(entry.statement.class, entry.statement.cost_us);
                }
            }
        }
        let lower = self.levels.range((Bound::Excluded(level), Bound::Unbounded));
        ahead.lower_levels = lower.filter(|(_, queue)| !queue.is_empty()).count();
        ahead
    }

    fn wait_ms(&self, statement: &WaitingStatement, ahead: Ahead, capacity: &Capacity) -> f64 {
        self.class_wait_ms(statement.class, statement.cost_us, ahead, capacity)
    }

    fn class_wait_ms(
        &self,
        class: SlotClass,
        cost_us: u64,
        ahead: Ahead,
        capacity: &Capacity,
    ) -> f64 {
        let work = ahead.urgent.plus(ahead.same_level);
        if work.total_us() == 0 {
            return 0.0;
        }
        let share = (1.0 - MIN_SHARE * ahead.lower_levels as f64).max(MIN_SHARE);
        let by_level_ms = capacity.wait_ms(class, work, ahead.rate, share);
        // The level's minimum share is paid out once it covers the statement itself.
        let mut own = ahead.same_level;
        own.add(class, cost_us);
        let by_share_ms = capacity.wait_ms(class, own, (0.0, 0.0), MIN_SHARE);
        by_level_ms.min(by_share_ms)
    }

    fn refuse(
        &mut self,
        now_ms: u64,
        statement: &WaitingStatement,
        reason: RefusalReason,
        wait_ms: f64,
        capacity: Option<&Capacity>,
    ) -> AdmissionRefusal {
        let spare_speed = self.spare_speed(now_ms, statement, capacity);
        let cost_ms = statement.cost_us as f64 / 1_000.0;
        let slack_ms = slack_ms(now_ms, statement) * MAX_WAIT_SHARE;
        // The caller's time may end when the statement would have.
        let permitted_ms = statement.queue_until_ms.saturating_sub(statement.arrived_at_ms);
        let longest_ms = permitted_ms.clamp(2 * MIN_RETRY_MS, MAX_RETRY_MS) as f64;
        let counters = self.counters.entry(statement.level).or_default();
        *counters.refused.entry(reason).or_default() += 1;
        // Callers come back one after the other, as fast as the members can serve them.
        let queue = self.queue_of(statement);
        let earliest_ms = now_ms as f64 + (wait_ms - slack_ms).max(MIN_RETRY_MS as f64);
        let returns_at_ms = queue.returned_at_ms.max(earliest_ms) + cost_ms / spare_speed;
        queue.returned_at_ms = returns_at_ms.min(now_ms as f64 + 2.0 * longest_ms);
        let mut retry_after_ms = returns_at_ms - now_ms as f64;
        if retry_after_ms > longest_ms {
            let first_ms = longest_ms * LATE_RETRY_SHARE;
            retry_after_ms = first_ms + retry_after_ms % (longest_ms - first_ms);
        }
        AdmissionRefusal {
            reason,
            expected_wait_ms: wait_ms as u64,
            retry_after_ms: retry_after_ms as u64,
        }
    }

    /// Returns the speed that present arrivals leave for the callers that come back.
    fn spare_speed(
        &self,
        now_ms: u64,
        statement: &WaitingStatement,
        capacity: Option<&Capacity>,
    ) -> f64 {
        let speed = capacity.map_or(1.0, Capacity::total);
        let rates = self.levels.range(..=statement.level).map(|(_, level)| level.rate.at(now_ms));
        let used: f64 = rates.map(|(primary, reader)| primary + reader).sum();
        (speed - used).max(speed * MIN_SHARE)
    }

    /// Returns whether a statement may be refused. One that had a slot before is not, since its
    /// caller has waited for it.
    fn is_refusable(&self, statement: &WaitingStatement) -> bool {
        self.rules.has_levels()
            && statement.class != SlotClass::Transaction
            && statement.kept_place.is_none()
    }

    fn is_ordered_by_objective(&self, class: SlotClass) -> bool {
        !self.rules.has_levels() || class == SlotClass::Transaction
    }

    fn level_key(&self, statement: &WaitingStatement) -> u32 {
        if self.rules.has_levels() { statement.level } else { 0 }
    }

    fn queue_of(&mut self, statement: &WaitingStatement) -> &mut LevelQueue {
        match statement.class {
            SlotClass::Transaction => &mut self.transactions,
            _ => self.levels.entry(self.level_key(statement)).or_default(),
        }
    }

    fn next_rank(&self, statement: &WaitingStatement, ticket: u64) -> Rank {
        let priority = statement.level;
        if self.is_ordered_by_objective(statement.class) {
            return Rank { tag: statement.objective_at_ms, priority, ticket };
        }
        let shares = self.levels.get(&statement.level).map(|level| &level.shares);
        let tag = match statement.kept_place {
            Some(place) => shares.map_or(0, |shares| place.tag.min(shares.served_tag())),
            None => shares.map_or(0, |shares| shares.start_tag(&statement.tenant)),
        };
        Rank { tag, priority, ticket }
    }
}

/// Returns the longest wait that meets the objective, in milliseconds. A statement that can hardly
/// meet it without a wait may still wait for a tenth of the time that is left.
fn slack_ms(now_ms: u64, statement: &WaitingStatement) -> f64 {
    let until_start_ms = statement.latest_start_ms().saturating_sub(now_ms);
    until_start_ms.max(statement.objective_at_ms.saturating_sub(now_ms) / 10) as f64
}

/// Returns why a statement should be refused that would wait for `wait_ms`, if at all. Its
/// objective permits a wait of `max_wait_ms`.
fn find_reason(
    now_ms: u64,
    statement: &WaitingStatement,
    wait_ms: f64,
    max_wait_ms: f64,
) -> Option<RefusalReason> {
    if wait_ms <= 0.0 {
        return None;
    }
    if wait_ms > max_wait_ms {
        return Some(RefusalReason::Objective);
    }
    let longest_ms = statement.queue_until_ms.saturating_sub(now_ms) as f64;
    (wait_ms > longest_ms).then_some(RefusalReason::Timeout)
}

fn add(left: (f64, f64), right: (f64, f64)) -> (f64, f64) {
    (left.0 + right.0, left.1 + right.1)
}
