//! The names that a deployment may choose: names in its network protocols, and the keys of its settings.

use crate::error::NodeError;
use pinetrestle_protocol::names::WireNames;
use pinetrestle_settings::KeyAliases;
use serde_json::Value;
use std::path::Path;
use std::rc::Rc;

/// Names that a deployment may choose.
#[derive(Clone, Debug, Default)]
pub struct DeploymentNames {
    /// Header fields, paths, keys of JSON bodies, and the frame format in the network protocols. The module
    /// [`pinetrestle_protocol::names`] defines the defaults.
    pub wire: Rc<WireNames>,
    /// Keys of the object `settings` of the configuration file. The defaults are the canonical keys, which
    /// [`pinetrestle_settings::read`] expects.
    pub setting_keys: KeyAliases,
}

impl DeploymentNames {
    /// Reads the names from JSON files. If a path is `None`, the default names are used.
    ///
    /// # Errors
    /// [`NodeError::NamesFileUnreadable`], [`NodeError::NamesFileNotJson`], [`NodeError::WireNames`] or
    /// [`NodeError::SettingKeys`]. Each contains the path of the file.
    pub fn from_files(
        wire: Option<&Path>,
        setting_keys: Option<&Path>,
    ) -> Result<DeploymentNames, NodeError> {
        let mut names = DeploymentNames::default();
        if let Some(path) = wire {
            let wire = WireNames::read(&read_json(path)?)
                .map_err(|source| NodeError::WireNames { path: path.to_owned(), source })?;
            names.wire = Rc::new(wire);
        }
        if let Some(path) = setting_keys {
            names.setting_keys = KeyAliases::from_wire_description(&read_json(path)?)
                .map_err(|source| NodeError::SettingKeys { path: path.to_owned(), source })?;
        }
        Ok(names)
    }
}

fn read_json(path: &Path) -> Result<Value, NodeError> {
    let bytes = std::fs::read(path)
        .map_err(|source| NodeError::NamesFileUnreadable { path: path.to_owned(), source })?;
    serde_json::from_slice(&bytes)
        .map_err(|source| NodeError::NamesFileNotJson { path: path.to_owned(), source })
}
