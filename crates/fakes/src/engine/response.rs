//! The text that an engine generates: a function of the prompt alone.

use hyssop_document::digest::Digest;
use serde_json::Value;

/// The minimum number of tokens of a response whose length comes from the prompt's digest.
const MIN_RESPONSE_TOKENS: u64 = 4;
/// The number of different lengths that a digest can select.
const RESPONSE_LENGTHS: u64 = 29;

/// The prompt in the body of a completion or chat request.
pub fn prompt(body: &Value) -> Option<String> {
    if let Some(prompt) = body.get("prompt") {
        return prompt.as_str().map(str::to_owned);
    }
    let messages = body.get("messages")?.as_array()?;
    let contents: Option<Vec<_>> =
        messages.iter().map(|message| message.get("content")?.as_str()).collect();
    Some(contents?.join("\n"))
}

/// The number of tokens of a prompt. Each word counts as one token.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// The number of tokens of the response to `prompt`, at least 1 and at most `max_tokens`.
///
/// A word `length=N` in the prompt sets the number. Otherwise the prompt's digest determines it.
pub fn response_tokens(prompt: &str, max_tokens: Option<u64>) -> u64 {
    let requested =
        prompt.split_whitespace().find_map(|word| word.strip_prefix("length=")?.parse().ok());
    let tokens = requested.unwrap_or_else(|| {
        MIN_RESPONSE_TOKENS + Digest::of(prompt.as_bytes()).short() % RESPONSE_LENGTHS
    });
    tokens.min(max_tokens.unwrap_or(u64::MAX)).max(1)
}

/// Token `index`, from 0, of the response to the prompt with digest `digest`.
pub(super) fn token(digest: &Digest, index: u64) -> String {
    let mut text = digest.to_string();
    text.push_str(&index.to_string());
    format!("{:04x} ", Digest::of(text.as_bytes()).short() as u16)
}

/// The complete response to `prompt`.
pub fn expected_text(prompt: &str, max_tokens: Option<u64>) -> String {
    let digest = Digest::of(prompt.as_bytes());
    (0..response_tokens(prompt, max_tokens)).map(|index| token(&digest, index)).collect()
}
