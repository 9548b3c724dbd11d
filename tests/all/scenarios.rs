//! Runs the scripts under `tests/scenarios` against the pure types, in virtual time.
//!
//! One runner serves all scripts: each command names a type, an event and usually the time, and
//! prints the resulting decision. The expected output follows each block in the script;
//! `UPDATE_GOLDENFILES=1` rewrites it.

use catkinmast_config::{
    CallClass, Change, Digest, Document, Follower, FollowerEffect, FollowerEvent, ObservedHead,
    diff, merge,
};
use catkinmast_lease::{HolderRecord, LeaseClaim, Report};
use catkinmast_model::{Fence, Incarnation, Labels, Name, Revision, Selector, UnixMs};
use catkinmast_route::{
    Admission, AdmissionLimits, Choice, Dequeued, Outcome, RecordedAnswer, RetryBudget,
    TargetBalancer, TargetSettings, Ticket, TicketDecision, TicketLimits, TicketTable, WaitId,
};
use goldenscript::{ArgumentConsumer, Command, Context};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;
use std::str::FromStr;
use yare::parameterized;

#[parameterized(
    admission = { "admission" },
    config_check = { "config_check" },
    config_follow = { "config_follow" },
    config_merge = { "config_merge" },
    config_outage = { "config_outage" },
    lease = { "lease" },
    retry_budget = { "retry_budget" },
    selector = { "selector" },
    targets = { "targets" },
    ticket = { "ticket" },
)]
fn script(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    goldenscript::run(&mut Runner::new(folder.clone()), folder.join(name))
        .expect("the script runs");
}

type Output = Result<String, Box<dyn Error>>;

/// One instance of each type under test.
struct Runner {
    admission: Admission,
    budget: RetryBudget,
    choices: Vec<Choice>,
    folder: std::path::PathBuf,
    follower: Follower,
    rng: Pcg64Mcg,
    targets: TargetBalancer,
    lease: LeaseClaim,
    tickets: TicketTable,
    waiting: IndexMap<WaitId, String>,
}

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

fn holder() -> HolderRecord {
    HolderRecord { incarnation: Incarnation(1), node: name("entry-1") }
}

impl Runner {
    fn new(folder: std::path::PathBuf) -> Self {
        let limits = AdmissionLimits { in_flight_max: 2, queue_max: 2 };
        let ticket_limits =
            TicketLimits { answers_max_bytes: 1_000, retention_ms: 10_000, tickets_max: 2 };
        Self {
            admission: Admission::new(limits),
            budget: RetryBudget::new(10),
            choices: Vec::new(),
            folder,
            follower: Follower::default(),
            rng: Pcg64Mcg::seed_from_u64(1),
            targets: TargetBalancer::new(TargetSettings::default()),
            lease: LeaseClaim::open(holder()),
            tickets: TicketTable::new(ticket_limits),
            waiting: IndexMap::new(),
        }
    }
}

/// Takes and parses the named argument `key`.
fn take_required<T: FromStr<Err: Error + 'static>>(
    args: &mut ArgumentConsumer<'_>,
    key: &str,
) -> Result<T, Box<dyn Error>> {
    let text = args.take_key(key).ok_or_else(|| format!("argument '{key}' is missing"))?;
    Ok(text.parse()?)
}

fn take_time(args: &mut ArgumentConsumer<'_>) -> Result<UnixMs, Box<dyn Error>> {
    Ok(UnixMs(take_required(args, "at")?))
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Output {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "admission" => self.admission(&mut args)?,
            "budget" => self.budget(&mut args)?,
            "check" => self.check(&mut args)?,
            "diff" => self.compare(&mut args)?,
            "follower" => self.follower(&mut args)?,
            "lease" => self.lease(&mut args)?,
            "merge" => self.merge(&mut args)?,
            "select" => select(&mut args)?,
            "targets" => self.targets(&mut args)?,
            "ticket" => self.ticket(&mut args)?,
            other => return Err(format!("unknown command '{other}'").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

fn take_positional<'a>(args: &mut ArgumentConsumer<'a>) -> Result<&'a str, Box<dyn Error>> {
    args.next_pos().ok_or_else(|| "a positional argument is missing".into())
}

fn select(args: &mut ArgumentConsumer<'_>) -> Output {
    let text = take_positional(args)?.to_owned();
    let mut labels = Labels::default();
    while let Some((key, value)) = args.next_key() {
        labels = labels.with(key, value);
    }
    Ok(match text.parse::<Selector>() {
        Ok(selector) => format!("{}\n", selector.matches(&labels)),
        Err(error) => format!("{error}\n"),
    })
}

fn lines(changes: &[Change], prefix: &str) -> String {
    let lines: Vec<String> = changes.iter().map(|change| format!("{prefix}{change}\n")).collect();
    lines.concat()
}

impl Runner {
    fn read(&self, file: &str) -> Result<String, Box<dyn Error>> {
        Ok(std::fs::read_to_string(self.folder.join("documents").join(file))?)
    }

    fn check(&self, args: &mut ArgumentConsumer<'_>) -> Output {
        let text = self.read(take_positional(args)?)?;
        Ok(match Document::parse(&text) {
            Ok(document) => format!("no faults: {}\n", document.deployment),
            Err(faults) => format!("{faults}\n"),
        })
    }

    fn compare(&self, args: &mut ArgumentConsumer<'_>) -> Output {
        let (old, new) = (self.read(take_positional(args)?)?, self.read(take_positional(args)?)?);
        Ok(lines(&diff(&old, &new), ""))
    }

    fn merge(&self, args: &mut ArgumentConsumer<'_>) -> Output {
        let base = self.read(take_positional(args)?)?;
        let (ours, theirs) =
            (self.read(take_positional(args)?)?, self.read(take_positional(args)?)?);
        Ok(match merge(&base, &ours, &theirs) {
            Ok(merged) => lines(&diff(&base, &merged), ""),
            Err(conflicts) => lines(&conflicts, "conflict: "),
        })
    }

    fn lease(&mut self, args: &mut ArgumentConsumer<'_>) -> Output {
        let event = take_positional(args)?.to_owned();
        let now = take_time(args)?;
        let mut output = String::new();
        match event.as_str() {
            "tick" => {
                let wanted = take_required(args, "wanted")?;
                let (action, change) = self.lease.tick(now, wanted);
                writeln!(output, "action {action:?}, change {change:?}")?;
            }
            "fence" => {
                let (acts, orders) = (self.lease.fence(now), self.lease.order_fence(now));
                writeln!(output, "acts {acts:?}, orders {orders:?}")?;
            }
            report => {
                let report = match report {
                    "taken" => Report::Taken(Fence(take_required(args, "fence")?)),
                    "read-mine" => {
                        Report::Read(Some((holder(), Fence(take_required(args, "fence")?))))
                    }
                    "read-none" => Report::Read(None),
                    "refused" => Report::Refused,
                    "renewed" => Report::Renewed,
                    "unknown" => Report::Unknown,
                    other => return Err(format!("unknown report '{other}'").into()),
                };
                writeln!(output, "change {:?}", self.lease.report(now, &report))?;
            }
        }
        Ok(output)
    }

    fn follower(&mut self, args: &mut ArgumentConsumer<'_>) -> Output {
        let event = take_positional(args)?.to_owned();
        let now = take_time(args)?;
        let digest = |revision: u64| Digest::of(&format!("document {revision}"));
        let event = match event.as_str() {
            "tick" => FollowerEvent::Tick {
                peers: take_required(args, "peers")?,
                watches: take_required(args, "watches")?,
            },
            "announced" => {
                let revision = take_required(args, "revision")?;
                FollowerEvent::Announced { digest: digest(revision), revision: Revision(revision) }
            }
            "body" => {
                FollowerEvent::BodyFetched { revision: Revision(take_required(args, "revision")?) }
            }
            "body-missing" => FollowerEvent::BodyMissing,
            "head" | "watch-ended" => {
                let head = args.take_key("revision").map(str::parse::<u64>).transpose()?;
                let head = head.map(|revision| ObservedHead {
                    digest: digest(revision),
                    revision: Revision(revision),
                    version: revision * 10,
                });
                if event == "head" {
                    FollowerEvent::HeadRead(head)
                } else {
                    FollowerEvent::WatchEnded { head, succeeded: take_required(args, "worked")? }
                }
            }
            "head-unavailable" => FollowerEvent::HeadUnavailable,
            "peers" => {
                let newest = args.take_key("revision").map(str::parse::<u64>).transpose()?;
                let newest = newest.map(|revision| (Revision(revision), digest(revision)));
                FollowerEvent::PeersAnswered { answers: take_required(args, "answers")?, newest }
            }
            other => return Err(format!("unknown event '{other}'").into()),
        };
        let mut output = String::new();
        for effect in self.follower.handle(now, event) {
            match effect {
                FollowerEffect::FetchBody { revision, .. } => {
                    writeln!(output, "fetch the body of revision {revision}")?;
                }
                other => writeln!(output, "{other:?}")?,
            }
        }
        writeln!(
            output,
            "revision {} in force, serves {}, ready {}",
            self.follower.in_force(),
            self.follower.may_serve(),
            self.follower.is_ready()
        )?;
        Ok(output)
    }

    fn ticket(&mut self, args: &mut ArgumentConsumer<'_>) -> Output {
        let event = take_positional(args)?.to_owned();
        let text = take_positional(args)?.to_owned();
        let now = if event == "begin" { take_time(args)? } else { UnixMs(0) };
        let ticket: Ticket = match text.parse() {
            Ok(ticket) => ticket,
            Err(error) => return Ok(format!("{error}\n")),
        };
        Ok(match event.as_str() {
            "begin" => match self.tickets.begin(now, &ticket) {
                TicketDecision::Recorded(answer) => format!("recorded {}\n", answer.status),
                other => format!("{other:?}\n"),
            },
            "answered" => {
                let status = take_required(args, "status")?;
                let body = Some(b"answer".to_vec());
                let answer = RecordedAnswer { body, content_type: None, status };
                self.tickets.record_answer(&ticket, answer);
                String::new()
            }
            "not-run" => {
                self.tickets.mark_not_run(&ticket);
                String::new()
            }
            "unsettled" => {
                self.tickets.mark_unsettled(&ticket);
                String::new()
            }
            other => return Err(format!("unknown event '{other}'").into()),
        })
    }

    fn admission(&mut self, args: &mut ArgumentConsumer<'_>) -> Output {
        let event = take_positional(args)?.to_owned();
        let who = take_positional(args)?.to_owned();
        let now = take_time(args)?;
        let mut output = String::new();
        let dequeued = match event.as_str() {
            "arrive" => {
                let class = match take_required::<String>(args, "class")?.as_str() {
                    "lookup" => CallClass::Lookup,
                    "act" => CallClass::Act,
                    "rollout" => CallClass::Rollout,
                    _ => CallClass::Audit,
                };
                let deadline = UnixMs(take_required(args, "deadline")?);
                let (admitted, dequeued) = self.admission.arrive(now, "workspace", class, deadline);
                match admitted {
                    catkinmast_route::AdmissionDecision::Admitted => {
                        writeln!(output, "{who} is served")?;
                    }
                    catkinmast_route::AdmissionDecision::Queued(id) => {
                        self.waiting.insert(id, who.clone());
                        writeln!(output, "{who} waits")?;
                    }
                    catkinmast_route::AdmissionDecision::Refused(refusal) => writeln!(
                        output,
                        "{who} is refused, {}, retry at {:?}: {}",
                        refusal.verdict,
                        refusal.retry_at_unix_ms.map(|at| at.0),
                        refusal.message
                    )?,
                }
                dequeued
            }
            "finish" => self.admission.finish(now, "workspace", take_required(args, "service-us")?),
            "expire" => self.admission.expire(now),
            other => return Err(format!("unknown event '{other}'").into()),
        };
        self.show_dequeued(&dequeued, &mut output)?;
        Ok(output)
    }

    fn show_dequeued(&self, dequeued: &Dequeued, output: &mut String) -> std::fmt::Result {
        for id in &dequeued.admitted {
            writeln!(output, "{} is served now", self.waiting[id])?;
        }
        for (id, refusal) in &dequeued.refused {
            let verdict = refusal.verdict;
            writeln!(output, "{} is refused, {verdict}: {}", self.waiting[id], refusal.message)?;
        }
        Ok(())
    }

    fn budget(&mut self, args: &mut ArgumentConsumer<'_>) -> Output {
        let event = take_positional(args)?.to_owned();
        let times: u32 = take_required(args, "times")?;
        Ok(match event.as_str() {
            "attempts" => {
                (0..times).for_each(|_| self.budget.first_attempt());
                String::new()
            }
            "retries" => {
                let granted = (0..times).filter(|_| self.budget.take_retry()).count();
                format!("{granted} of {times} granted\n")
            }
            other => return Err(format!("unknown event '{other}'").into()),
        })
    }

    fn targets(&mut self, args: &mut ArgumentConsumer<'_>) -> Output {
        let event = take_positional(args)?.to_owned();
        let now = take_time(args)?;
        let all: Vec<Name> = ["a", "b", "c", "d"].iter().map(|text| name(text)).collect();
        match event.as_str() {
            "pick" => {
                let times: u32 = take_required(args, "times")?;
                let mut counts: IndexMap<String, u32> = IndexMap::new();
                for _ in 0..times {
                    match self.targets.pick(now, &all, 64, &mut self.rng) {
                        Some(choice) => {
                            *counts.entry(choice.target.to_string()).or_default() += 1;
                            self.choices.push(choice);
                        }
                        None => *counts.entry("nobody".to_owned()).or_default() += 1,
                    }
                }
                counts.sort_keys();
                let mut output = String::new();
                for (target, count) in &counts {
                    writeln!(output, "{target}: {count}")?;
                }
                Ok(output)
            }
            "finish" => {
                let target = take_required::<String>(args, "target")?;
                let outcome = match take_required::<String>(args, "outcome")?.as_str() {
                    "failed" => Outcome::Failed,
                    "overloaded" => Outcome::Overloaded,
                    text => Outcome::Answered { latency_us: text.parse()? },
                };
                let of_target = self.choices.extract_if(.., |c| c.target.as_str() == target);
                let finished: Vec<Choice> = of_target.collect();
                for choice in &finished {
                    self.targets.finish(now, choice, outcome);
                }
                Ok(format!("{} finished\n", finished.len()))
            }
            other => Err(format!("unknown event '{other}'").into()),
        }
    }
}
