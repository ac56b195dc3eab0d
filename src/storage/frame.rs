//! Checksummed frames. One frame holds one synced batch, so an intact frame after a damaged one
//! proves that the damaged one had been synced: that is corruption, not a torn tail.

/// Marks the start of a frame.
const MAGIC: [u8; 4] = *b"DQF1";

/// Bytes of magic, length, sequence number and checksum.
const HEADER: usize = 4 + 4 + 8 + 4;

/// Longest payload that is read back, in bytes.
const PAYLOAD_LIMIT: usize = 256 * 1024 * 1024;

/// What a file of frames held.
#[derive(Debug, Eq, PartialEq)]
pub struct Frames {
    /// Payloads in order.
    pub payloads: Vec<Vec<u8>>,
    /// Length of the intact part; a torn tail starts here.
    pub intact: usize,
    /// Where damage starts that intact frames follow.
    pub corrupt_at: Option<usize>,
    /// Sequence number for the next frame.
    pub next_seq: u64,
}

/// Encodes one frame.
pub fn encode(seq: u64, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut frame = Vec::with_capacity(HEADER + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&len.to_le_bytes());
    frame.extend_from_slice(&seq.to_le_bytes());
    frame.extend_from_slice(&checksum(len, seq, payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads frames until the end or the first damage.
pub fn read(bytes: &[u8]) -> Frames {
    let mut frames = Frames {
        payloads: Vec::new(),
        intact: 0,
        corrupt_at: None,
        next_seq: 0,
    };
    while let Some((seq, payload)) = frame_at(bytes, frames.intact) {
        frames.intact += HEADER + payload.len();
        frames.next_seq = seq + 1;
        frames.payloads.push(payload.to_vec());
    }
    if frames.intact < bytes.len() && intact_after(bytes, frames.intact, frames.next_seq) {
        frames.corrupt_at = Some(frames.intact);
    }
    frames
}

/// Whether an intact frame that is newer than all before stands anywhere after `start`.
fn intact_after(bytes: &[u8], start: usize, next_seq: u64) -> bool {
    let tail = &bytes[start..];
    memchr::memmem::find_iter(tail, &MAGIC)
        .filter_map(|at| frame_at(bytes, start + at))
        .any(|(seq, _)| seq >= next_seq)
}

fn frame_at(bytes: &[u8], at: usize) -> Option<(u64, &[u8])> {
    let header = bytes.get(at..at + HEADER)?;
    if header[..4] != MAGIC {
        return None;
    }
    let len = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let seq = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let sum = u32::from_le_bytes(header[16..20].try_into().ok()?);
    let size = usize::try_from(len).ok().filter(|&n| n <= PAYLOAD_LIMIT)?;
    let start = at + HEADER;
    let payload = bytes.get(start..start + size)?;
    (checksum(len, seq, payload) == sum).then_some((seq, payload))
}

fn checksum(len: u32, seq: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len.to_le_bytes());
    hasher.update(&seq.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
