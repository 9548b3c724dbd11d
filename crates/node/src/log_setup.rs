//! Log output: one JSON object per line on standard error.

use catkinmast_model::UnixMs;
use displaydoc::Display;

/// cannot set up logging: {message}
#[derive(Clone, Debug, Display)]
pub struct LogSetupError {
    /// The cause.
    pub message: String,
}

impl std::error::Error for LogSetupError {}

/// Sets up logging for this process.
///
/// This crate, `catkinmast-rollout` and `catkinmast-platform` log at `level`; all other crates log
/// at most warnings.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn start_log(level: log::LevelFilter) -> Result<(), LogSetupError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let line = serde_json::json!({
                "at_unix_ms": UnixMs::from_wall_clock().0,
                "level": record.level().as_str(),
                "message": message.to_string(),
                "module": record.target(),
            });
            out.finish(format_args!("{line}"));
        })
        .level(level.min(log::LevelFilter::Warn))
        // Rocket logs warnings for conditions that this crate's handlers already answer.
        .level_for("rocket", level.min(log::LevelFilter::Error))
        .level_for("catkinmast_node", level)
        .level_for("catkinmast_rollout", level)
        .level_for("catkinmast_platform", level)
        .chain(std::io::stderr())
        .apply()
        .map_err(|error| LogSetupError { message: error.to_string() })
}
