//! Tickets: calls that run at most once, however often they are sent.
//!
//! A ticket names the one node, in one incarnation, that may run the call. Callers get the prefix
//! with each answer for addresses and append a nonce of their own, so a ticket costs no message.
//! Any node that receives the call forwards it to the named node, which runs it once and answers
//! each repetition from its table. If that incarnation is gone, nobody knows whether the call ran,
//! and the answer is `MayHaveRun`.
//!
//! The alternatives are worse. A ledger of calls in the key-value service needs one write per call:
//! there are 3,000 calls a second, and the service handles several hundred writes. With an owner
//! chosen by a hash of the call, two nodes with different views of the fleet may both run it.

use catkinmast_model::{Incarnation, Name, UnixMs};
use displaydoc::Display;
use indexmap::IndexMap;
use std::fmt;
use std::str::FromStr;

/// Maximum length of the caller's nonce.
const NONCE_MAX_BYTES: usize = 64;

/// The right to run one call once, on one incarnation of one node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// Time after which the ticket is void, because its node may have removed it.
    pub expires_at: UnixMs,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// Name of the node.
    pub node: Name,
    /// The part that the caller chose.
    pub nonce: String,
}

impl Ticket {
    /// Returns the prefix that a node hands out, to which the caller appends the nonce.
    pub fn prefix(node: &Name, incarnation: Incarnation, expires_at: UnixMs) -> String {
        format!("{node}:{incarnation}:{expires_at}:")
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = Self::prefix(&self.node, self.incarnation, self.expires_at);
        write!(f, "{prefix}{}", self.nonce)
    }
}

/// ticket '{text}' cannot be read: {reason}; take `ticket_prefix` from the answer about addresses and append 1 to 64 letters or digits
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct TicketError {
    /// Why the text is refused.
    pub reason: &'static str,
    /// The refused text.
    pub text: String,
}

impl std::error::Error for TicketError {}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let fail = |reason| TicketError { reason, text: text.chars().take(200).collect() };
        let mut parts = text.splitn(4, ':');
        let mut part = || parts.next().ok_or_else(|| fail("it has fewer than four parts"));
        let node = part()?.parse().map_err(|_bad_name| fail("its first part is no name"))?;
        let number = |text: &str, reason| text.parse::<u64>().map_err(|_not_a_number| fail(reason));
        let incarnation = Incarnation(number(part()?, "its second part is no number")?);
        let expires_at = UnixMs(number(part()?, "its third part is no number")?);
        let nonce = part()?.to_owned();
        let plain = nonce.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        if nonce.is_empty() || nonce.len() > NONCE_MAX_BYTES || !plain {
            return Err(fail("its last part is empty, too long, or not letters, digits and '-'"));
        }
        Ok(Self { expires_at, incarnation, node, nonce })
    }
}

/// Limits of a [`TicketTable`].
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Maximum total size of the answers kept.
    pub answers_max_bytes: usize,
    /// How long a ticket and its answer are kept.
    pub retention_ms: u64,
    /// Maximum number of tickets kept.
    pub tickets_max: usize,
}

/// The answer to a call, kept for repetitions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedAnswer {
    /// The body; none if it was too large to keep.
    pub body: Option<Vec<u8>>,
    /// The content type.
    pub content_type: Option<String>,
    /// The HTTP status.
    pub status: u16,
}

/// The decision on a call that carries a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// The ticket is not in the table and has expired, so the table may no longer hold it, or it
    /// expires later than any that a node hands out.
    Expired,
    /// The table is full; the call did not run.
    Full,
    /// The call has run; this is its answer.
    Recorded(RecordedAnswer),
    /// The call is running.
    Running,
    /// The call is new and must be run.
    Run,
    /// The call may have run, and its answer was lost; the verdict is `MayHaveRun`.
    Unsettled,
}

#[derive(Clone, Debug)]
enum TicketState {
    Answered(RecordedAnswer),
    Running,
    Unsettled,
}

#[derive(Clone, Debug)]
struct TicketEntry {
    remove_at: UnixMs,
    state: TicketState,
}

/// The tickets of the calls that one incarnation of a node has run or is running.
#[derive(Clone, Debug)]
pub struct TicketTable {
    answers_bytes: usize,
    latest: UnixMs,
    limits: TicketLimits,
    entries: IndexMap<Ticket, TicketEntry>,
}

impl TicketTable {
    /// Creates an empty table.
    pub fn new(limits: TicketLimits) -> Self {
        Self { answers_bytes: 0, latest: UnixMs(0), limits, entries: IndexMap::new() }
    }

    /// Changes how long tickets are kept; those already in the table keep their time.
    pub const fn set_retention(&mut self, retention_ms: u64) {
        self.limits.retention_ms = retention_ms;
    }

    /// Decides on a call with a ticket of this incarnation.
    ///
    /// A full table refuses new tickets: removing an old one early would let its call run twice.
    /// A wall clock that is set back must not make a removed ticket look new, so the latest time
    /// seen so far is used.
    pub fn begin(&mut self, now: UnixMs, ticket: &Ticket) -> TicketDecision {
        self.latest = self.latest.max(now);
        let now = self.latest;
        if let Some(entry) = self.entries.get(ticket) {
            return match &entry.state {
                TicketState::Answered(answer) => TicketDecision::Recorded(answer.clone()),
                TicketState::Running => TicketDecision::Running,
                TicketState::Unsettled => TicketDecision::Unsettled,
            };
        }
        if ticket.expires_at <= now || ticket.expires_at > now.plus(self.limits.retention_ms) {
            return TicketDecision::Expired;
        }
        self.remove_expired(now);
        let is_full = self.entries.len() >= self.limits.tickets_max
            || self.answers_bytes >= self.limits.answers_max_bytes;
        if is_full {
            return TicketDecision::Full;
        }
        // The entry outlives the ticket, so that an expired ticket is never taken for a new one.
        let remove_at = now.plus(self.limits.retention_ms);
        self.entries.insert(ticket.clone(), TicketEntry { remove_at, state: TicketState::Running });
        TicketDecision::Run
    }

    /// Records the answer of a call that ran.
    pub fn record_answer(&mut self, ticket: &Ticket, answer: RecordedAnswer) {
        if let Some(entry) = self.entries.get_mut(ticket) {
            self.answers_bytes += answer.body.as_ref().map_or(0, Vec::len);
            entry.state = TicketState::Answered(answer);
        }
    }

    /// Records that a call may have run and that its answer was lost.
    pub fn mark_unsettled(&mut self, ticket: &Ticket) {
        if let Some(entry) = self.entries.get_mut(ticket) {
            entry.state = TicketState::Unsettled;
        }
    }

    /// Records that a call did not run, so that its ticket may be used again.
    pub fn mark_not_run(&mut self, ticket: &Ticket) {
        self.entries.shift_remove(ticket);
    }

    fn remove_expired(&mut self, now: UnixMs) {
        // Entries are in order of arrival. After the retention was lowered, some later ones expire
        // first and are removed late, which is harmless for the calls.
        while self.entries.first().is_some_and(|(_, entry)| entry.remove_at <= now) {
            if let Some((_, entry)) = self.entries.shift_remove_index(0)
                && let TicketState::Answered(answer) = entry.state
            {
                let bytes = answer.body.map_or(0, |body| body.len());
                self.answers_bytes = self.answers_bytes.saturating_sub(bytes);
            }
        }
    }
}
