//! The small part of the slots that a class keeps while its requests wait.

use std::time::{Duration, Instant};

use hyssop_document::number::Percent;

/// The floor of a class for which the document declares none, so that no class starves.
pub const MIN_PERCENT: Percent = Percent(1);

/// The longest rest between two uses of a part of a slot.
pub const MAX_COOLDOWN: Duration = Duration::from_secs(30);

/// How a class stands to its floor. The lower one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// It runs less than the whole number of slots.
    Below,
    /// It may use the part of a slot now.
    Fraction,
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
    cooldown_until: Option<Instant>,
}

impl Floor {
    /// Makes the floor of a class, at least [`LEAST`].
    pub fn new(percent: Percent) -> Self {
        Self { percent: percent.max(MIN_PERCENT), cooldown_until: None }
    }

    /// Changes the percentage.
    pub fn set_percent(&mut self, percent: Percent) {
        self.percent = percent.max(MIN_PERCENT);
    }

    /// How a class that runs `running` requests in `slots` slots stands to its floor.
    pub fn level(&self, running: u32, slots: u32, now: Instant) -> Level {
        let (whole, fraction) = self.whole_and_fraction(slots);
        let cooled_down = self.cooldown_until.is_none_or(|until| until <= now);
        match running {
            running if running < whole => Level::Below,
            running if running == whole && fraction > 0 && cooled_down => Level::Fraction,
            _ => Level::Above,
        }
    }

    /// The time until a class that runs `running` requests may be below its floor again, where a
    /// request holds a slot for `hold`.
    pub fn cooldown(&self, running: u32, slots: u32, hold: Duration, now: Instant) -> Duration {
        let (whole, fraction) = self.whole_and_fraction(slots);
        if running < whole || fraction == 0 {
            return Duration::ZERO;
        }
        if running > whole {
            return cooldown_after(hold, fraction);
        }
        self.cooldown_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Forgets a rest that is over.
    pub fn expire_cooldown(&mut self, now: Instant) {
        self.cooldown_until = self.cooldown_until.filter(|until| *until > now);
    }

    /// The end of the rest, if one is on.
    pub fn cooldown_until(&self) -> Option<Instant> {
        self.cooldown_until
    }

    /// Takes note that one of `running` requests of the class ended after it held a slot for `held`.
    pub fn record_end(&mut self, running: u32, slots: u32, held: Duration, now: Instant) {
        let (whole, fraction) = self.whole_and_fraction(slots);
        if running <= whole || fraction == 0 {
            return;
        }
        self.cooldown_until = Some(now + cooldown_after(held, fraction));
    }

    fn whole_and_fraction(&self, slots: u32) -> (u32, u32) {
        let slot_percent = slots * u32::from(self.percent.0);
        (slot_percent / 100, slot_percent % 100)
    }
}

/// The rest after one slot was held for `held`, of which `part` percent are kept.
fn cooldown_after(held: Duration, fraction_percent: u32) -> Duration {
    let cooldown = held * (100 - fraction_percent) / fraction_percent;
    cooldown.min(MAX_COOLDOWN)
}
