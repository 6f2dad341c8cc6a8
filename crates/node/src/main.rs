//! The program `pinetrestle-node`: reads its configuration and runs the front node until it receives SIGTERM
//! or SIGINT.

fn main() -> std::process::ExitCode {
    pinetrestle_node::main_from_environment()
}
