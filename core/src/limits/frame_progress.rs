//! Follows the messages of a byte stream: each has an optional type, a length in 4 bytes, the most
//! significant first, and a content. No input or output.

/// Bytes of a message's length.
const LENGTH_BYTES: usize = 4;

/// Form of the messages' headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameLayout {
    /// Bytes of the type, which stands before the length: 0 or 1.
    pub type_bytes: usize,
    /// Whether the length counts its own 4 bytes.
    pub counts_itself: bool,
}

/// Position of a reader in a stream of messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameProgress {
    layout: FrameLayout,
    length: [u8; LENGTH_BYTES],
    header_bytes: usize,
    frame_bytes: usize,
    left_bytes: usize,
}

impl FrameProgress {
    /// Starts at the first message of a stream.
    pub fn new(layout: FrameLayout) -> Self {
        Self { layout, ..Self::default() }
    }

    /// Returns the length of the content of the message that has begun, if its header is complete.
    pub fn frame_bytes(&self) -> usize {
        if self.left_bytes > 0 { self.frame_bytes } else { 0 }
    }

    /// Returns the bytes of the begun message that have not been read.
    pub fn left_bytes(&self) -> usize {
        self.left_bytes
    }

    /// Returns whether a message has begun and not ended.
    pub fn has_begun(&self) -> bool {
        self.left_bytes > 0 || self.header_bytes > 0
    }

    /// Records bytes that were read.
    pub fn record(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.left_bytes > 0 {
                let taken = self.left_bytes.min(bytes.len());
                self.left_bytes -= taken;
                bytes = &bytes[taken..];
                continue;
            }
            if let Some(at) = self.header_bytes.checked_sub(self.layout.type_bytes) {
                self.length[at] = bytes[0];
            }
            self.header_bytes += 1;
            bytes = &bytes[1..];
            if self.header_bytes == self.layout.type_bytes + LENGTH_BYTES {
                self.header_bytes = 0;
                let own_bytes = if self.layout.counts_itself { LENGTH_BYTES } else { 0 };
                let length = u32::from_be_bytes(self.length) as usize;
                self.frame_bytes = length.saturating_sub(own_bytes);
                self.left_bytes = self.frame_bytes;
            }
        }
    }
}
