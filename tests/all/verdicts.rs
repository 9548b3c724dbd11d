//! Verdicts of requests that were attempted more than once.

use catkinmast_model::Verdict::{self, MayHaveRun, NotRun, Ran};

// Guards against a request that is reported as not run because its last attempt was refused.
#[yare::parameterized(
    both_refused = { NotRun, NotRun, NotRun },
    first_unanswered = { MayHaveRun, NotRun, MayHaveRun },
    second_unanswered = { NotRun, MayHaveRun, MayHaveRun },
    both_unanswered = { MayHaveRun, MayHaveRun, MayHaveRun },
    first_ran = { Ran, NotRun, Ran },
    second_ran = { MayHaveRun, Ran, Ran },
)]
fn two_attempts_have_not_run_only_if_neither_has(first: Verdict, second: Verdict, both: Verdict) {
    let combined = first.combined_with(second);

    assert_eq!(combined, both);
    assert_eq!(second.combined_with(first), both);
}
