//! Authentication: bearer tokens with roles.

use catkinmast_model::Name;
use std::fmt;
use std::str::FromStr;

/// The role of a token, which determines what its bearer may do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Calls services and generates text for a workspace.
    Caller,
    /// Reads and changes the configuration, drains nodes and targets, and reads the audit trail.
    Operator,
    /// Submits steps and fetches batches for the trainer that the token names.
    Trainer,
}

/// The bearer of a token: a role, and the workspace, trainer or operator that it identifies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The workspace, trainer or operator.
    pub name: Name,
    /// Its role.
    pub role: Role,
}

/// A bearer token; its text form in the settings is `role:name=secret`.
#[derive(Clone, Eq, PartialEq)]
pub struct Token {
    /// The bearer.
    pub identity: Identity,
    secret: String,
}

/// Minimum length of a token's secret.
const SECRET_MIN_BYTES: usize = 8;

impl Token {
    /// Returns whether `secret` is this token's secret.
    ///
    /// The time taken does not depend on where the two differ.
    pub fn matches_secret(&self, secret: &str) -> bool {
        let (ours, theirs) = (self.secret.as_bytes(), secret.as_bytes());
        let differs = ours.iter().zip(theirs).fold(0, |differs, (a, b)| differs | (a ^ b));
        ours.len() == theirs.len() && differs == 0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Token({:?}, hidden)", self.identity)
    }
}

impl FromStr for Token {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let form = "is not of the form role:name=secret (roles: caller, trainer, operator)";
        let (identity, secret) = text.split_once('=').ok_or(form)?;
        let (role, name) = identity.split_once(':').ok_or(form)?;
        let role = match role {
            "caller" => Role::Caller,
            "operator" => Role::Operator,
            "trainer" => Role::Trainer,
            other => {
                return Err(format!(
                    "has unknown role '{other}' (roles: caller, trainer, operator)"
                ));
            }
        };
        let name = name.parse().map_err(|error| format!("has an invalid name: {error}"))?;
        if secret.len() < SECRET_MIN_BYTES {
            return Err(format!(
                "of {identity} has a secret of {} bytes; at least {SECRET_MIN_BYTES} are required",
                secret.len()
            ));
        }
        Ok(Self { identity: Identity { name, role }, secret: secret.to_owned() })
    }
}
