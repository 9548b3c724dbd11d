//! Benchmarks of scheduling, routing and capacity, in virtual time.
//!
//! [`Simulation`] runs the production code for a trainer's steps against models of the engines, the
//! trainer, the ledger and faults; [`run_variant`] compares scheduling policies in it.
//! [`run_choice`] and [`run_overload`] do the same for routing and admission, and [`VirtualFleet`]
//! for membership. The same seed gives the same figures on any machine, so tests can assert exact
//! bounds. Only [`time_events`] depends on the machine.

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
