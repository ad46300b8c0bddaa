//! Encoding of the messages between nodes. To a node in another data centre, where bandwidth is
//! scarce, messages are compressed as one stream per connection: names that an earlier message
//! contained take a few bytes.

use std::io;
use std::pin::Pin;

use serde::Deserialize;
use serde::Serialize;
use tarpc::tokio_serde::Deserializer;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::bytes::Bytes;
use tarpc::tokio_util::bytes::BytesMut;
use zstd::stream::raw::CParameter;
use zstd::stream::raw::DParameter;
use zstd::stream::raw::Decoder;
use zstd::stream::raw::Encoder;
use zstd::stream::raw::InBuffer;
use zstd::stream::raw::Operation;
use zstd::stream::raw::OutBuffer;

/// Largest message between nodes, in bytes: leaves ample room for a message of 1 MiB and the fields
/// around it.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// First byte of a message that is not compressed. Together with [`COMPRESSED`] it names the layout
/// of the messages, so that a daemon with another layout refuses them: 0 to 3 belong to earlier ones.
const PLAIN: u8 = 4;

/// First byte of a message that continues the compressed stream of its connection.
const COMPRESSED: u8 = 5;

/// Compression level: the fastest one, since hosts have little processor time.
const LEVEL: i32 = 1;

/// Binary logarithm of the number of bytes that a stream looks back: a few messages, which keeps
/// the memory of a connection small.
const WINDOW_LOG: u32 = 13;

/// Binary logarithm of the size of the compressor's tables.
const TABLE_LOG: u32 = 11;

/// Room that is added when an output buffer is full, in bytes.
const OUTPUT_STEP_BYTES: usize = 4 << 10;

/// Encodes and decodes the messages of one connection.
pub struct RelayFormat<Item, SinkItem> {
    inner: Bincode<Item, SinkItem>,
    compresses: bool,
    encoder: Option<Encoder<'static>>,
    decoder: Option<Decoder<'static>>,
}

impl<Item, SinkItem> RelayFormat<Item, SinkItem> {
    /// Creates the format of a new connection. A side that does not compress at first does so once
    /// it has received a compressed message.
    pub fn new(compresses: bool) -> Self {
        Self { inner: Bincode::default(), compresses, encoder: None, decoder: None }
    }

    fn compress(&mut self, message: &[u8]) -> io::Result<Bytes> {
        let encoder = match &mut self.encoder {
            Some(encoder) => encoder,
            None => self.encoder.insert(new_encoder()?),
        };
        let mut output = vec![COMPRESSED];
        let mut input = InBuffer::around(message);
        while input.pos() < message.len() {
            run(&mut output, |buffer| encoder.run(&mut input, buffer).map(drop))?;
        }
        while run(&mut output, |buffer| encoder.flush(buffer))? > 0 {}
        Ok(output.into())
    }

    fn decompress(&mut self, stream: &[u8]) -> io::Result<BytesMut> {
        let decoder = match &mut self.decoder {
            Some(decoder) => decoder,
            None => self.decoder.insert(new_decoder()?),
        };
        let mut output = Vec::new();
        let mut input = InBuffer::around(stream);
        loop {
            let before = (input.pos(), output.len());
            run(&mut output, |buffer| decoder.run(&mut input, buffer).map(drop))?;
            if output.len() > MAX_MESSAGE_BYTES {
                return Err(invalid("a compressed message is too large"));
            }
            if before == (input.pos(), output.len()) {
                break;
            }
        }
        match input.pos() == stream.len() {
            true => Ok(output.as_slice().into()),
            false => Err(invalid("a compressed message has an unexpected end")),
        }
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

fn new_encoder() -> io::Result<Encoder<'static>> {
    let mut encoder = Encoder::new(LEVEL)?;
    encoder.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
    encoder.set_parameter(CParameter::HashLog(TABLE_LOG))?;
    encoder.set_parameter(CParameter::ChainLog(TABLE_LOG))?;
    Ok(encoder)
}

fn new_decoder() -> io::Result<Decoder<'static>> {
    let mut decoder = Decoder::new()?;
    decoder.set_parameter(DParameter::WindowLogMax(WINDOW_LOG))?;
    Ok(decoder)
}

/// Runs one step that appends to `output`, with some room for it.
fn run<Step, Value>(output: &mut Vec<u8>, step: Step) -> io::Result<Value>
where
    Step: FnOnce(&mut OutBuffer<'_, Vec<u8>>) -> io::Result<Value>,
{
    output.reserve(OUTPUT_STEP_BYTES);
    let start = output.len();
    let mut buffer = OutBuffer::around_pos(output, start);
    step(&mut buffer)
}

impl<Item, SinkItem> Serializer<SinkItem> for RelayFormat<Item, SinkItem>
where
    Item: Unpin,
    SinkItem: Serialize + Unpin,
{
    type Error = io::Error;

    fn serialize(mut self: Pin<&mut Self>, item: &SinkItem) -> Result<Bytes, Self::Error> {
        let plain = Pin::new(&mut self.inner).serialize(item)?;
        if self.compresses {
            return self.compress(&plain);
        }
        let mut message = BytesMut::with_capacity(plain.len() + 1);
        message.extend_from_slice(&[PLAIN]);
        message.extend_from_slice(&plain);
        Ok(message.freeze())
    }
}

impl<Item, SinkItem> Deserializer<Item> for RelayFormat<Item, SinkItem>
where
    Item: for<'content> Deserialize<'content> + Unpin,
    SinkItem: Unpin,
{
    type Error = io::Error;

    fn deserialize(mut self: Pin<&mut Self>, message: &BytesMut) -> Result<Item, Self::Error> {
        let plain = match message.split_first() {
            Some((&PLAIN, plain)) => plain.into(),
            Some((&COMPRESSED, stream)) => {
                self.compresses = true;
                self.decompress(stream)?
            }
            _ => return Err(invalid("a message has an unknown encoding")),
        };
        Pin::new(&mut self.inner).deserialize(&plain)
    }
}
