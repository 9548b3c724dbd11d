//! Requests to a node.

use crate::commands::Exit;
use serde_json::Value;
use std::time::Duration;

/// How long a node may take to answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// A node and the operator's token.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub node: String,
    pub token: Option<String>,
}

/// What a node answered.
#[derive(Debug)]
pub(crate) struct Answer {
    pub body: Value,
    pub status: u16,
}

impl Endpoint {
    /// Sends a request; an error has been printed.
    pub(crate) fn send(
        &self,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, Exit> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| fail(&format!("cannot start: {error}")))?;
        runtime.block_on(self.send_now(method, path, body))
    }

    async fn send_now(
        &self,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, Exit> {
        let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
        let client = client.map_err(|error| fail(&format!("cannot start: {error}")))?;
        let mut request = client.request(method, format!("http://{}{path}", self.node));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.map_err(|error| {
            let exit = if error.is_connect() { Exit::NotRun } else { Exit::MayHaveRun };
            eprintln!("node {}: {error}", self.node);
            exit
        })?;
        let status = response.status().as_u16();
        let text = response.text().await.unwrap_or_default();
        let body = serde_json::from_str(&text).unwrap_or(Value::Null);
        Ok(Answer { body, status })
    }

    /// Sends a request whose answer must be a success; a problem has been printed.
    pub(crate) fn expect(
        &self,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Exit> {
        let answer = self.send(method, path, body)?;
        if answer.status < 300 {
            return Ok(answer.body);
        }
        Err(problem(&answer))
    }
}

/// Prints a node's problem and returns the exit code that fits its verdict.
pub(crate) fn problem(answer: &Answer) -> Exit {
    let message = answer.body["message"].as_str().unwrap_or("no reason was given");
    match answer.body["field"].as_str() {
        Some(field) => eprintln!("{}: {field}: {message}", answer.status),
        None => eprintln!("{}: {message}", answer.status),
    }
    match answer.body["verdict"].as_str() {
        Some("may_have_run" | "ran") => Exit::MayHaveRun,
        _ => Exit::NotRun,
    }
}

fn fail(message: &str) -> Exit {
    eprintln!("{message}");
    Exit::NotRun
}
