//! A node's settings: command-line flags and environment variables, checked together at start.

use crate::auth::Token;
use argh::FromArgs;
use catkinmast_member::MembershipSettings;
use catkinmast_model::Name;
use catkinmast_wire::SharedKey;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// catkinmast-node: an entry instance of the rollout service.
///
/// Each flag can also be given as an environment variable; the flag takes precedence. Addresses are
/// an IP address and a port.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct Arguments {
    /// this node's name; CATKINMAST_NAME
    #[argh(option)]
    pub name: Option<String>,
    /// data centre of this node; CATKINMAST_DATA_CENTRE
    #[argh(option)]
    pub data_centre: Option<String>,
    /// address for callers, trainers and operators (HTTP); CATKINMAST_HTTP
    #[argh(option)]
    pub http: Option<String>,
    /// address for the other nodes (UDP and TCP); CATKINMAST_CONTROL
    #[argh(option)]
    pub control: Option<String>,
    /// comma-separated control addresses of some other nodes; CATKINMAST_PEERS
    #[argh(option)]
    pub peers: Option<String>,
    /// address of the platform's services; CATKINMAST_PLATFORM
    #[argh(option)]
    pub platform: Option<String>,
    /// folder for bulk data, on instances with a disk; CATKINMAST_DATA_FOLDER
    #[argh(option)]
    pub data_folder: Option<String>,
    /// secret shared by all nodes, at least 16 bytes; CATKINMAST_SHARED_KEY
    #[argh(option)]
    pub shared_key: Option<String>,
    /// comma-separated bearer tokens of the form role:name=secret; CATKINMAST_TOKENS
    #[argh(option)]
    pub tokens: Option<String>,
    /// accept all requests without a token, for local use only; CATKINMAST_OPEN_ACCESS=true
    #[argh(switch)]
    pub open_access: bool,
    /// log level: error, warn, info, debug or trace (default info);
    /// CATKINMAST_LOG_LEVEL
    #[argh(option)]
    pub log_level: Option<String>,
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for other nodes (UDP and TCP).
    pub control: SocketAddr,
    /// The node's data centre.
    pub data_centre: Name,
    /// Folder for bulk data, if the instance has a disk.
    pub data_folder: Option<PathBuf>,
    /// HTTP address for callers, trainers and operators.
    pub http: SocketAddr,
    /// Log level.
    pub log_level: log::LevelFilter,
    /// Settings of the failure detector.
    pub membership: MembershipSettings,
    /// The node's name.
    pub name: Name,
    /// Whether all requests are accepted without a token.
    pub open_access: bool,
    /// Control addresses of some other nodes.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// The key shared by all nodes.
    pub shared_key: SharedKey,
    /// The bearer tokens that the node accepts.
    pub tokens: Vec<Token>,
}

/// A missing or invalid setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFault {
    /// What is wrong, with the value unless it is a secret.
    pub message: String,
    /// The flag, without its dashes.
    pub setting: &'static str,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{} (or {}): {}", self.setting, variable(self.setting), self.message)
    }
}

/// All missing or invalid settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl fmt::Display for SettingFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl std::error::Error for SettingFaults {}

/// Minimum length of the shared key.
const SHARED_KEY_MIN_BYTES: usize = 16;

/// Returns the environment variable that corresponds to a flag.
fn variable(setting: &str) -> String {
    format!("CATKINMAST_{}", setting.to_uppercase().replace('-', "_"))
}

/// Reads settings and collects their faults.
struct SettingsReader<V> {
    environment: V,
    faults: Vec<SettingFault>,
}

impl<V: Fn(&str) -> Option<String>> SettingsReader<V> {
    fn text(&self, setting: &'static str, flag: Option<&String>) -> Option<String> {
        flag.cloned().or_else(|| (self.environment)(&variable(setting)))
    }

    fn fault(&mut self, setting: &'static str, message: impl Into<String>) {
        self.faults.push(SettingFault { message: message.into(), setting });
    }

    fn optional<T: FromStr<Err: fmt::Display>>(
        &mut self,
        setting: &'static str,
        flag: Option<&String>,
    ) -> Option<T> {
        let text = self.text(setting, flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(setting, format!("'{text}' is invalid: {error}"));
                None
            }
        }
    }

    fn required<T: FromStr<Err: fmt::Display>>(
        &mut self,
        setting: &'static str,
        flag: Option<&String>,
    ) -> Option<T> {
        if self.text(setting, flag).is_none() {
            self.fault(setting, "is missing");
        }
        self.optional(setting, flag)
    }

    fn list<T: FromStr<Err: fmt::Display>>(
        &mut self,
        setting: &'static str,
        flag: Option<&String>,
    ) -> Vec<T> {
        let text = self.text(setting, flag).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let mut values = Vec::new();
        for (index, part) in parts.enumerate() {
            match part.parse() {
                Ok(value) => values.push(value),
                // A token contains a secret, so the message gives only its position.
                Err(error) if setting == "tokens" => {
                    self.fault(setting, format!("entry {} {error}", index + 1));
                }
                Err(error) => self.fault(setting, format!("'{part}' is invalid: {error}")),
            }
        }
        values
    }
}

impl Settings {
    /// Reads and checks flags and environment variables; a flag takes precedence.
    ///
    /// # Errors
    ///
    /// Returns all missing or invalid settings.
    pub fn check(
        arguments: &Arguments,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingFaults> {
        let mut reader = SettingsReader { environment, faults: Vec::new() };
        let name = reader.required("name", arguments.name.as_ref());
        let data_centre = reader.required("data-centre", arguments.data_centre.as_ref());
        let http = reader.required("http", arguments.http.as_ref());
        let control = reader.required("control", arguments.control.as_ref());
        let platform = reader.required("platform", arguments.platform.as_ref());
        let peers = reader.list("peers", arguments.peers.as_ref());
        let tokens: Vec<Token> = reader.list("tokens", arguments.tokens.as_ref());
        let log_level = reader.optional("log-level", arguments.log_level.as_ref());
        let open_variable = (reader.environment)("CATKINMAST_OPEN_ACCESS");
        let open_access = arguments.open_access || open_variable.as_deref() == Some("true");
        if tokens.is_empty() && !open_access {
            reader.fault("tokens", "is empty, so no request would be accepted (see --open-access)");
        }
        let shared_key = check_shared_key(&mut reader, arguments);
        let data_folder = check_data_folder(&mut reader, arguments);
        let (Some(name), Some(data_centre), Some(http), Some(control)) =
            (name, data_centre, http, control)
        else {
            return Err(SettingFaults(reader.faults));
        };
        let (Some(platform), Some(shared_key), true) =
            (platform, shared_key, reader.faults.is_empty())
        else {
            return Err(SettingFaults(reader.faults));
        };
        Ok(Self {
            control,
            data_centre,
            data_folder,
            http,
            log_level: log_level.unwrap_or(log::LevelFilter::Info),
            membership: MembershipSettings::default(),
            name,
            open_access,
            peers,
            platform,
            shared_key,
            tokens,
        })
    }
}

fn check_shared_key<V: Fn(&str) -> Option<String>>(
    reader: &mut SettingsReader<V>,
    arguments: &Arguments,
) -> Option<SharedKey> {
    match reader.text("shared-key", arguments.shared_key.as_ref()) {
        None => reader.fault("shared-key", "is missing"),
        Some(secret) if secret.len() < SHARED_KEY_MIN_BYTES => {
            let message =
                format!("has {} bytes; at least {SHARED_KEY_MIN_BYTES} are required", secret.len());
            reader.fault("shared-key", message);
        }
        Some(secret) => return Some(SharedKey::derive(&secret)),
    }
    None
}

fn check_data_folder<V: Fn(&str) -> Option<String>>(
    reader: &mut SettingsReader<V>,
    arguments: &Arguments,
) -> Option<PathBuf> {
    let folder = PathBuf::from(reader.text("data-folder", arguments.data_folder.as_ref())?);
    if !folder.is_dir() {
        reader.fault("data-folder", format!("'{}' is not a folder", folder.display()));
    }
    Some(folder)
}
