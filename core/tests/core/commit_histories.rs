//! Which commits a read must include.

use proptest::prelude::*;
use rstest::rstest;

use snipehead_core::commit_history::CommitHistory;
use snipehead_core::log_position::LogPosition;

fn at(position: u64) -> LogPosition {
    LogPosition::new(1, position)
}

#[rstest]
#[case::all_within_the_bound(1_500, 100)]
#[case::older_than_the_bound(400, 110)]
#[case::none(0, 120)]
fn a_read_includes_commits_older_than_its_bound(#[case] bound_ms: u64, #[case] expected: u64) {
    let mut history = CommitHistory::new(1, at(100));
    history.acknowledge(1_000, at(110));
    history.acknowledge(1_900, at(120));
    assert_eq!(history.floor(2_000, bound_ms), at(expected));
}

#[test]
fn commits_out_of_order_do_not_lower_the_floor() {
    let mut history = CommitHistory::new(1, at(100));
    history.acknowledge(1_000, at(110));
    history.acknowledge(1_100, at(105));
    assert_eq!(history.floor(1_200, 0), at(110));
}

#[test]
fn commits_that_left_the_history_stay_within_the_floor() {
    let mut history = CommitHistory::new(1, at(0));
    for step in 0..1_000 {
        history.acknowledge(step * 100, at(step));
    }
    assert!(history.floor(99_900, 50_000) >= at(400));
    assert_eq!(history.floor(99_900, 0), at(999));
}

/// After a promotion the position of the new primary still belongs to the old term. A session whose
/// commit was rolled back by the promotion had all its later reads refused as lagging.
#[test]
fn positions_of_ended_terms_are_replaced_by_the_base() {
    let history = CommitHistory::new(2, at(85));
    assert_eq!(history.rebase(at(90)), at(85));
    assert_eq!(history.rebase(LogPosition::new(2, 91)), LogPosition::new(2, 91));
}

/// Acknowledged commits were forgotten when a primary was adopted again by a report from before them.
#[rstest]
#[case::old_report(1, 105, false, 110)]
#[case::later_report(1, 115, false, 110)]
#[case::loss(1, 105, true, 105)]
#[case::no_loss(1, 110, true, 110)]
#[case::newer_term(2, 105, false, 105)]
#[case::older_term(0, 105, true, 110)]
fn a_report_replaces_commits_only_in_a_newer_term_or_after_a_loss(
    #[case] term: u64,
    #[case] reported: u64,
    #[case] is_current: bool,
    #[case] expected: u64,
) {
    let mut history = CommitHistory::new(1, at(100));
    history.acknowledge(1_000, at(110));
    let history = CommitHistory::adopt(Some(history), term, at(reported), is_current);
    assert_eq!(history.newest(), at(expected));
    assert_eq!(history.floor(1_100, 0), at(expected));
    assert_eq!(history.term(), term.max(1));
}

/// What happens to the primary of a service and to what its owner knows of it.
#[derive(Clone, Debug)]
enum Event {
    /// The primary commits, and the owner acknowledges that.
    Commit,
    /// The primary commits, and its reply is lost.
    CommitUnseen,
    /// The owner probes the primary.
    Report,
    /// The owner adopts the primary by its last report, however old, and asks it again if it must.
    Adopt { is_busy: bool },
    /// The primary restarts without its newest commits of the term.
    Restart { lost: usize },
    /// A replica that lacks the newest commits becomes primary of the next term.
    Promote { behind: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Commit),
        2 => Just(Event::CommitUnseen),
        3 => Just(Event::Report),
        4 => any::<bool>().prop_map(|is_busy| Event::Adopt { is_busy }),
        1 => (0..4_usize).prop_map(|lost| Event::Restart { lost }),
        1 => (0..4_usize).prop_map(|behind| Event::Promote { behind }),
    ]
}

/// A primary with its log, as the terms of its entries, and its owner.
struct Model {
    now_ms: u64,
    term: u64,
    log: Vec<u64>,
    /// Term and newest position of the last report.
    report: Option<(u64, LogPosition)>,
    /// Term of the primary in use.
    term_in_use: Option<u64>,
    history: Option<CommitHistory>,
    /// Acknowledged positions that the primary's log still has.
    acknowledged: Vec<LogPosition>,
}

impl Model {
    fn new() -> Self {
        Self {
            now_ms: 0,
            term: 1,
            log: vec![1],
            report: None,
            term_in_use: None,
            history: None,
            acknowledged: Vec::new(),
        }
    }

    fn newest(&self) -> LogPosition {
        LogPosition::new(self.log[self.log.len() - 1], self.log.len() as u64)
    }

    fn lose(&mut self, entries: usize) {
        self.log.truncate(self.log.len().saturating_sub(entries).max(1));
        let newest = self.newest();
        self.acknowledged.retain(|position| *position <= newest);
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += 30;
        match *event {
            Event::Commit | Event::CommitUnseen => {
                self.log.push(self.term);
                let is_seen = matches!(event, Event::Commit);
                if is_seen && self.term_in_use == Some(self.term) {
                    let newest = self.newest();
                    let history = self.history.as_mut().expect("the primary in use has a history");
                    history.acknowledge(self.now_ms, newest);
                    self.acknowledged.push(newest);
                }
            }
            Event::Report => self.report = Some((self.term, self.newest())),
            Event::Adopt { is_busy } => self.adopt(is_busy),
            Event::Restart { lost } => {
                let own = self.log.iter().filter(|term| **term == self.term).count();
                self.lose(lost.min(own));
            }
            Event::Promote { behind } => {
                self.term += 1;
                self.term_in_use = None;
                self.lose(behind);
            }
        }
    }

    fn adopt(&mut self, is_busy: bool) {
        let Some((term, reported)) = self.report.filter(|(term, _)| *term == self.term) else {
            return;
        };
        let former = self.history.take();
        let lacks_commits = former.as_ref().is_some_and(|known| known.exceeds(term, reported));
        let is_current = lacks_commits && !is_busy;
        let reported = if is_current { self.newest() } else { reported };
        let adopted = CommitHistory::adopt(former, term, reported, is_current);
        if is_current {
            let floor = adopted.floor(self.now_ms, 0);
            assert!(floor <= self.newest(), "a read needs {floor}, which is lost");
        }
        self.history = Some(adopted);
        self.term_in_use = Some(term);
    }

    /// Checks that a read which accepts no staleness includes every acknowledged commit that the
    /// primary still has.
    fn check(&self) {
        if self.term_in_use.is_none() {
            return;
        }
        let floor = self.history.as_ref().expect("there is a history").floor(self.now_ms, 0);
        let missing = self.acknowledged.iter().find(|position| **position > floor);
        assert_eq!(missing, None, "a read needs to include {floor} only");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against a primary that is adopted again and whose old report takes acknowledged commits back.
    #[test]
    fn an_adoption_forgets_no_acknowledged_commit_that_the_primary_has(
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
            model.check();
        }
    }
}
