//! A gateway process that may be limited to a share of a core.

use bench::procs::{Proc, Signal};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// Period in which a limited process runs for its share and is paused for the rest.
const CPU_PERIOD: Duration = Duration::from_millis(20);

/// A gateway process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Process(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    proc: Proc,
    /// Whether a fault has paused it.
    is_paused: bool,
}

impl Process {
    /// Starts a gateway. With a `cpu_share`, it is paused in turns for as long as it runs, so that
    /// it has only that share of a core. Such pauses excuse no cut answer.
    pub(crate) fn start(
        binary: &Path,
        name: &str,
        settings: &Path,
        cpu_share: Option<f64>,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            proc: Proc::start_gateway(binary, name, settings)?,
            is_paused: false,
        }));
        if let Some(share) = cpu_share {
            tokio::spawn(limit_cpu(Arc::downgrade(&state), share));
        }
        Ok(Self(state))
    }

    /// Process ID, while the process runs.
    pub fn id(&self) -> Option<u32> {
        lock(&self.0).proc.id()
    }

    /// Sends a signal to the process, if it runs. If it is limited, a pause lasts until the signal
    /// to resume.
    pub fn signal(&self, signal: Signal) {
        let mut state = lock(&self.0);
        match signal {
            Signal::Pause => state.is_paused = true,
            Signal::Resume => state.is_paused = false,
            Signal::Term | Signal::Kill | Signal::Hangup => {}
        }
        state.proc.signal(signal);
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        lock(&self.0).proc.has_ended()
    }
}

/// Pauses a process in turns until it has ended, except while a fault has paused it.
async fn limit_cpu(state: Weak<Mutex<State>>, share: f64) {
    let turns = [
        (Signal::Resume, CPU_PERIOD.mul_f64(share)),
        (Signal::Pause, CPU_PERIOD.mul_f64(1.0 - share)),
    ];
    for (signal, time) in turns.into_iter().cycle() {
        let Some(state) = state.upgrade() else {
            return;
        };
        {
            let mut state = lock(&state);
            if state.proc.has_ended() {
                return;
            }
            if !state.is_paused {
                state.proc.signal(signal);
            }
        }
        drop(state);
        tokio::time::sleep(time).await;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no panic while locked")
}
