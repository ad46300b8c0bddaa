//! Keeps the view of a group's members current and answers questions about it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::log_position::LogPosition;
use super::member_control::MemberControl;
use super::quorum::Acknowledgement;
use super::quorum::Observation;
use super::quorum::QuorumView;
use crate::clock;
use crate::sync::lock;

/// Time between two questions to a member when nobody waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// First pause before a member is asked again for something it did not hold yet.
const FIRST_RETRY: Duration = Duration::from_micros(300);

/// Longest such pause.
const MAX_RETRY: Duration = Duration::from_millis(20);

/// Floors remembered for reads of an accepted age.
const MAX_PAST_FLOORS: usize = 4096;

/// Asks the members of a group, each over a connection of its own.
pub struct Prober {
    members: Vec<Arc<dyn MemberControl>>,
    quorum: Mutex<QuorumView>,
    /// Highest question number that somebody waits for.
    wanted: watch::Sender<u64>,
    /// Counts the changes of the view.
    changed: watch::Sender<u64>,
    past_floors: Mutex<VecDeque<(u64, LogPosition)>>,
    asked: AtomicU64,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Prober {
    /// Starts asking.
    pub fn start(members: Vec<Arc<dyn MemberControl>>) -> Arc<Self> {
        let prober = Arc::new(Self {
            quorum: Mutex::new(QuorumView::new(members.len())),
            members,
            wanted: watch::Sender::new(0),
            changed: watch::Sender::new(0),
            past_floors: Mutex::new(VecDeque::new()),
            asked: AtomicU64::new(0),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        for member in 0..prober.members.len() {
            let asking = prober.clone();
            prober.tasks.spawn(async move {
                let stop = asking.stop.clone();
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = asking.ask(member) => {}
                }
            });
        }
        prober
    }

    /// Stops asking and waits for the tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Returns the control of a member.
    pub fn member(&self, member: usize) -> Arc<dyn MemberControl> {
        self.members[member].clone()
    }

    /// Returns the present view.
    pub fn view(&self) -> QuorumView {
        self.lock().clone()
    }

    /// Returns the number of questions asked so far.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }

    /// Follows changes of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Asks for a fresh view without waiting for it.
    pub fn refresh(&self) {
        self.want_next();
    }

    /// Waits until a majority holds a write; returns whether it does within the time.
    pub async fn acknowledge(&self, commit: LogPosition, timeout: Duration) -> bool {
        let judged = |quorum: &QuorumView| match quorum.acknowledgement(commit) {
            Acknowledgement::Confirmed => Some(true),
            Acknowledgement::Superseded => Some(false),
            Acknowledgement::Pending => None,
        };
        let waiting = self.wait_for(judged);
        tokio::time::timeout(timeout, waiting).await.unwrap_or(false)
    }

    /// Returns a place that includes every write acknowledged before the call.
    pub async fn floor(&self, timeout: Duration) -> Option<LogPosition> {
        let since = self.want_next();
        let waiting = self.wait_for(|quorum| quorum.floor(since));
        tokio::time::timeout(timeout, waiting).await.ok()
    }

    /// Returns a place that includes every write acknowledged more than `age_ms` ago.
    pub async fn floor_of_age(&self, age_ms: u64, timeout: Duration) -> Option<LogPosition> {
        let oldest_ms = clock::now_ms().saturating_sub(age_ms);
        let past = self.past_floor(oldest_ms);
        match past {
            Some(floor) => Some(floor),
            None => self.floor(timeout).await,
        }
    }

    fn past_floor(&self, oldest_ms: u64) -> Option<LogPosition> {
        let past = lock(&self.past_floors);
        let found = past.iter().find(|(sent_at_ms, _)| *sent_at_ms >= oldest_ms);
        found.map(|(_, floor)| *floor)
    }

    fn lock(&self) -> MutexGuard<'_, QuorumView> {
        lock(&self.quorum)
    }

    /// Waits until work on a member is hopeless: it gives no answer, and it is a replica or has
    /// been replaced as the primary of `term`.
    pub async fn member_lost(&self, member: usize, term: u64, is_replica: bool) {
        let mut changes = self.changed.subscribe();
        loop {
            changes.mark_unchanged();
            {
                let quorum = self.lock();
                let is_replaced = quorum.highest_term() > term;
                if !quorum.is_reachable(member) && (is_replica || is_replaced) {
                    return;
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Makes sure that a question is sent after now; returns its number.
    fn want_next(&self) -> u64 {
        let mut number = 0;
        self.wanted.send_modify(|wanted| {
            *wanted += 1;
            number = *wanted;
        });
        number
    }

    /// Waits until the view satisfies a condition, asking again with growing pauses.
    async fn wait_for<Found, Condition>(&self, condition: Condition) -> Found
    where
        Condition: Fn(&QuorumView) -> Option<Found>,
    {
        let mut changes = self.changed.subscribe();
        let mut pause = FIRST_RETRY;
        loop {
            changes.mark_unchanged();
            if let Some(found) = condition(&self.lock()) {
                return found;
            }
            self.want_next();
            let woken =
                tokio::time::timeout(pause.max(Duration::from_millis(1)), changes.changed());
            if woken.await.is_ok() {
                if let Some(found) = condition(&self.lock()) {
                    return found;
                }
                tokio::time::sleep(pause).await;
            }
            pause = (pause * 2).min(MAX_RETRY);
        }
    }

    async fn ask(&self, member: usize) {
        let mut wanted = self.wanted.subscribe();
        loop {
            let probe_number = *wanted.borrow_and_update();
            let sent_at_ms = clock::now_ms();
            self.asked.fetch_add(1, Ordering::Relaxed);
            let answer = self.members[member].status().await;
            let is_answered = answer.is_ok();
            {
                let mut quorum = self.lock();
                match answer {
                    Ok(status) => {
                        quorum.observe(member, Observation { sent_at_ms, probe_number, status })
                    }
                    Err(_) => quorum.mark_unreachable(member),
                }
                if let Some(floor) = quorum.floor(probe_number) {
                    self.remember_floor(sent_at_ms, floor);
                }
            }
            self.changed.send_modify(|count| *count += 1);
            let pause = if is_answered { IDLE_INTERVAL } else { IDLE_INTERVAL / 4 };
            if is_answered {
                let _ = tokio::time::timeout(pause, wanted.changed()).await;
            } else {
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Remembers that `floor` includes all that was acknowledged before `sent_at_ms`.
    fn remember_floor(&self, sent_at_ms: u64, floor: LogPosition) {
        let mut past = lock(&self.past_floors);
        if past.back().is_some_and(|(last_ms, _)| *last_ms >= sent_at_ms) {
            return;
        }
        past.push_back((sent_at_ms, floor));
        if past.len() > MAX_PAST_FLOORS {
            past.pop_front();
        }
    }
}
