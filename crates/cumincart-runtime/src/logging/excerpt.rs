//! Excerpts of long texts, so that a log line stays short whatever a client, an endpoint, a peer or an operator sent.

use {
    slog::{BorrowedKV, Drain, KV, Key, OwnedKVList, Record, Serializer, b, record_static},
    std::{
        borrow::Cow,
        fmt::{self, Arguments, Write},
    },
};

/// The length up to which a text is logged as it is, in bytes. Identifiers and names are much shorter.
pub const LOGGED_TEXT_MAX_BYTES: usize = 2 * 1_024;

/// Returns a text in the form in which it is logged: unchanged if it is short, otherwise its beginning and its length.
pub fn excerpt(text: &str) -> Cow<'_, str> {
    if text.len() <= LOGGED_TEXT_MAX_BYTES {
        return Cow::Borrowed(text);
    }
    let beginning = &text[..text.floor_char_boundary(LOGGED_TEXT_MAX_BYTES)];
    Cow::Owned(format!("{beginning}... ({} bytes)", text.len()))
}

/// Formats a value as an excerpt, without storing what is left out.
fn format_excerpt(value: &Arguments<'_>) -> Result<String, fmt::Error> {
    let mut excerpt = ExcerptWriter::default();
    excerpt.write_fmt(*value)?;
    if excerpt.total_bytes > excerpt.beginning.len() {
        let total_bytes = excerpt.total_bytes;
        write!(excerpt.beginning, "... ({total_bytes} bytes)")?;
    }
    Ok(excerpt.beginning)
}

#[derive(Default)]
struct ExcerptWriter {
    beginning: String,
    total_bytes: usize,
}

impl Write for ExcerptWriter {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        // Nothing may follow a part that was cut.
        if self.total_bytes == self.beginning.len() {
            let left_bytes = LOGGED_TEXT_MAX_BYTES - self.beginning.len();
            self.beginning.push_str(&part[..part.floor_char_boundary(left_bytes)]);
        }
        self.total_bytes += part.len();
        Ok(())
    }
}

/// A drain that shortens the message and the text values of every line to excerpts.
#[derive(Debug)]
pub struct ExcerptDrain<D> {
    drain: D,
}

impl<D> ExcerptDrain<D> {
    /// Creates a drain that passes the shortened lines to another one.
    pub fn new(drain: D) -> Self {
        Self { drain }
    }
}

impl<D: Drain> Drain for ExcerptDrain<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let message = format_excerpt(record.msg()).unwrap_or_default();
        let origin = record_static!(record.level(), record.tag());
        let fields = ExcerptFields(record.kv());
        self.drain.log(&Record::new(&origin, &format_args!("{message}"), b!(fields)), values)
    }
}

struct ExcerptFields<'a>(BorrowedKV<'a>);

impl KV for ExcerptFields<'_> {
    fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        self.0.serialize(record, &mut ExcerptSerializer { serializer })
    }
}

/// Passes texts on as excerpts, and other values unchanged.
struct ExcerptSerializer<'a> {
    serializer: &'a mut dyn Serializer,
}

macro_rules! emit_unchanged {
    ($($method:ident: $value:ty),+ $(,)?) => {
        $(fn $method(&mut self, key: Key, value: $value) -> slog::Result {
            self.serializer.$method(key, value)
        })+
    };
}

impl Serializer for ExcerptSerializer<'_> {
    emit_unchanged! {
        emit_usize: usize,
        emit_isize: isize,
        emit_bool: bool,
        emit_char: char,
        emit_u8: u8,
        emit_i8: i8,
        emit_u16: u16,
        emit_i16: i16,
        emit_u32: u32,
        emit_i32: i32,
        emit_f32: f32,
        emit_u64: u64,
        emit_i64: i64,
        emit_f64: f64,
        emit_u128: u128,
        emit_i128: i128,
    }

    fn emit_unit(&mut self, key: Key) -> slog::Result {
        self.serializer.emit_unit(key)
    }

    fn emit_none(&mut self, key: Key) -> slog::Result {
        self.serializer.emit_none(key)
    }

    fn emit_str(&mut self, key: Key, value: &str) -> slog::Result {
        self.serializer.emit_str(key, &excerpt(value))
    }

    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        let value = format_excerpt(value)?;
        self.serializer.emit_arguments(key, &format_args!("{value}"))
    }
}
