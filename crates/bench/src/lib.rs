//! Benchmarks of the decisions, in virtual time.
//!
//! [`Simulation`] runs the real aggregate of a trainer's steps in a small model of engines, trainer,
//! ledger and faults. `policy` compares policies in it. The same seed gives the same bytes on any
//! machine, so the tests bound the figures exactly.

mod capacity;
mod command;
mod engines;
mod fleet;
mod plot;
mod policy;
mod routing;
mod simulation;
mod slope;
mod trainer;

pub use capacity::{CountedFigure, TimedEvent, count_figures, markdown_table, time_events};
pub use command::main;
pub use engines::{EngineModel, SwapMode};
pub use fleet::{Traffic, VirtualFleet};
pub use policy::{
    Deployment, DeploymentError, OWNER_CRASHES, PolicyRow, RECOVERIES, SCHEDULES, SLOW_ENGINE,
    SWAPS, Variant, WEIGHTS, run_variant, step_lower_bound_ms,
};
pub use routing::{ChoiceRow, Chooser, OverloadRow, SCENARIOS, Scenario, run_choice, run_overload};
pub use simulation::{Fault, Outcome, Recovery, Simulation, SimulationSettings};
pub use slope::Slope;
