//! What a member may do after a restart with the state that it finds on its own disk, which may be outdated.
//!
//! | state | harm if it is outdated | used to decide | used to be more cautious |
//! | --- | --- | --- | --- |
//! | the log and its snapshot | two leaders, two lease holders | only entries that a majority has, through the log | never on its own |
//! | a drain of an index server | parts are sent to a server that is being stopped | once the log shows the drain in this incarnation | before that: nothing is sent to the server |
//! | discovery's endpoint list | connections to index servers that no longer exist, or whose addresses belong to other services now | never: discovery is polled | in safe mode while discovery does not respond: addresses to try |
//! | a replica was slow or failed | a healthy replica gets no parts, the other replicas of its shard too many | never | never: the replica has restarted as well |
//! | the version that ran last | an old version runs among new ones | once the log shows the version | before that: the version to start, which a later step replaces |
//! | a lease was held | two lease holders | never | never |
//!
//! Ages are not compared, because no clock runs through a power loss and wall clocks may have been changed.
//! What counts is whether the member learned the state in this incarnation, and whether a report of this
//! incarnation has been applied from the log.

/// The kind of state that a member finds on its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateKind {
    /// An index server is drained by the fleet.
    ServerDrain,
    /// The endpoint list of discovery.
    EndpointList,
    /// A replica was slow or failed.
    ReplicaHealth,
    /// The version of the front node that ran last.
    FrontNodeVersion,
    /// The member held a lease.
    Lease,
}

/// Where the state comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateSource {
    /// The member learned the state in this incarnation.
    ThisIncarnation,
    /// The state was read from disk, and since then a report of this incarnation was applied from the log. So
    /// all log entries from before this incarnation have been applied.
    DiskWithCurrentLog,
    /// The state was read from disk, and no report of this incarnation has been applied from the log yet.
    DiskOnly,
}

/// What the state may be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermittedUse {
    /// The state may be used for any decision.
    Decide,
    /// The state may only be used to do less than without it, or to do something that can be undone.
    CautionOnly,
    /// The state must not be used.
    Ignore,
}

/// Returns what state of the given kind and source may be used for, by the table in the module documentation.
pub fn permitted_use(kind: StateKind, source: StateSource) -> PermittedUse {
    match (kind, source) {
        (_, StateSource::ThisIncarnation) => PermittedUse::Decide,
        (StateKind::ServerDrain | StateKind::FrontNodeVersion, StateSource::DiskWithCurrentLog) => {
            PermittedUse::Decide
        }
        (StateKind::ServerDrain | StateKind::FrontNodeVersion | StateKind::EndpointList, _) => {
            PermittedUse::CautionOnly
        }
        (StateKind::ReplicaHealth | StateKind::Lease, _) => PermittedUse::Ignore,
    }
}
