//! Which weights a later batch of the same items will accept.

use catkinmast_dispatch::Lookahead;

#[test]
fn groups_of_a_trainer_with_one_open_step_return_in_the_next() {
    let mut lookahead = Lookahead::default();
    for step in 3..6 {
        lookahead.batch_opened("m", step, std::iter::empty());
    }

    assert_eq!(lookahead.next_oldest_version("m", 7), 8);
    assert_eq!(lookahead.next_oldest_version("unknown", 7), 8);
}

#[test]
fn groups_of_a_trainer_that_submits_a_step_ahead_return_two_steps_later() {
    let mut lookahead = Lookahead::default();
    lookahead.batch_opened("m", 4, [3].into_iter());
    lookahead.batch_opened("m", 5, std::iter::empty());

    assert_eq!(lookahead.next_oldest_version("m", 7), 9, "a single late step does not count");
}

#[test]
fn a_change_of_lookahead_is_noticed_within_four_steps() {
    let mut lookahead = Lookahead::default();
    lookahead.batch_opened("m", 4, [3].into_iter());
    for step in 5..9 {
        lookahead.batch_opened("m", step, std::iter::empty());
    }

    assert_eq!(lookahead.next_oldest_version("m", 7), 8);
}
