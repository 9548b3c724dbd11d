//! Groups of a batch: which are complete, and how many its trainer still waits for.

use crate::submission::{Item, Submission};
use indexmap::{IndexMap, IndexSet};

/// The tail of a step is one part in this many of the groups that the trainer waits for. The groups
/// that are missing by then complete within a second or two of each other.
const TAIL_DIVISOR: usize = 8;

/// Returns the group of an item; an item that names none is a group by itself.
pub fn group_of(item: &Item) -> &str {
    item.group.as_deref().unwrap_or(&item.id)
}

/// The groups of a submission.
#[derive(Clone, Debug)]
pub(super) struct Groups {
    /// Groups that an earlier batch left incomplete. The trainer waits for each of them.
    carried: IndexSet<String>,
    /// Indices of the items of each group.
    members: IndexMap<String, Vec<usize>>,
    /// Number of complete groups that the trainer waits for. `None` if the submission does not say,
    /// or has fewer groups than that.
    target: Option<usize>,
}

impl Groups {
    pub(super) fn open(submission: &Submission, carried: impl Fn(&str) -> bool) -> Self {
        let mut members: IndexMap<String, Vec<usize>> = IndexMap::new();
        for (index, item) in submission.items.iter().enumerate() {
            members.entry(group_of(item).to_owned()).or_default().push(index);
        }
        let carried = members.keys().filter(|group| carried(group)).cloned().collect();
        let target = submission.target_groups.map(|groups| groups as usize);
        let target = target.filter(|groups| *groups <= members.len());
        Self { carried, members, target }
    }

    /// Returns whether the trainer waits for this particular group, because an earlier batch left
    /// it incomplete.
    pub(super) fn is_carried(&self, group: &str) -> bool {
        self.carried.contains(group)
    }

    /// Returns how many groups the batch has beyond those that the trainer waits for.
    pub(super) fn surplus(&self) -> usize {
        self.target.map_or(0, |target| self.members.len() - target)
    }

    /// Returns how many groups the trainer still waits for, given which items are done. Returns
    /// `None` if the number that it waits for is unknown.
    pub(super) fn missing(&self, is_done: impl Fn(usize) -> bool) -> Option<usize> {
        let target = self.target?;
        let open = |items: &Vec<usize>| !items.iter().all(|index| is_done(*index));
        let open: Vec<&String> =
            self.members.iter().filter(|(_, items)| open(items)).map(|(group, _)| group).collect();
        let complete = self.members.len() - open.len();
        let carried = open.iter().filter(|group| self.carried.contains(**group)).count();
        Some(target.saturating_sub(complete).max(carried))
    }

    /// Returns whether so few groups are missing that the step is about to end.
    pub(super) fn is_tail(&self, missing: usize) -> bool {
        let tail = self.target.map_or(0, |target| (target / TAIL_DIVISOR).max(1));
        (1..=tail).contains(&missing)
    }

    /// Returns the groups that the trainer has not consumed, given the items in the order in which
    /// their results were listed: incomplete groups, and groups that completed after all groups
    /// that the trainer waited for.
    pub(super) fn unconsumed<'a>(
        &'a self,
        listed: impl Iterator<Item = usize>,
    ) -> IndexSet<&'a str> {
        let mut remaining_items: IndexMap<&str, usize> =
            self.members.iter().map(|(group, items)| (group.as_str(), items.len())).collect();
        let group_by_index: IndexMap<usize, &str> = self
            .members
            .iter()
            .flat_map(|(group, items)| items.iter().map(|index| (*index, group.as_str())))
            .collect();
        let mut unconsumed: IndexSet<&'a str> = remaining_items.keys().copied().collect();
        let target = self.target.unwrap_or(usize::MAX);
        let mut carried = self.carried.len();
        let mut consumed = 0;
        for index in listed {
            let Some(group) = group_by_index.get(&index).copied() else { continue };
            let remaining = &mut remaining_items[group];
            *remaining = remaining.saturating_sub(1);
            if *remaining > 0 || (consumed >= target && carried == 0) {
                continue;
            }
            consumed += 1;
            carried -= usize::from(self.carried.contains(group));
            unconsumed.swap_remove(group);
        }
        unconsumed
    }
}
