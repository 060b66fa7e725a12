//! Validation of the event stream of a model's response.

use serde::Deserialize;

use crate::{
    attempt::Id,
    chunk::Chunk,
    failure::{Failure, Kind},
    response::Dropped,
    sse::Event,
};

/// The data of the event that ends a complete response.
const END_MARK: &[u8] = b"[DONE]";

#[derive(Debug, Deserialize)]
struct Completion {
    id: String,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// The result of checking one event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Checked {
    /// A chunk of the response.
    Chunk(Chunk),
    /// An event of another attempt, one without content, or a repeated one.
    Dropped,
    /// The end mark of a complete response.
    End,
}

/// Checks the events of one response in order.
#[derive(Debug)]
pub(crate) struct Checker {
    attempt: Id,
    /// The number of the last token chunk, or the count of token chunks if they have no numbers.
    last_number: u64,
    /// Whether token chunks have numbers. Determined by the first one, or true when resuming.
    numbered: Option<bool>,
    /// The token count that the engine reported.
    usage: Option<u64>,
    dropped: Dropped,
}

impl Checker {
    pub(crate) fn new(attempt: Id, resume_after: Option<u64>) -> Self {
        Self {
            attempt,
            last_number: resume_after.unwrap_or(0),
            numbered: resume_after.map(|_| true),
            usage: None,
            dropped: Dropped::default(),
        }
    }

    pub(crate) fn dropped(&self) -> Dropped {
        self.dropped
    }

    pub(crate) fn check(&mut self, event: &Event) -> Result<Checked, Failure> {
        if &event.data[..] == END_MARK {
            return self.end();
        }
        let completion: Completion = serde_json::from_slice(&event.data)
            .map_err(|error| protocol(&format!("a chunk is malformed: {error}")))?;
        if !self.is_own(&completion.id) {
            self.dropped.mismatched += 1;
            return Ok(Checked::Dropped);
        }
        if completion.error.is_some() {
            return Err(interrupted("the engine ended the answer with an error"));
        }
        if completion.choices.is_empty() {
            return Ok(self.usage(&completion, event));
        }
        if self.usage.is_some() {
            return Err(protocol("a token came after the count"));
        }
        self.token(event)
    }

    /// Whether an event's id is that of this attempt, as `cmpl-ID` or `chatcmpl-ID`.
    fn is_own(&self, id: &str) -> bool {
        let bare = id.strip_prefix("chat").unwrap_or(id);
        bare.strip_prefix("cmpl-") == Some(self.attempt.as_str())
    }

    fn token(&mut self, event: &Event) -> Result<Checked, Failure> {
        let numbered = *self.numbered.get_or_insert(event.id.is_some());
        if !numbered {
            self.last_number += 1;
            let chunk = Chunk::Token { number: None, data: event.data.clone() };
            return Ok(Checked::Chunk(chunk));
        }
        let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
        let number = number.ok_or_else(|| protocol("a part has no number"))?;
        if number <= self.last_number {
            self.dropped.repeated += 1;
            return Ok(Checked::Dropped);
        }
        if number != self.last_number + 1 {
            self.dropped.gaps += 1;
            return Err(interrupted(&format!(
                "part {number} came after part {}",
                self.last_number
            )));
        }
        self.last_number = number;
        let chunk = Chunk::Token { number: Some(number), data: event.data.clone() };
        Ok(Checked::Chunk(chunk))
    }

    fn usage(&mut self, completion: &Completion, event: &Event) -> Checked {
        let Some(usage) = &completion.usage else { return Checked::Dropped };
        if self.usage.is_some() {
            self.dropped.repeated += 1;
            return Checked::Dropped;
        }
        self.usage = Some(usage.completion_tokens);
        Checked::Chunk(Chunk::Usage { tokens: usage.completion_tokens, data: event.data.clone() })
    }

    fn end(&self) -> Result<Checked, Failure> {
        let Some(tokens) = self.usage else {
            return Err(Failure::may_have_run(
                Kind::TokenCount,
                "the end mark came without a count",
            ));
        };
        // An engine that does not number its chunks may put several tokens into one chunk.
        let complete = if self.numbered == Some(false) {
            self.last_number <= tokens
        } else {
            self.last_number == tokens
        };
        if !complete {
            let message = format!("{} tokens came, the count is {tokens}", self.last_number);
            return Err(Failure::may_have_run(Kind::TokenCount, message));
        }
        Ok(Checked::End)
    }
}

fn interrupted(message: &str) -> Failure {
    Failure::may_have_run(Kind::Interrupted, message)
}

fn protocol(message: &str) -> Failure {
    Failure::may_have_run(Kind::Protocol, message)
}
