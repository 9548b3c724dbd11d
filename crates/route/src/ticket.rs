//! Tickets: calls that run at most once, however often they are sent.
//!
//! A ticket names the one node life that alone may run the call. Callers get the first part with
//! each answer about addresses and add a number of their own, so a ticket costs no message. Any
//! node that receives the call passes it to the named life, which runs it once and answers every
//! repetition from memory. If that life is gone, nobody knows whether the call ran, and the
//! honest answer is `MayHaveRun`: at most once is kept, and the caller is told the truth.
//!
//! Weighed against a ledger of calls in the key-value service (a write for each call: 3,000
//! requests a second against several hundred writes) and an owner by hash of the call (two nodes
//! with different views of the fleet would both take it).

use catkinmast_model::{Incarnation, Name, UnixMs};
use displaydoc::Display;
use indexmap::IndexMap;
use std::fmt;
use std::str::FromStr;

/// The longest part that a caller adds.
const NONCE_MAX_BYTES: usize = 64;

/// The right to run one call once, on one life of one node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// After this the ticket is void: its node may have forgotten it.
    pub expires_at: UnixMs,
    /// The life of the node.
    pub incarnation: Incarnation,
    /// The node.
    pub node: Name,
    /// The caller's own part.
    pub nonce: String,
}

impl Ticket {
    /// Returns the part that a node hands out; the caller appends its own.
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
    /// What is wrong.
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

/// Bounds of a ticket book.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Most bytes of answers kept.
    pub answers_max_bytes: usize,
    /// How long an answer is kept.
    pub retention_ms: u64,
    /// Most tickets kept.
    pub tickets_max: usize,
}

/// The answer to a call, kept for repetitions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedAnswer {
    /// Its body; none when it was too large to keep.
    pub body: Option<Vec<u8>>,
    /// Its content type.
    pub content_type: Option<String>,
    /// Its status.
    pub status: u16,
}

/// What to do with a call that carries a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// The ticket is too old to be remembered for certain.
    Expired,
    /// No memory is left to remember one more; the call did not run.
    Full,
    /// It was run: this is its answer.
    Recorded(RecordedAnswer),
    /// It is running now.
    Running,
    /// It is new: run it.
    Run,
    /// It may have run: its answer was lost.
    Unsettled,
}

#[derive(Clone, Debug)]
enum State {
    Answered(RecordedAnswer),
    Running,
    Unsettled,
}

#[derive(Clone, Debug)]
struct Page {
    forget_at: UnixMs,
    state: State,
}

/// The tickets that one node life has run.
#[derive(Clone, Debug)]
pub struct TicketTable {
    answers_bytes: usize,
    latest: UnixMs,
    limits: TicketLimits,
    pages: IndexMap<Ticket, Page>,
}

impl TicketTable {
    /// Opens an empty book.
    pub fn open(limits: TicketLimits) -> Self {
        Self { answers_bytes: 0, latest: UnixMs(0), limits, pages: IndexMap::new() }
    }

    /// Changes how long answers are kept; those already kept stay as long as was promised.
    pub const fn set_retention(&mut self, retention_ms: u64) {
        self.limits.retention_ms = retention_ms;
    }

    /// Decides on a call with a ticket of this life.
    ///
    /// A full book refuses new tickets: to forget an old one early would let its call run twice.
    /// A wall clock that is set back must not make a forgotten ticket look new, so the latest time
    /// ever seen counts.
    pub fn begin(&mut self, now: UnixMs, ticket: &Ticket) -> TicketDecision {
        self.latest = self.latest.max(now);
        let now = self.latest;
        if let Some(page) = self.pages.get(ticket) {
            return match &page.state {
                State::Answered(answer) => TicketDecision::Recorded(answer.clone()),
                State::Running => TicketDecision::Running,
                State::Unsettled => TicketDecision::Unsettled,
            };
        }
        if ticket.expires_at <= now || ticket.expires_at > now.plus(self.limits.retention_ms) {
            return TicketDecision::Expired;
        }
        self.forget(now);
        let is_full = self.pages.len() >= self.limits.tickets_max
            || self.answers_bytes >= self.limits.answers_max_bytes;
        if is_full {
            return TicketDecision::Full;
        }
        // Kept past the ticket's expiry, so that an old ticket is never taken for a new one.
        let forget_at = now.plus(self.limits.retention_ms);
        self.pages.insert(ticket.clone(), Page { forget_at, state: State::Running });
        TicketDecision::Run
    }

    /// Records the answer of a call that ran.
    pub fn record_answer(&mut self, ticket: &Ticket, answer: RecordedAnswer) {
        if let Some(page) = self.pages.get_mut(ticket) {
            self.answers_bytes += answer.body.as_ref().map_or(0, Vec::len);
            page.state = State::Answered(answer);
        }
    }

    /// Records that a call may have run and its answer was lost.
    pub fn mark_unsettled(&mut self, ticket: &Ticket) {
        if let Some(page) = self.pages.get_mut(ticket) {
            page.state = State::Unsettled;
        }
    }

    /// Records that a call certainly did not run; its ticket may be used again.
    pub fn mark_not_run(&mut self, ticket: &Ticket) {
        self.pages.shift_remove(ticket);
    }

    fn forget(&mut self, now: UnixMs) {
        // Pages are in the order of their forgetting, since every one is kept equally long.
        while self.pages.first().is_some_and(|(_, page)| page.forget_at <= now) {
            if let Some((_, page)) = self.pages.shift_remove_index(0)
                && let State::Answered(answer) = page.state
            {
                let bytes = answer.body.map_or(0, |body| body.len());
                self.answers_bytes = self.answers_bytes.saturating_sub(bytes);
            }
        }
    }
}
