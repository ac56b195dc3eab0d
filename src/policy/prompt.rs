//! What a request says of its prompt: its parts, which of them others share, and its size.

/// Parts of one prompt that are read, at most.
const PART_LIMIT: usize = 32;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Identity; the same part in other prompts has the same.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prompt as the placement sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order; the last one is the request's or its session's own.
    pub segments: Vec<Segment>,
    /// Tokens to read.
    pub tokens_in: u64,
    /// Tokens to generate, at most.
    pub tokens_out: u64,
}

impl Prompt {
    /// Reads `ID:TOKENS,...` with hexadecimal ids, and `IN,OUT`. What can't be read counts as
    /// absent: the upstream judges the request.
    pub fn parse(parts: &str, tokens: &str) -> Self {
        let parts = parts
            .split(',')
            .take(PART_LIMIT)
            .map_while(|part| {
                let (id, tokens) = part.trim().split_once(':')?;
                Some(Segment {
                    id: u64::from_str_radix(id, 16).ok()?,
                    tokens: tokens.parse().ok()?,
                })
            })
            .collect();
        let mut counts = tokens.split(',').map(|count| count.trim().parse().ok());
        let mut count = || counts.next().flatten().unwrap_or(0);
        Self {
            segments: parts,
            tokens_in: count(),
            tokens_out: count(),
        }
    }

    /// Identity of the last part that other prompts may share.
    pub fn shared_prefix_id(&self) -> Option<u64> {
        let (_, shared) = self.segments.split_last()?;
        shared.last().map(|part| part.id)
    }

    /// Tokens of all parts that other prompts may share.
    pub fn shared_prefix_tokens(&self) -> u64 {
        let (_, shared) = self.segments.split_last().unzip();
        shared
            .into_iter()
            .flatten()
            .fold(0, |sum: u64, part: &Segment| {
                sum.saturating_add(part.tokens)
            })
    }
}
