//! Settings files, which are validated completely before the process starts.

mod checks;
mod settings_error;

pub use checks::{CheckSettings, check_address, check_range, check_text};
pub use settings_error::SettingsError;

use std::path::Path;

use serde::de::DeserializeOwned;
use snafu::ResultExt;

use settings_error::ReadSnafu;

/// Reads and validates a settings file.
///
/// Fails if the file can't be read, is not valid TOML, or has an unknown key or an invalid value.
pub fn load_settings<T: DeserializeOwned + CheckSettings>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { file: &file })?;
    let settings: T =
        toml::from_str(&text).map_err(|error| SettingsError::parse(&file, &text, &error))?;
    settings.check().map_err(|error| error.in_file(&file))?;
    Ok(settings)
}
