//! Counts the requests of this node by window and workspace.

use crate::{Window, WindowCounts, Windows};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::collections::BTreeMap;

/// Number of past windows kept: enough for one whose report is due while the current one is
/// counted, and for those that end while the store is slow.
const KEPT_WINDOWS: u64 = 6;
/// How long after a window's end a request that was sent in it may stay unanswered. Callers wait a
/// second or two. A request that is unanswered for longer counts as started, because it can no
/// longer be told apart from one that was.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Identifies a request that was sent to a target and has no outcome yet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OpenRequestId(u64);

#[derive(Clone, Debug)]
struct OpenRequest {
    sent_at: UnixMs,
    workspace: String,
}

/// The requests of this node that targets started, by window and workspace.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    next: u64,
    unanswered: IndexMap<OpenRequestId, OpenRequest>,
    by_window: BTreeMap<Window, BTreeMap<String, u64>>,
    windows: Windows,
}

impl UsageCounts {
    /// Opens empty counts.
    pub fn open(windows: Windows) -> Self {
        Self { next: 0, unanswered: IndexMap::new(), by_window: BTreeMap::new(), windows }
    }

    /// Records that a request is sent to a target, at a time of day.
    pub fn request_sent(&mut self, at: UnixMs, workspace: &str) -> OpenRequestId {
        let id = OpenRequestId(self.next);
        self.next += 1;
        self.unanswered.insert(id, OpenRequest { sent_at: at, workspace: workspace.to_owned() });
        id
    }

    /// Records that a target started a request, at `at` or else when it was sent.
    pub fn request_started(&mut self, id: OpenRequestId, at: Option<UnixMs>) {
        if let Some(request) = self.unanswered.swap_remove(&id) {
            self.count(at.unwrap_or(request.sent_at), request.workspace);
        }
    }

    /// Records that a target did not run a request.
    pub fn request_not_run(&mut self, id: OpenRequestId) {
        self.unanswered.swap_remove(&id);
    }

    fn count(&mut self, at: UnixMs, workspace: String) {
        let window = self.windows.at(at);
        *self.by_window.entry(window).or_default().entry(workspace).or_default() += 1;
    }

    /// Returns the counts of the windows that are not too old, including the open one. Leaves out
    /// windows that are neither complete nor have any request.
    pub fn window_counts(&mut self, now: UnixMs) -> Vec<WindowCounts> {
        self.expire_unanswered(now);
        let current = self.windows.at(now);
        let oldest = Window(current.0.saturating_sub(KEPT_WINDOWS));
        self.by_window.retain(|window, _| *window >= oldest);
        (oldest.0..=current.0)
            .map(|number| {
                let window = Window(number);
                let counts = self.by_window.get(&window).cloned().unwrap_or_default();
                WindowCounts { complete: self.is_complete(window, now), counts, window }
            })
            .filter(|window_counts| window_counts.complete || !window_counts.counts.is_empty())
            .collect()
    }

    /// Counts requests that have been unanswered for too long as started.
    fn expire_unanswered(&mut self, now: UnixMs) {
        let windows = self.windows;
        let is_late = |request: &OpenRequest| {
            now.since_ms(windows.end(windows.at(request.sent_at))) > ANSWER_TIMEOUT_MS
        };
        let late: Vec<OpenRequestId> = self
            .unanswered
            .iter()
            .filter(|(_, request)| is_late(request))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.request_started(id, None);
        }
    }

    /// Returns whether nothing can be added to a window any more.
    fn is_complete(&self, window: Window, now: UnixMs) -> bool {
        let end = self.windows.end(window);
        now >= end && self.unanswered.values().all(|request| request.sent_at >= end)
    }
}
