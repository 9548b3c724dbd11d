//! Who is asking: bearer tokens with roles.

use catkinmast_model::Name;
use std::fmt;
use std::str::FromStr;

/// What the bearer of a token may do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Calls services and generates text, for a workspace.
    Caller,
    /// Changes and reads the configuration, drains, reads the audit trail.
    Operator,
    /// Submits steps and takes batches, for the trainer that the token names.
    Trainer,
}

/// The bearer of a token: a role, and the workspace, trainer or person it stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The workspace, trainer or person.
    pub name: Name,
    /// What it may do.
    pub role: Role,
}

/// A token as the settings give it: `role:name=secret`.
#[derive(Clone, Eq, PartialEq)]
pub struct Token {
    /// Whose it is.
    pub identity: Identity,
    secret: String,
}

/// The shortest secret accepted, in bytes.
const SECRET_MIN_BYTES: usize = 8;

impl Token {
    /// Tells whether `secret` is this token's, in time that does not depend on where it differs.
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
                return Err(format!("has role '{other}'; caller, trainer, operator are known"));
            }
        };
        let name = name.parse().map_err(|error| format!("has a bad name: {error}"))?;
        if secret.len() < SECRET_MIN_BYTES {
            return Err(format!(
                "of {identity} has a secret of {} bytes, {SECRET_MIN_BYTES} are needed",
                secret.len()
            ));
        }
        Ok(Self { identity: Identity { name, role }, secret: secret.to_owned() })
    }
}
