//! The cases. Each returns whether its rule was broken.

use crate::http::{self, Message, read_chunk, read_head};
use crate::json::{base64, quote};
use crate::site::{HOST, Plan, Site};
use crate::store::{Down, Outage};
use crate::worker::{MODELS, Pace};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const PACE: Pace = Pace { event: Duration::from_millis(40), work: Duration::from_millis(25) };

/// Returns a batch submission of groups of four items.
fn submission(id: &str, model: &str, groups: usize, events: u8) -> String {
    let items: Vec<String> = (0..groups * 4)
        .map(|number| {
            let (item, reward) = (format!("{id}i{number:02}"), format!("{id}r{number:02}"));
            format!(
                "{{\"id\":\"{item}\",\"path\":\"/pule252/{id}/{number}\",\
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

/// REFUSED: the store goes down while it has the write that creates a batch.
///
/// A trainer sends a batch, and sends it once more after a refusal, as the sheet says. Where both
/// attempts are answered 429 or 503, none of its items may run.
pub fn refused(trouble: bool, record: &Path) -> io::Result<bool> {
    let site = Site::start(&Plan { fronts: 3, engines: 3, plain: 2, pace: PACE })?;
    // A first step in calm time shows which node runs the batches of this model. With these names
    // it is one of the two nodes that search the store for batches that nobody runs.
    let model = MODELS[1];
    let first = submit(&site, 0, "aa01", &submission("aa01", model, 2, 5))?;
    if first.status() != 202 {
        site.record.write(record)?;
        return Err(io::Error::other("the first step was not accepted"));
    }
    std::thread::sleep(Duration::from_secs(2));
    let owner =
        site.fronts.iter().position(|node| !node.lines(&["batch_owned", "aa01"]).is_empty());
    let owner = owner.ok_or_else(|| io::Error::other("no node runs the first step"))?;
    let others: Vec<usize> = (0..site.fronts.len()).filter(|node| *node != owner).collect();

    if trouble {
        site.store.plan_outage(Outage {
            answers: false,
            key: "cm/h/".to_owned(),
            how: Down::Busy,
            length: Duration::from_millis(2_500),
        });
    }
    let body = submission("bb02", model, 2, 5);
    let mut statuses = Vec::new();
    for node in [others[0], others[1]] {
        let answer = submit(&site, node, "bb02", &body)?;
        statuses.push(answer.status());
        if answer.status() == 202 {
            break;
        }
        let pause_s: f64 = answer.header("retry-after").parse().unwrap_or(0.5);
        std::thread::sleep(Duration::from_secs_f64(pause_s));
    }
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until && site.runs.of("bb02i00").is_empty() {
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(1));
    let all_refused = statuses.iter().all(|status| [429, 503, 408, 421].contains(status));
    let ran = site.runs.all().iter().filter(|run| run.request.starts_with("bb02i")).count();
    site.note_observations();
    let broken = all_refused && ran > 0;
    site.record.note(format!("attempts were answered {statuses:?}; {ran} runs of its items"));
    site.record.note(if broken { "REFUSED is broken" } else { "REFUSED holds" });
    site.record.write(record)?;
    if trouble && !site.store.outage_began() {
        return Err(io::Error::other("the store did not go down"));
    }
    Ok(broken)
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
    let pace = Pace { event: Duration::from_millis(100), ..PACE };
    let mut site = Site::start(&Plan { fronts: 3, engines: 3, plain: 1, pace })?;
    let (front, name) = (site.fronts[0].front(), site.fronts[0].name.clone());
    let mut broken = false;
    let site_ref = &site;
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
    for (id, received) in &received {
        match received {
            Ok(received) => {
                let end = if received.complete { "complete" } else { "cut without its end" };
                site.record.note_at(
                    received.ended_ms,
                    format!("stream {id}: {} of {EVENTS} events received, {end}", received.events),
                );
                broken |= !received.complete;
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

/// LOST: a machine that runs a batch is stopped with SIGTERM, and the store goes down for a second
/// right after it has answered the write that names the batch's next owner.
///
/// The trainer waits for 12 s, as the sheet says. The rule is broken if an item that no worker has
/// finished is at no worker for 5 s, counted only from 3 s after both the outage and the stopped
/// process have ended.
pub fn handover(trouble: bool, record: &Path) -> io::Result<bool> {
    const OUTAGE: Duration = Duration::from_secs(1);
    const STEP_MS: u128 = 12_000;
    const STABLE_MS: u128 = 3_000;
    const IDLE_MS: u128 = 5_000;
    const READ_INTERVAL_MS: u128 = 500;
    const ITEMS: usize = 16;
    let pace = Pace { event: Duration::from_millis(100), ..PACE };
    let mut site = Site::start(&Plan { fronts: 6, engines: 3, plain: 2, pace })?;
    // With these names of nodes, the next owner of this model's batches is none of the two nodes
    // that search the store for batches without an owner.
    let model = MODELS[0];
    let first = submit(&site, 0, "aa01", &submission("aa01", model, 1, 5))?;
    std::thread::sleep(Duration::from_secs(2));
    let owner =
        site.fronts.iter().position(|node| !node.lines(&["batch_owned", "aa01"]).is_empty());
    let owner = owner.ok_or_else(|| io::Error::other("no node runs the first step"))?;
    let reader = (owner + 1) % site.fronts.len();

    let sent_ms = site.record.now_ms();
    let second = submit(&site, reader, "bb02", &submission("bb02", model, ITEMS / 4, 30))?;
    if first.status() != 202 || second.status() != 202 {
        site.record.write(record)?;
        return Err(io::Error::other("the steps were not accepted"));
    }
    std::thread::sleep(Duration::from_millis(200));
    if trouble {
        let key = "cm/h/bb02".to_owned();
        site.store.plan_outage(Outage { answers: true, key, how: Down::Reset, length: OUTAGE });
    }
    site.record.note(format!("SIGTERM of {}, which runs batch bb02", site.fronts[owner].name));
    site.fronts[owner].signal("TERM")?;
    let mut steady_ms = None;
    let mut listed = 0;
    let mut read_ms = 0;
    while site.record.now_ms() < sent_ms + STEP_MS && listed < ITEMS {
        std::thread::sleep(Duration::from_millis(20));
        if steady_ms.is_none() && site.fronts[owner].has_ended() {
            site.record.note(format!("{} has ended", site.fronts[owner].name));
            // The outage of a second is over long before.
            steady_ms = Some(site.record.now_ms() + STABLE_MS);
        }
        if site.record.now_ms() >= read_ms + READ_INTERVAL_MS {
            read_ms = site.record.now_ms();
            listed = read_results(&site, reader, "bb02").unwrap_or(listed);
        }
    }
    let ended_ms = site.record.now_ms();
    site.record.note(format!("the trainer has read {listed} of {ITEMS} results, ends batch bb02"));
    let front = site.fronts[reader].front();
    let host = crate::site::host();
    let end = http::call(front, "DELETE", "/-/lots/bb02", &host, b"", Duration::from_secs(5))?;
    site.record.note(format!("the end is answered {}", end.status()));
    site.note_observations();
    let steady_ms = steady_ms.unwrap_or(u128::MAX);
    let mut idle = Vec::new();
    for number in 0..ITEMS {
        let item = format!("bb02i{number:02}");
        let runs = site.runs.of(&item);
        let last_ms = runs.iter().map(|run| run.ended_ms).max().unwrap_or(sent_ms);
        let since_ms = last_ms.max(steady_ms);
        if !runs.iter().any(|run| run.complete) && ended_ms >= since_ms.saturating_add(IDLE_MS) {
            idle.push(item);
        }
    }
    let begun = site.runs.all().iter().filter(|run| run.request.starts_with("bb02i")).count();
    let broken = listed < ITEMS && !idle.is_empty() && begun > 0;
    let idle = idle.len();
    site.record.note(format!(
        "{begun} runs of the step's items had begun; {idle} items were at no worker for 5 s"
    ));
    site.record.note(if broken { "LOST is broken" } else { "LOST holds" });
    site.record.write(record)?;
    if trouble && !site.store.outage_began() {
        return Err(io::Error::other("the store did not go down"));
    }
    Ok(broken)
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
