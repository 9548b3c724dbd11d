//! Scaling configuration of a service.

use displaydoc::Display;

/// Scaling configuration of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScalingConfig {
    /// How long a new target takes to start serving.
    pub boot_ms: u64,
    /// Largest number of targets in a pool.
    pub max: u32,
    /// Smallest number of targets in a pool.
    pub min: u32,
}

/// scaling min {min} is above max {max}
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct ScalingError {
    /// The largest number.
    pub max: u32,
    /// The smallest number.
    pub min: u32,
}

impl std::error::Error for ScalingError {}

impl ScalingConfig {
    /// Checks the configuration.
    ///
    /// # Errors
    /// Returns an error if the bounds allow no number of targets.
    pub const fn validated(self) -> Result<Self, ScalingError> {
        if self.min > self.max {
            return Err(ScalingError { max: self.max, min: self.min });
        }
        Ok(self)
    }
}
