//! Fencing tokens: whose commands a worker carries out.
//!
//! A worker refuses commands with a lower token than the highest that it has seen.
//! The transaction that takes the leadership also takes a range of tokens, so that
//! a leader can raise the token of one worker by itself: whatever it sent that
//! worker before and got no response to is void as soon as a heartbeat of the worker
//! shows the higher one. The record of the last token holds the end of the range, so the
//! next term begins beyond it, whichever version leads then.

/// How often a leader can raise a worker's token. Each worker has its own, so this
/// doesn't depend on how many there are, and it is raised once for a request without
/// an answer, so no term comes near this.
const TOKENS_PER_TERM: u64 = 1 << 20;

/// The tokens of one term of leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermTokens {
    first: u64,
    last: u64,
}

impl TermTokens {
    /// The range that begins with this token.
    pub fn starting_at(first: u64) -> Self {
        Self { first, last: first.saturating_add(TOKENS_PER_TERM - 1) }
    }

    /// A term that has a single token and can't raise it.
    pub fn single(token: u64) -> Self {
        Self { first: token, last: token }
    }

    /// The term's first token, which the leader record holds.
    pub fn first(&self) -> u64 {
        self.first
    }

    /// The highest token that this term may use.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether a worker that has seen this token knows this term, and none after it.
    pub fn contains(&self, token: u64) -> bool {
        (self.first..=self.last).contains(&token)
    }

    /// The next higher token of the term; its last one if there is none.
    pub fn next_above(&self, token: u64) -> u64 {
        token.saturating_add(1).clamp(self.first, self.last)
    }
}
