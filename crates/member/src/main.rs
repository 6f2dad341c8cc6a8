//! `pinetrestle`: see [`pinetrestle_member::cli`].

fn main() -> std::process::ExitCode {
    pinetrestle_member::cli::main()
}
