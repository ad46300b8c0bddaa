//! Queue of a pool: which statements are admitted, and in which order they get slots.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::fmt::Write;

use crate::admission::admission_rules::AdmissionRules;
use crate::admission::capacity::Capacity;
use crate::admission::level_counters::LevelCounters;
use crate::admission::refusal::AdmissionRefusal;
use crate::admission::slot_class::SlotClass;
use crate::admission::waiting_statement::KeptPlace;
use crate::admission::waiting_statement::WaitingStatement;
use crate::log_position::LogPosition;
use crate::member::MemberKey;
use crate::name::Name;
use crate::pressure::ServicePressure;
use crate::service::connection::Connection;
use crate::service::pool::Grant;
use crate::service::pool::Pool;
use crate::service::pool::PoolMember;
use crate::service::pool::SlotRequest;
use crate::service::pool::SlotTarget;

/// Arrival of a statement at the owner.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time at which it arrived, in milliseconds.
    pub arrived_at_ms: u64,
    /// Time until which it may wait, in milliseconds.
    pub queue_until_ms: u64,
    /// Place that it keeps, if it had a slot before.
    pub kept_place: Option<KeptPlace>,
}

/// Requirements for which no member was found in one round of grants. Grants only take slots and
/// connections away, so statements with the same or greater requirements find none either.
#[derive(Default)]
struct Unplaceable {
    writers: HashSet<Name>,
    readers: BTreeMap<Name, LogPosition>,
}

impl Unplaceable {
    fn includes(&self, request: &SlotRequest) -> bool {
        match &request.target {
            SlotTarget::Transaction(_) => false,
            SlotTarget::Primary => self.writers.contains(&request.tenant),
            SlotTarget::Reader { floor, .. } => {
                self.readers.get(&request.tenant).is_some_and(|known| floor >= known)
            }
        }
    }

    fn add(&mut self, request: &SlotRequest) {
        match &request.target {
            SlotTarget::Primary => {
                self.writers.insert(request.tenant.clone());
            }
            SlotTarget::Reader { floor, excluded: None } => {
                let known = self.readers.entry(request.tenant.clone()).or_insert(*floor);
                *known = (*floor).min(*known);
            }
            SlotTarget::Reader { .. } | SlotTarget::Transaction(_) => {}
        }
    }
}

impl<Conn> Pool<Conn>
where
    Conn: Connection,
{
    /// Sets the levels of the service, and the weights of tenants.
    pub fn set_admission_rules(&mut self, rules: AdmissionRules) {
        self.queue.set_rules(rules);
    }

    /// Queues a statement without a check, as for a statement of an open transaction. Returns its
    /// ticket.
    pub fn enqueue(&mut self, request: SlotRequest) -> u64 {
        let arrival = Arrival { arrived_at_ms: 0, queue_until_ms: u64::MAX, kept_place: None };
        self.push(0, request, arrival)
    }

    /// Queues a statement. Returns its ticket.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a statement that could not be served in time.
    pub fn admit(
        &mut self,
        now_ms: u64,
        request: SlotRequest,
        arrival: Arrival,
    ) -> Result<u64, AdmissionRefusal> {
        match self.check_admission(now_ms, &request, arrival) {
            Some(refusal) => Err(refusal),
            None => Ok(self.push(now_ms, request, arrival)),
        }
    }

    fn push(&mut self, now_ms: u64, request: SlotRequest, arrival: Arrival) -> u64 {
        let ticket = self.queue.push(now_ms, self.waiting_statement(&request, arrival));
        self.waiting.insert(ticket, request);
        ticket
    }

    /// Refuses a statement if it could not be served in time.
    pub fn check_admission(
        &mut self,
        now_ms: u64,
        request: &SlotRequest,
        arrival: Arrival,
    ) -> Option<AdmissionRefusal> {
        if self.queue.is_empty() || self.finds_unused_slot(now_ms, request) {
            return None;
        }
        let capacity = self.capacity(now_ms);
        let statement = self.waiting_statement(request, arrival);
        self.queue.check(now_ms, &statement, capacity.as_ref())
    }

    /// Returns the place of a waiting statement, which it keeps if it is repeated.
    pub fn place(&self, ticket: u64) -> Option<KeptPlace> {
        self.queue.place(ticket)
    }

    /// Removes a statement from the queue. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.queue.remove(ticket);
        self.waiting.remove(&ticket).is_some()
    }

    /// Removes a statement that has waited for as long as it may. Returns its refusal.
    pub fn expire(
        &mut self,
        now_ms: u64,
        request: &SlotRequest,
        arrival: Arrival,
    ) -> AdmissionRefusal {
        let capacity = self.capacity(now_ms);
        let statement = self.waiting_statement(request, arrival);
        self.queue.expire(now_ms, &statement, capacity.as_ref())
    }

    /// Removes the statements that more urgent ones have displaced. Returns their refusals.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<(u64, AdmissionRefusal)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let capacity = self.capacity(now_ms);
        let refused = self.queue.overdue(now_ms, capacity.as_ref());
        for (ticket, _) in &refused {
            self.waiting.remove(ticket);
        }
        refused
    }

    /// Grants free slots to waiting statements, in the order of the queue. Returns the grants with
    /// their tickets, and the connections to close.
    pub fn dispatch(&mut self, now_ms: u64) -> (Vec<(u64, Grant<Conn>)>, Vec<Conn>) {
        let mut grants = Vec::new();
        let mut surplus = Vec::new();
        let mut unplaceable = Unplaceable::default();
        while !self.waiting.is_empty() && self.has_free_slot(now_ms) {
            let placed = self.next_placement(now_ms, &mut unplaceable);
            let Some((ticket, key)) = placed else { break };
            let Some(request) = self.waiting.remove(&ticket) else { break };
            let held_ms = self.service_times.expected_ms(now_ms, &key, &request.route);
            self.queue.granted(now_ms, ticket, (held_ms * 1_000.0) as u64);
            if let Some(grant) = self.grant(now_ms, &key, &request, &mut surplus) {
                grants.push((ticket, grant));
            }
        }
        (grants, surplus)
    }

    /// Returns the wait that statements of each level can expect.
    pub fn pressure(&self, now_ms: u64) -> ServicePressure {
        if self.queue.is_empty() {
            return ServicePressure::default();
        }
        self.queue.pressure(now_ms, self.capacity(now_ms).as_ref())
    }

    /// Returns the counters of each level.
    pub fn level_counters(&self) -> &BTreeMap<u32, LevelCounters> {
        self.queue.counters()
    }

    /// Describes slots in use and the speed of each member, for the log.
    pub fn describe_members(&self, now_ms: u64) -> String {
        let mut text = String::new();
        for (key, member) in &self.members {
            let separator = if text.is_empty() { "" } else { "," };
            let (used, slots) = (member.in_flight, member.usable_slots(now_ms));
            let ratio = self.service_times.member_ratio(now_ms, key);
            let state = if is_usable(member) { "" } else { "-out" };
            let _ = write!(text, "{separator}{}={used}/{slots}x{ratio:.1}{state}", key.id);
        }
        text
    }

    /// Returns the first waiting statement that can get a slot, and the member.
    fn next_placement(
        &mut self,
        now_ms: u64,
        unplaceable: &mut Unplaceable,
    ) -> Option<(u64, MemberKey)> {
        self.queue.order(now_ms).into_iter().find_map(|ticket| {
            let request = self.waiting.get(&ticket).filter(|it| !unplaceable.includes(it))?;
            let member = self.select_member(now_ms, request);
            if member.is_none() {
                unplaceable.add(request);
            }
            member.map(|member| (ticket, member))
        })
    }

    /// Returns whether a new statement finds a slot that no waiting one can use, as when those wait
    /// for connections.
    fn finds_unused_slot(&mut self, now_ms: u64, request: &SlotRequest) -> bool {
        self.has_free_slot(now_ms)
            && self.select_member(now_ms, request).is_some()
            && self.next_placement(now_ms, &mut Unplaceable::default()).is_none()
    }

    fn has_free_slot(&self, now_ms: u64) -> bool {
        self.members.values().any(|member| member.has_free_slot(now_ms))
    }

    fn waiting_statement(&self, request: &SlotRequest, arrival: Arrival) -> WaitingStatement {
        let class = match request.target {
            SlotTarget::Transaction(_) => SlotClass::Transaction,
            SlotTarget::Primary => SlotClass::Primary,
            SlotTarget::Reader { .. } => SlotClass::Reader,
        };
        let service_us = self.service_times.route_ms(&request.route) * 1_000.0;
        WaitingStatement {
            class,
            tenant: request.tenant.clone(),
            level: request.priority,
            cost_us: service_us as u64 + self.queue.overhead_us(),
            arrived_at_ms: arrival.arrived_at_ms,
            objective_at_ms: request.objective_at_ms,
            queue_until_ms: arrival.queue_until_ms,
            kept_place: arrival.kept_place,
        }
    }

    /// Returns the present speed of the members. There is none without samples of service times, and
    /// while no primary takes new work: then statements wait without an estimate.
    fn capacity(&self, now_ms: u64) -> Option<Capacity> {
        if !self.service_times.has_samples() || self.is_primary_paused {
            return None;
        }
        let primary = self.primary.as_ref()?;
        self.members.get(primary).filter(|member| is_usable(member))?;
        let mut capacity = Capacity { primary: 0.0, others: 0.0 };
        for (key, member) in self.members.iter().filter(|(_, member)| is_usable(member)) {
            let mut speed =
                member.usable_slots(now_ms) as f64 / self.service_times.member_ratio(now_ms, key);
            if self.cold_per_s > 0.0 && now_ms < member.cold_until_ms {
                speed = speed.min(self.cold_per_s * self.service_times.mean_ms() / 1_000.0);
            }
            match key == primary {
                true => capacity.primary += speed,
                false => capacity.others += speed,
            }
        }
        Some(capacity)
    }
}

fn is_usable<Conn>(member: &PoolMember<Conn>) -> bool {
    !member.must_leave && member.failing_since_ms.is_none()
}
