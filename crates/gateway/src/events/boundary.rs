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
    /// Whether an event has ended.
    has_event: bool,
    /// Whether a line has ended with CRLF.
    uses_crlf: bool,
}

impl EventBoundary {
    /// Reads all bytes.
    pub fn push(&mut self, data: &[u8]) {
        let mut rest = data;
        while let Some(len) = self.read_event(rest) {
            rest = &rest[len..];
        }
    }

    /// Reads bytes up to the end of the current event, after its blank line, and returns their
    /// number. Returns `None` after reading all of them if the event doesn't end there.
    pub fn read_event(&mut self, data: &[u8]) -> Option<usize> {
        for (at, byte) in data.iter().enumerate() {
            if let Position::AfterReturn { is_blank } = self.position {
                self.position = Position::LineStart;
                self.uses_crlf |= *byte == b'\n';
                let ends_event = is_blank && self.end_event();
                match (byte, ends_event) {
                    (b'\n', true) => return Some(at + 1),
                    (b'\n', false) => continue,
                    (_, true) => return Some(at),
                    (_, false) => {}
                }
            }
            self.position = match (self.position, byte) {
                (Position::LineStart, b'\n') => {
                    if self.end_event() {
                        return Some(at + 1);
                    }
                    Position::LineStart
                }
                (Position::LineStart, b'\r') => Position::AfterReturn { is_blank: true },
                (Position::LineStart, b':') => Position::Comment,
                (line, b'\n') => {
                    self.has_field |= line == Position::Field;
                    Position::LineStart
                }
                (line, b'\r') => {
                    self.has_field |= line == Position::Field;
                    Position::AfterReturn { is_blank: false }
                }
                (Position::LineStart, _) => Position::Field,
                (line, _) => line,
            };
        }
        None
    }

    /// Ends the current event at a blank line. Returns whether there was one.
    fn end_event(&mut self) -> bool {
        self.has_event |= self.has_field;
        std::mem::take(&mut self.has_field)
    }

    /// Whether a stream that ends here ends inside an event or line.
    pub fn is_inside(&self) -> bool {
        match self.position {
            Position::LineStart => self.has_field,
            Position::Comment | Position::Field => true,
            // In a stream with CRLF, a line feed is missing.
            Position::AfterReturn { is_blank } => self.uses_crlf || (self.has_field && !is_blank),
        }
    }

    /// Whether the stream has a complete event.
    pub fn has_event(&self) -> bool {
        let ends_here = self.position == Position::AfterReturn { is_blank: true };
        self.has_event || (self.has_field && ends_here)
    }
}
