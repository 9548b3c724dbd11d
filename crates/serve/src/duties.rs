//! The duty towards the platform: reports of usage, and the calls of `scaling`.
//!
//! One node at a time does this duty for all nodes, under a lease.
//!
//! Fault guarded against: two different reports of one window, which bill it twice. They come about
//! when the holder dies, or is cut off, between making a report and sending it, and its successor
//! has received other counts. So each report is first created in the store, under the holder's
//! fencing number, and every holder sends exactly the stored report.

use crate::clock;
use crate::duty_lease::DutyLease;
use crate::metrics::count;
use crate::node::Node;
use crate::peers;
use crate::platform::{DutyCall, Platform};
use crate::pool::{CallError, read_body};
use crate::scaling;
use crate::settings::DutySettings;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall, StoredItem};
use crate::usage;
use catkinmast_model::{Fence, UnixMs};
use catkinmast_usage::{UsageSource, Window, Windows};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The duty's name among nodes.
pub(crate) const DUTY: &str = "platform";
/// The key of the duty's lease.
const LEASE_KEY: &str = "cm/duties";
/// Prefix of the keys of the reports, by window.
const REPORTS: &str = "cm/u/";
/// Number of windows for which reports are kept.
const REPORTS_KEPT: u64 = 60;
/// Old reports that are deleted with each new one. Several, because a window without a report
/// deletes none.
const REPORTS_DELETED: u64 = 4;
/// Interval at which due work is done.
const TICK: Duration = Duration::from_millis(200);
/// Earliest time after its end at which a window is closed; the last counts are in flight until
/// then.
const CLOSE_AFTER_MS: u64 = 700;
/// Percentage of `usage_due_ms` for which the holder waits for counts that nodes have not sent yet.
/// The rest is reserved for a slow store, a slow platform and a successor.
const WAIT_PERCENT: u64 = 45;
/// How long the platform may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// After this time without an answer of the platform, this node steps down for another.
const STEP_DOWN_AFTER_MS: u64 = 2_500;
/// Size limit of the platform's answers.
const ANSWER_MAX_BYTES: usize = 1 << 16;

/// What this node knows of the usage reports while it holds the duty.
#[derive(Debug, Default)]
struct Reporter {
    /// Since when the platform has not answered this node; none while it answers.
    unanswered_since: Option<UnixMs>,
    /// Windows whose reports the platform has accepted.
    accepted: BTreeSet<Window>,
    /// Reports that are known to be in the store.
    written: BTreeMap<Window, BTreeMap<String, u64>>,
}

/// Takes part in the duty until the process ends: shares counts, and while this node holds the
/// duty, sends reports and orders targets.
pub(crate) async fn serve<P: Platform>(node: Rc<Node<P>>) {
    if node.settings().duties.is_none() {
        return;
    }
    let Some(lease) = DutyLease::open(&node, DUTY, LEASE_KEY).await else { return };
    tokio::task::spawn_local(usage::share_counts(Rc::clone(&node)));
    tokio::task::spawn_local(report_until_end(Rc::clone(&node), Rc::clone(&lease)));
    tokio::task::spawn_local(scaling::order_targets(Rc::clone(&node), Rc::clone(&lease)));
    loop {
        sleep(TICK).await;
        lease.tick(&node);
    }
}

/// Reports each window that has ended, while this node holds the duty.
async fn report_until_end<P: Platform>(node: Rc<Node<P>>, lease: Rc<DutyLease>) {
    let mut reporter = Reporter::default();
    loop {
        sleep(TICK).await;
        let Some(windows) = usage::windows(&node) else { continue };
        let Some(duties) = node.settings().duties else { continue };
        let now = node.usage.now();
        let oldest = windows.at(UnixMs(now.since_ms(UnixMs(duties.usage_due_ms))));
        node.usage.ledger.borrow_mut().forget_before(oldest);
        reporter.forget_before(oldest);
        if lease.order_fence(clock::now()).is_none() {
            reporter.unanswered_since = None;
            continue;
        }
        for number in oldest.0..windows.at(now).0 {
            reporter.report_window(&node, &lease, &duties, windows, Window(number)).await;
        }
    }
}

impl Reporter {
    fn forget_before(&mut self, oldest: Window) {
        self.accepted.retain(|window| *window >= oldest);
        self.written.retain(|window, _| *window >= oldest);
    }

    /// Closes a window and sends its report, unless it is too early or too late or the platform has
    /// accepted the report.
    async fn report_window<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        lease: &DutyLease,
        duties: &DutySettings,
        windows: Windows,
        window: Window,
    ) {
        let ended_ms_ago = node.usage.now().since_ms(windows.end(window));
        let is_in_time = ended_ms_ago <= duties.usage_due_ms;
        if self.accepted.contains(&window) || !is_in_time || ended_ms_ago < CLOSE_AFTER_MS {
            return;
        }
        let may_wait = ended_ms_ago * 100 < duties.usage_due_ms * WAIT_PERCENT;
        let written = self.written.remove(&window);
        let counts = match written {
            Some(counts) => counts,
            None => match close(node, lease, window, may_wait).await {
                Some(counts) => counts,
                None => return,
            },
        };
        let counts = &*self.written.entry(window).or_insert(counts);
        let call = DutyCall::Usage { counts, window: window.0 };
        let status = send_duty_call(node, lease, duties, &call).await;
        let Some(status) = status else { return };
        let (total, workspaces) = (counts.values().sum::<u64>(), counts.len());
        node.note(
            "usage_sent",
            json!({
                "window": window.0, "total": total, "workspaces": workspaces,
                "status": status.as_ref().ok().map(StatusCode::as_u16),
                "why": status.as_ref().err().map(|error| error.message.clone()),
                "over_ms": ended_ms_ago,
            }),
        );
        count(&node.metrics.usage_reports, label(&status));
        if matches!(status, Ok(StatusCode::OK)) {
            self.accepted.insert(window);
        }
        self.record_answer(node, lease, status.is_ok());
    }

    /// Records whether the platform answered, and steps down if it has not answered for too long.
    fn record_answer<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        lease: &DutyLease,
        answered: bool,
    ) {
        if answered {
            self.unanswered_since = None;
            return;
        }
        let now = clock::now();
        let since = *self.unanswered_since.get_or_insert(now);
        if now.since_ms(since) >= STEP_DOWN_AFTER_MS {
            self.unanswered_since = None;
            let unanswered_ms = now.since_ms(since);
            let why = format!("the platform has not answered this node for {unanswered_ms} ms");
            lease.step_down(node, &why);
        }
    }
}

fn label(status: &Result<StatusCode, CallError>) -> &'static str {
    match status {
        Ok(StatusCode::OK) => "taken",
        Ok(_) => "refused",
        Err(_) => "unanswered",
    }
}

/// Closes a window: creates its report in the store, or reads the one that is there. None if
/// nodes still have to send counts, this node has lost the duty, or the report is not known to be
/// in the store.
async fn close<P: Platform>(
    node: &Rc<Node<P>>,
    lease: &DutyLease,
    window: Window,
    may_wait: bool,
) -> Option<BTreeMap<String, u64>> {
    let alive = peers::usage_sources(node);
    let (counts, missing, source_count) = {
        let ledger = node.usage.ledger.borrow();
        let missing = ledger.missing(window, &alive);
        let missing: Vec<UsageSource> = missing.into_iter().cloned().collect();
        (ledger.totals(window), missing, ledger.source_count(window))
    };
    if may_wait && !missing.is_empty() {
        return None;
    }
    let fence = lease.order_fence(clock::now())?;
    let call = creation_call(lease, fence, window, &counts)?;
    let (outcome, found) = match node.store(&call).await {
        Ok(StoreAnswer::Committed { .. }) => ("created", Some(counts)),
        Ok(StoreAnswer::Conflict { items }) => ("found", stored_report(&items, window)),
        Ok(_) => ("refused", None),
        // It may have been created; the next try finds it.
        Err(_) => ("unanswered", None),
    };
    let missing: Vec<&str> = missing.iter().map(|source| source.node.as_str()).collect();
    node.note(
        "usage_closed",
        json!({
            "window": window.0, "outcome": outcome, "fence": fence.0, "tellers": source_count,
            "alive": alive.len(), "missing": missing, "clocks": node.usage.clock_count(),
            "total": found.as_ref().map(|counts| counts.values().sum::<u64>()),
        }),
    );
    found
}

fn creation_call(
    lease: &DutyLease,
    fence: Fence,
    window: Window,
    counts: &BTreeMap<String, u64>,
) -> Option<StoreCall> {
    let value = postcard::to_stdvec(counts).ok()?;
    let oldest = window.0.saturating_sub(REPORTS_KEPT);
    let old = oldest.saturating_sub(REPORTS_DELETED)..oldest;
    let key = report_key(window);
    Some(StoreCall::Transaction {
        deletes: old.map(|number| report_key(Window(number))).collect(),
        expected: vec![
            Expectation { key: key.clone(), revision: 0 },
            Expectation { key: lease.key().to_owned(), revision: fence.0 },
        ],
        puts: vec![Put { key, lease: None, value }],
    })
}

fn report_key(window: Window) -> String {
    format!("{REPORTS}{:012}", window.0)
}

/// Returns the report from the keys of a conflict; none if the conflict is that another node holds
/// the duty.
fn stored_report(items: &[StoredItem], window: Window) -> Option<BTreeMap<String, u64>> {
    let key = report_key(window);
    let item = items.iter().find(|item| item.key == key && item.revision > 0)?;
    postcard::from_bytes(&item.value).ok()
}

/// Sends a call of the duty to the platform. Returns the outcome, or none if this node does not
/// hold the duty or the request cannot be built.
pub(crate) async fn send_duty_call<P: Platform>(
    node: &Rc<Node<P>>,
    lease: &DutyLease,
    duties: &DutySettings,
    call: &DutyCall<'_>,
) -> Option<Result<StatusCode, CallError>> {
    // Checked right before the call: after a pause the lease may have lapsed.
    let fence = lease.order_fence(clock::now())?;
    let encoded = P::duty_request(call, &node.settings().node, fence.0);
    let mut request = Request::post(encoded.path)
        .header(http::header::HOST, duties.address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(encoded.body))
        .ok()?;
    request.headers_mut().extend(encoded.headers);
    let exchange = async {
        let (response, connection) = node.pool.send(duties.address, request).await?;
        let (head, body) = response.into_parts();
        read_body(body, ANSWER_MAX_BYTES).await?;
        node.pool.release(connection, &head.headers);
        Ok(head.status)
    };
    let answer = timeout(CALL_TIMEOUT, exchange).await;
    Some(answer.unwrap_or_else(|_| {
        Err(CallError::may_have_run(format!("the platform did not answer within {CALL_TIMEOUT:?}")))
    }))
}
