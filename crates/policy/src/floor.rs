//! The minimum share of the slots that a class keeps while its requests wait.

use std::time::{Duration, Instant};

use hyssop_document::number::Percent;

/// The floor of a class without a floor in the document, so that no class starves.
pub const MIN_PERCENT: Percent = Percent(1);

/// The maximum cooldown between two uses of a fractional slot.
pub const MAX_COOLDOWN: Duration = Duration::from_secs(30);

/// How the running requests of a class compare with its floor. The lowest level is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The class runs fewer requests than the floor's whole slots.
    Below,
    /// The class uses the floor's whole slots, and the fractional slot is available now.
    Fraction,
    /// The floor is used up.
    Above,
}

/// The floor of one class.
///
/// A floor of `p` percent of `s` slots is `p * s / 100` slots, a whole number plus a fraction. The
/// class is served first while it runs fewer requests than the whole number. The fraction is
/// granted over time: after the class has held one slot beyond the whole number, that slot is in
/// cooldown until its average use is the fraction.
#[derive(Debug, Clone)]
pub struct Floor {
    percent: Percent,
    cooldown_until: Option<Instant>,
}

impl Floor {
    /// Creates a floor of at least [`MIN_PERCENT`].
    pub fn new(percent: Percent) -> Self {
        Self { percent: percent.max(MIN_PERCENT), cooldown_until: None }
    }

    /// Changes the percentage, which is raised to [`MIN_PERCENT`] if it is lower.
    pub fn set_percent(&mut self, percent: Percent) {
        self.percent = percent.max(MIN_PERCENT);
    }

    /// The level of a class that runs `running` requests in `slots` slots.
    pub fn level(&self, running: u32, slots: u32, now: Instant) -> Level {
        let (whole, fraction) = self.whole_and_fraction(slots);
        let cooled_down = self.cooldown_until.is_none_or(|until| until <= now);
        match running {
            running if running < whole => Level::Below,
            running if running == whole && fraction > 0 && cooled_down => Level::Fraction,
            _ => Level::Above,
        }
    }

    /// The time until a class that runs `running` requests can be below its floor again, if a
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

    /// Clears a cooldown that has passed.
    pub fn expire_cooldown(&mut self, now: Instant) {
        self.cooldown_until = self.cooldown_until.filter(|until| *until > now);
    }

    /// The end of the current cooldown.
    pub fn cooldown_until(&self) -> Option<Instant> {
        self.cooldown_until
    }

    /// Records that one of the `running` requests of the class ended after it held a slot for
    /// `held`.
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

/// The cooldown after one slot was held for `held`, of which the floor grants `fraction_percent`.
fn cooldown_after(held: Duration, fraction_percent: u32) -> Duration {
    let cooldown = held * (100 - fraction_percent) / fraction_percent;
    cooldown.min(MAX_COOLDOWN)
}
