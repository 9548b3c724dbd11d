//! What this node's own requests add to the windows.

use crate::{Window, WindowCounts, Windows};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::collections::BTreeMap;

/// Windows kept: enough for one that is due, one that is open and a store that is slow.
const KEPT_WINDOWS: u64 = 6;
/// How long after a window's end a request that began in it is waited for. Callers wait a second or
/// two; one that is unanswered for longer has begun as far as anyone can tell.
const ANSWER_MAX_MS: u64 = 3_000;

/// Names a request that is at a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OpenRequestId(u64);

#[derive(Clone, Debug)]
struct Open {
    began_at: UnixMs,
    workspace: String,
}

/// The requests of this node that targets began, by window and workspace.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    next: u64,
    open: IndexMap<OpenRequestId, Open>,
    tables: BTreeMap<Window, BTreeMap<String, u64>>,
    windows: Windows,
}

impl UsageCounts {
    /// Opens empty counts.
    pub fn open(windows: Windows) -> Self {
        Self { next: 0, open: IndexMap::new(), tables: BTreeMap::new(), windows }
    }

    /// Takes it that a request is handed to a target at a moment of true time.
    pub fn request_sent(&mut self, at: UnixMs, workspace: &str) -> OpenRequestId {
        let ticket = OpenRequestId(self.next);
        self.next += 1;
        self.open.insert(ticket, Open { began_at: at, workspace: workspace.to_owned() });
        ticket
    }

    /// Takes it that a target began a request, at a later moment than it was sent if one is given.
    pub fn request_started(&mut self, ticket: OpenRequestId, at: Option<UnixMs>) {
        if let Some(open) = self.open.swap_remove(&ticket) {
            self.count(at.unwrap_or(open.began_at), open.workspace);
        }
    }

    /// Takes it that a target did not run a request.
    pub fn request_not_run(&mut self, ticket: OpenRequestId) {
        self.open.swap_remove(&ticket);
    }

    fn count(&mut self, at: UnixMs, workspace: String) {
        let window = self.windows.at(at);
        *self.tables.entry(window).or_default().entry(workspace).or_default() += 1;
    }

    /// Returns what there is to tell of the windows that are not too old, the open one among them.
    pub fn window_counts(&mut self, now: UnixMs) -> Vec<WindowCounts> {
        self.settle(now);
        let current = self.windows.at(now);
        let oldest = Window(current.0.saturating_sub(KEPT_WINDOWS));
        self.tables.retain(|window, _| *window >= oldest);
        (oldest.0..=current.0)
            .map(|number| {
                let window = Window(number);
                let counts = self.tables.get(&window).cloned().unwrap_or_default();
                WindowCounts { complete: self.is_complete(window, now), counts, window }
            })
            .filter(|table| table.complete || !table.counts.is_empty())
            .collect()
    }

    /// Counts requests that have been unanswered for too long as begun.
    fn settle(&mut self, now: UnixMs) {
        let windows = self.windows;
        let is_late =
            |open: &Open| now.since_ms(windows.end(windows.at(open.began_at))) > ANSWER_MAX_MS;
        let late: Vec<OpenRequestId> =
            self.open.iter().filter(|(_, open)| is_late(open)).map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.request_started(ticket, None);
        }
    }

    /// Tells whether nothing can be added to a window any more.
    fn is_complete(&self, window: Window, now: UnixMs) -> bool {
        let end = self.windows.end(window);
        now >= end && self.open.values().all(|open| open.began_at >= end)
    }
}
