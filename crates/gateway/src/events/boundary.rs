//! Finds the ends of server-sent events in a stream of bytes, without buffering them.

/// Position in a line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// At the start of a line.
    #[default]
    LineStart,
    /// In a line that is a comment.
    Comment,
    /// In a line that is a field.
    Field,
    /// After a carriage return, which a line feed may follow.
    AfterReturn {
        /// Whether the line was empty.
        is_blank: bool,
    },
}

/// Position in a stream of events. Lines end with LF, CRLF or CR, and a blank line ends an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventBoundary {
    position: Position,
    /// Whether the current event has a complete field.
    has_field: bool,
    /// Number of events that have ended.
    events: u64,
    /// Number of bytes since the last blank line.
    incomplete_bytes: u64,
    /// Whether a line has ended with CRLF.
    uses_crlf: bool,
}

impl EventBoundary {
    /// Reads all bytes.
    pub fn push(&mut self, data: &[u8]) {
        let mut rest = data;
        while let Some(len) = self.read_to_blank_line(rest) {
            rest = &rest[len..];
        }
    }

    /// Reads bytes up to the end of the next blank line, which ends an event or a group of comments,
    /// and returns their number. Returns `None` after reading all of them if there is none.
    pub fn read_to_blank_line(&mut self, data: &[u8]) -> Option<usize> {
        let len = self.find_blank_line(data);
        self.incomplete_bytes = match len {
            Some(_) => 0,
            None => self.incomplete_bytes + data.len() as u64,
        };
        len
    }

    fn find_blank_line(&mut self, data: &[u8]) -> Option<usize> {
        for (at, byte) in data.iter().enumerate() {
            if let Position::AfterReturn { is_blank } = self.position {
                self.position = Position::LineStart;
                self.uses_crlf |= *byte == b'\n';
                match (*byte, is_blank) {
                    (b'\n', true) => return Some(at + 1),
                    (b'\n', false) => continue,
                    (_, true) => return Some(at),
                    (_, false) => {}
                }
            }
            match (self.position, byte) {
                (Position::LineStart, b'\n') => {
                    self.end_event();
                    return Some(at + 1);
                }
                (Position::LineStart, b'\r') => {
                    self.end_event();
                    self.position = Position::AfterReturn { is_blank: true };
                }
                (Position::LineStart, b':') => self.position = Position::Comment,
                (Position::LineStart, _) => self.position = Position::Field,
                (line, b'\n') => {
                    self.has_field |= line == Position::Field;
                    self.position = Position::LineStart;
                }
                (line, b'\r') => {
                    self.has_field |= line == Position::Field;
                    self.position = Position::AfterReturn { is_blank: false };
                }
                _ => {}
            }
        }
        None
    }

    fn end_event(&mut self) {
        self.events += u64::from(std::mem::take(&mut self.has_field));
    }

    /// Whether a stream that ends here ends inside an event or line.
    pub fn is_inside(&self) -> bool {
        match self.position {
            Position::LineStart => self.has_field,
            Position::Comment | Position::Field => true,
            // In a stream with CRLF, a line feed is missing.
            Position::AfterReturn { .. } => self.uses_crlf || self.has_field,
        }
    }

    /// Number of bytes after the last complete event or group of comments.
    pub fn incomplete_bytes(&self) -> u64 {
        self.incomplete_bytes
    }

    /// Number of complete events in the stream.
    pub fn events(&self) -> u64 {
        self.events
    }
}
