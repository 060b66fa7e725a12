//! Detection of backend servers that are much slower than the others of their group.

/// A backend server becomes a straggler above this multiple of the group's median time.
const ENTER_FACTOR: f64 = 2.0;

/// A straggler recovers below this multiple of the group's median time.
const LEAVE_FACTOR: f64 = 1.5;

/// The minimum number of backend servers with a measured time for a median to be used.
pub const MIN_MEASURED_SERVERS: usize = 3;

/// The straggler state of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Detector {
    slowdown: Option<f64>,
}

impl Detector {
    /// Compares a time or ratio of the backend server with the median of its group. `median` is
    /// `None` while too few backend servers are measured.
    pub fn update(&mut self, own: Option<f64>, median: Option<f64>) {
        let ratio = match (own, median) {
            (Some(own), Some(median)) if median > 0.0 => own / median,
            _ => {
                self.slowdown = None;
                return;
            }
        };
        let threshold = if self.is_straggler() { LEAVE_FACTOR } else { ENTER_FACTOR };
        self.slowdown = (ratio > threshold).then_some(ratio);
    }

    /// Whether the backend server exceeds the median by so much that its limit is reduced.
    pub fn is_straggler(&self) -> bool {
        self.slowdown.is_some()
    }

    /// The limit that remains for the backend server.
    ///
    /// The limit of a straggler is divided by its slowdown, but it keeps one request, by which its
    /// recovery is detected.
    pub fn reduced_limit(&self, limit: u32) -> u32 {
        let Some(slowdown) = self.slowdown else { return limit };
        let reduced = (f64::from(limit) / slowdown) as u32;
        reduced.clamp(1.min(limit), limit)
    }
}
