//! Parses what a request says of its prompt: its segments, of which other prompts share the leading
//! ones, and its token counts. [`placement`](super::placement) uses both.

/// Segments of one prompt that are parsed; the rest is ignored.
const SEGMENT_LIMIT: usize = 32;

/// A contiguous run of a prompt's tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Identity; the same segment has the same one in every prompt.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The sizes and segments of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Segments in order; the last one belongs to the request or its session alone.
    pub segments: Vec<Segment>,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Most tokens to generate.
    pub tokens_out: u64,
}

impl Prompt {
    /// Parses `ID:TOKENS,...` with hexadecimal ids, and `IN,OUT`. An invalid segment ends the list,
    /// and an invalid count is 0: the upstream validates the request.
    pub fn parse(segments: &str, tokens: &str) -> Self {
        let segments = segments
            .split(',')
            .take(SEGMENT_LIMIT)
            .map_while(|segment| {
                let (id, tokens) = segment.trim().split_once(':')?;
                Some(Segment {
                    id: u64::from_str_radix(id, 16).ok()?,
                    tokens: tokens.parse().ok()?,
                })
            })
            .collect();
        let mut counts = tokens.split(',').map(|count| count.trim().parse().ok());
        let mut count = || counts.next().flatten().unwrap_or(0);
        Self {
            segments,
            tokens_in: count(),
            tokens_out: count(),
        }
    }

    /// Returns the segments that other prompts may share.
    pub fn shared_segments(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the ids of the segments that other prompts may share.
    pub fn shared_segment_ids(&self) -> Vec<u64> {
        let shared = self.shared_segments().iter();
        shared.map(|segment| segment.id).collect()
    }

    /// Returns the hexadecimal ids of the segments that other prompts may share, for the log; `-`
    /// if there are none.
    pub(crate) fn shared_log_text(&self) -> String {
        log_text(&self.shared_segment_ids())
    }

    /// Returns the id of the last segment that other prompts may share; `None` if there is none.
    pub fn shared_prefix_id(&self) -> Option<u64> {
        self.shared_segments().last().map(|segment| segment.id)
    }

    /// Returns the length of the prefix that other prompts may share, in tokens.
    pub fn shared_prefix_tokens(&self) -> u64 {
        self.shared_segments()
            .iter()
            .fold(0, |sum: u64, segment| sum.saturating_add(segment.tokens))
    }
}

/// Returns the hexadecimal ids of segments for the log; `-` if there are none.
pub(crate) fn log_text(ids: &[u64]) -> String {
    if ids.is_empty() {
        return "-".to_owned();
    }
    let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}
