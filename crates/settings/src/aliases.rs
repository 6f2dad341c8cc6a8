//! Settings of deployments that use other names for some of the keys.
//!
//! A settings key has up to three names:
//! - the canonical key, which [`read`](crate::read) expects, for example `hard_limit`;
//! - the simulator's key, for example `deadline`;
//! - the alias that a deployment uses in its settings.
//!
//! The wire description of a deployment is a JSON object that contains these aliases: its objects
//! `init.rename` and `init.words` map the simulator's keys to aliases. [`KeyAliases`] maps the aliases to
//! canonical keys, reads the settings, and names the key in an error as the settings object spells it.

use crate::fields::{Expected, FieldError, Parsed, Problem};
use crate::Deployment;
use serde_json::{Map, Value};
use std::collections::HashMap;

/// The keys that a wire description may rename, as pairs of the simulator's key and the canonical key.
///
/// A simulator's key with a dot (`rules.budget_share`) appears as a whole in a wire description. In a
/// settings object only its last segment is used. The last three pairs are values of `effect` rather than
/// keys.
const RENAMEABLE_KEYS: [(&str, &str); 35] = [
    ("zones", "azs"),
    ("tier", "layer"),
    ("balancers", "fleet_size"),
    ("tick", "quantum"),
    ("tenants", "projects"),
    ("deadline", "hard_limit"),
    ("worth", "gain"),
    ("window", "dedup_window"),
    ("worth_by", "counted_by"),
    ("goal", "blend"),
    ("weights", "weight_kind"),
    ("ask_within", "must_ask_in"),
    ("prices", "fees"),
    ("limits", "permissions"),
    ("report", "feedback"),
    ("max_attempts", "try_limit"),
    ("max_open", "most_held"),
    ("probes", "probing"),
    ("second_copies", "may_duplicate"),
    ("answer_slack", "grace_to_answer"),
    ("cold_from", "cold_share"),
    ("cold", "warm_within"),
    ("fall_multiple", "tip_multiple"),
    ("shards", "slabs"),
    ("cells", "positions"),
    ("reach", "span"),
    ("class_need", "need_by_class"),
    ("class_partial", "partial_earns"),
    ("class_fetch", "second_step"),
    ("rules.budget_share", "extra_per_request"),
    ("rules.budget_free", "extra_floor"),
    ("rules.budget_window", "counted_over"),
    ("safe", "retryable"),
    ("keyed", "dedup"),
    ("unsafe", "fragile"),
];

/// Key of the object in a wire description that contains the aliases.
const INIT_KEY: &str = "init";
/// Keys of the objects in `init` that contain aliases. Both are read in the same way.
const RENAME_GROUPS: [&str; 2] = ["rename", "words"];
/// The canonical key whose string value may also have an alias.
const EFFECT_KEY: &str = "effect";

/// The aliases that a deployment uses for settings keys.
///
/// The default has no aliases and reads settings with canonical keys.
#[derive(Clone, Debug, Default)]
pub struct KeyAliases {
    /// Canonical keys and values of `effect`, by alias.
    canonical_by_alias: HashMap<String, String>,
}

impl KeyAliases {
    /// Reads the aliases from a wire description: an object with the key `init`, whose optional objects
    /// `rename` and `words` map the simulator's keys to aliases.
    ///
    /// For a key without an alias in the description, the alias is the simulator's key. Aliases of keys that
    /// are not read from the settings are ignored.
    ///
    /// # Errors
    ///
    /// [`FieldError`] if `init` is missing, if `init.rename` or `init.words` is not an object, or if one of
    /// their values is not a string (with the key `init.rename.<name>` or `init.words.<name>`).
    pub fn from_wire_description(wire: &Value) -> Parsed<KeyAliases> {
        let init = wire.get(INIT_KEY).ok_or_else(|| FieldError::new(INIT_KEY, Problem::Missing))?;
        let mut canonical_by_alias = HashMap::new();
        for group in RENAME_GROUPS {
            if let Some(renames) = init.get(group) {
                add_renames(&mut canonical_by_alias, group, renames)
                    .map_err(|error| error.within(INIT_KEY))?;
            }
        }
        add_simulator_keys(&mut canonical_by_alias, init);
        Ok(KeyAliases { canonical_by_alias })
    }

    /// Reads a settings object that uses these aliases, in the same way as [`crate::read`] reads one with
    /// canonical keys.
    ///
    /// # Errors
    ///
    /// The [`FieldError`] of [`crate::read`], with its key as the settings object spells it.
    pub fn read(&self, options: &Value) -> Parsed<Deployment> {
        if self.canonical_by_alias.is_empty() {
            return crate::read(options);
        }
        crate::read(&self.canonical_options(options)).map_err(|error| self.error_with_aliases(error))
    }

    /// Returns the value with canonical keys and canonical values of `effect`.
    fn canonical_options(&self, value: &Value) -> Value {
        match value {
            Value::Object(object) => {
                let renamed = object.iter().map(|(key, value)| {
                    let canonical_key = self.canonical_by_alias.get(key).unwrap_or(key).clone();
                    let value = match (canonical_key.as_str(), value) {
                        (EFFECT_KEY, Value::String(word)) => {
                            Value::from(self.canonical_by_alias.get(word).unwrap_or(word).as_str())
                        }
                        _ => self.canonical_options(value),
                    };
                    (canonical_key, value)
                });
                Value::Object(renamed.collect::<Map<_, _>>())
            }
            Value::Array(items) => {
                Value::Array(items.iter().map(|item| self.canonical_options(item)).collect())
            }
            other => other.clone(),
        }
    }

    /// Returns the error with each segment of its key replaced by the alias that the settings object uses.
    fn error_with_aliases(&self, error: FieldError) -> FieldError {
        let with_alias = |segment: &str| {
            let (name, index) = segment.split_at(segment.find('[').unwrap_or(segment.len()));
            let entry = self.canonical_by_alias.iter().find(|(_, canonical)| *canonical == name);
            format!("{}{index}", entry.map_or(name, |(alias, _)| alias))
        };
        let key = error.key.split('.').map(with_alias).collect::<Vec<_>>().join(".");
        FieldError { key, ..error }
    }
}

/// Adds the aliases of renameable keys from one object of `init` (`rename` or `words`).
fn add_renames(canonical_by_alias: &mut HashMap<String, String>, group: &str, renames: &Value) -> Parsed<()> {
    let renames =
        renames.as_object().ok_or_else(|| FieldError::new(group, Problem::WrongType(Expected::Object)))?;
    for (simulator_key, alias) in renames {
        let alias = alias
            .as_str()
            .ok_or_else(|| FieldError::new(simulator_key, Problem::NotAString).within(group))?;
        // Wire descriptions may also rename keys that are not read from the settings. These are ignored.
        if let Some((_, canonical)) = RENAMEABLE_KEYS.iter().find(|(known, _)| known == simulator_key) {
            canonical_by_alias.insert(alias.to_owned(), (*canonical).to_owned());
        }
    }
    Ok(())
}

/// Adds the simulator's key as the alias of each renameable key that `init` doesn't rename. A deployment that
/// renames some keys uses the simulator's keys for the others.
fn add_simulator_keys(canonical_by_alias: &mut HashMap<String, String>, init: &Value) {
    for (simulator_key, canonical) in RENAMEABLE_KEYS {
        let is_renamed = RENAME_GROUPS
            .iter()
            .any(|group| init.get(group).and_then(|renames| renames.get(simulator_key)).is_some());
        if !is_renamed {
            let key = simulator_key.rsplit('.').next().unwrap_or(simulator_key);
            canonical_by_alias.entry(key.to_owned()).or_insert_with(|| canonical.to_owned());
        }
    }
}
