//! Requests as a caller sends them.

use std::time::Duration;

use jackdawchute_trial::minion::Echo;
use jackdawchute_types::RequestKey;
use smol_str::SmolStr;

/// A request, with a tag that the minion echoes.
///
/// ```
/// use jackdawchute_standins::caller::Call;
///
/// let call = Call::post("/repair-desk/orders", "t1").with_key("order-1");
/// assert_eq!(call.key.as_deref(), Some("order-1"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query.
    pub path: SmolStr,
    /// The tag, unique among the requests of a test.
    pub tag: SmolStr,
    /// The value of the header `idempotency-key`.
    pub key: Option<RequestKey>,
    /// The deadline sent with the request; `None` for that of the request's class.
    pub deadline: Option<Duration>,
    /// The request body.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a GET request without a body.
    pub fn get(path: impl Into<SmolStr>, tag: impl Into<SmolStr>) -> Self {
        Self {
            method: "GET".into(),
            path: path.into(),
            tag: tag.into(),
            key: None,
            deadline: None,
            body: Vec::new(),
        }
    }

    /// Creates a POST request whose body is its tag.
    pub fn post(path: impl Into<SmolStr>, tag: impl Into<SmolStr>) -> Self {
        let tag = tag.into();
        Self {
            method: "POST".into(),
            body: tag.as_bytes().to_vec(),
            ..Self::get(path, tag)
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: impl Into<RequestKey>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the deadline.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Returns whether `echo` describes this request.
    ///
    /// The tags are not compared, since the answer to a repeated key echoes the first request's tag.
    pub fn is_echoed_by(&self, echo: &Echo) -> bool {
        let expected = Echo::new(
            echo.minion.clone(),
            &self.method,
            &self.path,
            &self.body,
            &echo.tag,
        );
        expected == *echo
    }
}
