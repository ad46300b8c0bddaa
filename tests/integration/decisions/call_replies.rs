//! Tests that the replies to a control call are told from those to earlier calls.

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;
use proptest::prelude::*;

use snipehead::group::call_replies::CallProgress;
use snipehead::group::call_replies::CallReplies;
use snipehead::stand_in::member::result_set;

/// Number of replies to a call and to the query of its marker.
const REPLIES_TO_CALL: usize = 8;

/// Returns one of the replies to a call and to the query of its marker.
fn reply_to_call(number: usize, index: usize) -> Reply {
    let value = match index < REPLIES_TO_CALL / 2 {
        true => format!("status {number}"),
        false => number.to_string(),
    };
    match index % (REPLIES_TO_CALL / 2) {
        0 => result_set::row_description(&result_set::text_columns(&["value"])),
        1 => result_set::text_row(&[value]),
        2 => Reply::CommandComplete(CommandComplete::new("CALL".to_owned())),
        _ => Reply::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle)),
    }
}

proptest! {
    /// Guards against a status of an earlier call that is taken as the newest one.
    #[test]
    fn repeated_replies_are_never_taken_as_those_of_another_call(
        repeats in prop::collection::vec((0..32_usize, 0..8_usize, 1..9_usize, 0..24_usize), 0..3),
    ) {
        let calls = 4;
        let numbered = |number| (0..REPLIES_TO_CALL).map(move |index| (number, index));
        let mut sent: Vec<(usize, usize)> = (0..calls).flat_map(numbered).collect();
        for (from, offset, count, later) in repeats {
            let from = (from + offset) % sent.len();
            let to = (from + count).min(sent.len());
            let repeated = sent[from..to].to_vec();
            let at = (to + later).min(sent.len());
            sent.splice(at..at, repeated);
        }
        let mut arriving = sent.iter();
        'calls: for number in 0..calls {
            let mut replies = CallReplies::new(&number.to_string());
            loop {
                let (of_call, index) = *arriving.next().expect("a call ends with its replies");
                match replies.accept(&reply_to_call(of_call, index)) {
                    CallProgress::Incomplete => {}
                    CallProgress::Complete(outcome) => {
                        prop_assert_eq!(outcome, Ok(vec![format!("status {number}")]));
                        break;
                    }
                    CallProgress::OutOfStep => break 'calls,
                    CallProgress::Closing(error) => panic!("no error was sent: {error}"),
                }
            }
        }
    }
}

/// Guards against a call that fails although its replies are in step.
#[test]
fn replies_in_step_complete_the_call() {
    let mut replies = CallReplies::new("7");
    let progress: Vec<CallProgress> =
        (0..REPLIES_TO_CALL).map(|index| replies.accept(&reply_to_call(7, index))).collect();
    let outcome = CallProgress::Complete(Ok(vec!["status 7".to_owned()]));
    assert_eq!(progress.last(), Some(&outcome));
    assert!(progress[..7].iter().all(|earlier| *earlier == CallProgress::Incomplete));
}
