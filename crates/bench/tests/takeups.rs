//! Counts of streams that clients took up again after kills.

use bench::takeups::{Counts, count, read};
use std::collections::BTreeMap;

/// Two kills, at 10 s and 30 s. The second line is cut, and stream `a` is rejected before it goes on.
const LOG: &str = r#"
snapshot b695ddd2
   9.5000 edge-1 {"event":"answered","route":"r-1","status":200,"resumes":"before","origin":"peer"}
  10.5000 edge-1 {"event":"answered","route":"r-1","sta
  11.0000 edge-2 {"event":"answered","route":"r-1","status":503,"reason":"stream_unknown","resumes":"a"}
  11.2000 edge-1 {"event":"answered","route":"r-1","status":200,"reason":null,"resumes":"a","origin":"store","origin_ms":4100}
  11.3000 edge-1 {"event":"answered","route":"r-1","status":503,"reason":"no_upstream","resumes":"a"}
  12.0000 edge-2 {"event":"answered","route":"r-1","status":200,"reason":null,"resumes":"b","origin":"peer","origin_ms":900}
  12.5000 edge-2 {"event":"answered","route":"r-1","status":503,"reason":"no_upstream","resumes":"c"}
  13.0000 edge-2 {"event":"answered","route":"r-1","status":503,"reason":"stream_unknown","resumes":"c"}
  13.1000 edge-2 {"event":"stream_unknown","resumes":"c"}
  13.2000 edge-1 {"event":"answered","route":"r-1","status":200,"reason":null}
  13.3000 edge-1 {"event":"answered","route":"r-1","status":503,"reason":"rejected"}
  13.3500 edge-1 {"event":"answered","route":"r-1","status":200,"resumes_after":7}
  13.4000 edge-1 {"event":"answered","route":"r-2","status":200,"reason":null}
  16.1000 edge-1 {"event":"answered","route":"r-1","status":503,"reason":"stream_unknown","resumes":"late"}
"#;

fn by_key(counts: &[(&str, usize)]) -> BTreeMap<String, usize> {
    counts.iter().map(|(k, n)| ((*k).to_owned(), *n)).collect()
}

/// Guards against repeated attempts for one stream, streams of another time and requests of other
/// routes being counted.
#[test]
fn each_stream_counts_once_by_its_outcome() {
    let found = count(&read(LOG), &[10.0, 30.0]);
    let first = Counts {
        kill_s: 10.0,
        taken_up: 3,
        went_on: by_key(&[("store", 1), ("peer", 1)]),
        rejected: by_key(&[("stream_unknown", 1)]),
        went_on_share: Some(2.0 / 3.0),
        new: 2,
        new_began: 1,
        new_share: Some(0.5),
        ages_ms: vec![900, 4100],
    };
    let second = Counts {
        kill_s: 30.0,
        ..Counts::default()
    };
    assert_eq!(found, [first, second]);
}
