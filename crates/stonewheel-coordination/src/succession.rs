//! When a controller may adopt what another one owned.

use tokio::time::Instant;

use crate::{coordinator::Coordinator, session::Owner};

/// Controllers adopt one after the other, in the order of their names: each gives the one
/// before it this part of a session's time.
pub const ADOPTION_DELAY_DIVISOR: u32 = 16;

/// Since when this controller has observed that the owner of something is gone.
#[derive(Debug, Default)]
pub struct Succession {
    gone_since: Option<Instant>,
}

impl Succession {
    /// Whether this controller may adopt what `owner` held: the owner has no session any
    /// more, and the controllers that come first had their time. What has no owner is
    /// treated as if its owner were gone.
    pub fn may_adopt(&mut self, coordinator: &Coordinator, owner: Option<&Owner>) -> bool {
        let now = Instant::now();
        let (is_alive, rank) = {
            let records = coordinator.records();
            let is_alive = owner.is_some_and(|owner| records.is_alive(owner));
            (is_alive, records.rank(&coordinator.identity().member))
        };
        let since = self.gone_since.unwrap_or(now);
        self.gone_since = (!is_alive).then_some(since);
        let pause = coordinator.timing().session_ttl / ADOPTION_DELAY_DIVISOR * rank;
        !is_alive && now >= since + pause
    }
}
