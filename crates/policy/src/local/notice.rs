//! What backend servers have asked of this daemon.
//!
//! For releases: a backend server says in its responses that it leaves, before its published record
//! does. It gets no new requests, whatever its record says, until another incarnation starts.
//!
//! For servers under pressure: a backend server that rejects a request asks for a pause. It gets
//! nothing from this daemon meanwhile, and afterwards load comes back by degrees.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name::Backend};

/// How long the departure of an incarnation is remembered. Its record is gone long before.
const LEAVING_TTL: Duration = Duration::from_secs(600);
/// The maximum duration of a pause, so that an absurd time does not take a server out for good.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// How long after a pause the number of requests at the backend server is limited.
const RAMP_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Leaving {
    incarnation: u64,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    incarnation: u64,
    until: Instant,
}

/// What a backend server's last pause means for its next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PauseStage {
    /// There is none.
    None,
    /// It goes on until then.
    Paused(Instant),
    /// It is over, and only so many requests may run.
    Ramp(usize),
}

/// The requests of backend servers to one daemon.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: Map<Backend, Leaving>,
    pauses: Map<Backend, Pause>,
}

impl Notices {
    /// Records that an incarnation of a backend server leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, server: &Backend, incarnation: u64, now: Instant) -> bool {
        if self.is_leaving(server, incarnation) {
            return false;
        }
        self.leaving.insert(server.clone(), Leaving { incarnation, at: now });
        true
    }

    /// Whether an incarnation of a backend server leaves, or a later one does.
    pub fn is_leaving(&self, server: &Backend, incarnation: u64) -> bool {
        self.leaving.get(server).is_some_and(|leaving| leaving.incarnation >= incarnation)
    }

    /// Records that an incarnation of a backend server asks for a pause, and returns the pause that
    /// is kept: ten minutes at most. A later and shorter pause does not shorten an earlier one.
    pub fn record_pause(
        &mut self,
        server: &Backend,
        incarnation: u64,
        pause: Duration,
        now: Instant,
    ) -> Duration {
        let earlier = self.pauses.get(server).filter(|pause| pause.incarnation == incarnation);
        let until = now + pause.min(MAX_PAUSE);
        let until = earlier.map_or(until, |earlier| earlier.until.max(until));
        self.pauses.insert(server.clone(), Pause { incarnation, until });
        until.duration_since(now)
    }

    /// What the last pause of a backend server with this number of slots means now.
    pub(super) fn pause_stage(
        &self,
        server: &Backend,
        incarnation: u64,
        slots: u32,
        now: Instant,
    ) -> PauseStage {
        let pause = self.pauses.get(server).filter(|pause| pause.incarnation == incarnation);
        let Some(&Pause { until, .. }) = pause else { return PauseStage::None };
        if now < until {
            return PauseStage::Paused(until);
        }
        let since = now.duration_since(until);
        if since >= RAMP_TIME {
            return PauseStage::None;
        }
        PauseStage::Ramp(1 + (f64::from(slots) * since.div_duration_f64(RAMP_TIME)) as usize)
    }

    /// Forgets what has expired. Of a backend server that publishes no incarnation, the departure is
    /// forgotten once it is not known any more.
    pub fn expire(&mut self, is_known: impl Fn(&Backend) -> bool, now: Instant) {
        self.leaving.retain(|server, leaving| {
            let is_recent = now.duration_since(leaving.at) < LEAVING_TTL;
            is_recent && (leaving.incarnation > 0 || is_known(server))
        });
        self.pauses.retain(|_, pause| now < pause.until + RAMP_TIME);
    }
}
