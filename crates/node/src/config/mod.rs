//! The configuration of a front node, which is read from one JSON file.
//!
//! [`Config`] is the complete, validated configuration with all defaults filled in. The module `file` finds
//! and parses the configuration file. [`DeploymentNames`] contains the names that a deployment may choose,
//! [`Transport`] the timeouts and limits of the sockets. [`LiveConfig`] holds the current [`Config`], which a
//! reload replaces.

pub(crate) mod file;
mod live;
mod names;
mod transport;

pub use live::LiveConfig;
pub use names::DeploymentNames;
pub use transport::Transport;
pub(crate) use transport::MAX_LINGERING_CLIENTS;

use crate::flight_recorder::RecorderSettings;
use file::{DEFAULT_SOCKET_LIMIT, FILE_VARIABLE};
use pinetrestle::interface::{ListDelivery, Micros};
use pinetrestle_protocol::endpoint_list::{self, ListUpdate};
use pinetrestle_settings::fields::{count, field, optional, text, FieldError, Parsed};
use pinetrestle_settings::Deployment;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum of `limits.sockets`. A front node can't work with fewer file descriptors.
const MIN_SOCKET_LIMIT: u64 = 64;
/// Default of `limits.memory_mb`.
const DEFAULT_MEMORY_LIMIT_MB: u64 = 128;
/// Minimum of `limits.memory_mb`. A front node can't work with less memory.
const MIN_MEMORY_LIMIT_MB: u64 = 8;
/// Number of bytes in a megabyte of `limits.memory_mb`.
const MEGABYTE: usize = 1024 * 1024;
/// The base of the digits of the seed.
const SEED_RADIX: u32 = 16;

/// The configuration of one front node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the front node.
    pub name: String,
    /// The address on which client connections are accepted.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The endpoint list to start with, which may be stale. It is used until discovery sends a newer one.
    pub initial_list: ListUpdate,
    /// The settings of the deployment.
    pub deployment: Deployment,
    /// The number of shards.
    pub shards: u32,
    /// The memory that the process may use, in bytes. Takes effect at a start only.
    pub memory_limit: usize,
    /// Timeouts and limits of the sockets.
    pub transport: Transport,
    /// The names chosen by the deployment. They also apply to a file that is loaded later by a reload.
    pub names: DeploymentNames,
    /// The settings of the flight recorder, from its operator file. The recorder is off without that file.
    pub recorder: RecorderSettings,
    /// The object `settings` as read from the file, to detect whether a reloaded file changes it.
    raw_settings: Value,
}

/// The result of a reload: a configuration that may replace the current one.
#[derive(Clone, Debug)]
pub struct Revision {
    /// The new configuration. The keys in `needs_restart` keep their current values.
    pub config: Config,
    /// Keys of the file whose values have changed but take effect only after a restart.
    pub needs_restart: Vec<&'static str>,
}

impl Config {
    /// Parses the configuration from the JSON value of its file, with the default [`DeploymentNames`].
    ///
    /// # Errors
    /// The same errors as [`Config::from_json_with_names`].
    pub fn from_json(file: &Value) -> Parsed<Config> {
        Config::from_json_with_names(file, &DeploymentNames::default())
    }

    /// Parses the configuration from the JSON value of its file, with names chosen by the deployment.
    ///
    /// # Errors
    /// A key is missing or its value is invalid. The error contains the full path of the first such key
    /// (`settings.rules.fall`).
    pub fn from_json_with_names(file: &Value, names: &DeploymentNames) -> Parsed<Config> {
        if !file.is_object() {
            return Err(FieldError::new(FILE_VARIABLE, "is not a JSON object"));
        }
        let raw_settings = field(file, "settings")?;
        let deployment = read_deployment(raw_settings, names).map_err(|error| error.within("settings"))?;
        let initial_list = read_initial_list(file, names)?;
        let shards = deployment.transport.shards.filter(|shards| *shards > 0);
        let shards = shards.ok_or_else(|| FieldError::new("settings.family_info.slabs", "is missing"))?;
        let socket_limit = read_socket_limit(file)?;
        let transport = file.get("transport").unwrap_or(&Value::Null);
        let transport = Transport::from_json(transport, &deployment, socket_limit);
        let transport = transport.map_err(|error| error.within("transport"))?;
        Ok(Config {
            name: text(file, "name")?.to_owned(),
            listen: read_address(file, "listen")?,
            discovery: read_address(file, "discovery")?,
            seed: read_seed(file, "seed")?,
            initial_list,
            memory_limit: read_memory_limit(file)?,
            deployment: with_watched_list(deployment, transport.watch_retry_delay),
            transport,
            shards,
            names: names.clone(),
            recorder: RecorderSettings::default(),
            raw_settings: raw_settings.clone(),
        })
    }

    /// Parses a reloaded file, which is to replace this configuration.
    ///
    /// The object `settings` of this configuration is kept even if the file changes it, because open queries
    /// and attempts have been counted according to these settings.
    ///
    /// # Errors
    /// The same errors as [`Config::from_json_with_names`]. The file is also rejected if it changes `name` or
    /// `listen`.
    pub fn revised(&self, file: &Value) -> Parsed<Revision> {
        let config = self.parse_reloaded(file)?;
        let fixed_keys = [("name", config.name == self.name), ("listen", config.listen == self.listen)];
        if let Some((key, _)) = fixed_keys.iter().find(|(_, unchanged)| !unchanged) {
            return Err(FieldError::new(key, "can't change while the program runs"));
        }
        if config.raw_settings == self.raw_settings {
            return Ok(Revision { config, needs_restart: Vec::new() });
        }
        let mut file = file.clone();
        file["settings"] = self.raw_settings.clone();
        Ok(Revision { config: self.parse_reloaded(&file)?, needs_restart: vec!["settings"] })
    }

    /// Parses a file and takes over the values that come from the command line: the names and the recorder
    /// settings.
    fn parse_reloaded(&self, file: &Value) -> Parsed<Config> {
        let config = Config::from_json_with_names(file, &self.names)?;
        Ok(Config { recorder: self.recorder.clone(), ..config })
    }

    /// Reads the configuration file at the path in the environment variable `RELAY_CONFIG`. Absent keys are
    /// taken from `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY`.
    ///
    /// # Errors
    /// `RELAY_CONFIG` is not set, or the file can't be read or is not JSON.
    pub fn file_from_environment() -> Parsed<Value> {
        let path = file::path_from_environment()?;
        file::parse(&path, std::fs::read(&path))
    }
}

/// Makes the decision core request a list that discovery pushes: on sockets it arrives on a watch, which the
/// front node has to open, and again whenever it ends.
fn with_watched_list(mut deployment: Deployment, retry_delay: Duration) -> Deployment {
    if deployment.settings.list_delivery == ListDelivery::Pushed {
        let max_backoff = Micros(retry_delay.as_micros() as i64);
        deployment.settings.list_delivery = ListDelivery::Watched { max_backoff };
    }
    deployment
}

fn read_deployment(raw_settings: &Value, names: &DeploymentNames) -> Parsed<Deployment> {
    let deployment = names.setting_keys.read(raw_settings)?;
    check_classes(&deployment)?;
    check_counts(&deployment)?;
    Ok(deployment)
}

/// Checks the values of the classes that the decision core divides by or compares with, since the core
/// doesn't check them itself.
fn check_classes(deployment: &Deployment) -> Parsed<()> {
    let classes = &deployment.settings.classes;
    if classes.is_empty() {
        return Err(FieldError::new("classes", "is empty"));
    }
    for (index, class) in classes.iter().enumerate() {
        let not_positive = |key: &str| {
            let key = format!("classes[{index}].{key}");
            Err(FieldError::new(&key, "must be more than 0"))
        };
        if class.deadline.0 <= 0 {
            return not_positive("hard_limit");
        }
        if class.latency_objective.0 <= 0 {
            return not_positive("aim");
        }
    }
    Ok(())
}

/// Checks the counts that the decision core divides by or compares with, since the core doesn't check them
/// itself.
fn check_counts(deployment: &Deployment) -> Parsed<()> {
    let settings = &deployment.settings;
    let positive = [
        ("fleet_size", settings.fleet_size),
        ("family_info.positions", settings.cell_count),
        ("family_info.span", settings.cells_per_shard),
        ("permissions.try_limit", settings.limits.max_attempts),
        ("permissions.most_held", settings.limits.max_in_flight),
    ];
    match positive.iter().find(|(_, value)| *value == 0) {
        Some((key, _)) => Err(FieldError::new(key, "must be more than 0")),
        None => Ok(()),
    }
}

fn read_initial_list(file: &Value, names: &DeploymentNames) -> Parsed<ListUpdate> {
    match file.get("known") {
        None | Some(Value::Null) => Ok(ListUpdate { version: 0, complete: true, entries: Vec::new() }),
        Some(known) => endpoint_list::list_update_from_json(known, &names.wire)
            .map_err(|error| FieldError::new(&error.key, "is missing or malformed").within("known")),
    }
}

fn read_socket_limit(file: &Value) -> Parsed<usize> {
    read_limit(file, "sockets", DEFAULT_SOCKET_LIMIT, MIN_SOCKET_LIMIT)
}

/// Reads the memory limit in bytes.
fn read_memory_limit(file: &Value) -> Parsed<usize> {
    let megabytes = read_limit(file, "memory_mb", DEFAULT_MEMORY_LIMIT_MB, MIN_MEMORY_LIMIT_MB)?;
    Ok(megabytes.saturating_mul(MEGABYTE))
}

/// Reads a value of the object `limits`.
fn read_limit(file: &Value, key: &str, default: u64, minimum: u64) -> Parsed<usize> {
    let configured = match file.get("limits") {
        None => None,
        Some(limits) => optional(limits, key, count).map_err(|error| error.within("limits"))?,
    };
    let limit = configured.unwrap_or(default);
    if limit < minimum {
        return Err(FieldError::new(&format!("limits.{key}"), format!("must be at least {minimum}")));
    }
    Ok(limit as usize)
}

fn read_address(file: &Value, key: &str) -> Parsed<SocketAddr> {
    text(file, key)?.parse().map_err(|_| FieldError::new(key, "is not an address with a port"))
}

/// Reads a seed: a string of hexadecimal digits, or a JSON integer.
fn read_seed(file: &Value, key: &str) -> Parsed<u64> {
    let seed = match field(file, key)? {
        Value::String(digits) => u64::from_str_radix(digits, SEED_RADIX).ok(),
        number => number.as_u64().or_else(|| number.as_i64().map(|seed| seed as u64)),
    };
    seed.ok_or_else(|| FieldError::new(key, "is not 16 hex digits"))
}
