//! Implements the process between callers and targets: listeners, connections, calls of the
//! platform's store, and calls between nodes.
//!
//! Everything runs on one thread. `catkinmast-dispatch` decides what may run where; this crate
//! carries out its decisions. The platform's names and formats are behind the [`Platform`] trait,
//! which is chosen at compile time.
//!
//! A request passes `listener` → `caller` → `calls` → `hedging` → `forward` → target → answer. A
//! sample passes `caller` → `batch_calls` → `batches` (made durable) → `runs` (scheduled, run,
//! scored) → `batches` (listed) → reader.
//!
//! A duty is a job that one node at a time does for all nodes; `duty_lease` holds the lease of a
//! duty. There are two: `orders` sends load orders to engines, and `duties` makes the calls to the
//! platform, for `usage` and `scaling`. In `feed` two nodes, chosen by rank without a lease, watch
//! the store for all nodes.

mod access;
mod active;
mod admission;
mod batch_calls;
mod batches;
mod caller;
mod calls;
mod clock;
mod cold;
mod crashes;
mod duties;
mod duty_lease;
mod fairness;
mod feed;
mod followed_stream;
mod forward;
mod head_timer;
mod health;
mod hedging;
mod listener;
mod metrics;
mod node;
mod orders;
mod outage;
mod peers;
mod platform;
mod pool;
mod process;
mod reading;
mod relay;
mod retry_rounds;
mod runs;
mod scaling;
mod settings;
mod store;
mod trail;
mod usage;

pub use platform::{
    BatchCall, CallerOptions, DecodeError, DutyCall, DutyRequest, EngineReport, OperatorRemoval,
    OperatorUpdate, OrderCall, Platform, StoreRequest, TargetRequestMetadata,
    TargetResponseMetadata,
};
pub use process::{run_front, run_standby};
pub use settings::{DutySettings, Settings, SettingsError};
pub use store::{
    Expectation, LeaseId, Put, StoreAnswer, StoreCall, StoreEvent, StoreRefusal, StoredItem,
};
pub use trail::atomic_writes;
