//! Where requests come from.

/// Where a request comes from, which decides whether it can be the cause of a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestSource {
    /// A batch: one of its items, a second run of one, or a scoring call. Work that is submitted to
    /// be run later never crashes targets by itself, and it is owed until its batch ends.
    Batch,
    /// A caller that waits for the answer.
    Caller,
}

impl RequestSource {
    /// Returns whether its requests can crash the targets that run them. If not, the end of a
    /// target is no evidence against them, and no evidence stops them.
    pub const fn may_crash_targets(self) -> bool {
        matches!(self, Self::Caller)
    }
}
