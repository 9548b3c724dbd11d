//! Logs: one JSON object a line, on standard error.

use catkinmast_model::UnixMs;
use displaydoc::Display;

/// the log could not be started: {message}
#[derive(Clone, Debug, Display)]
pub struct LogSetupError {
    /// What went wrong.
    pub message: String,
}

impl std::error::Error for LogSetupError {}

/// Starts the log of this process.
///
/// # Errors
/// When a log was started before.
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
        // The web framework warns of what the interface answers by itself.
        .level_for("rocket", level.min(log::LevelFilter::Error))
        .level_for("catkinmast_node", level)
        .level_for("catkinmast_rollout", level)
        .level_for("catkinmast_platform", level)
        .chain(std::io::stderr())
        .apply()
        .map_err(|error| LogSetupError { message: error.to_string() })
}
