//! The program under test.

use crate::clients::Client;
use crate::shared::{eventually, WAIT_LIMIT};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A running front node.
pub struct FrontNode {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    file: tempfile::TempPath,
}

/// Starts a program that can't run: its exit code and its output.
pub fn failed_start(program: &str, config: &Value) -> (Option<i32>, String) {
    failed_start_with_env(program, config, &[])
}

/// The same with further variables in the environment.
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
        .expect("the program starts");
    let end = Instant::now() + WAIT_LIMIT;
    while child.try_wait().expect("it can be asked").is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    // One that serves all the same is ended here; it has no exit code then.
    let _ = child.kill();
    let output = child.wait_with_output().expect("it has ended");
    let text = [output.stderr, output.stdout].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

fn write_config(config: &Value) -> tempfile::TempPath {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(config.to_string().as_bytes()).expect("written");
    file.into_temp_path()
}

impl FrontNode {
    /// Starts it and waits until its log names the address at which it listens.
    pub fn start(program: &str, config: &Value) -> FrontNode {
        FrontNode::start_with_shell_setup("true", program, config)
    }

    /// Starts it from a shell after this command.
    pub fn start_with_shell_setup(command: &str, program: &str, config: &Value) -> FrontNode {
        let file = write_config(config);
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("{command}; exec {program}")])
            .env("RELAY_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("a pipe");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let shared = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                shared.lock().expect("no panic").push(line);
            }
        });
        let mut address = None;
        eventually("the program says where it listens", || {
            let lines = lines.lock().expect("no panic");
            let line = lines.iter().find(|line| line.contains("msg=\"serving\""));
            address = line.and_then(|line| log_field(line, "listen")).and_then(|text| text.parse().ok());
            address.is_some()
        });
        FrontNode { child, address: address.expect("an address"), lines, file }
    }

    /// Starts it and waits until it is ready.
    pub fn start_ready(program: &str, config: &Value) -> FrontNode {
        let program = FrontNode::start(program, config);
        eventually("ready", || program.get("/health/ready").0 == 200);
        program
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Its configuration file.
    pub fn config_file(&self) -> &std::path::Path {
        &self.file
    }

    /// Sends a GET request for a path: status and body.
    pub fn get(&self, path: &str) -> (u16, String) {
        let answer = Client::connect(self.address).send(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
        (answer.status, answer.body)
    }

    /// Its counters.
    pub fn stats(&self) -> Value {
        serde_json::from_str(&self.get("/stats").1).expect("JSON")
    }

    /// Close reasons of the connections of a side, as logged.
    pub fn close_reasons(&self, side: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("no panic");
        let ended = lines.iter().filter(|line| line.contains("msg=\"connection ended\""));
        ended
            .filter(|line| log_field(line, "side").as_deref() == Some(side))
            .filter_map(|line| log_field(line, "reason"))
            .collect()
    }

    /// The lines of its log so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.lines.lock().expect("no panic").clone()
    }

    /// Its peak resident memory in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
        line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("a number")
    }

    /// Sends it a signal, as `-USR1`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Suspends it (SIGSTOP), as a machine that stalls does.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes it (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the text of the configuration file, or removes the file, and requests a reload (SIGHUP).
    pub fn reload(&self, text: Option<&str>) {
        match text {
            Some(text) => std::fs::write(&self.file, text).expect("written"),
            None => std::fs::remove_file(&self.file).expect("removed"),
        }
        self.signal("-HUP");
    }

    /// How many lines of the log contain all of these texts.
    pub fn count_log_lines(&self, texts: &[&str]) -> usize {
        self.log_lines().iter().filter(|line| texts.iter().all(|text| line.contains(text))).count()
    }

    /// Kills it (SIGKILL).
    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }

    /// The exit code, once it has ended.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut code = None;
        eventually("the program ends", || {
            code = self.child.try_wait().expect("it can be asked");
            code.is_some()
        });
        code.and_then(|code| code.code())
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("it can be asked").is_none()
    }
}

impl Drop for FrontNode {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The value of a key in a log line.
pub fn log_field(line: &str, key: &str) -> Option<String> {
    let from = line.find(&format!(" {key}="))? + key.len() + 2;
    let rest = &line[from..];
    Some(rest.split(' ').next().unwrap_or_default().to_owned())
}
/// A program whose log is read up to the line that names its address, and never again.
pub struct FrontNodeWithUnreadLog {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    _output: BufReader<std::process::ChildStdout>,
    _file: tempfile::TempPath,
}

impl FrontNodeWithUnreadLog {
    /// Starts it and reads its log up to that line.
    pub fn start(program: &str, config: &Value) -> FrontNodeWithUnreadLog {
        let file = write_config(config);
        let mut child = Command::new(program)
            .env("RELAY_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut output = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        while !line.contains("msg=\"serving\"") {
            line.clear();
            assert!(output.read_line(&mut line).expect("text") > 0, "it ended");
        }
        let address = log_field(&line, "listen").and_then(|text| text.parse().ok()).expect("an address");
        FrontNodeWithUnreadLog { child, address, _output: output, _file: file }
    }
}

impl Drop for FrontNodeWithUnreadLog {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
