//! A valid document and its faults after a change.

use hyssop_document::load;
use serde_json::Value;

/// The text of a valid document.
pub(crate) const TRIAL: &str = include_str!("trial.json");

/// The trial document as a JSON value.
#[allow(dead_code)]
pub(crate) fn trial() -> Value {
    serde_json::from_str(TRIAL).expect("the text is JSON")
}

/// The faults of a text, one per line.
#[allow(dead_code)]
pub(crate) fn faults(text: &str) -> String {
    match load::parse(text.as_bytes()) {
        Ok(_) => "none".to_owned(),
        Err(faults) => faults.iter().map(|fault| format!("{fault}\n")).collect(),
    }
}

/// The faults of the trial document after a change.
#[allow(dead_code)]
pub(crate) fn faults_after(change: impl FnOnce(&mut Value)) -> String {
    let mut value = trial();
    change(&mut value);
    faults(&value.to_string())
}
