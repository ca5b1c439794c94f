use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::SettingsError;

/// Settings that are validated before the process starts.
pub trait CheckSettings {
    /// Validates the settings. Fails with the first invalid value.
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

/// Checks that the number of a key is in `range`.
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

/// Checks that the text of a key is one of `choices`.
pub fn check_text(key: &str, value: &str, choices: &[&str]) -> Result<(), SettingsError> {
    if choices.contains(&value) {
        return Ok(());
    }
    let allowed = choices.join(", ");
    Err(range_error(key, format!("{value:?}"), allowed))
}

/// Checks that the text of a key is an IP address with a port, and returns the address.
pub fn check_address(key: &str, value: &str) -> Result<SocketAddr, SettingsError> {
    let parsed = value.parse::<SocketAddr>();
    parsed.map_err(|_| {
        let allowed = "an IP address and a port, such as 127.0.0.1:7001".to_owned();
        range_error(key, format!("{value:?}"), allowed)
    })
}
