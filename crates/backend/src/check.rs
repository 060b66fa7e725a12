//! Checks of the parts of a model's answer.

use serde::Deserialize;

use crate::{
    answer::Dropped,
    attempt::Id,
    failure::{Failure, Kind},
    part::Part,
    sse::Event,
};

/// The end mark of an answer.
const END_MARK: &[u8] = b"[DONE]";

#[derive(Debug, Deserialize)]
struct Chunk {
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

/// What an event is for the answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// A part of the answer.
    Part(Part),
    /// Not a part of the answer, or one seen before. It was counted.
    Dropped,
    /// The end mark. The answer is whole.
    End,
}

/// The state of the checks over one answer.
#[derive(Debug)]
pub(crate) struct Check {
    attempt: Id,
    /// The number of the last token part.
    last: u64,
    numbered: Option<bool>,
    usage: Option<u64>,
    dropped: Dropped,
}

impl Check {
    pub(crate) fn new(attempt: Id, resume_after: Option<u64>) -> Self {
        Self {
            attempt,
            last: resume_after.unwrap_or(0),
            numbered: resume_after.map(|_| true),
            usage: None,
            dropped: Dropped::default(),
        }
    }

    pub(crate) fn dropped(&self) -> Dropped {
        self.dropped
    }

    pub(crate) fn event(&mut self, event: &Event) -> Result<Verdict, Failure> {
        if &event.data[..] == END_MARK {
            return self.end();
        }
        let chunk: Chunk = serde_json::from_slice(&event.data)
            .map_err(|error| protocol(&format!("a chunk is malformed: {error}")))?;
        if !self.is_own(&chunk.id) {
            self.dropped.crossed += 1;
            return Ok(Verdict::Dropped);
        }
        if chunk.error.is_some() {
            return Err(broken("the engine ended the answer with an error"));
        }
        if chunk.choices.is_empty() {
            return Ok(self.usage(&chunk, event));
        }
        if self.usage.is_some() {
            return Err(protocol("a token came after the count"));
        }
        self.token(event)
    }

    /// Whether a chunk carries the id of this attempt, as `cmpl-ID` or `chatcmpl-ID`.
    fn is_own(&self, id: &str) -> bool {
        let bare = id.strip_prefix("chat").unwrap_or(id);
        bare.strip_prefix("cmpl-") == Some(self.attempt.as_str())
    }

    fn token(&mut self, event: &Event) -> Result<Verdict, Failure> {
        let numbered = *self.numbered.get_or_insert(event.id.is_some());
        if !numbered {
            self.last += 1;
            let part = Part::Token { number: None, data: event.data.clone() };
            return Ok(Verdict::Part(part));
        }
        let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
        let number = number.ok_or_else(|| protocol("a part has no number"))?;
        if number <= self.last {
            self.dropped.repeated += 1;
            return Ok(Verdict::Dropped);
        }
        if number != self.last + 1 {
            self.dropped.gaps += 1;
            return Err(broken(&format!("part {number} came after part {}", self.last)));
        }
        self.last = number;
        let part = Part::Token { number: Some(number), data: event.data.clone() };
        Ok(Verdict::Part(part))
    }

    fn usage(&mut self, chunk: &Chunk, event: &Event) -> Verdict {
        let Some(usage) = &chunk.usage else { return Verdict::Dropped };
        if self.usage.is_some() {
            self.dropped.repeated += 1;
            return Verdict::Dropped;
        }
        self.usage = Some(usage.completion_tokens);
        Verdict::Part(Part::Usage { tokens: usage.completion_tokens, data: event.data.clone() })
    }

    fn end(&self) -> Result<Verdict, Failure> {
        let Some(tokens) = self.usage else {
            return Err(Failure::may_have_run(Kind::Count, "the end mark came without a count"));
        };
        // An engine that does not number its parts may put several tokens into one.
        let whole =
            if self.numbered == Some(false) { self.last <= tokens } else { self.last == tokens };
        if !whole {
            let message = format!("{} tokens came, the count is {tokens}", self.last);
            return Err(Failure::may_have_run(Kind::Count, message));
        }
        Ok(Verdict::End)
    }
}

fn broken(message: &str) -> Failure {
    Failure::may_have_run(Kind::Broken, message)
}

fn protocol(message: &str) -> Failure {
    Failure::may_have_run(Kind::Protocol, message)
}
