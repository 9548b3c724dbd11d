//! The cases. Each returns whether its rule was broken.

use crate::http::{self, Message, read_chunk, read_head};
use crate::json::{base64, quote};
use crate::site::{HOST, Plan, Site};
use crate::worker::{MODELS, Pace};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const PACE: Pace = Pace { event: Duration::from_millis(40), work: Duration::from_millis(25) };

/// Returns a batch submission of groups of four items. The first item is as long as `first_events`
/// says, and all others as long as `events` says.
fn submission(id: &str, model: &str, groups: usize, first_events: u8, events: u8) -> String {
    let items: Vec<String> = (0..groups * 4)
        .map(|number| {
            let events = if number == 0 { first_events } else { events };
            let (item, reward) = (format!("{id}i{number:02}"), format!("{id}r{number:02}"));
            format!(
                "{{\"id\":\"{item}\",\"path\":\"/pule252/prompt/{number}\",\
                 \"headers\":{{\"X-Catkinmast-Model\":\"{model}\",\
                 \"X-Catkinmast-Token-Count\":\"540,400\",\
                 \"X-Catkinmast-Prompt-Prefix\":\"9c2e41:300,5d07b8:240\"}},\
                 \"body\":{},\"tokens\":940,\"group\":\"{id}g{}\",\
                 \"scorerUrl\":{{\"id\":\"{reward}\",\"host\":\"{HOST}\",\
                 \"path\":\"/pufi791/{number}\",\"body\":{}}}}}",
                quote(&base64(&[events])),
                number / 4,
                quote(&base64(b"score")),
            )
        })
        .collect();
    format!(
        "{{\"step\":0,\"model\":\"{model}\",\"minVersion\":1,\"targetGroups\":{groups},\
         \"items\":[{}]}}",
        items.join(",")
    )
}

fn submit(site: &Site, node: usize, id: &str, body: &str) -> io::Result<Message> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Catkinmast-Request-Id", id.to_owned()),
        ("X-Catkinmast-Deadline-Ms", "12000".to_owned()),
        ("Content-Type", "application/json".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let path = format!("/pule252/{id}");
    site.record.note(format!("trainer sends batch {id} to {}", site.fronts[node].name));
    let wait = Duration::from_secs(12);
    let front = site.fronts[node].front();
    let answer = http::call(front, "POST", &path, &headers, body.as_bytes(), wait);
    match &answer {
        Ok(answer) => site.record.note(format!(
            "{} answers batch {id} with {}, Retry-After {:?}",
            site.fronts[node].name,
            answer.status(),
            answer.header("retry-after"),
        )),
        Err(error) => site.record.note(format!("no answer to batch {id}: {error}")),
    }
    answer
}

/// What a consumer has received of a stream.
struct Received {
    events: u64,
    complete: bool,
    ended_ms: u128,
}

/// Reads the events of a stream until its end or until the channel ends.
fn read_stream(site: &Site, reader: &mut BufReader<TcpStream>) -> io::Result<Received> {
    let head = read_head(reader)?;
    if head.status() != 200 {
        return Err(io::Error::other(format!("a stream was answered {}", head.status())));
    }
    let mut text = String::new();
    let complete = loop {
        match read_chunk(reader) {
            Ok(chunk) if chunk.is_empty() => break true,
            Ok(chunk) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Err(_) => break false,
        }
    };
    let events = text.matches("\n\n").count() as u64;
    Ok(Received { events, complete, ended_ms: site.record.now_ms() })
}

fn open_stream(front: SocketAddr, id: &str, events: u8) -> io::Result<BufReader<TcpStream>> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Catkinmast-Request-Id", id.to_owned()),
        ("X-Catkinmast-Deadline-Ms", "12000".to_owned()),
        ("X-Catkinmast-Model", MODELS[0].to_owned()),
        ("X-Catkinmast-Token-Count", "540,400".to_owned()),
        ("X-Catkinmast-Prompt-Prefix", "9c2e41:300,5d07b8:240".to_owned()),
    ];
    let path = format!("/suvo418/{id}");
    http::send(front, "POST", &path, &headers, &[events], Duration::from_secs(12))
}

/// LOST: a machine is stopped with SIGTERM while it passes streams on.
///
/// The streams last 5 s: they end well before the last sixth of the grace time of 8 s.
pub fn stream(trouble: bool, record: &Path) -> io::Result<bool> {
    const EVENTS: u8 = 50;
    /// When the last sixth of the grace time of 8 s begins, after the SIGTERM.
    const LAST_SIXTH_MS: u128 = 6_666;
    let pace = Pace { event: Duration::from_millis(100), ..PACE };
    let mut site = Site::start(&Plan { fronts: 3, engines: 3, plain: 1, pace })?;
    let (front, name) = (site.fronts[0].front(), site.fronts[0].name.clone());
    let mut broken = false;
    let site_ref = &site;
    let term_at = std::sync::atomic::AtomicU64::new(0);
    let received: Vec<(String, io::Result<Received>)> = std::thread::scope(|scope| {
        let streams: Vec<_> = (0..4)
            .map(|number| {
                let id = format!("cc0{number}");
                site_ref
                    .record
                    .note(format!("consumer sends stream {id} to {}", site_ref.fronts[0].name));
                let read = scope.spawn({
                    let id = id.clone();
                    move || read_stream(site_ref, &mut open_stream(front, &id, EVENTS)?)
                });
                (id, read)
            })
            .collect();
        std::thread::sleep(Duration::from_millis(500));
        if trouble {
            site_ref.record.note(format!("SIGTERM of {name}"));
            let now_ms = site_ref.record.now_ms() as u64;
            term_at.store(now_ms, std::sync::atomic::Ordering::SeqCst);
            if let Err(error) = site_ref.fronts[0].signal("TERM") {
                site_ref.record.note(format!("no signal: {error}"));
            }
        }
        let joined = |read: std::thread::ScopedJoinHandle<'_, io::Result<Received>>| {
            read.join().unwrap_or_else(|_| Err(io::Error::other("the reader failed")))
        };
        streams.into_iter().map(|(id, read)| (id, joined(read))).collect()
    });
    std::thread::sleep(Duration::from_millis(500));
    site.note_observations();
    let term_ms = u128::from(term_at.into_inner());
    for (id, received) in &received {
        match received {
            Ok(received) => {
                let end = if received.complete { "complete" } else { "cut without its end" };
                site.record.note_at(
                    received.ended_ms,
                    format!("stream {id}: {} of {EVENTS} events received, {end}", received.events),
                );
                let after_ms = received.ended_ms.saturating_sub(term_ms);
                broken |= trouble && !received.complete && after_ms < LAST_SIXTH_MS;
            }
            Err(error) => {
                site.record.note(format!("stream {id}: {error}"));
                site.record.write(record)?;
                return Err(io::Error::other(format!("stream {id}: {error}")));
            }
        }
    }
    let ended = site.fronts[0].has_ended();
    site.record.note(format!("{} has ended: {ended}", site.fronts[0].name));
    site.record.note(if broken { "LOST is broken" } else { "LOST holds" });
    site.record.write(record)?;
    Ok(broken)
}

/// LOST: three workers crash, each while it runs the same item.
///
/// After that nothing is disturbed any more. A later step samples the same prompt once more, under
/// a new id. The rule is broken if that item is at no worker for the 12 s of its step.
pub fn crashes(trouble: bool, record: &Path) -> io::Result<bool> {
    const STEP: Duration = Duration::from_secs(12);
    const ITEMS: usize = 16;
    const IDLE_MS: u128 = 5_000;
    /// A crash lasts 1 s, and calm counts from 3 s after it.
    const STEADY_AFTER_MS: u128 = 4_000;
    const PLACES: usize = 9 * 8;
    let site = Site::start(&Plan { fronts: 3, engines: 9, plain: 3, pace: PACE })?;
    let model = MODELS[0];
    let first = submit(&site, 0, "bb02", &submission("bb02", model, ITEMS / 4, 100, 15))?;
    if trouble {
        for run in 0..3 {
            crash_worker_of(&site, "bb02i00", run)?;
        }
    }
    let steady_ms = site.record.now_ms() + STEADY_AFTER_MS;
    run_step(&site, "bb02", ITEMS, STEP)?;
    let sent_ms = site.record.now_ms();
    let second = submit(&site, 1, "cc03", &submission("cc03", model, ITEMS / 4, 100, 15))?;
    if first.status() != 202 || second.status() != 202 {
        site.record.write(record)?;
        return Err(io::Error::other("the steps were not accepted"));
    }
    let listed = run_step(&site, "cc03", ITEMS, STEP)?;
    let ended_ms = site.record.now_ms();
    site.note_observations();
    let mut idle = 0;
    let mut begun = 0;
    for number in 0..ITEMS {
        let runs = site.runs.of(&format!("cc03i{number:02}"));
        begun += usize::from(!runs.is_empty());
        let last_ms = runs.iter().map(|run| run.ended_ms).max().unwrap_or(sent_ms);
        let since_ms = last_ms.max(steady_ms);
        let is_idle = ended_ms >= since_ms + IDLE_MS && !runs.iter().any(|run| run.complete);
        idle += usize::from(is_idle);
    }
    // A run that has sent an event within the last second is taken as one that still occupies a place.
    let all = site.runs.all();
    let busy = all.iter().filter(|run| !run.complete && run.ended_ms + 1_000 > ended_ms).count();
    let broken = listed < ITEMS && begun > 0 && idle > 0 && busy * 2 < PLACES;
    site.record.note(format!(
        "{begun} of {ITEMS} items of step cc03 had begun; {idle} were at no worker for 5 s; \
         {busy} of {PLACES} places in use"
    ));
    site.record.note(if broken { "LOST is broken" } else { "LOST holds" });
    site.record.write(record)?;
    Ok(broken)
}

/// Waits for a run of an item, and crashes its worker for a second 0.3 s later.
fn crash_worker_of(site: &Site, item: &str, run: usize) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(5);
    let ids: Vec<String> = site.engines.iter().map(crate::worker::Worker::id).collect();
    let worker = loop {
        if Instant::now() > until {
            return Err(io::Error::other(format!("{item} does not run")));
        }
        let runs = site.runs.of(item);
        let id = runs.get(run).filter(|run| run.events > 0).map(|run| run.worker.clone());
        let worker = id.and_then(|id| ids.iter().position(|held| *held == id));
        if let Some(worker) = worker {
            break worker;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    std::thread::sleep(Duration::from_millis(300));
    site.record.note(format!("worker {} crashes for 1 s", ids[worker]));
    site.engines[worker].crash(Duration::from_secs(1));
    Ok(())
}

/// Reads results twice a second, and ends the step when it is complete or its time is up. Returns
/// how many results were read.
fn run_step(site: &Site, id: &str, items: usize, length: Duration) -> io::Result<usize> {
    let until = Instant::now() + length;
    let mut listed = 0;
    while listed < items && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(500));
        listed = read_results(site, 2, id).unwrap_or(listed);
    }
    site.record.note(format!("the trainer has read {listed} of {items} results, ends step {id}"));
    let front = site.fronts[2].front();
    let path = format!("/-/lots/{id}");
    let host = crate::site::host();
    let end = http::call(front, "DELETE", &path, &host, b"", Duration::from_secs(5))?;
    site.record.note(format!("the end of step {id} is answered {}", end.status()));
    Ok(listed)
}

fn read_results(site: &Site, node: usize, id: &str) -> io::Result<usize> {
    let path = format!("/-/lots/{id}?after=0");
    let front = site.fronts[node].front();
    let answer =
        http::call(front, "GET", &path, &crate::site::host(), b"", Duration::from_secs(3))?;
    let body = crate::json::Json::parse(&String::from_utf8_lossy(&answer.body));
    let page = body.ok_or_else(|| io::Error::other("no page"))?;
    if answer.status() != 200 {
        return Err(io::Error::other("no results now"));
    }
    Ok(page.get("results").list().len())
}
