//! What the operators allow.

use displaydoc::Display;

/// What the operators allow for a service's targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScalingConfig {
    /// How long a new target takes until it serves.
    pub boot_ms: u64,
    /// The most targets in a data centre, of both kinds together.
    pub max: u32,
    /// The fewest.
    pub min: u32,
}

/// scaling has min {min} over max {max}
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct ScalingError {
    /// The most.
    pub max: u32,
    /// The fewest.
    pub min: u32,
}

impl std::error::Error for ScalingError {}

impl ScalingConfig {
    /// Checks the terms.
    ///
    /// # Errors
    /// When no number of targets is allowed.
    pub const fn validated(self) -> Result<Self, ScalingError> {
        if self.min > self.max {
            return Err(ScalingError { max: self.max, min: self.min });
        }
        Ok(self)
    }
}
