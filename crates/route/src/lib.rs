//! Decisions on the request path.
//!
//! [`Admission`] decides which requests are served now, queued or refused. [`TargetBalancer`]
//! chooses the target of a request, and [`RetryBudget`] decides whether a failed one may be
//! retried. [`TicketTable`] tells whether a call that may run only once has run. [`address_answer`]
//! lists the node addresses that a caller should use. None of it reads a clock, waits or sends:
//! `now` and the random source are arguments, and a decision is returned. The traffic threads guard
//! each of them with a briefly held lock, and do the waiting and sending themselves.

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
