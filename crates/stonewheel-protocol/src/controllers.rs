//! Messages between controllers, encoded with bitcode. Bitcode is positional and doesn't
//! describe its data, so the fields of these structs never change: new data gets a frame
//! section of its own (`peers/frames.rs`).

/// The identity of a controller heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct HeartbeatId {
    /// A random number that the sending process drew at its start.
    pub incarnation: u64,
    /// The sequence number of the heartbeat, which increases within an incarnation.
    pub sequence: u64,
}

/// The heartbeat that controllers send each other several times per leader lease. It gives
/// its sender no authority: who leads is decided in the state service only.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct ControllerHeartbeat {
    /// The sender's member name in the settings.
    pub member: String,
    /// The identity of this heartbeat.
    pub id: HeartbeatId,
    /// The latest heartbeat that the sender received from the receiver while the receiver
    /// was the leader. After receiving a leader's heartbeat, the sender abstains from
    /// renewing workers' leases for some time (`lease_renewal`).
    pub acknowledged: Option<HeartbeatId>,
    /// Whether the sender is the leader.
    pub leads: bool,
    /// The highest fencing token in the sender's watch cache or in a heartbeat that it received.
    pub token: u64,
    /// Whether the state service answered the sender within the last leader lease.
    pub state_ok: bool,
    /// Whether the sender rejected worker heartbeats within the last few heartbeat
    /// intervals. They prove that workers are alive, even if the leader doesn't receive
    /// their heartbeats.
    pub rejected_heartbeats: bool,
    /// The revision of the sender's watch cache, which has all cancellations up to this
    /// revision.
    pub revision: u64,
    /// Cancellations that the sender may have confirmed to users after the receiver's
    /// revision. They are sent in a frame section of their own (`peers/frames.rs`).
    pub cancellations: Option<CancellationNotice>,
}

/// The features that the sender's version supports beyond those of versions that don't send
/// this section. Receivers rely on a feature permanently once it was reported: a member must
/// not return to an older version after it has run this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct Features {
    /// The sender reads and writes page records that name the range of their tasks.
    pub small_pages: bool,
}

/// A leader's contact with its workers, sent in a frame section of its own
/// (`peers/frames.rs`).
#[derive(Clone, Copy, Debug, Default, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct WorkerContact {
    /// Whether the sender is the leader and most workers' heartbeats have failed to reach it
    /// within the last few heartbeat intervals.
    pub lost: bool,
}

/// The cancellations in the sender's watch cache after a revision.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct CancellationNotice {
    /// The receiver's revision, from the latest heartbeat that it sent as the leader.
    pub since: u64,
    /// Whether `jobs` has all cancellations since then. False if there are more than fit one
    /// heartbeat.
    pub complete: bool,
    /// The cancelled jobs, ordered by their end, oldest first.
    pub jobs: Vec<CancelledJob>,
}

/// A cancelled job.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct CancelledJob {
    /// The job's id.
    pub id: String,
    /// The revision of the job's end record.
    pub version: u64,
    /// The number of the job's tasks that had completed.
    pub done: u32,
}

/// How the sender takes part in the replication of confirmed cancellations, sent in a frame
/// section of its own (`peers/frames.rs`). Durations are measured by the sender's clock, up to
/// the moment at which it composed the message.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct CancellationSync {
    /// The latest heartbeat of the receiver that the sender has received.
    pub received: Option<HeartbeatId>,
    /// The cancellations in the sender's watch cache after the receiver's revision, without
    /// those of jobs that certainly have no task left.
    pub notice: CancellationNotice,
    /// What the sender knows about the cancellations that each member has confirmed.
    pub known: Vec<KnownMember>,
    /// For how long the sender's confirmations are covered by a promise to the receiving process
    /// (`CancellationReplication` in `lease_renewal`), in milliseconds.
    pub covered_for_ms: u64,
    /// Whether the sender extends that promise until the replication hold has passed since it
    /// received the heartbeat `received`.
    pub hold_promised: bool,
    /// Whether the receiver should answer at once, since users wait for its acknowledgement.
    pub reply_requested: bool,
}

/// What a controller knows about the cancellations that one member has confirmed to users.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct KnownMember {
    /// The member's name in the settings.
    pub member: String,
    /// Every cancellation that any process of the member confirmed more than this time ago is
    /// known, in milliseconds. None if that can't be said of any time.
    pub age_ms: Option<u64>,
    /// The period in which promises to the controller cover the member's confirmations.
    pub coverage: Option<CoverageAge>,
}

/// The age of the beginning and of the end of a period that promises cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct CoverageAge {
    /// How long ago the period began, in milliseconds.
    pub from_ms: u64,
    /// How long ago the period ended, in milliseconds. 0 if it has not ended.
    pub until_ms: u64,
}
