//! What a member may do by a fact it finds on its own disk after a start.
//!
//! | fact | if it is wrong | decide by it | be more careful by it |
//! | --- | --- | --- | --- |
//! | the log and its snapshot | two leaders, two holders | only through the log: what a majority has | never on its own |
//! | a drain of an index server | parts to a server that is being stopped | once the log shows it in this start | before: the server is left alone |
//! | discovery's list | connections to machines that are gone, or that are other machines now | never: discovery is asked | in safe mode, while discovery is silent: addresses to try |
//! | a replica was slow or failed | a sound replica gets nothing, its peers too much | never | never: it has started anew as well |
//! | the version that ran last | an old version among new ones | once the log names it | before: the one to start, and to be stepped on later |
//! | a lease held | two holders | never | never |
//!
//! No age is compared: no clock runs through a power loss, and wall clocks may have been moved. What counts is whether
//! a fact was learned in this start, and whether the log has shown this start's own word.

/// What a fact is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fact {
    /// An index server is drained by the fleet.
    Drain,
    /// Discovery's list.
    List,
    /// A replica was slow or failed.
    Replica,
    /// The version of the front node that ran last.
    Version,
    /// A lease was held.
    Lease,
}

/// Where it comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Learned in this start.
    ThisStart,
    /// Read from disk, and the log has shown this start's own word since: it holds all that was decided before.
    CaughtUp,
    /// Read from disk, and nothing more is known.
    Disk,
}

/// What may be done by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// Decide.
    Decide,
    /// Only do less than without it, or what can be taken back.
    Careful,
    /// Nothing.
    Leave,
}

/// The rule of the table above.
pub fn may(fact: Fact, source: Source) -> Use {
    match (fact, source) {
        (_, Source::ThisStart) | (Fact::Drain | Fact::Version, Source::CaughtUp) => Use::Decide,
        (Fact::Drain | Fact::Version | Fact::List, _) => Use::Careful,
        (Fact::Replica | Fact::Lease, _) => Use::Leave,
    }
}
