use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::SettingsError;

/// Settings that can be checked before anything starts.
pub trait CheckSettings {
    /// Names the first value that is not allowed.
    fn check(&self) -> Result<(), SettingsError>;
}

fn range_error(key: &str, value: impl Display, allowed: String) -> SettingsError {
    SettingsError::Range {
        file: String::new(),
        key: key.to_owned(),
        value: value.to_string(),
        allowed,
    }
}

/// Checks that a number is in its range.
pub fn check_range<T: PartialOrd + Display>(
    key: &str,
    value: T,
    range: RangeInclusive<T>,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    let allowed = format!("{} to {}", range.start(), range.end());
    Err(range_error(key, value, allowed))
}

/// Checks that a text is one of a few.
pub fn check_text(key: &str, value: &str, choices: &[&str]) -> Result<(), SettingsError> {
    if choices.contains(&value) {
        return Ok(());
    }
    let allowed = choices.join(", ");
    Err(range_error(key, format!("{value:?}"), allowed))
}

/// Checks that a text is an IP address with a port.
pub fn check_address(key: &str, value: &str) -> Result<SocketAddr, SettingsError> {
    let parsed = value.parse::<SocketAddr>();
    parsed.map_err(|_| {
        let allowed = "an IP address and a port, such as 127.0.0.1:7001".to_owned();
        range_error(key, format!("{value:?}"), allowed)
    })
}
