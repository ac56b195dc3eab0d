//! Checksummed frames of the storage files. Each frame holds one synced batch, so an intact frame
//! after a damaged one proves that the damaged one had been synced. That is corruption and not a
//! torn tail, which is the incomplete last write before a crash.

/// Magic bytes at the start of a frame.
const MAGIC: [u8; 4] = *b"DQF1";

/// Size of a frame header: magic bytes, payload length, sequence number and checksum.
const HEADER_BYTES: usize = 4 + 4 + 8 + 4;

/// Limit on the payload length that [`read`] accepts.
const PAYLOAD_MAX_BYTES: usize = 256 * 1024 * 1024;

/// The frames read from a file.
#[derive(Debug, Eq, PartialEq)]
pub struct Frames {
    /// Payloads of the intact frames in file order.
    pub payloads: Vec<Vec<u8>>,
    /// Length of the intact part; a torn tail starts at this offset.
    pub intact_bytes: usize,
    /// Offset of the first damaged frame if a newer intact frame follows it; `None` otherwise.
    pub corrupt_offset: Option<usize>,
    /// Sequence number of the next frame to append.
    pub next_seq: u64,
}

/// Encodes `payload` as the frame with sequence number `seq`.
pub fn encode(seq: u64, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&len.to_le_bytes());
    frame.extend_from_slice(&seq.to_le_bytes());
    frame.extend_from_slice(&checksum(len, seq, payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads frames up to the end or the first damaged frame.
pub fn read(bytes: &[u8]) -> Frames {
    let mut frames = Frames {
        payloads: Vec::new(),
        intact_bytes: 0,
        corrupt_offset: None,
        next_seq: 0,
    };
    while let Some((seq, payload)) = frame_at(bytes, frames.intact_bytes) {
        frames.intact_bytes += HEADER_BYTES + payload.len();
        frames.next_seq = seq + 1;
        frames.payloads.push(payload.to_vec());
    }
    if frames.intact_bytes < bytes.len()
        && has_newer_frame(bytes, frames.intact_bytes, frames.next_seq)
    {
        frames.corrupt_offset = Some(frames.intact_bytes);
    }
    frames
}

/// Returns whether an intact frame with sequence number `next_seq` or higher follows `start`.
fn has_newer_frame(bytes: &[u8], start: usize, next_seq: u64) -> bool {
    let tail = &bytes[start..];
    memchr::memmem::find_iter(tail, &MAGIC)
        .filter_map(|at| frame_at(bytes, start + at))
        .any(|(seq, _)| seq >= next_seq)
}

/// Returns the sequence number and payload of the frame at `at`, or `None` if it is damaged.
fn frame_at(bytes: &[u8], at: usize) -> Option<(u64, &[u8])> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let len = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let seq = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let expected = u32::from_le_bytes(header[16..20].try_into().ok()?);
    let size = usize::try_from(len)
        .ok()
        .filter(|&n| n <= PAYLOAD_MAX_BYTES)?;
    let start = at + HEADER_BYTES;
    let payload = bytes.get(start..start + size)?;
    (checksum(len, seq, payload) == expected).then_some((seq, payload))
}

/// Returns the CRC-32 of a frame's length, sequence number and payload.
fn checksum(len: u32, seq: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len.to_le_bytes());
    hasher.update(&seq.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
