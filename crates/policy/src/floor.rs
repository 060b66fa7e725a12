//! The small part of the slots that a class keeps while its requests wait.

use std::time::{Duration, Instant};

use hyssop_document::number::Percent;

/// The floor of a class for which the document declares none, so that no class starves.
pub const LEAST: Percent = Percent(1);

/// The longest rest between two uses of a part of a slot.
pub const LONGEST_REST: Duration = Duration::from_secs(30);

/// How a class stands to its floor. The lower one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It runs less than the whole number of slots.
    Below,
    /// It may use the part of a slot now.
    Part,
    /// It has what the floor keeps.
    Above,
}

/// The floor of one class.
///
/// A floor of `p` percent of `s` slots is `p * s / 100` slots: a whole number and a part of one. The
/// class goes first while it runs less than the whole number. The part is kept over time: after the
/// class has used one slot above the whole number for a while, it rests for as long as makes up for
/// what that was too much.
#[derive(Debug, Clone)]
pub struct Floor {
    percent: Percent,
    rests_until: Option<Instant>,
}

impl Floor {
    /// Makes the floor of a class, at least [`LEAST`].
    pub fn new(percent: Percent) -> Self {
        Self { percent: percent.max(LEAST), rests_until: None }
    }

    /// Changes the percentage.
    pub fn set_percent(&mut self, percent: Percent) {
        self.percent = percent.max(LEAST);
    }

    /// How a class that runs `running` requests in `slots` slots stands to its floor.
    pub fn standing(&self, running: u32, slots: u32, now: Instant) -> Standing {
        let (whole, part) = self.split(slots);
        let rested = self.rests_until.is_none_or(|until| until <= now);
        match running {
            running if running < whole => Standing::Below,
            running if running == whole && part > 0 && rested => Standing::Part,
            _ => Standing::Above,
        }
    }

    /// The time until a class that runs `running` requests may be below its floor again, where a
    /// request holds a slot for `hold`.
    pub fn rest(&self, running: u32, slots: u32, hold: Duration, now: Instant) -> Duration {
        let (whole, part) = self.split(slots);
        if running < whole || part == 0 {
            return Duration::ZERO;
        }
        if running > whole {
            return rest_after(hold, part);
        }
        self.rests_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Forgets a rest that is over.
    pub fn expire(&mut self, now: Instant) {
        self.rests_until = self.rests_until.filter(|until| *until > now);
    }

    /// The end of the rest, if one is on.
    pub fn rests_until(&self) -> Option<Instant> {
        self.rests_until
    }

    /// Takes note that one of `running` requests of the class ended after it held a slot for `held`.
    pub fn end(&mut self, running: u32, slots: u32, held: Duration, now: Instant) {
        let (whole, part) = self.split(slots);
        if running <= whole || part == 0 {
            return;
        }
        self.rests_until = Some(now + rest_after(held, part));
    }

    fn split(&self, slots: u32) -> (u32, u32) {
        let hundredths = slots * u32::from(self.percent.0);
        (hundredths / 100, hundredths % 100)
    }
}

/// The rest after one slot was held for `held`, of which `part` percent are kept.
fn rest_after(held: Duration, part: u32) -> Duration {
    let rest = held * (100 - part) / part;
    rest.min(LONGEST_REST)
}
