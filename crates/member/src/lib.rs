//! Who is there, and what every node should know.
//!
//! Nodes share small *facts*: which node lives, which target leaves, which node owns a trainer,
//! which configuration is in force. Each fact has a rule by which a newer one supersedes an older
//! one ([`Fact::supersedes`]) or adds to it ([`Fact::merged_with`]), and none by which it goes back, so
//! facts may arrive late, twice or in any order. That makes gossip safe for hints and copies; what
//! must be *agreed* (leases, revisions, ledgers) is agreed in the platform's key-value service, and
//! only its outcome is spread here.
//!
//! [`FactTable`] holds the facts and decides what to send. [`Membership`] adds the failure detector:
//! one probe a second to one other node, a second and three indirect ones before a suspicion, and a suspicion
//! that the suspect can refute. Each probe carries a digest of the whole board, so a node that
//! missed a message notices and pulls what differs. Nothing here owns a socket or a clock.

mod duty;
mod fact;
mod fact_table;
mod membership;
mod probing;

pub use duty::DutyRank;
pub use fact::{
    ConfigFact, CrashFact, Fact, FactKey, NodeFact, NodeState, OwnerFact, TargetFact,
    TargetFactSource,
};
pub use fact_table::{DIGEST_BUCKETS, FactTable, MergeOutcome};
pub use membership::{Membership, MembershipSettings, Message, Output};
