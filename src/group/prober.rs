//! Probes the members of a group and waits for conditions on their statuses.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::floor_history::FloorHistory;
use super::log_position::LogPosition;
use super::member_control::MemberControl;
use super::quorum::Acknowledgement;
use super::quorum::Observation;
use super::quorum::QuorumView;
use crate::clock;
use crate::sync::lock;

/// Time between two probes of a member while no task requests one.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// First pause before the members are probed again while a condition does not hold.
const MIN_RETRY_PAUSE: Duration = Duration::from_micros(300);

/// Longest such pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Probes the members of a group, each over a connection of its own.
pub struct Prober {
    members: Vec<Arc<dyn MemberControl>>,
    quorum: Mutex<QuorumView>,
    /// Number of the latest probe request.
    requested: watch::Sender<u64>,
    /// Counts the changes of the view, to wake tasks that wait for one.
    changed: watch::Sender<u64>,
    floor_history: Mutex<FloorHistory>,
    probes_sent: AtomicU64,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Prober {
    /// Starts probing the members.
    pub fn start(members: Vec<Arc<dyn MemberControl>>) -> Arc<Self> {
        let prober = Arc::new(Self {
            quorum: Mutex::new(QuorumView::new(members.len())),
            members,
            requested: watch::Sender::new(0),
            changed: watch::Sender::new(0),
            floor_history: Mutex::new(FloorHistory::default()),
            probes_sent: AtomicU64::new(0),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        for member in 0..prober.members.len() {
            let probing = prober.clone();
            prober.tasks.spawn(async move {
                let stop = probing.stop.clone();
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = probing.probe_member(member) => {}
                }
            });
        }
        prober
    }

    /// Stops probing and waits for the tasks to end.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Returns the control interface of a member.
    pub fn member(&self, member: usize) -> Arc<dyn MemberControl> {
        self.members[member].clone()
    }

    /// Returns the current view of the members.
    pub fn view(&self) -> QuorumView {
        self.lock().clone()
    }

    /// Returns the number of probes sent so far.
    pub fn probes_sent(&self) -> u64 {
        self.probes_sent.load(Ordering::Relaxed)
    }

    /// Subscribes to changes of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Requests a new probe of every member without waiting for the result.
    pub fn refresh(&self) {
        self.request_probe();
    }

    /// Waits until a majority has received a write; returns whether it did before the timeout.
    /// Returns early if a higher term makes it impossible.
    pub async fn wait_confirmed(&self, commit: LogPosition, timeout: Duration) -> bool {
        let verdict = |quorum: &QuorumView| match quorum.acknowledgement(commit) {
            Acknowledgement::Confirmed => Some(true),
            Acknowledgement::Superseded => Some(false),
            Acknowledgement::Pending => None,
        };
        let waiting = self.wait_for(verdict);
        tokio::time::timeout(timeout, waiting).await.unwrap_or(false)
    }

    /// Returns a log position that includes every write acknowledged before the call, or `None`
    /// when a majority does not answer in time.
    pub async fn floor(&self, timeout: Duration) -> Option<LogPosition> {
        let first_probe = self.request_probe();
        let waiting = self.wait_for(|quorum| quorum.floor(first_probe).map(|floor| floor.position));
        tokio::time::timeout(timeout, waiting).await.ok()
    }

    /// Returns the oldest floor recorded within the last `age_ms`, or a new one if there is none.
    pub async fn floor_at_age(&self, age_ms: u64, timeout: Duration) -> Option<LogPosition> {
        let known = lock(&self.floor_history).floor_at_age(clock::now_ms(), age_ms);
        match known {
            Some(floor) => Some(floor),
            None => self.floor(timeout).await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, QuorumView> {
        lock(&self.quorum)
    }

    /// Waits until a request on a member should be given up: the member did not answer its last
    /// probe, and it is a replica or a term above `term` has been accepted.
    pub async fn wait_member_lost(&self, member: usize, term: u64, is_replica: bool) {
        let mut changes = self.changed.subscribe();
        loop {
            changes.mark_unchanged();
            {
                let quorum = self.lock();
                let is_superseded = quorum.highest_term() > term;
                if !quorum.is_reachable(member) && (is_replica || is_superseded) {
                    return;
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Requests a probe of every member that is sent after this call; returns the number of the
    /// request.
    fn request_probe(&self) -> u64 {
        let mut number = 0;
        self.requested.send_modify(|requested| {
            *requested += 1;
            number = *requested;
        });
        number
    }

    /// Waits until `condition` finds what it looks for in the view. Probes the members again after
    /// pauses that double each time, up to `MAX_RETRY_PAUSE`.
    async fn wait_for<Found, Condition>(&self, condition: Condition) -> Found
    where
        Condition: Fn(&QuorumView) -> Option<Found>,
    {
        let mut changes = self.changed.subscribe();
        let mut pause = MIN_RETRY_PAUSE;
        loop {
            changes.mark_unchanged();
            if let Some(found) = condition(&self.lock()) {
                return found;
            }
            self.request_probe();
            let changed =
                tokio::time::timeout(pause.max(Duration::from_millis(1)), changes.changed());
            if changed.await.is_ok() {
                if let Some(found) = condition(&self.lock()) {
                    return found;
                }
                tokio::time::sleep(pause).await;
            }
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    /// Probes one member repeatedly, at once when a probe is requested and otherwise every
    /// `IDLE_INTERVAL`. After a failure the pause is a quarter of that, and requests don't shorten
    /// it.
    async fn probe_member(&self, member: usize) {
        let mut requested = self.requested.subscribe();
        loop {
            let probe_number = *requested.borrow_and_update();
            let sent_at_ms = clock::now_ms();
            self.probes_sent.fetch_add(1, Ordering::Relaxed);
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
                    lock(&self.floor_history).record(floor);
                }
            }
            self.changed.send_modify(|count| *count += 1);
            let pause = if is_answered { IDLE_INTERVAL } else { IDLE_INTERVAL / 4 };
            if is_answered {
                let _ = tokio::time::timeout(pause, requested.changed()).await;
            } else {
                tokio::time::sleep(pause).await;
            }
        }
    }
}
