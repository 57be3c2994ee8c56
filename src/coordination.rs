//! Coordination with the other controllers, through this controller's own client and
//! budget.

use std::sync::Arc;

use stonewheel_coordination::{Coordinator, Owner, Store, Timing};

use crate::node::Node;

/// The coordination of this controller. Its parts share it.
pub fn coordinator(node: &Arc<Node>) -> Arc<Coordinator> {
    let owner = Owner { member: node.settings.member.clone(), incarnation: node.incarnation };
    let mut members: Vec<String> =
        node.settings.members.iter().map(|member| member.member.clone()).collect();
    members.push(owner.member.clone());
    let timing = Timing {
        session: node.settings.worker_lease(),
        state_timeout: node.settings.state_timeout(),
    };
    let store = Store::new(node.state.clone(), node.request_budget.clone(), node.writer());
    Coordinator::new(owner, members, timing, store)
}
