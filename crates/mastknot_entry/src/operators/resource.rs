use mastknot_core::config::{
    DRAINED_HALL_KIND, DrainedHall, HALL_SHARE_KIND, HallShare, Profile, Service, Team,
};
use mastknot_core::message::ConfigItem;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};

/// Kinds of stored resources.
pub(crate) const KINDS: [&str; 6] = [
    "service",
    "team",
    "profile",
    "configuration",
    DRAINED_HALL_KIND,
    HALL_SHARE_KIND,
];
/// Maximum length of a resource's name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum size of a resource's value as JSON, in bytes; well below the store's limit of one
/// megabyte.
const MAX_VALUE_BYTES: usize = 65_536;

/// A stored resource in the form that operators read and write.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Resource {
    pub(crate) kind: String,
    pub(crate) name: String,
    /// Version at which the resource was read; zero for a resource that must not exist yet.
    #[serde(default)]
    pub(crate) version: u64,
    /// Value of the resource; `None` if the resource was deleted.
    #[serde(default)]
    pub(crate) value: Option<Value>,
}

impl From<&ConfigItem> for Resource {
    fn from(item: &ConfigItem) -> Self {
        let text = item.value.as_deref();
        Self {
            kind: item.resource.kind.to_string(),
            name: item.resource.name.to_string(),
            version: item.version,
            value: text.and_then(|text| serde_json::from_str(text).ok()),
        }
    }
}

/// Error in a resource that an operator writes.
#[derive(Debug, Snafu)]
pub(crate) enum BadResource {
    /// The kind does not exist.
    #[snafu(display("unknown kind {kind:?}; the kinds are {}", KINDS.join(", ")))]
    Kind { kind: String },
    /// The name is empty, too long, or contains a `/`.
    #[snafu(display("the name must have 1 to {MAX_NAME_BYTES} bytes and no `/`"))]
    Name,
    /// The value is missing.
    #[snafu(display("`value` is missing"))]
    ValueMissing,
    /// The value is too long.
    #[snafu(display("`value` has {length} bytes, allowed are {MAX_VALUE_BYTES}"))]
    TooLong { length: usize },
    /// A field is unknown, missing or of the wrong type.
    #[snafu(display("`value`: {source}"))]
    Fields { source: serde_json::Error },
    /// A field is out of its range.
    #[snafu(display("`value.{field}` is {value}, allowed is {allowed}"))]
    Range {
        field: &'static str,
        value: String,
        allowed: &'static str,
    },
}

/// Returns a range error for the field unless `is_good` is true.
fn check(
    field: &'static str,
    value: impl ToString,
    allowed: &'static str,
    is_good: bool,
) -> Result<(), BadResource> {
    let value = value.to_string();
    is_good.then_some(()).context(RangeSnafu {
        field,
        value,
        allowed,
    })
}

/// Checks that a kind exists and that a name is allowed.
pub(crate) fn check_name(kind: &str, name: &str) -> Result<(), BadResource> {
    let is_known = KINDS.contains(&kind);
    is_known.then_some(()).context(KindSnafu { kind })?;
    let is_good = (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains('/');
    is_good.then_some(()).context(NameSnafu)
}

/// Checks the kind, name and value of a resource.
pub(crate) fn check_resource(resource: &Resource) -> Result<(), BadResource> {
    check_name(&resource.kind, &resource.name)?;
    let value = resource.value.as_ref().context(ValueMissingSnafu)?;
    let length = value.to_string().len();
    (length <= MAX_VALUE_BYTES)
        .then_some(())
        .context(TooLongSnafu { length })?;
    match resource.kind.as_str() {
        "service" => check_service(value),
        "team" => check_team(value),
        "profile" => check_profile(value),
        DRAINED_HALL_KIND => check_drained_hall(value),
        HALL_SHARE_KIND => check_hall_share(value),
        _ => Ok(()),
    }
}

fn check_service(value: &Value) -> Result<(), BadResource> {
    let service = Service::deserialize(value).context(FieldsSnafu)?;
    let path_is_good = service.path.starts_with('/') && service.path.parse::<http::Uri>().is_ok();
    check(
        "path",
        &service.path,
        "a path that begins with `/`",
        path_is_good,
    )?;
    let deadline = service.max_deadline_ms;
    let is_good = (1..=600_000).contains(&deadline);
    check("max_deadline_ms", deadline, "1 to 600000", is_good)?;
    let typical = service.typical_ms;
    check(
        "typical_ms",
        typical,
        "1 to 600000",
        (1..=600_000).contains(&typical),
    )
}

fn check_drained_hall(value: &Value) -> Result<(), BadResource> {
    DrainedHall::deserialize(value)
        .map(|_| ())
        .context(FieldsSnafu)
}

fn check_hall_share(value: &Value) -> Result<(), BadResource> {
    let share = HallShare::deserialize(value).context(FieldsSnafu)?;
    let weight = share.weight;
    let is_good = HallShare::is_weight(weight);
    check("weight", weight, "1 to 10000", is_good)
}

fn check_team(value: &Value) -> Result<(), BadResource> {
    let team = Team::deserialize(value).context(FieldsSnafu)?;
    check(
        "quota",
        team.quota,
        "1 to 1000000",
        (1..=1_000_000).contains(&team.quota),
    )?;
    check(
        "weight",
        team.weight,
        "1 to 1000",
        (1..=1_000).contains(&team.weight),
    )
}

fn check_profile(value: &Value) -> Result<(), BadResource> {
    let profile = Profile::deserialize(value).context(FieldsSnafu)?;
    let keep = profile.keep_credits_percent;
    check("keep_credits_percent", keep, "0 to 100", keep <= 100)?;
    let ask = profile.ask_interval_ms;
    check(
        "ask_interval_ms",
        ask,
        "1 to 10000",
        (1..=10_000).contains(&ask),
    )?;
    let batch = profile.lend_batch;
    check(
        "lend_batch",
        batch,
        "1 to 1000",
        (1..=1_000).contains(&batch),
    )?;
    let reserve = profile.idle_reserve;
    check("idle_reserve", reserve, "0 to 100000", reserve <= 100_000)?;
    let budget = profile.retry_budget_percent;
    check(
        "fairness_slack_s",
        profile.fairness_slack_s,
        "0 to 100000",
        profile.fairness_slack_s <= 100_000,
    )?;
    check("retry_budget_percent", budget, "0 to 100", budget <= 100)?;
    let hedge = profile.hedge_after_percent;
    let is_good = hedge == 0 || (100..=10_000).contains(&hedge);
    check("hedge_after_percent", hedge, "0, or 100 to 10000", is_good)
}

/// Returns the fields whose values differ between two resources, as JSON pointers; `/` if one of
/// them is not an object.
pub(crate) fn changed_fields(before: Option<&Value>, after: Option<&Value>) -> Vec<String> {
    let (Some(Value::Object(before)), Some(Value::Object(after))) = (before, after) else {
        return vec!["/".to_owned()];
    };
    let names = before.keys().chain(after.keys());
    let mut changed: Vec<String> = names
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| format!("/{name}"))
        .collect();
    changed.sort();
    changed.dedup();
    changed
}
