//! The command line of the benchmarks.

use crate::capacity::{count_figures, markdown_table, time_events};
use crate::plot;
use crate::policy::{
    Deployment, OWNER_CRASHES, PolicyRow, RECOVERIES, SCHEDULES, SLOW_ENGINE, SWAPS, Variant,
    WEIGHTS, run_variant, step_lower_bound_ms,
};
use crate::routing::{Chooser, SCENARIOS, run_choice, run_overload};
use crate::simulation::Fault;
use argh::FromArgs;
use catkinmast_model::UnixMs;
use std::process::ExitCode;

/// Title of the table that `--plot` draws.
const WEIGHTS_TITLE: &str = "weight of idle time, in percent";

/// catkinmast-bench: benchmarks of scheduling, routing and capacity, in virtual time. The same seed
/// gives the same output on any machine, except for processor times.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(Capacity),
    Policy(Policy),
    Route(Route),
}

/// trainer idle time, staleness, wasted tokens and recovery of scheduling policies
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
struct Policy {
    /// registre or cooperative (default registre)
    #[argh(option, default = "Deployment::Registre")]
    deployment: Deployment,
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds (default 5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// none or owner (default none): whether the owner of the steps crashes twice in all tables, or
    /// only in the table on the loss of the owner
    #[argh(option, default = "String::from(\"none\")")]
    faults: String,
    /// SVG file for a plot of trainer idle time against staleness
    #[argh(option)]
    plot: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// resource use of each role by size, and processor time of events
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// only counted figures, which are the same on every machine; no processor times
    #[argh(switch)]
    counted: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Parses this process's arguments and runs the benchmark that they name.
pub fn main() -> ExitCode {
    match argh::from_env::<Arguments>().command {
        Command::Capacity(capacity) => run_capacity(&capacity),
        Command::Policy(policy) => run_policy(&policy),
        Command::Route(route) => run_route(&route),
    }
}

/// choice of target, retries when a third of the targets is down, overload
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "route")]
struct Route {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Ways of choosing targets, in the order of the table.
const CHOOSERS: [Chooser; 4] =
    [Chooser::RoundRobin, Chooser::LaggingReport, Chooser::Least, Chooser::TwoChoices];

fn run_route(route: &Route) -> ExitCode {
    for (title, scenario) in SCENARIOS {
        let rows = CHOOSERS.map(|chooser| run_choice(scenario, chooser, route.seed));
        if route.json {
            println!("{}", serde_json::json!({ "table": title, "rows": rows }));
            continue;
        }
        println!("\n{title}");
        println!(
            "{:<16} {:>8} {:>8} {:>9} {:>11} {:>7}",
            "", "p50 ms", "p99 ms", "spread %", "attempts %", "failed"
        );
        for row in rows {
            println!(
                "{:<16} {:>8.1} {:>8.1} {:>9} {:>11} {:>7}",
                format!("{:?}", row.chooser),
                row.p50_us as f64 / 1_000.0,
                row.p99_us as f64 / 1_000.0,
                row.spread_percent,
                row.attempts_percent,
                row.failed
            );
        }
    }
    let loads = [90, 150, 300];
    let overloads = loads.iter().flat_map(|load| [(*load, false), (*load, true)]);
    if !route.json {
        println!(
            "\noverload of one node: 30 % lookups, 20 % acts, 50 % audits, callers wait 500 ms"
        );
        println!(
            "{:<10} {:>10} {:>22} {:>26} {:>8} {:>16}",
            "offered %",
            "admission",
            "lookups in time, %",
            "of the node's capacity, %",
            "refused",
            "refusal p99 ms"
        );
    }
    for (load, with_admission) in overloads {
        let row = run_overload(load, with_admission, route.seed);
        if route.json {
            println!("{}", serde_json::json!({ "table": "overload", "row": row }));
            continue;
        }
        println!(
            "{:<10} {:>10} {:>22} {:>26} {:>8} {:>16}",
            row.offered_percent,
            if row.with_admission { "yes" } else { "no" },
            row.lookups_in_time_percent,
            row.lookup_goodput_percent,
            row.refused,
            row.refusal_p99_ms
        );
    }
    ExitCode::SUCCESS
}

fn run_capacity(capacity: &Capacity) -> ExitCode {
    let counted = count_figures();
    let timed = if capacity.counted { Vec::new() } else { time_events() };
    if capacity.json {
        println!("{}", serde_json::json!({ "counted": counted, "timed": timed }));
        return ExitCode::SUCCESS;
    }
    print!("{}", markdown_table(&counted));
    if !timed.is_empty() {
        println!("\n| timed | ns | references |\n| --- | ---: | ---: |");
    }
    for row in timed {
        println!("| {} | {:.0} | {:.2} |", row.event, row.nanoseconds, row.references);
    }
    ExitCode::SUCCESS
}

fn run_policy(policy: &Policy) -> ExitCode {
    let faults: &[(UnixMs, Fault)] = match policy.faults.as_str() {
        "none" => &[],
        "owner" => &OWNER_CRASHES,
        other => {
            eprintln!("--faults: '{other}' is not known; write none or owner");
            return ExitCode::from(2);
        }
    };
    let seeds = policy.seed..policy.seed + policy.seeds;
    let bounds = seeds.map(|seed| step_lower_bound_ms(&policy.deployment.settings(seed)));
    let bound_ms = bounds.sum::<u64>() / policy.seeds.max(1);
    let tables = [
        ("schedule", &SCHEDULES[..], faults),
        ("one engine four times slower", &SLOW_ENGINE[..], faults),
        (WEIGHTS_TITLE, &WEIGHTS[..], faults),
        ("weight swap", &SWAPS[..], faults),
        ("loss of the owner", &RECOVERIES[..], &OWNER_CRASHES[..]),
    ];
    let mut violations = 0;
    for (title, variants, faults) in tables {
        let run = |variant: &Variant| {
            run_variant(policy.deployment, policy.seed, policy.seeds, faults, *variant)
        };
        let rows: Vec<PolicyRow> = variants.iter().map(run).collect();
        if title == WEIGHTS_TITLE
            && let Some(file) = &policy.plot
            && let Err(error) = plot::plot_weights(file, policy.deployment, &rows)
        {
            eprintln!("--plot: '{file}' cannot be drawn: {error}");
            return ExitCode::from(2);
        }
        violations += rows.iter().map(|row| row.violations).sum::<usize>();
        if policy.json {
            let table = serde_json::json!({ "table": title, "rows": rows });
            println!("{table}");
        } else {
            print_table(title, &rows, bound_ms);
        }
    }
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_table(title: &str, rows: &[PolicyRow], bound_ms: u64) {
    println!("\n{title} (no schedule makes a step in less than {bound_ms} ms)");
    println!(
        "{:<42} {:>7} {:>6} {:>4} {:>4} {:>8} {:>8} {:>7} {:>7} {:>6}",
        "", "idle %", "age", "p99", "max", "step ms", "of bound", "waste %", "writes", "broken"
    );
    for row in rows {
        println!(
            "{:<42} {:>7.2} {:>6.2} {:>4} {:>4} {:>8} {:>8.2} {:>7.2} {:>7.1} {:>6}",
            row.variant,
            row.idle_percent,
            row.age_mean_versions,
            row.age_p99_versions,
            row.age_max_versions,
            row.step_ms,
            row.step_ms as f64 / bound_ms as f64,
            row.tokens_wasted_percent,
            row.ledger_writes_per_step,
            row.violations
        );
    }
}
