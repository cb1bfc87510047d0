//! How a request that didn't end well is told to its caller.

use std::{fmt, time::Duration};

use almondlock_base::{Code, Ran};
use ntex::{
    http::ResponseBuilder as HttpResponseBuilder,
    http::StatusCode,
    web::{HttpResponse, WebResponseError},
};
use serde::Serialize;

/// When to come back if nothing better is known.
const USUAL_WAIT: Duration = Duration::from_secs(1);

/// A refusal or failure: the number, what is known of its running, and when
/// sending again may help.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// The numbered result.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// Words for people.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Inner<'a>,
}

#[derive(Serialize)]
struct Inner<'a> {
    code: u16,
    r#type: &'static str,
    message: &'a str,
    ran: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Failure {
    /// A failure that says no more than its code.
    pub fn new(code: Code) -> Failure {
        Failure {
            code,
            ran: code.ran(),
            message: code.text().to_owned(),
            retry_after: None,
        }
    }

    /// A failure with words of its own.
    pub fn with_message<T>(code: Code, message: T) -> Failure
    where
        T: Into<String>,
    {
        let message = message.into();
        Failure {
            message,
            ..Failure::new(code)
        }
    }

    /// Says when sending again may help.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Failure {
        self.retry_after = Some(span);
        self
    }

    /// Says what is known of its running.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Failure {
        self.ran = ran;
        self
    }

    /// When to come back: whatever was given up on says so, also where nobody
    /// could tell a better time.
    fn wait(&self) -> Option<Duration> {
        let usual = self.code.is_retryable().then_some(USUAL_WAIT);
        self.retry_after.or(usual)
    }

    /// The JSON form, the same in an answer's body and in a stream's last event.
    pub fn to_json(&self) -> String {
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let body = Body {
            error: Inner {
                code: self.code.number(),
                r#type: self.code.name(),
                message: &self.message,
                ran: self.ran.as_str(),
                retry_after_ms: self.wait().map(millis),
            },
        };
        // Strings and numbers only: this can't fail.
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// The answer that carries it, to a request whose body was not read: the
    /// connection is closed behind it, and says so, or the caller would send
    /// its next request into a connection that is about to go.
    pub fn to_closing_response(&self, request: &str) -> HttpResponse {
        self.builder(request).force_close().body(self.to_json())
    }

    /// The answer that carries it.
    pub fn to_response(&self, request: &str) -> HttpResponse {
        self.builder(request).body(self.to_json())
    }

    fn builder(&self, request: &str) -> HttpResponseBuilder {
        let status = StatusCode::from_u16(self.code.status());
        let mut response = HttpResponse::build(status.unwrap_or(StatusCode::BAD_GATEWAY));
        response.content_type("application/json");
        response.header("X-Almondlock-Request-Id", request);
        response.header("X-Almondlock-Code", self.code.number().to_string());
        if let Some(span) = self.wait() {
            // Whole seconds, rounded up: to come back early is to be refused again.
            let seconds = span.as_millis().div_ceil(1000).max(1);
            response.header("Retry-After", seconds.to_string());
        }
        response
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} (ran: {})",
            self.code.number(),
            self.message,
            self.ran.as_str()
        )
    }
}

impl std::error::Error for Failure {}

impl WebResponseError for Failure {
    fn error_response(&self, _: &ntex::web::HttpRequest) -> HttpResponse {
        self.to_response("-")
    }
}
