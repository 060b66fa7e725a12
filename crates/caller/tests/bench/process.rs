//! The simulated state of a daemon's process.

use tokio::sync::watch;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Running,
    Suspended,
    Exited,
}

/// A process state that all fakes of a daemon wait on. They make progress only while it is running.
#[derive(Debug, Clone)]
pub struct Process(watch::Sender<State>);

impl Default for Process {
    fn default() -> Self {
        Self(watch::Sender::new(State::Running))
    }
}

impl Process {
    pub fn set(&self, state: State) {
        self.0.send_replace(state);
    }

    pub fn get(&self) -> State {
        *self.0.borrow()
    }

    /// Waits until the process is running: forever if it has exited.
    pub async fn wait_running(&self) {
        let mut state = self.0.subscribe();
        state.wait_for(|state| *state == State::Running).await.unwrap();
    }
}
