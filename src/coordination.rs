//! The coordinator of this controller's optional parts, which uses the node's state service
//! client, request budget and writer.

use std::sync::Arc;

use stonewheel_coordination::{Coordinator, Owner, Store, Timing};

use crate::node::Node;

/// Creates the coordinator of this controller, which activation, rollout and lending share.
pub fn coordinator(node: &Arc<Node>) -> Arc<Coordinator> {
    let owner = Owner { member: node.settings.member.clone(), incarnation: node.incarnation };
    let mut members: Vec<String> =
        node.settings.members.iter().map(|member| member.member.clone()).collect();
    members.push(owner.member.clone());
    let timing = Timing {
        session_ttl: node.settings.worker_lease(),
        state_timeout: node.settings.state_timeout(),
    };
    let store = Store::new(node.state.clone(), node.request_budget.clone(), node.writer());
    Coordinator::new(owner, members, timing, store)
}
