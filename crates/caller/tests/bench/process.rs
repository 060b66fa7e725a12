//! The state of a daemon's process: up, frozen, or dead.

use tokio::sync::watch;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Running,
    Suspended,
    Exited,
}

/// A switch that all waits of a daemon's stand-ins go through. Nothing goes on in a dead one.
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

    /// Waits until the daemon is up, for ever if it is dead.
    pub async fn wait_running(&self) {
        let mut state = self.0.subscribe();
        state.wait_for(|state| *state == State::Running).await.unwrap();
    }
}
