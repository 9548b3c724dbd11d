//! The commands.

#![expect(
    clippy::empty_structs_with_brackets,
    reason = "argh derives subcommands of braced structs only"
)]

use crate::http::{Endpoint, problem};
use crate::table;
use argh::FromArgs;
use catkinmast_config::Document;
use reqwest::Method;
use serde_json::{Value, json};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// catkinmast-ctl: the operators' command line.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address of any node; CATKINMAST_NODE (default 127.0.0.1:7400)
    #[argh(option)]
    node: Option<String>,
    /// the operator's token; CATKINMAST_TOKEN
    #[argh(option)]
    token: Option<String>,
    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Audit(Audit),
    Config(Config),
    Drain(Drain),
    Status(Status),
}

/// reads the audit trail
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
struct Audit {
    /// how many of the newest entries (default 20)
    #[argh(option, default = "20")]
    last: usize,
}

/// checks, compares and changes the configuration
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
struct Config {
    #[argh(subcommand)]
    command: ConfigCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ConfigCommand {
    Apply(Apply),
    Check(Check),
    Diff(Diff),
    History(History),
    Show(Show),
}

/// checks a document without any node
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the document
    #[argh(positional)]
    file: String,
}

/// puts a document in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the document
    #[argh(positional)]
    file: String,
    /// revision that the document was made from (default: the one in force at the node)
    #[argh(option)]
    base: Option<u64>,
    /// merge with changes that came since the base, if they touch other fields
    #[argh(switch)]
    rebase: bool,
    /// number of this operation; repeat it after an unclear answer (default: a new one)
    #[argh(option)]
    operation: Option<String>,
}

/// compares a document with the configuration in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the document
    #[argh(positional)]
    file: String,
}

/// lists accepted changes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
struct History {}

/// prints the configuration in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {}

/// shows members, targets, owners and load
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// lets a node or a target leave
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// node or target
    #[argh(positional)]
    kind: String,
    /// its name
    #[argh(positional)]
    name: String,
}

/// How a command ended; each has an exit code of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Another operator was first.
    Conflict,
    /// Done.
    Done,
    /// The document has faults.
    Faulty,
    /// The action may have run.
    MayHaveRun,
    /// The action was not run.
    NotRun,
    /// The arguments are wrong.
    Usage,
}

impl Exit {
    /// Returns the process's exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::NotRun => 1,
            Self::Usage => 2,
            Self::Faulty => 3,
            Self::Conflict => 4,
            Self::MayHaveRun => 5,
        }
    }
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let exit = run(arguments).unwrap_or_else(|exit| exit);
    ExitCode::from(exit.code())
}

fn run(arguments: Arguments) -> Result<Exit, Exit> {
    let variable = |name: &str| std::env::var(name).ok();
    let node = arguments.node.or_else(|| variable("CATKINMAST_NODE"));
    let endpoint = Endpoint {
        node: node.unwrap_or_else(|| "127.0.0.1:7400".to_owned()),
        token: arguments.token.or_else(|| variable("CATKINMAST_TOKEN")),
    };
    let json = arguments.json;
    match arguments.command {
        Command::Audit(audit) => show_audit(&endpoint, json, audit.last),
        Command::Config(config) => match config.command {
            ConfigCommand::Apply(apply) => apply_document(&endpoint, json, &apply),
            ConfigCommand::Check(check) => check_document(json, &check.file),
            ConfigCommand::Diff(diff) => diff_document(&endpoint, json, &diff.file),
            ConfigCommand::History(_) => show_history(&endpoint, json),
            ConfigCommand::Show(_) => show_document(&endpoint, json),
        },
        Command::Drain(drain) => drain_something(&endpoint, json, &drain),
        Command::Status(_) => show_status(&endpoint, json),
    }
}

fn read_file(file: &str) -> Result<String, Exit> {
    std::fs::read_to_string(file).map_err(|error| {
        eprintln!("file '{file}' cannot be read: {error}");
        Exit::Usage
    })
}

fn check_document(json: bool, file: &str) -> Result<Exit, Exit> {
    let text = read_file(file)?;
    match Document::parse(&text) {
        Ok(_) if json => println!("{}", json!({ "file": file, "faults": [] })),
        Ok(_) => println!("{file}: no faults"),
        Err(faults) => {
            if json {
                println!("{}", json!({ "file": file, "faults": faults }));
            } else {
                faults.0.iter().for_each(|fault| println!("{file}: {fault}"));
            }
            return Ok(Exit::Faulty);
        }
    }
    Ok(Exit::Done)
}

fn apply_document(endpoint: &Endpoint, json: bool, apply: &Apply) -> Result<Exit, Exit> {
    let text = read_file(&apply.file)?;
    let base_revision = match apply.base {
        Some(base) => base,
        None => endpoint.expect(Method::GET, "/v1/config", None)?["revision"].as_u64().unwrap_or(0),
    };
    let operation_id = apply.operation.clone().unwrap_or_else(new_operation);
    let body = json!({
        "base_revision": base_revision,
        "operation_id": operation_id,
        "rebase": apply.rebase,
        "text": text,
    });
    let answer = endpoint.send(Method::PUT, "/v1/config", Some(&body)).inspect_err(|exit| {
        if *exit == Exit::MayHaveRun {
            eprintln!("repeat it with --operation {operation_id}, which cannot apply it twice");
        }
    })?;
    if json {
        println!("{}", answer.body);
    }
    match answer.body["result"].as_str() {
        Some("accepted") => {
            if !json {
                println!("accepted as revision {}", answer.body["revision"]);
            }
            Ok(Exit::Done)
        }
        Some("conflict") => {
            if !json {
                println!("conflict: revision {} is in force", answer.body["in_force_revision"]);
                print_changes(&answer.body["changes"]);
            }
            Ok(Exit::Conflict)
        }
        Some("faulty") => {
            if !json {
                let faults = table::rows(&answer.body["faults"], &["line", "field", "message"]);
                table::print(&["line", "field", "fault"], &faults);
            }
            Ok(Exit::Faulty)
        }
        Some("refused") => {
            let refusal = &answer.body["refusal"];
            if !json {
                println!("refused: {}", refusal["message"].as_str().unwrap_or("-"));
            }
            if refusal["verdict"] == "not_run" {
                return Ok(Exit::NotRun);
            }
            eprintln!("repeat it with --operation {operation_id}, which cannot apply it twice");
            Ok(Exit::MayHaveRun)
        }
        _ => Err(problem(&answer)),
    }
}

/// The process number and the time tell two operators' operations apart.
fn new_operation() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("ctl-{}-{}", std::process::id(), now.as_nanos())
}

fn print_changes(changes: &Value) {
    table::print(&["field", "old", "new"], &table::rows(changes, &["field", "old", "new"]));
}

fn diff_document(endpoint: &Endpoint, json: bool, file: &str) -> Result<Exit, Exit> {
    let body = json!({ "text": read_file(file)? });
    let changes = endpoint.expect(Method::POST, "/v1/config/diff", Some(&body))?;
    if json {
        println!("{changes}");
    } else {
        print_changes(&changes);
    }
    Ok(Exit::Done)
}

fn show_history(endpoint: &Endpoint, json: bool) -> Result<Exit, Exit> {
    let history = endpoint.expect(Method::GET, "/v1/config/history", None)?;
    if json {
        println!("{history}");
    } else {
        let fields = ["revision", "at_unix_ms", "author", "operation_id", "digest"];
        table::print(&fields, &table::rows(&history, &fields));
    }
    Ok(Exit::Done)
}

fn show_document(endpoint: &Endpoint, json: bool) -> Result<Exit, Exit> {
    let config = endpoint.expect(Method::GET, "/v1/config", None)?;
    if json {
        println!("{config}");
    } else {
        println!("# revision {}", config["revision"]);
        print!("{}", config["text"].as_str().unwrap_or_default());
    }
    Ok(Exit::Done)
}

fn show_audit(endpoint: &Endpoint, json: bool, last: usize) -> Result<Exit, Exit> {
    let audit = endpoint.expect(Method::GET, &format!("/v1/audit?last={last}"), None)?;
    if json {
        println!("{audit}");
    } else {
        let fields = ["at_unix_ms", "who", "what", "from_revision", "to_revision", "result"];
        table::print(&fields, &table::rows(&audit, &fields));
    }
    Ok(Exit::Done)
}

fn show_status(endpoint: &Endpoint, json: bool) -> Result<Exit, Exit> {
    let status = endpoint.expect(Method::GET, "/v1/status", None)?;
    if json {
        println!("{status}");
        return Ok(Exit::Done);
    }
    println!(
        "node {}: revision {}, ready {}, {} in flight, {} waiting, {} bytes held",
        status["node"].as_str().unwrap_or("-"),
        status["config_revision"],
        status["ready"],
        status["requests_in_flight"],
        status["requests_waiting"],
        status["held_bytes"],
    );
    let lists: [(&str, &[&str]); 3] = [
        ("nodes", &["name", "state", "data_centre", "http", "control", "incarnation"]),
        ("owners", &["trainer", "node", "fence"]),
        ("targets", &["name", "state", "report", "kind", "data_centre", "address"]),
    ];
    for (list, fields) in lists {
        println!("\n{list}");
        table::print(fields, &table::rows(&status[list], fields));
    }
    println!("\nsteps");
    let owners = status["owners"].as_array().cloned().unwrap_or_default();
    let steps: Result<Vec<Value>, Exit> =
        owners.iter().map(|owner| steps_of(endpoint, owner)).collect();
    table::print(&STEP_FIELDS, &table::rows(&Value::Array(steps?), &STEP_FIELDS));
    Ok(Exit::Done)
}

/// What is shown of a trainer's steps.
const STEP_FIELDS: [&str; 9] = [
    "trainer",
    "trainer_version",
    "steps_open",
    "steps_late",
    "samples_queued",
    "samples_running",
    "samples_safe",
    "batches_bound",
    "batches_claimed",
];

fn steps_of(endpoint: &Endpoint, owner: &Value) -> Result<Value, Exit> {
    let trainer = owner["trainer"].as_str().unwrap_or_default();
    let path = format!("/v1/trainers/{trainer}/progress");
    let mut progress = endpoint.expect(Method::GET, &path, None)?;
    progress["trainer"] = json!(trainer);
    Ok(progress)
}

fn drain_something(endpoint: &Endpoint, json: bool, drain: &Drain) -> Result<Exit, Exit> {
    let list = match drain.kind.as_str() {
        "node" => "nodes",
        "target" => "targets",
        other => {
            eprintln!("drain: kind '{other}' is not known; write node or target");
            return Err(Exit::Usage);
        }
    };
    endpoint.expect(Method::POST, &format!("/v1/{list}/{}/drain", drain.name), None)?;
    if json {
        println!("{}", json!({ "draining": drain.name }));
    } else {
        println!("{} {} leaves", drain.kind, drain.name);
    }
    Ok(Exit::Done)
}
