//! Prints to standard output, which may be closed early, as in `baobabctl timeline FILE | head`.

use std::{
    fmt,
    io::{self, ErrorKind, Write},
    process,
};

/// Prints one line like `println!`, but exits instead of panicking if the output is closed.
macro_rules! print_line {
    ($($text:tt)*) => {
        $crate::output::write_line(format_args!($($text)*))
    };
}

pub(crate) use print_line;

/// Prints one line. On a broken pipe the process exits with status 0, on any other error with status 1
/// and the error.
pub(crate) fn write_line(text: fmt::Arguments<'_>) {
    let Err(error) = writeln!(io::stdout().lock(), "{text}") else { return };
    if error.kind() == ErrorKind::BrokenPipe {
        process::exit(0);
    }
    eprintln!("baobabctl: cannot write: {error}");
    process::exit(1);
}
