//! HTTP requests to a node.

use crate::commands::Exit;
use serde_json::Value;
use std::time::Duration;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Address of a node, and the operator's token.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub node: String,
    pub token: Option<String>,
}

/// A node's response.
#[derive(Debug)]
pub(crate) struct Answer {
    pub body: Value,
    pub status: u16,
}

impl Endpoint {
    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// The request failed; the error has been printed.
    pub(crate) fn send(
        &self,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, Exit> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| {
            report_start_failure(&format!("cannot start the async runtime: {error}"))
        })?;
        runtime.block_on(self.send_async(method, path, body))
    }

    async fn send_async(
        &self,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, Exit> {
        let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
        let client = client.map_err(|error| {
            report_start_failure(&format!("cannot build the HTTP client: {error}"))
        })?;
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

    /// Sends a request and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// The request failed or was answered with an error, which has been printed.
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
        Err(report_error(&answer))
    }
}

/// Prints a node's error response and returns the exit for its verdict.
pub(crate) fn report_error(answer: &Answer) -> Exit {
    let message = answer.body["message"].as_str().unwrap_or("the response has no message");
    match answer.body["field"].as_str() {
        Some(field) => eprintln!("{}: {field}: {message}", answer.status),
        None => eprintln!("{}: {message}", answer.status),
    }
    match answer.body["verdict"].as_str() {
        Some("may_have_run" | "ran") => Exit::MayHaveRun,
        _ => Exit::NotRun,
    }
}

fn report_start_failure(message: &str) -> Exit {
    eprintln!("{message}");
    Exit::NotRun
}
