//! The configuration of a front node: read from one JSON file, checked as a whole and given its defaults.
//!
//! [`Config`] is the whole of it. `file` finds and parses the file, [`DeploymentNames`] holds the names that a
//! deployment chooses for itself, [`Transport`] the timeouts and capacities of the sockets, and [`LiveConfig`] the
//! configuration that is in force while the program serves.

pub(crate) mod file;
mod live;
mod names;
mod transport;

pub use live::LiveConfig;
pub use names::DeploymentNames;
pub use transport::Transport;
pub(crate) use transport::MAX_LINGERING_CLIENTS;

use crate::flight_recorder::RecorderSettings;
use file::{DEFAULT_SOCKETS, FILE_VARIABLE};
use pinetrestle_protocol::endpoint_list::{self, ListUpdate};
use pinetrestle_settings::fields::{count, field, optional, text, FieldError, Parsed};
use pinetrestle_settings::Deployment;
use serde_json::Value;
use std::net::SocketAddr;

/// Fewest descriptors with which a front node can work.
const MIN_SOCKETS: u64 = 64;
/// The base of the seed's digits.
const HEXADECIMAL: u32 = 16;

/// The configuration of one front node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front node's name.
    pub name: String,
    /// The address where clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// The endpoint list as last known before the start, possibly stale.
    pub initial_list: ListUpdate,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// Number of shards.
    pub shards: u32,
    /// Timeouts and capacities of the sockets.
    pub transport: Transport,
    /// The names of the deployment; a file that is loaded later is read by them too.
    pub names: DeploymentNames,
    /// The flight recorder's operator file; off where there is none.
    pub recorder: RecorderSettings,
    /// The settings as the file states them, to tell whether those of another file differ.
    raw_settings: Value,
}

/// A configuration that may replace the one in force.
#[derive(Clone, Debug)]
pub struct Revision {
    /// The configuration, with the keys of `needs_restart` as they are in force now.
    pub config: Config,
    /// Keys of the file whose new values take effect at the next start only.
    pub needs_restart: Vec<&'static str>,
}

impl Config {
    /// Reads the configuration from the JSON value of its file, with the names of the protocol page.
    ///
    /// # Errors
    ///
    /// As [`Config::read`].
    pub fn from_json(file: &Value) -> Parsed<Config> {
        Config::read(file, &DeploymentNames::default())
    }

    /// Reads the configuration from the JSON value of its file, with the names of a deployment.
    ///
    /// # Errors
    ///
    /// The first key that is missing or wrong, by its whole path (`settings.rules.fall`).
    pub fn read(file: &Value, names: &DeploymentNames) -> Parsed<Config> {
        if !file.is_object() {
            return Err(FieldError::new(FILE_VARIABLE, "is not a JSON object"));
        }
        let raw_settings = field(file, "settings")?;
        let deployment = read_deployment(raw_settings, names).map_err(|error| error.within("settings"))?;
        let initial_list = read_initial_list(file, names)?;
        let shards = deployment.transport.shards.filter(|shards| *shards > 0);
        let shards = shards.ok_or_else(|| FieldError::new("settings.family_info.slabs", "is missing"))?;
        let sockets = read_socket_limit(file)?;
        let transport = file.get("transport").unwrap_or(&Value::Null);
        let transport = Transport::read(transport, &deployment, sockets);
        Ok(Config {
            name: text(file, "name")?.to_owned(),
            listen: read_address(file, "listen")?,
            discovery: read_address(file, "discovery")?,
            seed: read_seed(file, "seed")?,
            initial_list,
            transport: transport.map_err(|error| error.within("transport"))?,
            deployment,
            shards,
            names: names.clone(),
            recorder: RecorderSettings::default(),
            raw_settings: raw_settings.clone(),
        })
    }

    /// Reads the configuration that takes this one's place while the program runs. The settings stay as they are in
    /// force, since open queries and attempts were counted by them.
    ///
    /// # Errors
    ///
    /// As [`Config::read`]; or the file is for another front node or another address to listen on.
    pub fn revised(&self, file: &Value) -> Parsed<Revision> {
        let config = self.read_next(file)?;
        let fixed = [("name", config.name == self.name), ("listen", config.listen == self.listen)];
        if let Some((key, _)) = fixed.iter().find(|(_, unchanged)| !unchanged) {
            return Err(FieldError::new(key, "can't change while the program runs"));
        }
        if config.raw_settings == self.raw_settings {
            return Ok(Revision { config, needs_restart: Vec::new() });
        }
        let mut file = file.clone();
        file["settings"] = self.raw_settings.clone();
        Ok(Revision { config: self.read_next(&file)?, needs_restart: vec!["settings"] })
    }

    /// Reads a file with what the command line stated at the start.
    fn read_next(&self, file: &Value) -> Parsed<Config> {
        let config = Config::read(file, &self.names)?;
        Ok(Config { recorder: self.recorder.clone(), ..config })
    }

    /// Reads the file that the environment names, completed by the environment.
    ///
    /// # Errors
    ///
    /// `RELAY_CONFIG` is not set, or its file can't be read or is not JSON.
    pub fn file_from_environment() -> Parsed<Value> {
        let path = file::path_from_environment()?;
        file::parse(&path, std::fs::read(&path))
    }
}

fn read_deployment(raw_settings: &Value, names: &DeploymentNames) -> Parsed<Deployment> {
    let deployment = names.setting_keys.read(raw_settings)?;
    check_classes(&deployment)?;
    check_counts(&deployment)?;
    Ok(deployment)
}

/// The decision core divides by these figures, or compares with them, without a check of its own.
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
    let stated = match file.get("limits") {
        None => None,
        Some(limits) => optional(limits, "sockets", count).map_err(|error| error.within("limits"))?,
    };
    let sockets = stated.unwrap_or(DEFAULT_SOCKETS);
    if sockets < MIN_SOCKETS {
        return Err(FieldError::new("limits.sockets", format!("is under {MIN_SOCKETS}")));
    }
    Ok(sockets as usize)
}

fn read_address(file: &Value, key: &str) -> Parsed<SocketAddr> {
    text(file, key)?.parse().map_err(|_| FieldError::new(key, "is not an address with a port"))
}

/// A seed is 16 hex digits, or a JSON number.
fn read_seed(file: &Value, key: &str) -> Parsed<u64> {
    let seed = match field(file, key)? {
        Value::String(digits) => u64::from_str_radix(digits, HEXADECIMAL).ok(),
        number => number.as_u64().or_else(|| number.as_i64().map(|seed| seed as u64)),
    };
    seed.ok_or_else(|| FieldError::new(key, "is not 16 hex digits"))
}
