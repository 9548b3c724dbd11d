//! Membership of the nodes, and the facts that every node should know.
//!
//! Nodes share small *facts*: which nodes are live, which targets are leaving, which node owns a
//! trainer, which configuration is in force. By the rule for its kind, a newer fact supersedes an
//! older one ([`Fact::supersedes`]) or is merged with it ([`Fact::merged_with`]); no rule lets a
//! fact go back. Facts may therefore arrive late, twice or in any order, and gossip is safe for
//! hints and copies. Whatever needs *agreement* (leases, revisions, ledgers) is agreed in the
//! platform's key-value service, and only the result is spread here.
//!
//! [`FactTable`] holds the facts and decides which to send. [`Membership`] adds the failure
//! detector: every second it probes one other node. If that node does not answer, it sends a second
//! probe and three indirect ones before it suspects the node, and the suspect can refute the
//! suspicion. Each probe carries a digest of the complete fact table, so a node that missed a
//! message notices and pulls the difference. Nothing here owns a socket or a clock.

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
