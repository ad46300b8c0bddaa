//! Encoding of messages between nodes.
//!
//! Pattern: what every message repeats (names of services, tenants and values) crosses data centres
//! with each message, at the price of bandwidth.

use std::pin::Pin;

use proptest::prelude::*;
use tarpc::tokio_serde::Deserializer;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_util::bytes::Bytes;
use tarpc::tokio_util::bytes::BytesMut;

use snipehead_core::relay::Call;
use snipehead_core::relay::CallAction;
use snipehead_core::relay::ReadRequirement;
use snipehead_core::relay::format::MAX_MESSAGE_BYTES;
use snipehead_core::relay::format::RelayFormat;
use snipehead_core::statement::Access;
use snipehead_core::statement::DataStatement;
use snipehead_core::statement::StatementBody;

type Format = RelayFormat<Call, Call>;

fn encode(format: &mut Format, call: &Call) -> Bytes {
    Pin::new(format).serialize(call).expect("calls can be encoded")
}

fn decode(format: &mut Format, message: &[u8]) -> std::io::Result<Call> {
    Pin::new(format).deserialize(&BytesMut::from(message))
}

fn call(id: &str, content: &str) -> Call {
    Call {
        service: "dispatch-db-almaty-3".into(),
        route: "route-bookings".into(),
        tenant: "families-of-the-north".into(),
        transaction: None,
        begin: None,
        action: CallAction::Run(DataStatement {
            id: id.into(),
            access: Access::Write,
            body: StatementBody::Text(format!("STORE 1a4 {content}").into()),
        }),
        values: vec![("search_path".into(), "residents,visits".into())],
        read_requirement: ReadRequirement::Primary,
        starts_operation: true,
        deadline_ms: 1_500,
        max_queue_ms: 800,
        objective_ms: 200,
        priority: 1,
    }
}

/// Returns letters without repetition, like the content of a record.
fn letters(seed: u64, count: usize) -> String {
    let mut state = seed.wrapping_mul(2_862_933_555_777_941_757) + 3_037_000_493;
    let mut next = || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b'a' + ((state >> 33) % 26) as u8)
    };
    std::iter::repeat_with(&mut next).take(count).collect()
}

#[test]
fn names_that_a_connection_has_carried_take_few_bytes() {
    let mut sender = Format::new(true);
    let mut plain = Format::new(false);
    let sizes: Vec<(usize, usize)> = (0..20)
        .map(|number| {
            let call = call(&format!("{number:016x}"), "");
            (encode(&mut sender, &call).len(), encode(&mut plain, &call).len())
        })
        .collect();
    let (compressed, uncompressed) = sizes[19];
    assert!(compressed * 2 < uncompressed, "{compressed} of {uncompressed} bytes");
}

#[test]
fn content_without_repetition_is_shortened_too() {
    let mut sender = Format::new(true);
    let call = call("1", &letters(7, 1_000));
    let size = encode(&mut sender, &call).len();
    assert!(size < 800, "{size} bytes for 1000 letters");
}

#[test]
fn the_answering_side_compresses_once_the_asking_side_does() {
    let mut asking = Format::new(true);
    let mut answering = Format::new(false);
    let sent = call("1", &letters(1, 500));
    assert_eq!(encode(&mut answering, &sent)[0], 4);
    let request = encode(&mut asking, &sent);
    decode(&mut answering, &request).expect("decoded");
    let answer = encode(&mut answering, &sent);
    assert_eq!(answer[0], 5);
    assert_eq!(decode(&mut asking, &answer).expect("decoded"), sent);
}

#[test]
fn the_largest_message_passes_and_a_larger_one_is_refused() {
    let mut sender = Format::new(true);
    let mut receiver = Format::new(false);
    let largest = call("1", &letters(3, 1 << 20));
    let message = encode(&mut sender, &largest);
    assert_eq!(decode(&mut receiver, &message).expect("decoded"), largest);
    let too_large = call("2", &"a".repeat(MAX_MESSAGE_BYTES + 1));
    let message = encode(&mut sender, &too_large);
    assert!(message.len() < 10_000, "the content is compressed");
    assert!(decode(&mut receiver, &message).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn all_messages_of_a_connection_arrive_unchanged(
        contents in prop::collection::vec("\\PC{0,400}", 1..40),
        compresses in any::<bool>(),
    ) {
        let mut sender = Format::new(compresses);
        let mut receiver = Format::new(false);
        for (number, content) in contents.iter().enumerate() {
            let sent = call(&number.to_string(), content);
            let message = encode(&mut sender, &sent);
            prop_assert_eq!(decode(&mut receiver, &message).expect("decoded"), sent);
        }
    }

    /// A malformed message of a peer is an error, never a panic.
    #[test]
    fn a_malformed_message_is_an_error(
        message in prop::collection::vec(any::<u8>(), 0..300),
        kind in 0_u8..5,
        flipped in any::<prop::sample::Index>(),
    ) {
        let mut receiver = Format::new(false);
        let _ = decode(&mut receiver, &[&[kind], message.as_slice()].concat());
        let mut sender = Format::new(true);
        let mut valid = encode(&mut sender, &call("1", "x")).to_vec();
        let place = flipped.index(valid.len());
        valid[place] ^= 1 + message.first().copied().unwrap_or(0) % 255;
        let _ = decode(&mut Format::new(false), &valid);
        let cut = &valid[..place];
        let _ = decode(&mut Format::new(false), cut);
    }
}
