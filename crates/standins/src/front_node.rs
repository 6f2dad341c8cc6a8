//! Front node processes under test: start, log, signals and exit.

use crate::clients::Client;
use crate::shared::{eventually, WAIT_LIMIT};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A front node process. Dropping the handle kills the process.
pub struct FrontNode {
    child: Child,
    /// Address at which the front node listens.
    pub address: SocketAddr,
    log_lines: Arc<Mutex<Vec<String>>>,
    config_file: tempfile::TempPath,
}

/// Starts a front node that is expected to exit during startup; returns its exit code and its output.
/// `program` is the path of the executable.
///
/// A process that is still running after [`WAIT_LIMIT`] is killed and has no exit code.
pub fn failed_start(program: &str, config: &Value) -> (Option<i32>, String) {
    failed_start_with_env(program, config, &[])
}

/// Does the same as [`failed_start`], with additional environment variables for the process.
pub fn failed_start_with_env(
    program: &str,
    config: &Value,
    variables: &[(&str, &str)],
) -> (Option<i32>, String) {
    let file = write_config(config);
    let mut child = Command::new(program)
        .env("RELAY_CONFIG", &file)
        .envs(variables.iter().copied())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the front node");
    let end = Instant::now() + WAIT_LIMIT;
    while child.try_wait().expect("query the process status").is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    // Has no effect on a process that has exited.
    let _ = child.kill();
    let output = child.wait_with_output().expect("collect the output");
    let text = [output.stderr, output.stdout].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

fn write_config(config: &Value) -> tempfile::TempPath {
    let mut file = tempfile::NamedTempFile::new().expect("create the configuration file");
    file.write_all(config.to_string().as_bytes()).expect("write the configuration file");
    file.into_temp_path()
}

impl FrontNode {
    /// Starts a front node and waits until its log reports the address at which it listens. `program` is the
    /// path of the executable, optionally followed by arguments.
    pub fn start(program: &str, config: &Value) -> FrontNode {
        FrontNode::start_with_shell_setup("true", program, config)
    }

    /// Starts a front node as [`FrontNode::start`] does, from a shell that first runs `setup_command`, for
    /// instance to set resource limits or environment variables.
    pub fn start_with_shell_setup(setup_command: &str, program: &str, config: &Value) -> FrontNode {
        let config_file = write_config(config);
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("{setup_command}; exec {program}")])
            .env("RELAY_CONFIG", &config_file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("start the front node");
        let output = child.stdout.take().expect("a pipe for stdout");
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        let shared = log_lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                shared.lock().expect("lock not poisoned").push(line);
            }
        });
        let mut address = None;
        eventually("the front node logs its listen address", || {
            let lines = log_lines.lock().expect("lock not poisoned");
            let line = lines.iter().find(|line| line.contains("msg=\"serving\""));
            address = line.and_then(|line| log_field(line, "listen")).and_then(|text| text.parse().ok());
            address.is_some()
        });
        FrontNode { child, address: address.expect("a listen address"), log_lines, config_file }
    }

    /// Starts a front node as [`FrontNode::start`] does, and waits until the front node reports itself ready.
    pub fn start_ready(program: &str, config: &Value) -> FrontNode {
        let front_node = FrontNode::start(program, config);
        eventually("the front node is ready", || front_node.get("/health/ready").0 == 200);
        front_node
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the configuration file.
    pub fn config_file(&self) -> &std::path::Path {
        &self.config_file
    }

    /// Sends a GET request for a path on a new connection; returns the status and the body of the response.
    pub fn get(&self, path: &str) -> (u16, String) {
        let answer = Client::connect(self.address).send(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
        (answer.status, answer.body)
    }

    /// Returns the counters served at `/stats`.
    pub fn stats(&self) -> Value {
        serde_json::from_str(&self.get("/stats").1).expect("JSON")
    }

    /// Returns the logged close reasons of connections of one side: `client`, `index_server` or `discovery`.
    pub fn close_reasons(&self, side: &str) -> Vec<String> {
        let lines = self.log_lines.lock().expect("lock not poisoned");
        let ended = lines.iter().filter(|line| line.contains("msg=\"connection ended\""));
        ended
            .filter(|line| log_field(line, "side").as_deref() == Some(side))
            .filter_map(|line| log_field(line, "reason"))
            .collect()
    }

    /// Returns the lines logged so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().expect("lock not poisoned").clone()
    }

    /// Returns the peak resident memory of the process in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("read the process status");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a VmHWM line");
        line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("a number")
    }

    /// Sends a signal to the process; `name` is an option of `kill(1)` such as `-USR1`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("run kill").success());
    }

    /// Suspends the process (SIGSTOP), which resembles a stalled machine.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes the suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the content of the configuration file, or removes the file if `text` is `None`, and requests
    /// a reload (SIGHUP).
    pub fn reload(&self, text: Option<&str>) {
        match text {
            Some(text) => std::fs::write(&self.config_file, text).expect("write the configuration file"),
            None => std::fs::remove_file(&self.config_file).expect("removed"),
        }
        self.signal("-HUP");
    }

    /// Counts the log lines that contain all of these texts.
    pub fn count_log_lines(&self, texts: &[&str]) -> usize {
        self.log_lines().iter().filter(|line| texts.iter().all(|text| line.contains(text))).count()
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("kill the front node");
        self.child.wait().expect("wait for the front node's exit");
    }

    /// Waits for the process to exit; returns its exit code, or `None` if a signal ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut status = None;
        eventually("the front node exits", || {
            status = self.child.try_wait().expect("query the process status");
            status.is_some()
        });
        status.and_then(|status| status.code())
    }

    /// Returns true while the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("query the process status").is_none()
    }
}

impl Drop for FrontNode {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the value of a key in a log line, up to the next space.
pub fn log_field(line: &str, key: &str) -> Option<String> {
    let from = line.find(&format!(" {key}="))? + key.len() + 2;
    let rest = &line[from..];
    Some(rest.split(' ').next().unwrap_or_default().to_owned())
}

/// A front node process whose log is read up to the line with its listen address and never again, so that the
/// pipe fills up. Dropping the handle kills the process.
pub struct FrontNodeWithUnreadLog {
    child: Child,
    /// Address at which the front node listens.
    pub address: SocketAddr,
    _output: BufReader<std::process::ChildStdout>,
    _config_file: tempfile::TempPath,
}

impl FrontNodeWithUnreadLog {
    /// Starts a front node and reads its log up to the line with its listen address. `program` is the path of
    /// the executable.
    pub fn start(program: &str, config: &Value) -> FrontNodeWithUnreadLog {
        let config_file = write_config(config);
        let mut child = Command::new(program)
            .env("RELAY_CONFIG", &config_file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("start the front node");
        let mut output = BufReader::new(child.stdout.take().expect("a pipe for stdout"));
        let mut line = String::new();
        while !line.contains("msg=\"serving\"") {
            line.clear();
            let length = output.read_line(&mut line).expect("text");
            assert!(length > 0, "the front node's log ended before it was serving");
        }
        let address =
            log_field(&line, "listen").and_then(|text| text.parse().ok()).expect("a listen address");
        FrontNodeWithUnreadLog { child, address, _output: output, _config_file: config_file }
    }
}

impl Drop for FrontNodeWithUnreadLog {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
