//! Decisions on the request path.
//!
//! Which requests are served now, which wait and which are refused ([`Admission`]); which target
//! takes one ([`TargetBalancer`]); whether it may be tried again ([`RetryBudget`]); whether a call that
//! may run only once has run ([`TicketTable`]); and which of our addresses callers should use
//! ([`address_answer`]). All of it is pure: `now` comes in, a decision goes out. The traffic
//! threads hold each aggregate behind a short lock and do the waiting and sending themselves.

mod addresses;
mod admission;
mod budget;
mod targets;
mod ticket;

pub use addresses::{AddressAnswer, AddressEntry, address_answer};
pub use admission::{Admission, AdmissionDecision, AdmissionLimits, Dequeued, WaitId};
pub use budget::RetryBudget;
pub use targets::{
    Choice, Outcome, PickPolicy, TargetBalancer, TargetSettings, rendezvous_rank, stable_subset,
};
pub use ticket::{RecordedAnswer, Ticket, TicketDecision, TicketError, TicketLimits, TicketTable};
