//! The order in which controllers adopt what a lost controller owned.

use tokio::time::Instant;

use crate::{coordinator::Coordinator, session::Owner};

/// Controllers adopt one after another, in the order of their names. Each waits for the time
/// to live of a session divided by this, for each live controller whose name sorts before
/// its own.
pub const ADOPTION_DELAY_DIVISOR: u32 = 16;

/// Tracks since when this controller has observed that the owner of a record has no session.
#[derive(Debug, Default)]
pub struct Succession {
    gone_since: Option<Instant>,
}

impl Succession {
    /// Whether this controller may adopt what `owner` owned: the owner no longer has a
    /// session, and the delay for the controllers that come first has elapsed. A record
    /// without an owner is treated as if its owner had no session.
    pub fn may_adopt(&mut self, coordinator: &Coordinator, owner: Option<&Owner>) -> bool {
        let now = Instant::now();
        let (is_alive, rank) = {
            let records = coordinator.records();
            let is_alive = owner.is_some_and(|owner| records.is_alive(owner));
            (is_alive, records.rank(&coordinator.identity().member))
        };
        let gone_since = self.gone_since.unwrap_or(now);
        self.gone_since = (!is_alive).then_some(gone_since);
        let delay = coordinator.timing().session_ttl / ADOPTION_DELAY_DIVISOR * rank;
        !is_alive && now >= gone_since + delay
    }
}
