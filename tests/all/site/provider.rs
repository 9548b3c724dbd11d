//! A stand-in of the provider of instances: it takes reports of usage and orders of targets.
//!
//! Each node is given a door of its own, so that one node can be cut off. All that the provider takes is
//! recorded, and [`Provider::check`] tells whether the duty's rules were kept.

use super::web::{Answer, Server, answer};
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Within this time no two holders may take turns.
const LEASE: Duration = Duration::from_secs(3);
/// How long after another holder's last call a holder's first one may come: longer than a call may be on
/// its way. A holder that gives the duty up is followed sooner than one that dies.
const HANDOVER: Duration = Duration::from_millis(1_500);

/// How a door answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProviderMode {
    /// Refuses with 429.
    Busy,
    /// Closes connections without taking anything.
    Down,
    /// Takes calls and does not answer them.
    Unresponsive,
    /// As it should.
    Normal,
}

/// A call that the provider took.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    pub(crate) at: Instant,
    pub(crate) body: Value,
    pub(crate) fence: u64,
    pub(crate) holder: String,
    pub(crate) path: String,
}

#[derive(Default)]
struct State {
    doors: Vec<Option<ProviderMode>>,
    taken: Vec<ReceivedCall>,
    /// Calls that reached a door, taken or not.
    tried: BTreeMap<usize, u64>,
}

/// The provider.
#[derive(Clone, Default)]
pub(crate) struct Provider(Arc<Mutex<State>>);

impl Provider {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().expect("no test panics while it holds the provider")
    }

    /// Opens a door; its server closes with the returned handle.
    pub(crate) async fn open_endpoint(&self) -> (usize, Server) {
        let index = {
            let mut state = self.state();
            state.doors.push(Some(ProviderMode::Normal));
            state.doors.len() - 1
        };
        let provider = self.clone();
        let server = Server::bind(move |request| {
            let provider = provider.clone();
            async move { provider.serve(index, request).await }.boxed()
        });
        (index, server.await)
    }

    /// Changes how a door answers.
    pub(crate) fn set_mode(&self, index: usize, door: ProviderMode) {
        self.state().doors[index] = Some(door);
    }

    /// Returns the calls taken so far.
    pub(crate) fn calls(&self, path: &str) -> Vec<ReceivedCall> {
        self.state().taken.iter().filter(|taken| taken.path == path).cloned().collect()
    }

    /// Returns how many calls reached a door.
    pub(crate) fn attempts_at(&self, index: usize) -> u64 {
        self.state().tried.get(&index).copied().unwrap_or(0)
    }

    /// Returns the counts reported for each window, by workspace.
    pub(crate) fn usage(&self) -> BTreeMap<u64, Value> {
        let taken = self.calls("/usage");
        let report =
            |taken: &ReceivedCall| Some((taken.body["window"].as_u64()?, taken.body.clone()));
        taken
            .iter()
            .filter_map(report)
            .map(|(window, body)| (window, body["counts"].clone()))
            .collect()
    }

    /// Returns how often a workspace was reported in all windows.
    pub(crate) fn reported(&self, workspace: &str) -> u64 {
        self.usage().values().filter_map(|counts| counts[workspace].as_u64()).sum()
    }

    /// Checks that no window was reported in two ways, that fencing numbers only grow with the holder,
    /// and that no two holders took turns within the time of a lease.
    pub(crate) fn check(&self) {
        let mut reports: BTreeMap<u64, Value> = BTreeMap::new();
        for taken in self.calls("/usage") {
            let window = taken.body["window"].as_u64().expect("a window");
            let first = reports.entry(window).or_insert_with(|| taken.body["counts"].clone());
            assert_eq!(*first, taken.body["counts"], "window {window} was reported in two ways");
        }
        for path in ["/usage", "/scale"] {
            let taken = self.calls(path);
            for pair in taken.windows(2) {
                let (one, next) = (&pair[0], &pair[1]);
                assert!(one.fence <= next.fence, "{one:?} before {next:?}");
                if one.holder != next.holder {
                    assert!(one.fence < next.fence, "one number for {one:?} and {next:?}");
                    assert!(next.at - one.at >= HANDOVER, "{one:?} right before {next:?}");
                }
            }
            let holders: Vec<&[ReceivedCall]> =
                taken.chunk_by(|one, next| one.holder == next.holder).collect();
            for turns in holders.windows(3) {
                let (last, again) = (turns[0].last(), turns[2].first());
                let (Some(last), Some(again)) = (last, again) else { continue };
                let took_turns = last.holder == again.holder && again.at - last.at < LEASE;
                assert!(!took_turns, "{last:?} and {again:?} with another between");
            }
        }
    }

    async fn serve(&self, index: usize, request: http::Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let text = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        let taken = ReceivedCall {
            at: Instant::now(),
            body: serde_json::from_slice(&body).ok()?,
            fence: text("x-catkinmast-fence-token")?.parse().ok()?,
            holder: text("x-catkinmast-duty-holder")?,
            path: head.uri.path().to_owned(),
        };
        let door = {
            let mut state = self.state();
            *state.tried.entry(index).or_default() += 1;
            let door = state.doors[index].unwrap_or(ProviderMode::Normal);
            if matches!(door, ProviderMode::Normal | ProviderMode::Unresponsive) {
                state.taken.push(taken);
            }
            door
        };
        match door {
            ProviderMode::Busy => Some(answer(429, "")),
            ProviderMode::Down => None,
            ProviderMode::Unresponsive => std::future::pending().await,
            ProviderMode::Normal => Some(answer(200, "")),
        }
    }
}
