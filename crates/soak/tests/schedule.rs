//! Schedules of faults that are written to a file and replayed.

use soak::fault::{Fault, FaultSet};
use soak::schedule::{Schedule, Step, write};
use std::path::PathBuf;

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("soak-schedule-{}-{name}", std::process::id()))
}

/// Takes steps as a run does and draws some numbers for each. Returns the steps and the numbers.
fn play(mut schedule: Schedule, max_steps: usize) -> (Vec<Step>, Vec<u64>) {
    let (mut steps, mut drawn) = (Vec::new(), Vec::new());
    while steps.len() < max_steps {
        let Some((step, mut rng)) = schedule.next_step() else {
            break;
        };
        // Each kind of fault draws its own count of numbers.
        for _ in 0..steps.len() % 4 {
            drawn.push(rng.u64(..));
        }
        schedule.advance(rng);
        steps.push(step);
    }
    (steps, drawn)
}

#[test]
fn a_file_replays_the_faults_of_a_seed() {
    let (steps, drawn) = play(Schedule::from_seed(FaultSet::Common, 7), 200);
    let path = file("seed-7");
    write(&path, &steps).unwrap();
    let (again, drawn_again) = play(Schedule::read(&path).unwrap(), 1000);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(steps, again);
    assert_eq!(drawn, drawn_again);
    let kinds = [Fault::Deadly, Fault::BadRow, Fault::Kill];
    assert!(kinds.iter().all(|k| steps.iter().any(|s| s.fault == *k)));
}

/// A file keeps its meaning when kinds of faults are added. Unknown kinds are rejected.
#[test]
fn a_file_names_each_fault() {
    let path = file("names");
    let line = r#"{"pause_ms":120,"fault":"store-link","state":42}"#;
    std::fs::write(&path, format!("{line}\n")).unwrap();
    let (steps, _) = play(Schedule::read(&path).unwrap(), 10);
    let step = Step {
        pause_ms: 120,
        fault: Fault::StoreLink,
        state: 42,
    };
    assert_eq!(steps, [step]);
    std::fs::write(&path, line.replace("store-link", "of-tomorrow")).unwrap();
    assert!(Schedule::read(&path).is_err());
    std::fs::remove_file(&path).unwrap();
}
