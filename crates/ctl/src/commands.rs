//! The subcommands of `catkinmast-ctl` and their exit codes.

#![expect(
    clippy::empty_structs_with_brackets,
    reason = "argh derives subcommands of braced structs only"
)]

use crate::http::{Endpoint, report_error};
use crate::table;
use argh::FromArgs;
use catkinmast_config::Document;
use reqwest::Method;
use serde_json::{Value, json};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// catkinmast-ctl: command line for operators
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address of any node (default: $CATKINMAST_NODE, else 127.0.0.1:7400)
    #[argh(option)]
    node: Option<String>,
    /// the operator's token (default: $CATKINMAST_TOKEN)
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

/// shows the newest entries of the audit trail
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
struct Audit {
    /// number of entries (default 20)
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

/// checks a document locally, without a node
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// file with the document
    #[argh(positional)]
    file: String,
}

/// puts a document in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// file with the document
    #[argh(positional)]
    file: String,
    /// revision that the document is based on (default: the one in force at the node)
    #[argh(option)]
    base: Option<u64>,
    /// merge with changes made since the base revision, if they concern other fields
    #[argh(switch)]
    rebase: bool,
    /// identifier of this operation; reuse it after an unclear answer (default: a new one)
    #[argh(option)]
    operation: Option<String>,
}

/// compares a document with the configuration in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// file with the document
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

/// shows nodes, targets, trainers' owners, load and steps
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// drains a node or a target
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// what to drain: node or target
    #[argh(positional)]
    kind: String,
    /// name of the node or target
    #[argh(positional)]
    name: String,
}

/// Result of a command; each has its own exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Another change conflicts with this one.
    Conflict,
    /// The command succeeded.
    Done,
    /// The document is invalid.
    InvalidDocument,
    /// The action may have run.
    MayHaveRun,
    /// The action was not run, or the node could not be reached.
    NotRun,
    /// The arguments are invalid.
    Usage,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::NotRun => 1,
            Self::Usage => 2,
            Self::InvalidDocument => 3,
            Self::Conflict => 4,
            Self::MayHaveRun => 5,
        }
    }
}

/// Runs the command given by the arguments of this process.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let exit = run(arguments).unwrap_or_else(|exit| exit);
    ExitCode::from(exit.code())
}

fn run(arguments: Arguments) -> Result<Exit, Exit> {
    let env_var = |name: &str| std::env::var(name).ok();
    let node = arguments.node.or_else(|| env_var("CATKINMAST_NODE"));
    let endpoint = Endpoint {
        node: node.unwrap_or_else(|| "127.0.0.1:7400".to_owned()),
        token: arguments.token.or_else(|| env_var("CATKINMAST_TOKEN")),
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
        Command::Drain(drain) => drain_node_or_target(&endpoint, json, &drain),
        Command::Status(_) => show_status(&endpoint, json),
    }
}

fn read_file(file: &str) -> Result<String, Exit> {
    std::fs::read_to_string(file).map_err(|error| {
        eprintln!("cannot read file '{file}': {error}");
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
            return Ok(Exit::InvalidDocument);
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
    let operation_id = apply.operation.clone().unwrap_or_else(new_operation_id);
    let body = json!({
        "base_revision": base_revision,
        "operation_id": operation_id,
        "rebase": apply.rebase,
        "text": text,
    });
    let answer = endpoint.send(Method::PUT, "/v1/config", Some(&body)).inspect_err(|exit| {
        if *exit == Exit::MayHaveRun {
            eprintln!("retry with --operation {operation_id}; it is not applied twice");
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
            Ok(Exit::InvalidDocument)
        }
        Some("refused") => {
            let refusal = &answer.body["refusal"];
            if !json {
                println!("refused: {}", refusal["message"].as_str().unwrap_or("-"));
            }
            if refusal["verdict"] == "not_run" {
                return Ok(Exit::NotRun);
            }
            eprintln!("retry with --operation {operation_id}; it is not applied twice");
            Ok(Exit::MayHaveRun)
        }
        _ => Err(report_error(&answer)),
    }
}

/// Returns a new operation identifier, unique among operators by process number and time.
fn new_operation_id() -> String {
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
        owners.iter().map(|owner| fetch_progress(endpoint, owner)).collect();
    table::print(&STEP_COLUMNS, &table::rows(&Value::Array(steps?), &STEP_COLUMNS));
    Ok(Exit::Done)
}

/// Columns of the table of steps.
const STEP_COLUMNS: [&str; 9] = [
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

fn fetch_progress(endpoint: &Endpoint, owner: &Value) -> Result<Value, Exit> {
    let trainer = owner["trainer"].as_str().unwrap_or_default();
    let path = format!("/v1/trainers/{trainer}/progress");
    let mut progress = endpoint.expect(Method::GET, &path, None)?;
    progress["trainer"] = json!(trainer);
    Ok(progress)
}

fn drain_node_or_target(endpoint: &Endpoint, json: bool, drain: &Drain) -> Result<Exit, Exit> {
    let list = match drain.kind.as_str() {
        "node" => "nodes",
        "target" => "targets",
        other => {
            eprintln!("drain: unknown kind '{other}'; expected node or target");
            return Err(Exit::Usage);
        }
    };
    endpoint.expect(Method::POST, &format!("/v1/{list}/{}/drain", drain.name), None)?;
    if json {
        println!("{}", json!({ "draining": drain.name }));
    } else {
        println!("draining {} {}", drain.kind, drain.name);
    }
    Ok(Exit::Done)
}
