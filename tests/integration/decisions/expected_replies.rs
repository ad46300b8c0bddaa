//! Tests that the replies to a request are told from repeated replies to earlier ones.

use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;

use snipehead::caller::expected_replies::ReplyAction;
use snipehead::caller::request_batch::BatchMessage;
use snipehead::caller::request_batch::RequestBatch;
use snipehead::stand_in::member::result_set;

fn ready() -> Reply {
    Reply::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Transaction))
}

fn description() -> Reply {
    result_set::row_description(&result_set::text_columns(&["value"]))
}

fn row() -> Reply {
    result_set::text_row(&["1".to_owned()])
}

fn completion() -> Reply {
    Reply::CommandComplete(CommandComplete::new("SELECT 1".to_owned()))
}

/// Matches replies to messages, and returns how the last reply is handled.
fn last_action(messages: Vec<BatchMessage>, replies: &[Reply]) -> Option<ReplyAction> {
    let batch = RequestBatch { messages, ..RequestBatch::default() };
    let mut expected = batch.expected_replies();
    replies.iter().map(|reply| expected.match_reply(reply)).last()
}

fn query() -> Vec<BatchMessage> {
    vec![BatchMessage::Query("SELECT 1".to_owned())]
}

fn execute() -> Vec<BatchMessage> {
    vec![BatchMessage::Execute { portal: String::new(), max_rows: 0 }, BatchMessage::Sync]
}

/// Guards against a request that is taken as answered by the end of an earlier one.
#[test]
fn query_is_not_answered_by_a_ready_for_query_alone() {
    assert_eq!(last_action(query(), &[ready()]), Some(ReplyAction::Unexpected));
}

/// Guards against rows of an earlier request that are added to this one.
#[test]
fn rows_after_the_result_of_an_execute_are_not_passed_on() {
    let replies = [row(), completion(), description()];
    assert_eq!(last_action(execute(), &replies), Some(ReplyAction::Unexpected));
    let replies = [row(), completion(), completion()];
    assert_eq!(last_action(execute(), &replies), Some(ReplyAction::Unexpected));
}

/// Guards against the end of an earlier reply that is taken as the start of this one.
#[test]
fn rows_of_a_query_follow_their_description() {
    assert_eq!(last_action(query(), &[row()]), Some(ReplyAction::Unexpected));
    let replies = [description(), row(), completion(), row()];
    assert_eq!(last_action(query(), &replies), Some(ReplyAction::Unexpected));
}

/// Guards against a request in step that fails.
#[test]
fn replies_in_step_are_accepted() {
    let replies =
        [description(), row(), completion(), completion(), description(), completion(), ready()];
    assert_eq!(last_action(query(), &replies), Some(ReplyAction::Discard));
    let replies = [row(), completion(), ready()];
    assert_eq!(last_action(execute(), &replies), Some(ReplyAction::Discard));
}
