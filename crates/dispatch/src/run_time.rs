//! Estimates how long items run from the runs that have finished.

/// Estimated tokens of finished items that count in full: about two steps of a trainer. Whenever
/// more have accumulated, the history is halved.
const HISTORY_TOKENS: u64 = 100_000;

/// Mean run time per token of the callers' length estimates.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeEstimator {
    run_ms: u64,
    tokens: u64,
}

impl RunTimeEstimator {
    /// Records a run that started at the beginning of its text and completed it.
    pub fn record(&mut self, estimated_tokens: u64, run_ms: u64) {
        self.run_ms += run_ms;
        self.tokens += estimated_tokens;
        if self.tokens > HISTORY_TOKENS {
            self.run_ms /= 2;
            self.tokens /= 2;
        }
    }

    /// Returns the expected run time for an estimated length. Before any run has finished, this is
    /// one millisecond for each token, so that runs compare by their estimates.
    pub fn expected_ms(&self, estimated_tokens: u64) -> u64 {
        if self.tokens == 0 {
            return estimated_tokens;
        }
        estimated_tokens.saturating_mul(self.run_ms) / self.tokens
    }
}
