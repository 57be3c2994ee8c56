//! Between controllers, in bitcode, which doesn't describe itself: a struct here
//! never changes, and new facts get a section of their own (`peers/frames.rs`).

/// The identity of a controller heartbeat. The two integers are fixed on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct HeartbeatId {
    /// The process that sends it, drawn at each start.
    pub incarnation: u64,
    /// It only rises within an incarnation.
    pub sequence: u64,
}

/// What controllers tell each other several times per leader lease. It carries no
/// authority: only the state service does.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct ControllerHeartbeat {
    /// The sender's name in the settings.
    pub member: String,
    /// The identity of this heartbeat.
    pub id: HeartbeatId,
    /// The latest heartbeat that this node received from the receiver as a leader:
    /// it renews no worker's lease for a while after that.
    pub acknowledged: Option<HeartbeatId>,
    /// Whether the sender leads.
    pub leads: bool,
    /// The highest fencing token this node has seen anywhere.
    pub token: u64,
    /// Whether the state service answered this node lately.
    pub state_ok: bool,
    /// Whether this node rejected worker heartbeats lately: proof that workers live
    /// although the leader may not receive theirs.
    pub rejected_heartbeats: bool,
    /// The revision of this node's watch cache: it knows every cancellation up to it.
    pub revision: u64,
    /// Cancellations that this node may have confirmed to users after the receiver's
    /// revision. They travel in a section of their own (`peers/frames.rs`).
    pub cancellations: Option<CancellationNotice>,
}

/// What the sender's version can do that the first one without this section could
/// not. It holds for good: a member never returns to an older version once it has
/// run this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct Features {
    /// It reads and writes pages whose records name the range of their tasks.
    pub small_pages: bool,
}

/// A leader's contact with its workers, in a section of its own (`peers/frames.rs`).
#[derive(Clone, Copy, Debug, Default, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct WorkerContact {
    /// The sender leads and has lately received heartbeats of hardly any worker.
    pub lost: bool,
}

/// All cancellations in the sender's watch cache beyond a revision.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct CancellationNotice {
    /// The receiver's revision, as its latest heartbeat as a leader had it.
    pub since: u64,
    /// False if there are more than one heartbeat carries.
    pub complete: bool,
    /// The cancelled jobs, the oldest end first.
    pub jobs: Vec<CancelledJob>,
}

/// A job that was cancelled. It is part of a frame: its fields never change.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct CancelledJob {
    /// The job's id.
    pub id: String,
    /// The revision of its end record.
    pub version: u64,
    /// How many of its tasks were done.
    pub done: u32,
}
