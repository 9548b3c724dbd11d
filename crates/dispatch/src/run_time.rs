//! How long items run, learnt from those that have.

/// Tokens of finished items that are remembered: about two steps of a trainer. Older ones count
/// half each time that as many again have come.
const REMEMBERED_TOKENS: u64 = 100_000;

/// How long runs take by their callers' estimates of their lengths.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeEstimator {
    run_ms: u64,
    tokens: u64,
}

impl RunTimeEstimator {
    /// Takes a run that began at the start of its text and came to its end.
    pub fn record(&mut self, estimated_tokens: u64, run_ms: u64) {
        self.run_ms += run_ms;
        self.tokens += estimated_tokens;
        if self.tokens > REMEMBERED_TOKENS {
            self.run_ms /= 2;
            self.tokens /= 2;
        }
    }

    /// Returns how long a run of an estimated length takes; before any has finished, one millisecond
    /// for each token, so that runs compare by their estimates.
    pub fn expected_ms(&self, estimated_tokens: u64) -> u64 {
        if self.tokens == 0 {
            return estimated_tokens;
        }
        estimated_tokens.saturating_mul(self.run_ms) / self.tokens
    }
}
