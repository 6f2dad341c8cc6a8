//! Lines of the wire to events, and actions to lines of the wire.

use pinetrestle::interface::*;
use pinetrestle::FrontNode;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};

type Parsed<T> = Result<T, String>;

/// One instance: its front node and the names it was given.
struct Instance {
    node: FrontNode,
    classes: Vec<String>,
    tenants: Vec<String>,
    servers: Vec<String>,
    numbers: HashMap<String, ReplicaId>,
    events: Vec<Event>,
}

/// The state of the connection to the simulator.
#[derive(Default)]
pub struct Link {
    now: Micros,
    tables: BTreeMap<u64, Vec<Value>>,
    instances: BTreeMap<u64, Instance>,
    /// Instances with an event in this batch, in order of their first one.
    touched: Vec<u64>,
}

fn field<'a>(value: &'a Value, name: &str) -> Parsed<&'a Value> {
    match value.get(name) {
        Some(Value::Null) | None => Err(format!("field '{name}' is missing")),
        Some(found) => Ok(found),
    }
}

fn int(value: &Value, name: &str) -> Parsed<i64> {
    field(value, name)?.as_i64().ok_or_else(|| format!("field '{name}' is not a whole number"))
}

fn count(value: &Value, name: &str) -> Parsed<u64> {
    field(value, name)?.as_u64().ok_or_else(|| format!("field '{name}' is not a count"))
}

fn id(value: &Value, name: &str) -> Parsed<u32> {
    u32::try_from(count(value, name)?).map_err(|_| format!("field '{name}' is out of range"))
}

fn micros(value: &Value, name: &str) -> Parsed<Micros> {
    int(value, name).map(Micros)
}

fn number(value: &Value, name: &str) -> Parsed<f64> {
    field(value, name)?.as_f64().ok_or_else(|| format!("field '{name}' is not a number"))
}

fn text<'a>(value: &'a Value, name: &str) -> Parsed<&'a str> {
    field(value, name)?.as_str().ok_or_else(|| format!("field '{name}' is not text"))
}

fn flag(value: &Value, name: &str) -> Parsed<bool> {
    field(value, name)?.as_bool().ok_or_else(|| format!("field '{name}' is not true or false"))
}

fn list<'a>(value: &'a Value, name: &str) -> Parsed<&'a Vec<Value>> {
    field(value, name)?.as_array().ok_or_else(|| format!("field '{name}' is not a list"))
}

/// A field that may be absent.
fn maybe<T>(value: &Value, name: &str, read: impl Fn(&Value, &str) -> Parsed<T>) -> Parsed<Option<T>> {
    if value.get(name).is_none_or(Value::is_null) {
        return Ok(None);
    }
    read(value, name).map(Some)
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn names(values: &[Value], name: &str) -> Parsed<Vec<String>> {
    values.iter().map(|value| text(value, name).map(str::to_owned)).collect()
}

fn nth(values: &[Value], index: usize, name: &str) -> Parsed<f64> {
    let found = values.get(index).and_then(Value::as_f64);
    found.ok_or_else(|| format!("field '{name}' has no number for class {index}"))
}

fn settings(options: &Value) -> Parsed<Settings> {
    let info = field(options, "family_info")?;
    let (floors, needs) = (list(info, "class_floor")?, list(info, "need_by_class")?);
    let (partials, steps) = (list(info, "partial_earns")?, list(info, "second_step")?);
    let mut classes = Vec::new();
    for (index, class) in list(options, "classes")?.iter().enumerate() {
        classes.push(Class {
            aim: micros(class, "aim")?,
            aim_stretch: maybe(class, "aim_stretch", number)?.unwrap_or(0.0),
            deadline: micros(class, "hard_limit")?,
            worth: number(class, "gain")?,
            late_worth: number(class, "late_worth")?,
            effect: match text(class, "effect")? {
                "retryable" => Effect::Safe,
                "dedup" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            keyed_window: micros(class, "dedup_window")?,
            need: nth(needs, index, "need_by_class")?,
            floor: nth(floors, index, "class_floor")?,
            partial: nth(partials, index, "partial_earns")?,
            second_step: nth(steps, index, "second_step")? as u32,
        });
    }
    let tenants = list(options, "projects")?.iter();
    let tenants = tenants.map(|tenant| Ok(Tenant { quota_per_s: number(tenant, "quota_per_s")? }));
    let (limits, rules) = (field(options, "permissions")?, field(options, "rules")?);
    let retry_budget = match maybe(rules, "counted_over", micros)? {
        None => None,
        Some(window) => Some(RetryBudget {
            window,
            floor: maybe(rules, "extra_floor", number)?.unwrap_or(0.0),
            share: maybe(rules, "extra_per_request", number)?.unwrap_or(0.0),
        }),
    };
    Ok(Settings {
        fleet_size: id(options, "fleet_size")?,
        classes,
        tenants: tenants.collect::<Parsed<_>>()?,
        over_quota_worth: maybe(options, "over_share_worth", number)?.unwrap_or(1.0),
        waste_price: match options.get("fees") {
            Some(fees) => maybe(fees, "waste", number)?.unwrap_or(0.0),
            None => 0.0,
        },
        marks_repeats: match options.get("clients") {
            Some(clients) => maybe(clients, "marks_retry", flag)?.unwrap_or(false),
            None => false,
        },
        must_ask: text(options, "discovery")? != "push",
        cells: id(info, "positions")?,
        span: id(info, "span")?,
        tick: micros(options, "quantum")?,
        limits: Limits {
            attempts: id(limits, "try_limit")?,
            may_duplicate: flag(limits, "may_duplicate")?,
            cancel: flag(limits, "cancel")?,
            retry_after: flag(limits, "retry_after")?,
            max_retry_after: maybe(limits, "max_retry_after", micros)?.unwrap_or_default(),
            held: id(limits, "most_held")?,
            batch: id(info, "batch")?,
        },
        rules: Rules {
            cold_share: number(rules, "cold_share")?,
            warm_within: micros(rules, "warm_within")?,
            tip_multiple: number(rules, "tip_multiple")?,
            fall: micros(rules, "fall")?,
            ask_within: maybe(rules, "must_ask_in", micros)?.unwrap_or_default(),
            retry_budget,
        },
    })
}

impl Instance {
    fn new(seed: u64, options: &Value, now: Micros) -> Parsed<Instance> {
        Ok(Instance {
            node: FrontNode::new(settings(options)?, seed, now),
            classes: names(list(options, "classes")?, "name")?,
            tenants: names(list(options, "projects")?, "name")?,
            servers: Vec::new(),
            numbers: HashMap::new(),
            events: Vec::new(),
        })
    }

    /// The instance's own number for a server, given in the order in which its lists named them.
    fn replica(&mut self, server: &str) -> ReplicaId {
        if let Some(number) = self.numbers.get(server) {
            return *number;
        }
        let number = self.servers.len() as ReplicaId;
        self.servers.push(server.to_owned());
        self.numbers.insert(server.to_owned(), number);
        number
    }

    fn listed(&mut self, item: &Value) -> Parsed<Listed> {
        Ok(Listed {
            replica: self.replica(text(item, "server")?),
            cell: id(item, "cell")?,
            size: maybe(item, "scale", number)?.unwrap_or(1.0),
            lifecycle: match text(item, "lifecycle")? {
                "on" => Lifecycle::On,
                "off" => Lifecycle::Gone,
                _ => Lifecycle::Draining,
            },
            started: maybe(item, "launched", micros)?.filter(|at| at.0 != 0),
        })
    }

    fn event(
        &mut self,
        kind: &str,
        line: &Value,
        tables: &BTreeMap<u64, Vec<Value>>,
    ) -> Parsed<Option<Event>> {
        Ok(Some(match kind {
            "PEERS_KNOWN" => {
                let mode = text(line, "mode")?;
                if !matches!(mode, "diff" | "snapshot" | "disk") {
                    return Ok(Some(Event::ListFailed));
                }
                let table = count(line, "ref")?;
                let items =
                    tables.get(&table).ok_or_else(|| format!("field 'ref' names no table: {table}"))?;
                let replicas = items.iter().map(|item| self.listed(item)).collect::<Parsed<Vec<_>>>()?;
                match mode {
                    "diff" => Event::ListChanges(replicas),
                    _ => Event::List { replicas, stored: mode == "disk" },
                }
            }
            "QUERY" => {
                let (id, number, range) = (id(line, "id")?, count(line, "query")?, int(line, "range_no")?);
                let hint = maybe(line, "expected", micros)?;
                if let Ok(shard) = u32::try_from(range) {
                    let weight = self::number(line, "amount")?;
                    return Ok(Some(Event::Part { id, number, shard, weight, hint }));
                }
                let tenant = line.get("customer").and_then(Value::as_str);
                Event::Query {
                    id,
                    number,
                    class: place(&self.classes, text(line, "lane")?).unwrap_or(usize::MAX),
                    tenant: tenant.and_then(|name| place(&self.tenants, name)),
                    expires_in: micros(line, "expires_in")?,
                    hint,
                    repeat: maybe(line, "repeat", flag)?.unwrap_or(false),
                }
            }
            "CLOSED_ATTEMPT" => Event::AttemptEnded {
                part: id(line, "id")?,
                attempt: id(line, "try")?,
                outcome: match text(line, "state_code")? {
                    "ok" => Outcome::Ok,
                    "full" => Outcome::Full,
                    "timeout" => Outcome::Timeout,
                    "connect_failed" => Outcome::ConnectFailed,
                    "reset" => Outcome::Reset,
                    "cancelled" => Outcome::Cancelled,
                    "moot" => Outcome::Moot,
                    _ => Outcome::Error,
                },
                took: micros(line, "lag")?,
            },
            "RING" => Event::Timer,
            "CANCELLED_BY_CLIENT" => Event::ClientGone(id(line, "id")?),
            "PROBED" => Event::Probed,
            _ => return Ok(None),
        }))
    }

    fn line(&self, who: u64, action: &Action) -> Value {
        match action {
            Action::Attempt { part, replica, timeout } => {
                let server = &self.servers[*replica as usize];
                json!({"what": "ATTEMPT", "who": who, "id": part, "server": server, "allow_for": timeout.0})
            }
            Action::Cancel { part, attempt } => {
                json!({"what": "CALL_OFF", "who": who, "id": part, "try": attempt})
            }
            Action::Answer { query, whole } => {
                json!({"what": "SETTLE_QUERY", "who": who, "id": query, "full": whole})
            }
            Action::Refuse { query, retry_after: None } => json!({"what": "SAY_NO", "who": who, "id": query}),
            Action::Refuse { query, retry_after: Some(wait) } => {
                json!({"what": "SAY_NO", "who": who, "id": query, "cool_down": wait.0})
            }
            Action::Fail { query } => json!({"what": "SURRENDER", "who": who, "id": query}),
            Action::Timer(span) => json!({"what": "ARM", "who": who, "span": span.0, "mark": "wake"}),
            Action::WatchList => json!({"what": "TRACK", "who": who, "full": true}),
            Action::Remark(text) => json!({"what": "REMARK", "who": who, "text": text}),
        }
    }
}

impl Link {
    /// Takes one line; at the end of a batch writes the reply and returns true.
    pub fn take(&mut self, line: &str, output: &mut impl Write) -> Parsed<bool> {
        if line.trim().is_empty() {
            return Ok(false);
        }
        let line: Value = serde_json::from_str(line).map_err(|error| format!("not JSON: {error}"))?;
        match text(&line, "what")? {
            "SYNC" => self.now = micros(&line, "wall")?,
            "OVER_TO_YOU" => {
                self.reply(output).map_err(|error| error.to_string())?;
                return Ok(true);
            }
            "TABLE" => {
                self.tables.insert(count(&line, "ref")?, list(&line, "items")?.clone());
            }
            "INIT" => {
                let who = count(&line, "who")?;
                let seed = field(&line, "nonce64")?;
                let seed = seed.as_u64().or_else(|| seed.as_i64().map(|seed| seed as u64));
                let seed = seed.ok_or("field 'nonce64' is not a whole number")?;
                self.instances.insert(who, Instance::new(seed, field(&line, "options")?, self.now)?);
                self.touch(who);
            }
            "POWER_OFF" => {
                self.instances.remove(&count(&line, "who")?);
            }
            kind => {
                let Some(who) = maybe(&line, "who", count)? else { return Ok(false) };
                if let Some(instance) = self.instances.get_mut(&who) {
                    if let Some(event) = instance.event(kind, &line, &self.tables)? {
                        instance.events.push(event);
                        self.touch(who);
                    }
                }
            }
        }
        Ok(false)
    }

    fn touch(&mut self, who: u64) {
        if !self.touched.contains(&who) {
            self.touched.push(who);
        }
    }

    fn reply(&mut self, output: &mut impl Write) -> std::io::Result<()> {
        let mut actions = Vec::new();
        for who in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&who) else { continue };
            let events = std::mem::take(&mut instance.events);
            let (node, now) = (&mut instance.node, self.now);
            actions.clear();
            let result = catch_unwind(AssertUnwindSafe(|| node.handle(now, &events, &mut actions)));
            if let Err(cause) = result {
                let known = cause.downcast_ref::<String>().map(String::as_str);
                let text = known.or_else(|| cause.downcast_ref::<&str>().copied()).unwrap_or("panic");
                writeln!(output, "{}", json!({"what": "BAIL_OUT", "who": who, "text": text}))?;
                self.instances.remove(&who);
                continue;
            }
            for action in &actions {
                writeln!(output, "{}", instance.line(who, action))?;
            }
        }
        writeln!(output, "{}", json!({"what": "NEXT"}))
    }
}
