//! The names of one deployment: those on its sockets and the keys of its settings.

use crate::error::NodeError;
use pinetrestle_protocol::names::WireNames;
use pinetrestle_settings::KeyAliases;
use serde_json::Value;
use std::path::Path;
use std::rc::Rc;

/// Names that a deployment may choose for itself. The defaults are those of the operators' protocol and wire pages.
#[derive(Clone, Debug, Default)]
pub struct DeploymentNames {
    /// Header fields, paths, body keys and frame letters on the sockets.
    pub wire: Rc<WireNames>,
    /// Keys of the settings object.
    pub setting_keys: KeyAliases,
}

impl DeploymentNames {
    /// Reads the names from JSON files; a path that is `None` leaves the defaults in force.
    ///
    /// # Errors
    ///
    /// [`NodeError::NamesFileUnreadable`], [`NodeError::NamesFileNotJson`], [`NodeError::WireNames`] or
    /// [`NodeError::SettingKeys`], each with the path of the file.
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
