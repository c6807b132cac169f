//! Counts the time of a test by what its runtimes get done, so that a test whose threads wait for a
//! core doesn't lose time.

use std::cell::RefCell;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// Time by which the clocks are advanced at once.
const STEP: Duration = Duration::from_millis(1);

thread_local! {
    static CURRENT: RefCell<Option<Pace>> = const { RefCell::new(None) };
}

/// A clock that runtimes of one thread share. It runs at most as fast as the wall clock, and each of
/// its steps waits until the tasks that were ready in every runtime have run.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// A receiver for each runtime; steps are acknowledged by dropping what it gets.
    runtimes: Arc<Mutex<Vec<mpsc::Sender<Sender<()>>>>>,
}

impl Pace {
    /// The clock of the test that this thread runs, if [`pace_time`] was called.
    pub fn current() -> Option<Self> {
        CURRENT.with_borrow(Clone::clone)
    }

    /// Adds the current runtime until it ends. Must be called before it takes the time.
    pub fn join(&self) {
        let (tx, mut steps) = mpsc::channel::<Sender<()>>(1);
        let (running, ended) = channel::<()>();
        // While a blocking task runs, the paused clock isn't advanced to the next timer.
        tokio::task::spawn_blocking(move || ended.recv());
        tokio::time::pause();
        tokio::spawn(async move {
            let _running = running;
            while let Some(step) = steps.recv().await {
                tokio::time::advance(STEP).await;
                drop(step);
            }
        });
        self.runtimes.lock().unwrap().push(tx);
    }

    /// Advances all clocks by a step; returns whether any runtime is left.
    fn advance(&self) -> bool {
        let (step, done) = channel();
        let runtimes = {
            let mut runtimes = self.runtimes.lock().unwrap();
            runtimes.retain(|runtime| !runtime.is_closed());
            runtimes.clone()
        };
        for runtime in &runtimes {
            // A runtime that has ended isn't waited for.
            let _ = runtime.blocking_send(step.clone());
        }
        drop(step);
        let _ = done.recv();
        !runtimes.is_empty()
    }
}

/// Replaces the clock of the current runtime, which must have one thread, by a [`Pace`]. All hosts,
/// stand-ins and clients of the test have to be in this runtime or in others that join it.
pub fn pace_time() {
    let pace = Pace::default();
    pace.join();
    CURRENT.set(Some(pace.clone()));
    std::thread::spawn(move || {
        while pace.advance() {
            std::thread::sleep(STEP);
        }
    });
}
