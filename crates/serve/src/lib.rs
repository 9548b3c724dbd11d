//! The process between callers and targets: listeners, connections, the platform's store, peers.
//!
//! One thread runs everything. The decisions are those of `catkinmast-dispatch`; this crate
//! carries them out and decides nothing of what may run where. What the platform calls things is
//! behind the [`Platform`] trait, which is chosen at compile time.
//!
//! A request's way: `listener` → `caller` → `forward` → target → answer. A sample's: `caller` →
//! `batch_calls` → `batches` (made durable) → `runs` (scheduled, run, scored) → `batches` (listed) →
//! reader. What one node does for all is held under a lease by `duty_lease`: `orders` to engines, and the
//! `duties` towards the platform, which `usage` and `scaling` serve.

mod access;
mod batch_calls;
mod batches;
mod caller;
mod clock;
mod crashes;
mod duties;
mod duty_lease;
mod feed;
mod forward;
mod listener;
mod metrics;
mod node;
mod orders;
mod outage;
mod peers;
mod platform;
mod pool;
mod process;
mod relay;
mod runs;
mod scaling;
mod settings;
mod store;
mod trail;
mod usage;
mod wait_queue;

pub use platform::{
    BatchCall, CallerOptions, DecodeError, DutyCall, DutyRequest, EngineReport, OperatorUpdate,
    OrderCall, Platform, StoreRequest, TargetRequestMetadata, TargetResponseMetadata,
};
pub use process::{run_front, run_standby};
pub use settings::{DutySettings, Settings, SettingsError};
pub use store::{
    Expectation, LeaseId, Put, StoreAnswer, StoreCall, StoreEvent, StoreRefusal, StoredItem,
};
pub use trail::atomic_writes;
