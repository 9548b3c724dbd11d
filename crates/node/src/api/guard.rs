//! The request guard that identifies the client before a handler runs.

use crate::api::answer::Problem;
use crate::auth::{Identity, Role};
use crate::shared::Shared;
use rocket::Request;
use rocket::request::{FromRequest, Outcome};
use std::convert::Infallible;
use std::sync::Arc;

/// The node's shared state and the identity of the client, none if its token is missing or unknown.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub identity: Option<Identity>,
    pub shared: Arc<Shared>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestContext {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let Some(shared) = request.rocket().state::<Arc<Shared>>() else {
            return Outcome::Forward(rocket::http::Status::InternalServerError);
        };
        let identity = shared.identify(request.headers().get_one("Authorization"));
        Outcome::Success(Self { identity, shared: Arc::clone(shared) })
    }
}

impl RequestContext {
    /// Checks that the client has a role, and returns the client's name.
    ///
    /// # Errors
    ///
    /// Status 401 without a known token, 403 if the token is for another role.
    pub(crate) fn require_role(&self, role: Role) -> Result<String, Problem> {
        if self.shared.may_act_as(self.identity.as_ref(), role) {
            let name = self.identity.as_ref().map_or("anybody", |identity| identity.name.as_str());
            return Ok(name.to_owned());
        }
        Err(match &self.identity {
            None => Problem::with_status(401, "no bearer token that is known here was sent"),
            Some(identity) => Problem::with_status(
                403,
                format!("the token of '{}' is no {role:?} token", identity.name),
            ),
        })
    }

    /// Checks that the client is this trainer.
    ///
    /// # Errors
    ///
    /// Status 401 without a known token, 403 if the token is not this trainer's.
    pub(crate) fn require_trainer(&self, trainer: &str) -> Result<(), Problem> {
        let name = self.require_role(Role::Trainer)?;
        if name == trainer || self.shared.has_open_access() {
            return Ok(());
        }
        let message = format!("the token of trainer '{name}' does not speak for '{trainer}'");
        Err(Problem::with_status(403, message))
    }
}
