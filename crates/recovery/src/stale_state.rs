//! What a member may do by a fact that it finds on its own disk after a restart.
//!
//! | fact | harm if it is wrong | decide by it | be more cautious by it |
//! | --- | --- | --- | --- |
//! | the log and its snapshot | two leaders, two lease holders | only through the log: what a majority has | never on its own |
//! | a drain of an index server | parts to a server that is being stopped | once the log shows it in this incarnation | before: nothing is sent to the server |
//! | discovery's endpoint list | connections to machines that are gone, or that are other machines now | never: discovery is polled | in safe mode, while discovery is silent: addresses to try |
//! | a replica was slow or failed | a healthy replica gets nothing, its peers too much | never | never: it has restarted as well |
//! | the version that ran last | an old version among new ones | once the log names it | before: the one to start, replaced by a later step |
//! | a lease held | two lease holders | never | never |
//!
//! No ages are compared: no clock runs through a power loss, and wall clocks may have been moved. What counts
//! is whether a fact was learned in this incarnation, and whether the log has shown a report of this
//! incarnation.

/// What a fact is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateKind {
    /// An index server is drained by the fleet.
    ServerDrain,
    /// Discovery's endpoint list.
    EndpointList,
    /// A replica was slow or failed.
    ReplicaHealth,
    /// The version of the front node that ran last.
    FrontNodeVersion,
    /// A lease was held.
    Lease,
}

/// Where a fact comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateSource {
    /// Learned in this incarnation.
    ThisIncarnation,
    /// Read from disk, and the log has shown a report of this incarnation since: it holds all that was
    /// decided before.
    DiskWithCurrentLog,
    /// Read from disk, and nothing more is known.
    DiskOnly,
}

/// What a fact may be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermittedUse {
    /// Any decision.
    Decide,
    /// Only to do less than without it, or what can be undone.
    CautionOnly,
    /// Nothing.
    Ignore,
}

/// The use that the table of this module permits for `fact` from `source`.
pub fn permitted_use(fact: StateKind, source: StateSource) -> PermittedUse {
    match (fact, source) {
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
