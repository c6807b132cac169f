//! Tests that frames are read from any chunks and that incomplete responses are rejected.

use wire::{Frame, FrameReader, Part, RequestId, StreamCheck, StreamError};

const REQ: RequestId = RequestId(7);

fn frame(index: u32, part: Part) -> Frame {
    Frame {
        request: REQ,
        index,
        part,
    }
}

#[test]
fn frames_are_read_whole_from_chunks_of_any_size() {
    let sent: Vec<Frame> = (0..20)
        .map(|i| frame(i, Part::Token(format!("t{i}"))))
        .collect();
    let bytes: Vec<u8> = sent.iter().flat_map(|f| f.encode().to_vec()).collect();
    for size in 1..17 {
        let mut reader = FrameReader::default();
        let mut got = Vec::new();
        for chunk in bytes.chunks(size) {
            reader.push(chunk);
            while let Some(f) = reader.pop().unwrap() {
                got.push(f);
            }
        }
        assert_eq!(got, sent);
    }
}

#[test]
fn a_length_over_the_limit_is_malformed() {
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert_eq!(reader.pop(), Err(StreamError::Malformed));
}

#[test]
fn foreign_duplicate_missing_and_incomplete_frames_are_rejected() {
    let mut check = StreamCheck::new(REQ, 0);
    let foreign = Frame {
        request: RequestId(8),
        index: 0,
        part: Part::Token("x".into()),
    };
    assert_eq!(check.take(foreign), Err(StreamError::Foreign));
    check.take(frame(0, Part::Token("a".into()))).unwrap();
    assert_eq!(
        check.take(frame(0, Part::Token("a".into()))),
        Err(StreamError::OutOfOrder)
    );
    assert_eq!(
        check.take(frame(2, Part::Token("c".into()))),
        Err(StreamError::OutOfOrder)
    );
    assert_eq!(
        check.take(frame(1, Part::End { count: 2 })),
        Err(StreamError::WrongCount)
    );
}

#[test]
fn a_resumed_response_counts_the_tokens_of_earlier_attempts() {
    let mut check = StreamCheck::new(REQ, 3);
    check.take(frame(0, Part::Token("d".into()))).unwrap();
    assert!(check.take(frame(1, Part::End { count: 4 })).is_ok());
}
