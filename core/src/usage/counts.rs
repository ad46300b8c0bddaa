//! Counts of the requests that members began to execute for one node's ownerships. Performs no input
//! or output.

use std::collections::BTreeMap;

use crate::member::MemberCommand;
use crate::name::Name;
use crate::usage::UsageSettings;
use crate::usage::update::Ownership;
use crate::usage::update::WindowCounts;
use crate::usage::window_clock::TrueTime;

/// Step to which the times of requests are rounded down while they wait for a reply, or for the
/// fleet's time to become known, in milliseconds.
const STEP_MS: u64 = 50;

/// Most steps whose requests are kept while the fleet's time is not known: one minute.
const MAX_UNTIMED_STEPS: usize = 1_200;

/// Returns whether a command counts as a request. A request is an operation: a statement outside of
/// transactions, or a transaction, which counts with its first statement. So later statements of a
/// transaction are not passed to this function.
pub fn is_counted(command: &MemberCommand) -> bool {
    matches!(command, MemberCommand::Run { .. })
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    count: u64,
    /// Revision of all counts at which it last changed.
    revision: u64,
}

/// Cumulative counts by ownership, window and tenant.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    settings: UsageSettings,
    revision: u64,
    counted: u64,
    windows: BTreeMap<(u64, Ownership), BTreeMap<Name, Count>>,
    /// Number of requests without a reply, by the time at which they were sent.
    unanswered: BTreeMap<u64, u64>,
    /// Requests that were counted before the fleet's time was known, by the time at which they were
    /// sent.
    untimed: BTreeMap<u64, BTreeMap<(Ownership, Name), u64>>,
}

impl UsageCounts {
    /// Creates empty counts.
    pub fn new(settings: UsageSettings) -> Self {
        Self {
            settings,
            revision: 0,
            counted: 0,
            windows: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            untimed: BTreeMap::new(),
        }
    }

    /// Records that a request was sent to a member.
    pub fn begin(&mut self, sent_at_ms: u64) {
        *self.unanswered.entry(step_of(sent_at_ms)).or_default() += 1;
    }

    /// Records that a request which was sent at `sent_at_ms` was answered or given up, and counts it
    /// if a member has begun to execute it.
    pub fn finish(
        &mut self,
        sent_at_ms: u64,
        ownership: &Ownership,
        tenant: &Name,
        was_executed: bool,
        time: Option<TrueTime>,
    ) {
        let step = step_of(sent_at_ms);
        if let Some(unanswered) = self.unanswered.get_mut(&step) {
            *unanswered -= 1;
            if *unanswered == 0 {
                self.unanswered.remove(&step);
            }
        }
        if !was_executed {
            return;
        }
        self.counted += 1;
        match time {
            Some(time) => self.add(time.at(sent_at_ms), ownership, tenant, 1),
            None => {
                let key = (ownership.clone(), tenant.clone());
                *self.untimed.entry(step).or_default().entry(key).or_default() += 1;
                if self.untimed.len() > MAX_UNTIMED_STEPS {
                    self.untimed.pop_first();
                }
            }
        }
    }

    fn add(&mut self, true_ms: u64, ownership: &Ownership, tenant: &Name, count: u64) {
        let window = self.settings.window_at(true_ms);
        self.revision += 1;
        let tenants = self.windows.entry((window, ownership.clone())).or_default();
        let known = tenants.entry(tenant.clone()).or_default();
        known.count += count;
        known.revision = self.revision;
    }

    /// Assigns the requests that were counted before the fleet's time was known to their windows.
    pub fn settle(&mut self, time: TrueTime) {
        for (step, counts) in std::mem::take(&mut self.untimed) {
            for ((ownership, tenant), count) in counts {
                self.add(time.at(step), &ownership, &tenant, count);
            }
        }
    }

    /// Forgets the windows before this one.
    pub fn forget_before(&mut self, window: u64) {
        while let Some(entry) = self.windows.first_entry()
            && entry.key().0 < window
        {
            entry.remove();
        }
    }

    /// Returns the first window to which a request may still be added: the present one, or that of
    /// the oldest request without a reply.
    pub fn complete_before(&self, now_ms: u64, time: TrueTime) -> u64 {
        let oldest_ms = self.unanswered.keys().next().copied().unwrap_or(now_ms).min(now_ms);
        self.settings.window_at(time.at(oldest_ms))
    }

    /// Returns the counts that changed after a revision.
    pub fn changes(&self, after: u64) -> Vec<WindowCounts> {
        let changed = self.windows.iter().map(|((window, ownership), tenants)| WindowCounts {
            ownership: ownership.clone(),
            window: *window,
            counts: tenants
                .iter()
                .filter(|(_, known)| known.revision > after)
                .map(|(tenant, known)| (tenant.clone(), known.count))
                .collect(),
        });
        changed.filter(|changed| !changed.counts.is_empty()).collect()
    }

    /// Returns whether no counts are kept and no request waits for a reply.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty() && self.untimed.is_empty() && self.unanswered.is_empty()
    }

    /// Returns the revision of the counts, which grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of all counted requests.
    pub fn counted(&self) -> u64 {
        self.counted
    }
}

fn step_of(local_ms: u64) -> u64 {
    local_ms / STEP_MS * STEP_MS
}
