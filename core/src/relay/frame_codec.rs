//! Framing of the messages between nodes. Buffers that a large message has made grow are replaced by
//! small ones: a node has a connection to each of hundreds of others.

use std::io;

use tarpc::tokio_util::bytes::Bytes;
use tarpc::tokio_util::bytes::BytesMut;
use tarpc::tokio_util::codec::Decoder;
use tarpc::tokio_util::codec::Encoder;
use tarpc::tokio_util::codec::LengthDelimitedCodec;

use crate::relay::format::MAX_MESSAGE_BYTES;

/// Length up to which a buffer is kept, in bytes.
const KEPT_BUFFER_BYTES: usize = 64 << 10;

/// Codec of messages that follow their length.
pub(super) struct FrameCodec {
    inner: LengthDelimitedCodec,
    /// Whether the output has been longer than is kept since its buffer was new.
    output_has_grown: bool,
}

impl FrameCodec {
    /// Creates the codec of a new connection.
    pub(super) fn new() -> Self {
        let inner = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
        Self { inner, output_has_grown: false }
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let frame = self.inner.decode(buffer)?;
        if frame.as_ref().is_some_and(|frame| frame.len() > KEPT_BUFFER_BYTES) {
            // The rest no longer shares its memory with the frame.
            *buffer = BytesMut::from(&buffer[..]);
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, message: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        // What was written is no part of the capacity, but still allocated.
        if buffer.is_empty() && self.output_has_grown {
            *buffer = BytesMut::new();
            self.output_has_grown = false;
        }
        self.inner.encode(message, buffer)?;
        self.output_has_grown |= buffer.len() > KEPT_BUFFER_BYTES;
        Ok(())
    }
}
