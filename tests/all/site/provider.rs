//! A stand-in for the provider of instances, which accepts usage reports and scaling orders.
//!
//! Each node gets an endpoint of its own, so that a test can make the provider fail for one node
//! only. All accepted calls are recorded, and [`Provider::check`] verifies the invariants of the
//! duties.

use super::web::{Answer, Server, answer};
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Within this time the duty may not go to another holder and back.
const LEASE: Duration = Duration::from_secs(3);
/// Minimum time between the last call of one holder and the first call of the next: longer than a
/// call can be in transit. A holder that releases the duty is succeeded sooner than one that
/// crashes.
const HANDOVER: Duration = Duration::from_millis(1_500);

/// How an endpoint responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProviderMode {
    /// Rejects calls with status 429.
    Busy,
    /// Closes connections without accepting calls.
    Down,
    /// Accepts calls but does not respond.
    Unresponsive,
    /// Accepts calls and responds.
    Normal,
}

/// A call that the provider accepted.
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
    modes: Vec<Option<ProviderMode>>,
    accepted: Vec<ReceivedCall>,
    /// Number of calls that reached an endpoint, accepted or not.
    attempts: BTreeMap<usize, u64>,
}

/// The provider's stand-in, with the calls it has accepted.
#[derive(Clone, Default)]
pub(crate) struct Provider(Arc<Mutex<State>>);

impl Provider {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().expect("no test panics while it holds the provider")
    }

    /// Opens an endpoint and returns its index; its server closes when the returned handle is
    /// dropped.
    pub(crate) async fn open_endpoint(&self) -> (usize, Server) {
        let index = {
            let mut state = self.state();
            state.modes.push(Some(ProviderMode::Normal));
            state.modes.len() - 1
        };
        let provider = self.clone();
        let server = Server::bind(move |request| {
            let provider = provider.clone();
            async move { provider.serve(index, request).await }.boxed()
        });
        (index, server.await)
    }

    /// Changes how an endpoint responds.
    pub(crate) fn set_mode(&self, index: usize, mode: ProviderMode) {
        self.state().modes[index] = Some(mode);
    }

    /// Returns the calls to a path that were accepted so far.
    pub(crate) fn calls(&self, path: &str) -> Vec<ReceivedCall> {
        self.state().accepted.iter().filter(|call| call.path == path).cloned().collect()
    }

    /// Returns the number of calls that reached an endpoint, accepted or not.
    pub(crate) fn attempts_at(&self, index: usize) -> u64 {
        self.state().attempts.get(&index).copied().unwrap_or(0)
    }

    /// Returns the reported counts by workspace, for each window.
    pub(crate) fn usage(&self) -> BTreeMap<u64, Value> {
        let calls = self.calls("/usage");
        let report = |call: &ReceivedCall| Some((call.body["window"].as_u64()?, call.body.clone()));
        calls
            .iter()
            .filter_map(report)
            .map(|(window, body)| (window, body["counts"].clone()))
            .collect()
    }

    /// Returns the sum of a workspace's counts over all windows.
    pub(crate) fn reported(&self, workspace: &str) -> u64 {
        self.usage().values().filter_map(|counts| counts[workspace].as_u64()).sum()
    }

    /// Checks that no window was reported with different counts, that the fencing number grows with
    /// each change of holder, that the next holder calls at least [`HANDOVER`] after the last, and
    /// that the duty did not go to another holder and back within
    /// [`LEASE`].
    pub(crate) fn check(&self) {
        let mut reports: BTreeMap<u64, Value> = BTreeMap::new();
        for call in self.calls("/usage") {
            let window = call.body["window"].as_u64().expect("a window");
            let first = reports.entry(window).or_insert_with(|| call.body["counts"].clone());
            assert_eq!(
                *first, call.body["counts"],
                "window {window} was reported with different counts"
            );
        }
        for path in ["/usage", "/scale"] {
            let calls = self.calls(path);
            for pair in calls.windows(2) {
                let (one, next) = (&pair[0], &pair[1]);
                assert!(
                    one.fence <= next.fence,
                    "fencing number decreased: {one:?} before {next:?}"
                );
                if one.holder != next.holder {
                    assert!(
                        one.fence < next.fence,
                        "same fencing number for two holders: {one:?} and {next:?}"
                    );
                    assert!(
                        next.at - one.at >= HANDOVER,
                        "holder changed too early: {one:?} before {next:?}"
                    );
                }
            }
            let holders: Vec<&[ReceivedCall]> =
                calls.chunk_by(|one, next| one.holder == next.holder).collect();
            for three in holders.windows(3) {
                let (last, again) = (three[0].last(), three[2].first());
                let (Some(last), Some(again)) = (last, again) else { continue };
                let alternated = last.holder == again.holder && again.at - last.at < LEASE;
                assert!(
                    !alternated,
                    "duty went to another holder and back: {last:?} and {again:?}"
                );
            }
        }
    }

    async fn serve(&self, index: usize, request: http::Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let text = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        let call = ReceivedCall {
            at: Instant::now(),
            body: serde_json::from_slice(&body).ok()?,
            fence: text("x-catkinmast-fence-token")?.parse().ok()?,
            holder: text("x-catkinmast-duty-holder")?,
            path: head.uri.path().to_owned(),
        };
        let mode = {
            let mut state = self.state();
            *state.attempts.entry(index).or_default() += 1;
            let mode = state.modes[index].unwrap_or(ProviderMode::Normal);
            if matches!(mode, ProviderMode::Normal | ProviderMode::Unresponsive) {
                state.accepted.push(call);
            }
            mode
        };
        match mode {
            ProviderMode::Busy => Some(answer(429, "")),
            ProviderMode::Down => None,
            ProviderMode::Unresponsive => std::future::pending().await,
            ProviderMode::Normal => Some(answer(200, "")),
        }
    }
}
