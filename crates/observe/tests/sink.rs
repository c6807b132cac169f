//! Log lines are bounded in size and rate, and adding them never blocks.

use observe::sink::Sink;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// A writer that blocks forever.
struct BlockedWriter;

impl Write for BlockedWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer that sends what it gets to a channel.
struct ChannelWriter(Sender<Vec<u8>>);

impl Write for ChannelWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start(mut out: impl Write + Send + 'static) -> Arc<Sink> {
    let sink = Arc::new(Sink::default());
    let writer = sink.clone();
    std::thread::spawn(move || writer.write_to(&mut out));
    sink
}

fn received(rx: &Receiver<Vec<u8>>) -> Vec<u8> {
    rx.recv_timeout(Duration::from_secs(30)).unwrap()
}

#[test]
fn lines_arrive_whole_and_in_order() {
    let (tx, rx) = channel();
    let sink = start(ChannelWriter(tx));
    let mut text = Vec::new();
    for n in 0..500 {
        let line = format!("line {n}\n");
        assert!(sink.admit("request", Instant::now()));
        sink.push(line.as_bytes());
        text.extend_from_slice(line.as_bytes());
    }
    let mut out = Vec::new();
    while out.len() < text.len() {
        out.extend(received(&rx));
    }
    assert_eq!(out, text);
}

#[test]
fn lines_over_a_full_buffer_are_dropped_and_counted_by_kind() {
    let sink = start(BlockedWriter);
    let line = vec![b'x'; 1000];
    let mut now = Instant::now();
    let mut dropped = [0; 2];
    for n in 0..20_000usize {
        // Slow enough for the rate limit, so that only the buffer size drops lines.
        now += Duration::from_millis(5);
        let kind = ["answered", "attempt_failed"][n % 2];
        if sink.admit(kind, now) {
            sink.push(&line);
        } else {
            dropped[n % 2] += 1;
        }
    }
    assert!(sink.buffered_bytes() <= (512 << 10) + line.len());
    assert!(dropped.iter().all(|d| *d > 8000), "{dropped:?}");
    // The counts can't be logged while the buffer is full.
    assert!(sink.take_dropped().is_empty());
}

#[test]
fn lines_over_the_rate_limit_are_dropped_and_counted() {
    let (tx, rx) = channel();
    let sink = start(ChannelWriter(tx));
    let start = Instant::now();
    let mut kept = 0;
    for n in 0..100_000u32 {
        // Ten seconds with 10,000 lines per second.
        let now = start + Duration::from_micros(u64::from(n) * 100);
        kept += u32::from(sink.admit("answered", now));
    }
    assert!(
        (11_000..=12_100).contains(&kept),
        "1,000 a second and a burst: {kept}"
    );
    let dropped = sink.take_dropped();
    assert_eq!(dropped.len(), 1);
    assert_eq!(dropped[0].kind, "answered");
    assert_eq!(dropped[0].count, u64::from(100_000 - kept));
    sink.push(b"x");
    assert_eq!(received(&rx), b"x");
}
