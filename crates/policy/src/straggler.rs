//! Backend servers that are much slower than the others of their group.

/// A backend server becomes a straggler above this multiple of the median.
const ENTER_FACTOR: f64 = 2.0;

/// A straggler counts as usual again below this multiple of the median.
const LEAVE_FACTOR: f64 = 1.5;

/// The number of backend servers with a known speed that a median needs.
pub const MIN_MEASURED_SERVERS: usize = 3;

/// The verdict about one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Detector {
    slowdown: Option<f64>,
}

impl Detector {
    /// Compares a backend server's time with the median of its group. `None` for the median stands
    /// for too few measured backend servers.
    pub fn update(&mut self, own_ms: Option<f64>, median_ms: Option<f64>) {
        let ratio = match (own_ms, median_ms) {
            (Some(own), Some(median)) if median > 0.0 => own / median,
            _ => {
                self.slowdown = None;
                return;
            }
        };
        let threshold = if self.is_straggler() { LEAVE_FACTOR } else { ENTER_FACTOR };
        self.slowdown = (ratio > threshold).then_some(ratio);
    }

    /// Whether the backend server is a straggler.
    pub fn is_straggler(&self) -> bool {
        self.slowdown.is_some()
    }

    /// The limit after the verdict.
    ///
    /// A straggler gets the part of its limit that its speed is of the median, and keeps one request
    /// as a probe, by which a recovery is seen.
    pub fn reduced_limit(&self, limit: u32) -> u32 {
        let Some(slowdown) = self.slowdown else { return limit };
        let reduced = (f64::from(limit) / slowdown) as u32;
        reduced.clamp(1.min(limit), limit)
    }
}
