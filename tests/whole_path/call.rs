//! Calls to the first entry VM of a test cluster, and checks of the answers.

use super::*;

pub struct Call<'a> {
    pub cluster: &'a TestCluster,
    pub key: String,
    pub headers: Vec<(String, String)>,
    pub stream: bool,
}

impl Call<'_> {
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn stream(self) -> Self {
        Self { stream: true, ..self }
    }

    pub fn chat(self, text: &str) -> Answer {
        self.model("auto", text)
    }

    pub fn model(self, model: &str, text: &str) -> Answer {
        self.send(CallRequest::chat(model, text))
    }

    pub fn models(self) -> Answer {
        self.send(CallRequest::new(Method::GET, "/v1/models", Value::Null))
    }

    pub fn book(self, booking: &str) -> Answer {
        let body = json!({"booking": booking});
        self.send(CallRequest::new(Method::POST, "/services/crew-booking/deliveries", body))
    }

    pub fn look_up(self, booking: &str) -> Answer {
        let path = format!("/services/slot-status/deliveries/{booking}");
        self.send(CallRequest::new(Method::GET, &path, Value::Null))
    }

    pub fn send(self, mut call: CallRequest) -> Answer {
        call = call.key(&self.key);
        for (name, value) in &self.headers {
            call = call.header(name, value);
        }
        if self.stream {
            call = call.stream();
        }
        Answer(self.cluster.send(self.cluster.vms[0].callers, &call))
    }
}

pub struct Answer(pub CallOutcome);

impl Answer {
    pub fn expect_status(self, status: u16) -> Self {
        assert_eq!(self.0.status, Some(status), "{:?}", self.0);
        self
    }

    /// Checks a header by its exact value.
    pub fn expect_header(self, name: &str, value: &str) -> Self {
        assert_eq!(self.0.header(name), Some(value), "{:?}", self.0);
        self
    }

    pub fn expect_run(self, run: &str) -> Self {
        self.expect_header("guavapass-run", run)
    }

    pub fn expect_code(self, code: &str) -> Self {
        assert_eq!(self.0.json()["error"]["code"], code, "{:?}", self.0);
        self
    }

    /// Checks that the answer is complete and belongs to `question`.
    pub fn expect_text(self, question: &str) -> Self {
        assert!(self.0.is_whole(), "{:?}", self.0);
        let expected = format!("answer to: {question}");
        assert!(self.0.text().starts_with(&expected), "{:?}", self.0);
        self
    }

    /// Checks that a stream ends with an error event and without the end marker.
    pub fn expect_broken_stream(self) -> Self {
        assert_eq!(self.0.status, Some(200), "{:?}", self.0);
        let body = String::from_utf8_lossy(&self.0.body);
        assert!(body.contains("event: error"), "{body}");
        assert!(!body.contains("[DONE]"), "{body}");
        self
    }
}
