//! Fencing tokens, which determine the leader whose commands a worker carries out.
//!
//! A worker refuses commands with a lower token than the highest token that it has seen.
//! The transaction that takes the leadership also takes a range of tokens, so that a leader
//! can raise the token of a single worker without the state service. A worker that has seen
//! the raised token refuses every request that was sent before: one that it left without a
//! response, and a copy of one that it answered. The stored token record holds the last token
//! of the range, so the next term begins above it, whichever version of the program leads
//! then.

/// The number of tokens in a term's range, which limits how often a leader can raise a
/// worker's token. Each worker's token is raised separately, at most twice for each request
/// with start commands. When the range is used up, start commands travel only with the responses
/// to the worker's heartbeats until the next term.
const TOKENS_PER_TERM: u64 = 1 << 20;

/// The range of fencing tokens of one term of leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermTokens {
    first: u64,
    last: u64,
}

impl TermTokens {
    /// Creates the range that begins with this token.
    pub fn starting_at(first: u64) -> Self {
        Self { first, last: first.saturating_add(TOKENS_PER_TERM - 1) }
    }

    /// Creates the range from the first to the last of these tokens.
    pub fn between(first: u64, last: u64) -> Self {
        Self { first, last }
    }

    /// Returns the term's first token, which is stored in the leader record.
    pub fn first(&self) -> u64 {
        self.first
    }

    /// Returns the highest token that this term may use.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether the token belongs to this term. If it is the highest token that a worker has
    /// seen, the worker knows this term and no later one.
    pub fn contains(&self, token: u64) -> bool {
        (self.first..=self.last).contains(&token)
    }

    /// Whether the term has a token above the given one. Start commands are sent directly only
    /// then, since a copy of such a request can be fenced off only by a higher token.
    pub fn can_raise(&self, token: u64) -> bool {
        token < self.last
    }

    /// Returns the term's next token above the given one, or the term's last token if the
    /// range is used up.
    pub fn next_above(&self, token: u64) -> u64 {
        token.saturating_add(1).clamp(self.first, self.last)
    }
}
