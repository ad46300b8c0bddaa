//! Follows the frames of a byte stream: each is a length in 4 bytes, the most significant first, and
//! as many bytes. No input or output.

/// Bytes of a frame's length.
const HEADER_BYTES: usize = 4;

/// Position of a reader in a stream of frames.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameProgress {
    header: [u8; HEADER_BYTES],
    header_bytes: usize,
    frame_bytes: usize,
    left_bytes: usize,
}

impl FrameProgress {
    /// Returns the length of the frame that has begun, if its header is complete.
    pub fn frame_bytes(&self) -> usize {
        if self.left_bytes > 0 { self.frame_bytes } else { 0 }
    }

    /// Returns the bytes of the begun frame that have not been read.
    pub fn left_bytes(&self) -> usize {
        self.left_bytes
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
            self.header[self.header_bytes] = bytes[0];
            self.header_bytes += 1;
            bytes = &bytes[1..];
            if self.header_bytes == HEADER_BYTES {
                self.header_bytes = 0;
                self.frame_bytes = u32::from_be_bytes(self.header) as usize;
                self.left_bytes = self.frame_bytes;
            }
        }
    }
}
