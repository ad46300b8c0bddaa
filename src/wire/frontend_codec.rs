//! Codec for connections on which this process is the PostgreSQL server.

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::ProtocolVersion;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Length of a message's type and length fields, in bytes.
const HEADER_BYTES: usize = 5;

/// Largest startup packet accepted from a client that is not authenticated yet, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;

/// Capacity up to which the buffers of a connection are kept, in bytes. Most sessions are idle.
const KEPT_BUFFER_BYTES: usize = 64 << 10;

/// Decodes the messages of a client and encodes the messages to it.
#[derive(Debug)]
pub struct FrontendCodec {
    context: DecodeContext,
    max_message_bytes: usize,
    is_authenticated: bool,
    /// Whether the output has been longer than is kept since its buffer was new.
    output_has_grown: bool,
}

impl FrontendCodec {
    /// Creates a codec that rejects messages longer than `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> Self {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        Self { context, max_message_bytes, is_authenticated: true, output_has_grown: false }
    }

    /// Expects the startup message next, after the negotiation of encryption.
    pub fn expect_startup(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// Expects regular messages next, after the startup message.
    pub fn expect_messages(&mut self) {
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
    }

    /// Rejects messages that are longer than a startup packet, until [`Self::accept_large_messages`].
    pub fn await_authentication(&mut self) {
        self.is_authenticated = false;
    }

    /// Accepts messages up to the maximum length.
    pub fn accept_large_messages(&mut self) {
        self.is_authenticated = true;
    }

    /// Rejects a message by its length field, before its content is buffered.
    fn check_length(&self, source: &BytesMut) -> Result<(), PgWireError> {
        let (at, limit_bytes) = if self.context.awaiting_frontend_startup {
            (0, MAX_STARTUP_BYTES)
        } else if self.is_authenticated {
            (1, self.max_message_bytes)
        } else {
            (1, MAX_STARTUP_BYTES)
        };
        let Some(field) = source.get(at..at + HEADER_BYTES - 1) else {
            return Ok(());
        };
        let length_bytes = field.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
        if length_bytes > limit_bytes {
            return Err(PgWireError::MessageTooLarge(limit_bytes, length_bytes));
        }
        Ok(())
    }
}

impl Decoder for FrontendCodec {
    type Item = PgWireFrontendMessage;
    type Error = PgWireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        self.check_length(source)?;
        let before_bytes = source.len();
        let message = PgWireFrontendMessage::decode(source, &self.context)?;
        if before_bytes - source.len() > KEPT_BUFFER_BYTES {
            // The rest no longer shares its memory with the message.
            *source = BytesMut::from(&source[..]);
        }
        Ok(message)
    }
}

impl Encoder<PgWireBackendMessage> for FrontendCodec {
    type Error = PgWireError;

    fn encode(
        &mut self,
        item: PgWireBackendMessage,
        target: &mut BytesMut,
    ) -> Result<(), Self::Error> {
        // What was written is no part of the capacity, but still allocated.
        if target.is_empty() && self.output_has_grown {
            *target = BytesMut::new();
            self.output_has_grown = false;
        }
        item.encode(target)?;
        self.output_has_grown |= target.len() > KEPT_BUFFER_BYTES;
        Ok(())
    }
}
