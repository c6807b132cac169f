//! Tests the script that reads KNOWN-RED.txt, the list of known failures that CI skips.
//!
//! A blank line in the list once made CI skip all tests and pass; an entry also skipped every
//! test whose name contained it; and entries that matched no test went unnoticed.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the script on a list, for a fixed set of test names.
fn run_script(case: &str, list: &str) -> Output {
    let dir = std::env::temp_dir().join(format!("known-red-{}-{case}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let (file, tests) = (dir.join("list"), dir.join("tests"));
    fs::write(&file, list).unwrap();
    fs::write(&tests, "one_test\none_test_more\nmodule::test\n").unwrap();
    let mut run = Command::new(root().join(".ci/known-red"));
    let out = run.arg(&file).arg(&tests).output().unwrap();
    fs::remove_dir_all(&dir).unwrap();
    out
}

#[test]
fn each_entry_is_the_full_name_of_one_test() {
    let out = run_script(
        "good",
        "one_test: seen: x, issue 1\nmodule::test: y, issue 2\n",
    );
    assert!(out.status.success(), "{out:?}");
    assert_eq!(
        String::from_utf8(out.stdout).unwrap(),
        "one_test\nmodule::test\n"
    );
    let out = run_script("last-line", "one_test: without a line's end");
    assert_eq!(String::from_utf8(out.stdout).unwrap(), "one_test\n");
}

#[test]
fn lists_that_would_skip_other_tests_are_rejected() {
    for (case, list) in [
        ("blank", "\n"),
        ("blank-between", "one_test: x\n\nmodule::test: y\n"),
        ("no-name", ": x\n"),
        ("no-description", "one_test\n"),
        ("part", "one_: x\n"),
        ("unknown", "gone_test: x\n"),
        ("words", "a test that fails: x\n"),
    ] {
        let out = run_script(case, list);
        assert!(!out.status.success(), "{case}: {out:?}");
        assert!(!out.stderr.is_empty(), "{case}");
    }
}

#[test]
fn ci_reads_the_committed_list_with_the_script() {
    let run = fs::read_to_string(root().join(".ci/run")).unwrap();
    assert!(run.contains(".ci/known-red KNOWN-RED.txt"));
    assert!(run.contains("--exact \"${skip[@]}\""));
}
