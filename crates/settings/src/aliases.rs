//! Key aliases: settings whose keys another deployment spells in its own words.
//!
//! The wire page names each settings key; a deployment's wire description (its `init` object) may rename
//! some of them under `init.rename` and `init.words`, keyed by the simulator's own name of the key.
//! [`KeyAliases`] maps the deployment's spelling onto the wire page's, reads the settings in the wire page's
//! names, and names a key at fault as the deployment's file spells it.

use crate::fields::{Expected, FieldError, Parsed, Problem};
use crate::Deployment;
use serde_json::{Map, Value};
use std::collections::HashMap;

/// The keys that a wire description may rename: the simulator's own name of each, and the wire page's.
///
/// A dotted own name (`rules.budget_share`) is looked up whole in the description; its last segment is the
/// key as it stands in a settings object. The last three are the words for a class's `effect`.
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

/// The key of a wire description that holds its renames.
const INIT_KEY: &str = "init";
/// The objects under `init` that rename keys and words; both are read alike.
const RENAME_GROUPS: [&str; 2] = ["rename", "words"];
/// The settings key whose string value is itself a renameable word.
const EFFECT_KEY: &str = "effect";

/// How a deployment's settings spell their keys, mapped onto the wire page's names.
///
/// The default maps nothing: the settings are read as the wire page names them.
#[derive(Clone, Debug, Default)]
pub struct KeyAliases {
    /// The deployment's name of a key or effect word -> the wire page's name.
    to_wire: HashMap<String, String>,
}

impl KeyAliases {
    /// Reads the aliases of a wire description in the operators' form: an object with `init`, which may hold
    /// the objects `init.rename` and `init.words` of simulator names to the deployment's names.
    ///
    /// A renameable key that the description leaves alone keeps the simulator's own name. Renames of keys
    /// that the settings don't use are ignored.
    ///
    /// # Errors
    ///
    /// A [`FieldError`] when `init` is absent (key `init`), when `init.rename` or `init.words` is not an
    /// object, or when one of their values is not a string (key `init.rename.<name>`).
    pub fn from_wire_description(wire: &Value) -> Parsed<KeyAliases> {
        let init = wire.get(INIT_KEY).ok_or_else(|| FieldError::new(INIT_KEY, Problem::Missing))?;
        let mut to_wire = HashMap::new();
        for group in RENAME_GROUPS {
            if let Some(renames) = init.get(group) {
                add_renames(&mut to_wire, group, renames).map_err(|error| error.within(INIT_KEY))?;
            }
        }
        add_unrenamed_keys(&mut to_wire, init);
        Ok(KeyAliases { to_wire })
    }

    /// Reads a settings object spelled with these aliases, as [`crate::read`] reads one in the wire page's
    /// names.
    ///
    /// # Errors
    ///
    /// The [`FieldError`] of [`crate::read`], its key spelled as the settings object spells it.
    pub fn read(&self, options: &Value) -> Parsed<Deployment> {
        if self.to_wire.is_empty() {
            return crate::read(options);
        }
        crate::read(&self.to_wire_names(options)).map_err(|error| self.to_file_names(error))
    }

    /// The same value with its keys, and the words of its effects, in the wire page's names.
    fn to_wire_names(&self, value: &Value) -> Value {
        match value {
            Value::Object(object) => {
                let renamed = object.iter().map(|(key, value)| {
                    let wire_key = self.to_wire.get(key).unwrap_or(key).clone();
                    let value = match (wire_key.as_str(), value) {
                        (EFFECT_KEY, Value::String(word)) => {
                            Value::from(self.to_wire.get(word).unwrap_or(word).as_str())
                        }
                        _ => self.to_wire_names(value),
                    };
                    (wire_key, value)
                });
                Value::Object(renamed.collect::<Map<_, _>>())
            }
            Value::Array(items) => Value::Array(items.iter().map(|item| self.to_wire_names(item)).collect()),
            other => other.clone(),
        }
    }

    /// The same error with each segment of its key path spelled as the settings object spells it.
    fn to_file_names(&self, error: FieldError) -> FieldError {
        let file_name = |segment: &str| {
            let (name, index) = segment.split_at(segment.find('[').unwrap_or(segment.len()));
            let alias = self.to_wire.iter().find(|(_, wire_name)| *wire_name == name);
            format!("{}{index}", alias.map_or(name, |(file_name, _)| file_name))
        };
        let key = error.key.split('.').map(file_name).collect::<Vec<_>>().join(".");
        FieldError { key, ..error }
    }
}

/// Adds the renames of one group of `init` (`rename` or `words`) that concern renameable keys.
fn add_renames(to_wire: &mut HashMap<String, String>, group: &str, renames: &Value) -> Parsed<()> {
    let renames =
        renames.as_object().ok_or_else(|| FieldError::new(group, Problem::WrongType(Expected::Object)))?;
    for (own, theirs) in renames {
        let theirs =
            theirs.as_str().ok_or_else(|| FieldError::new(own, Problem::NotAString).within(group))?;
        // A key that the settings don't read needs no alias.
        if let Some((_, wire_name)) = RENAMEABLE_KEYS.iter().find(|(known, _)| known == own) {
            to_wire.insert(theirs.to_owned(), (*wire_name).to_owned());
        }
    }
    Ok(())
}

/// Maps the simulator's own name of each renameable key that `init` leaves alone, so that a deployment that
/// renames only some keys still reads the others in the simulator's names.
fn add_unrenamed_keys(to_wire: &mut HashMap<String, String>, init: &Value) {
    for (own, wire_name) in RENAMEABLE_KEYS {
        let renamed =
            RENAME_GROUPS.iter().any(|group| init.get(group).and_then(|renames| renames.get(own)).is_some());
        if !renamed {
            let key = own.rsplit('.').next().unwrap_or(own);
            to_wire.entry(key.to_owned()).or_insert_with(|| wire_name.to_owned());
        }
    }
}
